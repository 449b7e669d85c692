#include "meshsettings.h"

#include "config/inisections.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iterator>

namespace Yuccagrade::Mesh
{
namespace
{
using enum OptionType;

constexpr std::array<std::string_view, 2> hostRoleNames{"node", "control"};
constexpr std::array sections{SectionKind{.name = "", .required = true}};
constexpr double msPerSecond = 1'000;
constexpr std::size_t bytesPerMb = 1'000'000;
constexpr double maxSeconds = 3'600;

constexpr std::array options{
    Option{.name = "role", .type = Choice, .choices = "node|control", .required = true, .help = "What the process does."},
    Option{.name = "name", .type = Name, .required = true, .help = "Name of the process, unique in the fleet."},
    Option{.name = "domain", .type = Name, .required = true, .help = "Failure domain of the host."},
    Option{.name = "host", .type = IpAddress, .required = true, .help = "IP number of the host, also of outgoing connections."},
    Option{.name = "listen-host", .type = IpAddress, .help = "IP number on which other processes are accepted, if it is not that of the host."},
    Option{.name = "peer-port", .type = Integer, .minimum = 1, .maximum = 65'535, .required = true, .help = "Port for other processes, the same on all hosts."},
    Option{.name = "metrics-port", .type = Integer, .minimum = 0, .maximum = 65'535, .fallback = "0", .help = "Port that serves /metrics; 0 for none."},
    Option{.name = "caller-address", .type = Address, .help = "Node: listens for callers and for calls of the upstream."},
    Option{.name = "readiness-address", .type = Address, .help = "Node: listens for readiness questions."},
    Option{.name = "announcement-address", .type = Address, .help = "Node: listens for announcements of the upstream on this host."},
    Option{.name = "upstream-address", .type = Address, .help = "Node: where the upstream on this host is asked for its health after a start."},
    Option{.name = "service", .type = Name, .help = "Node: service of the upstream on this host."},
    Option{.name = "operator-address", .type = Address, .help = "Control: listens for operators."},
    Option{.name = "data-folder", .type = File, .help = "Control: folder of the durable state."},
    Option{.name = "found-group", .type = Choice, .choices = "true|false", .fallback = "false", .help = "Control: all hosts start for the first time."},
    Option{.name = "seeds", .type = AddressList, .required = true, .help = "Addresses of control hosts; their port is replaced by peer-port."},
    Option{.name = "regions", .type = NamedTextList, .help = "Node: region of each failure domain, as domain=region."},
    Option{.name = "memory-mb",
           .type = Integer,
           .unit = "MB",
           .minimum = 32,
           .maximum = 1'000'000,
           .fallback = "160",
           .help = "Memory that the process may use."},
    Option{.name = "tolerated-hosts", .type = Integer, .minimum = 0, .maximum = 3, .fallback = "1", .help = "Control hosts whose loss is survived."},
    Option{.name = "withdrawal-s",
           .type = Real,
           .unit = "s",
           .minimum = 0.5,
           .maximum = maxSeconds,
           .fallback = "5",
           .help = "A withdrawn key works no longer."},
    Option{.name = "stop-s", .type = Real, .unit = "s", .minimum = 0.5, .maximum = maxSeconds, .fallback = "6", .help = "Time from SIGTERM to the end."},
    Option{.name = "retry-ratio",
           .type = Real,
           .minimum = 0,
           .maximum = 1,
           .fallback = "0.2",
           .help = "Repeated sends per request of a service, all nodes together."},
    Option{.name = "retry-per-window",
           .type = Real,
           .minimum = 0,
           .maximum = 1e6,
           .fallback = "20",
           .help = "Further repeated sends of a service in each window."},
    Option{.name = "rate-slack",
           .type = Real,
           .minimum = 0,
           .maximum = 1e6,
           .fallback = "0",
           .help = "Requests beyond the rate limit that a team may send in a window."},
    Option{.name = "retry-window-s", .type = Real, .unit = "s", .minimum = 0.1, .maximum = maxSeconds, .fallback = "10", .help = "Length of the window."},
};

constexpr FileFormat format{sections, options};

TimeMs milliseconds(const IniSection &section, std::string_view option)
{
    return static_cast<TimeMs>(section.real(option) * msPerSecond);
}

std::string addressOf(const std::string &ip, std::int64_t port)
{
    return port > 0 ? ip + ':' + std::to_string(port) : std::string();
}

MeshSettings convert(const IniSection &section)
{
    MeshSettings settings;
    settings.role = section.text("role") == "control" ? HostRole::Control : HostRole::Node;
    settings.name = section.text("name");
    settings.domain = section.text("domain");
    settings.hostIp = section.text("host");
    settings.peerAddress = addressOf(settings.hostIp, section.integer("peer-port"));
    settings.peerListenAddress = addressOf(section.isSet("listen-host") ? section.text("listen-host") : settings.hostIp, section.integer("peer-port"));
    settings.metricsAddress = addressOf(settings.hostIp, section.integer("metrics-port"));
    settings.callerAddress = section.text("caller-address");
    settings.readinessAddress = section.text("readiness-address");
    settings.announcementAddress = section.text("announcement-address");
    settings.upstreamAddress = section.text("upstream-address");
    settings.service = section.text("service");
    settings.operatorAddress = section.text("operator-address");
    settings.dataFolder = section.text("data-folder");
    settings.bootstrapGroup = section.text("found-group") == "true";
    for (const std::string &seed : section.list("seeds")) {
        settings.seeds.push_back(addressOf(hostOf(seed), section.integer("peer-port")));
    }
    for (const std::string &pair : section.list("regions")) {
        const std::size_t separator = pair.find('=');
        if (separator + 1 < pair.size()) {
            settings.regionOfDomain[pair.substr(0, separator)] = pair.substr(separator + 1);
        }
    }
    settings.memoryBytes = static_cast<std::size_t>(section.integer("memory-mb")) * bytesPerMb;
    settings.fleetLimits.toleratedHosts = static_cast<int>(section.integer("tolerated-hosts"));
    settings.fleetLimits.withdrawalMs = milliseconds(section, "withdrawal-s");
    settings.fleetLimits.stopMs = milliseconds(section, "stop-s");
    settings.fleetLimits.retryRatio = section.real("retry-ratio");
    settings.fleetLimits.retryPerWindow = section.real("retry-per-window");
    settings.fleetLimits.rateSlack = section.real("rate-slack");
    settings.fleetLimits.retryWindowMs = milliseconds(section, "retry-window-s");
    return settings;
}

void requireFor(const IniSection &section, HostRole role, std::initializer_list<std::string_view> names, const std::string &file, Findings &findings)
{
    for (const std::string_view name : names) {
        if (!section.isSet(name)) {
            findings.push_back({file, 0, std::string(name) + " is missing; role " + std::string(hostRoleName(role)) + " needs it"});
        }
    }
}
}

// Keys are accepted for part of the withdrawal time without the leader, so a longer use of shares is pointless.
TimeMs FleetLimits::shareLeaseMs() const
{
    constexpr TimeMs minShareLeaseMs = 5'000;
    return std::max(minShareLeaseMs, withdrawalMs);
}

double FleetLimits::reserveTokens() const
{
    constexpr double reservedShare = 0.4;
    return std::floor(rateSlack * reservedShare);
}

std::string_view hostRoleName(HostRole role)
{
    return hostRoleNames[static_cast<std::size_t>(role)];
}

const FileFormat &meshSettingsFormat()
{
    return format;
}

MeshSettings parseMeshSettings(const std::string &text, const std::string &file, Findings &findings)
{
    const std::vector<IniSection> found = readSections(text, file, format, findings);
    if (found.empty()) {
        return {};
    }
    const IniSection &section = found.front();
    MeshSettings settings = convert(section);
    if (settings.role == HostRole::Node) {
        requireFor(section, settings.role, {"caller-address", "readiness-address", "announcement-address", "service"}, file, findings);
    } else {
        requireFor(section, settings.role, {"operator-address", "data-folder"}, file, findings);
    }
    sortByLine(findings);
    return settings;
}

MeshSettings readMeshSettings(const std::string &path, Findings &findings)
{
    std::ifstream stream(path);
    if (!stream) {
        findings.push_back({path, 0, "cannot be read"});
        return {};
    }
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    return parseMeshSettings(text, path, findings);
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}
}
