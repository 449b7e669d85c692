#include "manifest.h"

#include "config/inisections.h"
#include "protocol/jsoncodec.h"

#include <array>
#include <map>
#include <set>

namespace Yuccagrade
{
namespace
{
using enum OptionType;

// The text travels in one log entry and one HTTP request. 180 services with ten routes each take about 0.5 MB.
constexpr std::size_t maxTextBytes = 2'000'000;
// A claim must outlast every deadline; the shortest claim window is twice this ceiling.
constexpr double maxTimeoutMs = 60'000;
constexpr double maxRate = 1e6;
// Whole numbers up to here survive the conversion to double in the range check.
constexpr double maxVersion = 9'007'199'254'740'992;

constexpr std::array sections{
    SectionKind{.name = "manifest", .required = true},
    SectionKind{.name = "domain", .named = true, .required = true},
    SectionKind{.name = "service", .named = true},
    SectionKind{.name = "route", .named = true},
    SectionKind{.name = "team", .named = true},
    SectionKind{.name = "limits"},
};

constexpr std::array options{
    Option{.section = "manifest",
           .name = "version",
           .type = Integer,
           .minimum = 1,
           .maximum = maxVersion,
           .required = true,
           .help = "Must be above the version in force."},
    Option{.section = "domain", .name = "region", .type = Name, .required = true, .help = "Region of the failure domain."},
    Option{.section = "service",
           .name = "queue-ms",
           .type = Integer,
           .unit = "ms",
           .minimum = 0,
           .maximum = 10'000,
           .fallback = "50",
           .help = "A request that cannot start within this time is refused as not run."},
    Option{.section = "route",
           .name = "method",
           .type = Choice,
           .choices = "GET|HEAD|POST|PUT|PATCH|DELETE",
           .fallback = "GET",
           .help = "Method of the request."},
    Option{.section = "route", .name = "path", .type = UrlPath, .required = true, .help = "Path of the request; the longest match is used."},
    Option{.section = "route", .name = "service", .type = Name, .required = true, .help = "Service that answers."},
    Option{.section = "route", .name = "open", .type = Choice, .choices = "yes|no", .fallback = "no", .help = "Needs no key; such requests have no rate."},
    Option{.section = "route", .name = "teams", .type = NameList, .help = "Teams that may use the route, * for all; required unless open."},
    Option{.section = "route",
           .name = "priority",
           .type = Choice,
           .choices = "critical|normal|bulk",
           .fallback = "normal",
           .help = "Lower classes are shed first."},
    Option{.section = "route",
           .name = "action",
           .type = Choice,
           .choices = "yes|no",
           .fallback = "no",
           .help = "Must run at most once; callers send an Idempotency-Key."},
    Option{.section = "route", .name = "idempotent", .type = Choice, .choices = "yes|no", .fallback = "no", .help = "May be sent again after a failure."},
    Option{.section = "route",
           .name = "timeout-ms",
           .type = Integer,
           .unit = "ms",
           .minimum = 1,
           .maximum = maxTimeoutMs,
           .fallback = "2000",
           .help = "Time for a request whose caller gives none."},
    Option{.section = "route",
           .name = "timeout-ceiling-ms",
           .type = Integer,
           .unit = "ms",
           .minimum = 1,
           .maximum = maxTimeoutMs,
           .fallback = "10000",
           .help = "Longest time that a caller may give."},
    Option{.section = "route",
           .name = "isolated",
           .type = Choice,
           .choices = "refuse|serve",
           .fallback = "refuse",
           .help = "What a node without a valid freshness proof does; with serve a withdrawn key works there until the partition heals."},
    Option{.section = "route", .name = "internal", .type = Choice, .choices = "yes|no", .fallback = "no", .help = "Answers nested calls only."},
    Option{.section = "team",
           .name = "rate",
           .type = Real,
           .unit = "requests/s",
           .minimum = 0.01,
           .maximum = maxRate,
           .required = true,
           .help = "Rate over the whole fleet."},
    Option{.section = "team",
           .name = "burst",
           .type = Real,
           .unit = "requests",
           .minimum = 1,
           .maximum = maxRate,
           .required = true,
           .help = "Burst over the whole fleet."},
    Option{.section = "team",
           .name = "weight",
           .type = Real,
           .minimum = 0.01,
           .maximum = 1000,
           .fallback = "1",
           .help = "Share of a full queue relative to other teams."},
    Option{.section = "team", .name = "home-region", .type = Name, .help = "Region that can run the team's actions while regions are separated."},
    Option{.section = "limits",
           .name = "retries",
           .type = Integer,
           .unit = "attempts",
           .minimum = 0,
           .maximum = 10,
           .fallback = "2",
           .help = "Attempts beyond the first for one request and all its nested calls."},
    Option{.section = "limits",
           .name = "claim-window-s",
           .type = Integer,
           .unit = "s",
           .minimum = 120,
           .maximum = 86'400,
           .fallback = "3600",
           .help = "How long an action stays claimed; longer than any timeout."},
};

constexpr FileFormat format{sections, options};

Priority parsePriority(const std::string &name)
{
    for (const Priority priority : {Priority::Critical, Priority::Bulk}) {
        if (priorityName(priority) == name) {
            return priority;
        }
    }
    return Priority::Normal;
}

RouteSpec convertRoute(const IniSection &section)
{
    RouteSpec route;
    route.name = section.name();
    route.method = section.text("method");
    route.path = section.text("path");
    route.prefix = route.path.ends_with("/*");
    if (route.prefix) {
        route.path.pop_back();
    }
    route.service = section.text("service");
    route.open = section.flag("open");
    route.teams = section.list("teams");
    route.allTeams = route.teams == std::vector<std::string>{"*"};
    if (route.allTeams) {
        route.teams.clear();
    }
    route.priority = parsePriority(section.text("priority"));
    route.action = section.flag("action");
    route.idempotent = section.flag("idempotent");
    route.timeoutMs = section.integer("timeout-ms");
    route.timeoutCeilingMs = section.integer("timeout-ceiling-ms");
    route.isolatedServe = section.text("isolated") == "serve";
    route.internal = section.flag("internal");
    return route;
}

TeamSpec convertTeam(const IniSection &section)
{
    return {section.name(), section.real("rate"), section.real("burst"), section.real("weight"), section.text("home-region")};
}

void convert(const IniSection &section, Manifest &manifest)
{
    if (section.kind() == "manifest") {
        manifest.version = static_cast<std::uint64_t>(section.integer("version"));
    } else if (section.kind() == "domain") {
        manifest.domains.push_back({section.name(), section.text("region")});
    } else if (section.kind() == "service") {
        manifest.services.push_back({section.name(), section.integer("queue-ms")});
    } else if (section.kind() == "route") {
        manifest.routes.push_back(convertRoute(section));
    } else if (section.kind() == "team") {
        manifest.teams.push_back(convertTeam(section));
    } else {
        manifest.limits = {static_cast<int>(section.integer("retries")), section.integer("claim-window-s") * 1000};
    }
}

// Checks that need more than one option. Names are collected first, so that a large manifest is checked in linear time.
class CrossChecker
{
public:
    CrossChecker(const std::vector<IniSection> &found, const Manifest &manifest, const std::string &file, Findings &findings)
        : m_file(file)
        , m_findings(findings)
    {
        for (const DomainSpec &domain : manifest.domains) {
            m_regions.insert(domain.region);
        }
        for (const IniSection &section : found) {
            m_names[std::string(section.kind())].insert(section.name());
        }
    }

