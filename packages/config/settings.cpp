#include "settings.h"

#include "config/inisections.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace Yuccagrade
{
namespace
{
using enum OptionType;

constexpr std::array<std::string_view, 2> roleNames{"node", "control"};

constexpr std::array sections{SectionKind{.name = "", .required = true}};

constexpr std::array options{
    Option{.name = "role", .type = Choice, .choices = "node|control", .required = true, .help = "What the process does."},
    Option{.name = "id", .type = Name, .required = true, .help = "Name of the process, unique in the fleet."},
    Option{.name = "domain", .type = Name, .required = true, .help = "Failure domain of the host."},
    Option{.name = "region", .type = Name, .required = true, .help = "Region of the host."},
    Option{.name = "caller-address", .type = Address, .help = "Listens for callers and the upstream; required for role node, not allowed for control."},
    Option{.name = "peer-address", .type = Address, .required = true, .help = "Listens for other processes of the layer."},
    Option{.name = "peer-advertise", .type = Address, .help = "Address under which peers reach peer-address; default the same."},
    Option{.name = "operator-address", .type = Address, .required = true, .help = "Listens for operators."},
    Option{.name = "source-address", .type = IpAddress, .help = "IP number of outgoing connections; default that of peer-advertise."},
    Option{.name = "seeds", .type = AddressList, .help = "Peer addresses of control hosts; required for role node."},
    Option{.name = "members",
           .type = MemberList,
           .help = "Control hosts of the first group, this one included; required for role control, not allowed for node."},
    Option{.name = "cluster-secret-file", .type = File, .required = true, .help = "Secret that authenticates peers; mode 0600 or stricter."},
    Option{.name = "operator-secret-file", .type = File, .required = true, .help = "Secret that authenticates operators; mode 0600 or stricter."},
    Option{.name = "data-folder", .type = File, .help = "Folder of the durable state; required for role control, not allowed for node."},
    Option{.name = "event-file", .type = File, .help = "File of numbered events as JSON lines; none by default."},
    Option{.name = "log-level", .type = Choice, .choices = "debug|info|warning|error", .fallback = "info", .help = "Lowest severity that is logged."},
};

constexpr FileFormat format{sections, options};

std::vector<MemberAddress> parseMembers(const std::vector<std::string> &items)
{
    std::vector<MemberAddress> members;
    for (const std::string &item : items) {
        const auto separator = std::min(item.find('='), item.size());
        members.push_back({item.substr(0, separator), separator < item.size() ? item.substr(separator + 1) : std::string()});
    }
    return members;
}

Severity parseSeverity(const std::string &name)
{
    for (const Severity severity : {Severity::Debug, Severity::Warning, Severity::Error}) {
        if (severityName(severity) == name) {
            return severity;
        }
    }
    return Severity::Info;
}

std::string ipOf(const std::string &address)
{
    std::string ip;
    int port = 0;
    splitAddress(address, ip, port);
    return ip;
}

bool isWildcard(const std::string &address)
{
    const std::string ip = ipOf(address);
    return ip == "0.0.0.0" || ip == "::";
}

Settings convert(const IniSection &section)
{
    Settings settings;
    settings.role = section.text("role") == "control" ? Role::Control : Role::Node;
    settings.id = section.text("id");
    settings.domain = section.text("domain");
    settings.region = section.text("region");
    settings.callerAddress = section.text("caller-address");
    settings.peerAddress = section.text("peer-address");
    settings.peerAdvertise = section.isSet("peer-advertise") ? section.text("peer-advertise") : settings.peerAddress;
    settings.operatorAddress = section.text("operator-address");
    settings.sourceAddress = section.isSet("source-address") ? section.text("source-address") : ipOf(settings.peerAdvertise);
    settings.seeds = section.list("seeds");
    settings.members = parseMembers(section.list("members"));
    settings.clusterSecretFile = section.text("cluster-secret-file");
    settings.operatorSecretFile = section.text("operator-secret-file");
    settings.dataFolder = section.text("data-folder");
    settings.eventFile = section.text("event-file");
    settings.logLevel = parseSeverity(section.text("log-level"));
    return settings;
}

class Checker
{
public:
    Checker(const IniSection &section, const Settings &settings, const std::string &file, Findings &findings)
        : m_section(section)
        , m_settings(settings)
        , m_file(file)
        , m_findings(findings)
    {
    }

    void run()
    {
        if (m_section.isSet("role")) {
            const bool isNode = m_settings.role == Role::Node;
            checkRole(isNode, {"caller-address", "seeds"}, {"members", "data-folder"});
            checkRole(!isNode, {"members", "data-folder"}, {"caller-address"});
        }
        if (isWildcard(m_settings.peerAdvertise)) {
            report("peer-advertise", "peers cannot connect to '" + m_settings.peerAdvertise + "'; set peer-advertise to an address of this host");
        }
        if (m_settings.role == Role::Control && m_section.isSet("members")) {
            checkMembers();
        }
        checkListeners();
    }

private:
    void report(std::string_view option, std::string message)
    {
        m_findings.push_back({m_file, m_section.line(option), std::move(message)});
    }

    void checkRole(bool applies, std::initializer_list<std::string_view> required, std::initializer_list<std::string_view> forbidden)
    {
        const std::string role = " for role " + std::string(roleName(m_settings.role));
        for (const std::string_view option : required) {
            if (applies && !m_section.isSet(option)) {
                report(option, "'" + std::string(option) + "' is missing" + role);
            }
        }
        for (const std::string_view option : forbidden) {
            if (applies && m_section.isSet(option)) {
                report(option, "'" + std::string(option) + "' is not allowed" + role);
            }
        }
    }

    void checkMembers()
    {
        std::vector<std::string> ids;
        std::vector<std::string> addresses;
        for (const MemberAddress &member : m_settings.members) {
            ids.push_back(member.id);
            addresses.push_back(member.address);
            if (member.id == m_settings.id && member.address != m_settings.peerAdvertise) {
                report("members", "this process is listed with '" + member.address + "' but advertises '" + m_settings.peerAdvertise + "'");
            }
        }
        if (std::find(ids.begin(), ids.end(), m_settings.id) == ids.end()) {
            report("members", "id '" + m_settings.id + "' of this process is not listed");
        }
        for (std::vector<std::string> *list : {&ids, &addresses}) {
            std::sort(list->begin(), list->end());
            if (const auto twice = std::adjacent_find(list->begin(), list->end()); twice != list->end()) {
                report("members", "'" + *twice + "' is listed twice");
            }
        }
    }

    void checkListeners()
    {
        const std::array<std::string_view, 3> names{"caller-address", "peer-address", "operator-address"};
        for (std::size_t i = 1; i < names.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (m_section.isSet(names[i]) && m_section.text(names[i]) == m_section.text(names[j])) {
                    report(names[i], "'" + std::string(names[i]) + "' equals '" + std::string(names[j]) + "'");
                }
            }
        }
    }

    const IniSection &m_section;
    const Settings &m_settings;
    const std::string &m_file;
    Findings &m_findings;
};
}

std::string_view roleName(Role role)
{
    return roleNames[static_cast<std::size_t>(role)];
}

const FileFormat &settingsFormat()
{
    return format;
}

Settings parseSettings(const std::string &text, const std::string &file, Findings &findings)
{
    const auto found = readSections(text, file, format, findings);
    Settings settings = convert(found.front());
    Checker(found.front(), settings, file, findings).run();
    sortByLine(findings);
    return settings;
}

Settings readSettings(const std::string &path, Findings &findings)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        findings.push_back({path, 0, "cannot be read"});
        return {};
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return parseSettings(text, path, findings);
}
}