    void checkTeam(const IniSection &section)
    {
        const std::string home = section.text("home-region");
        if (!home.empty() && !m_regions.contains(home)) {
            report(section, "home-region", "no domain is in region '" + home + "'");
        }
    }

    void checkRoute(const IniSection &section, const RouteSpec &route)
    {
        if (section.isSet("service") && !m_names["service"].contains(route.service)) {
            report(section, "service", "there is no [service " + route.service + ']');
        }
        if (route.timeoutMs > route.timeoutCeilingMs) {
            report(section, "timeout-ms", "timeout-ms is above timeout-ceiling-ms, which is " + std::to_string(route.timeoutCeilingMs));
        }
        const auto [other, isNew] = m_requests.try_emplace(route.method + ' ' + section.text("path"), section.name());
        if (section.isSet("path") && !isNew) {
            report(section, "path", "[route " + other->second + "] has the same method and path");
        }
        checkTeams(section, route);
        checkAction(section, route);
    }

private:
    void report(const IniSection &section, std::string_view option, const std::string &message)
    {
        m_findings.push_back({m_file, section.line(option), '[' + std::string(section.kind()) + ' ' + section.name() + "]: " + message});
    }

    void checkTeams(const IniSection &section, const RouteSpec &route)
    {
        if (route.open && section.isSet("teams")) {
            report(section, "teams", "an open route takes no teams; remove 'teams' or 'open'");
        } else if (!route.open && !section.isSet("teams")) {
            report(section, "teams", "'teams' is missing; name the teams, or * for all");
        }
        std::set<std::string> seen;
        for (const std::string &team : route.teams) {
            if (team == "*") {
                report(section, "teams", "* cannot be combined with names");
            } else if (!m_names["team"].contains(team)) {
                report(section, "teams", "there is no [team " + team + ']');
            } else if (!seen.insert(team).second) {
                report(section, "teams", "team '" + team + "' is listed twice");
            }
        }
    }

    void checkAction(const IniSection &section, const RouteSpec &route)
    {
        if (route.action && route.idempotent) {
            report(section, "idempotent", "an action runs at most once, so it cannot be idempotent");
        }
        if (route.action && route.open) {
            report(section, "open", "an action is identified by its team, so its route cannot be open");
        }
        if (route.action && route.isolatedServe) {
            report(section, "isolated", "an isolated node cannot claim an action; use isolated = refuse");
        }
    }

    const std::string &m_file;
    Findings &m_findings;
    std::set<std::string> m_regions;
    std::map<std::string, std::set<std::string>> m_names; // kind to names
    std::map<std::string, std::string> m_requests; // method and path to route
};

// Log and snapshots carry the text as JSON, which would replace malformed UTF-8 on some hosts only.
bool survivesJson(const std::string &text)
{
    Json::Value decoded;
    return parseJson(toText(Json::Value(text)), decoded) && decoded.isString() && decoded.asString() == text;
}

bool checkText(const std::string &text, const std::string &file, Findings &findings)
{
    if (text.size() > maxTextBytes) {
        findings.push_back({file, 0, "text is longer than " + std::to_string(maxTextBytes) + " bytes"});
    } else if (!survivesJson(text)) {
        findings.push_back({file, 0, "text is not valid UTF-8"});
    } else {
        return true;
    }
    return false;
}
}

const FileFormat &manifestFormat()
{
    return format;
}

Manifest parseManifest(const std::string &text, const std::string &file, Findings &findings)
{
    Manifest manifest;
    if (!checkText(text, file, findings)) {
        return manifest;
    }
    const auto found = readSections(text, file, format, findings);
    for (const IniSection &section : found) {
        convert(section, manifest);
    }
    CrossChecker checker(found, manifest, file, findings);
    std::size_t route = 0;
    for (const IniSection &section : found) {
        if (section.kind() == "team") {
            checker.checkTeam(section);
        } else if (section.kind() == "route") {
            checker.checkRoute(section, manifest.routes[route++]);
        }
    }
    sortByLine(findings);
    return manifest;
}
}
