#include "configcheck.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::array<std::string_view, 3> remarkKindNames{"error", "warning", "difference"};

std::string textOf(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string subjectOf(const std::string &kind, const std::string &name)
{
    return kind + ' ' + name;
}

std::string joined(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

// The target of a request ends at a blank and its path at a question mark.
bool isInPaths(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte != 0x7f && byte != '?';
}

bool isInHosts(char c)
{
    return isInPaths(c) && std::string_view("/#@\\").find(c) == std::string_view::npos;
}

/// Collects the warnings of one configuration.
class Checker
{
public:
    explicit Checker(const FleetConfig &config)
        : m_config(config)
    {
    }

    ConfigRemarks check()
    {
        checkNames("route", m_config.routes);
        checkNames("service", m_config.services);
        checkNames("team", m_config.teams);
        for (const Route &route : m_config.routes) {
            checkMatch(route);
            checkLimits(route);
            checkRegions(route);
        }
        checkServices();
        for (const Team &team : m_config.teams) {
            checkTeam(team);
        }
        checkCallerLimits();
        return std::move(m_remarks);
    }

private:
    void warn(const std::string &subject, const std::string &message)
    {
        m_remarks.push_back({RemarkKind::Warning, subject, message});
    }

    // Lookups by name find the first entry.
    template<typename T>
    void checkNames(const std::string &kind, const std::vector<T> &items)
    {
        std::set<std::string> names;
        for (const T &item : items) {
            if (!names.insert(item.name).second) {
                warn(subjectOf(kind, item.name), "occurs more than once");
            }
        }
    }

    void checkMatch(const Route &route)
    {
        const std::string subject = "route " + route.name;
        if (!std::all_of(route.host.begin(), route.host.end(), isInHosts)) {
            warn(subject, "never matches: its host contains a character that no host name has");
        }
        if (!std::all_of(route.prefix.begin(), route.prefix.end(), isInPaths)) {
            warn(subject, "never matches: its prefix contains a character that no path has");
        }
        if (route.prefix.size() >= m_config.limits.maxHeaderBytes) {
            warn(subject, "never matches: its prefix is longer than the header of a request may be");
        }
    }

    void checkLimits(const Route &route)
    {
        const std::string subject = "route " + route.name;
        if (route.latencyGoalMs > route.timeoutMs) {
            warn(subject,
                 "has a latency goal of " + std::to_string(route.latencyGoalMs) + " ms above its time limit of " + std::to_string(route.timeoutMs) + " ms");
        }
        std::set<std::string> names;
        for (const WeightedService &weighted : route.services) {
            if (weighted.weight == 0) {
                warn(subject, "gives service " + weighted.service + " no requests: its weight is 0");
            }
            if (!names.insert(weighted.service).second) {
                warn(subject, "names service " + weighted.service + " more than once");
            }
        }
    }

    // Routes without a key are not restricted by teams.
    void checkRegions(const Route &route)
    {
        if (route.open || route.regions.empty()) {
            return;
        }
        std::vector<std::string> excluded;
        for (const Team &team : m_config.teams) {
            const bool isShared = std::any_of(team.regions.begin(), team.regions.end(), [&route](const std::string &region) {
                return std::find(route.regions.begin(), route.regions.end(), region) != route.regions.end();
            });
            if (!team.regions.empty() && !isShared) {
                excluded.push_back(team.name);
            }
        }
        if (!excluded.empty()) {
            warn("route " + route.name, "refuses every request of " + joined(excluded) + ": it shares no allowed region with them");
        }
    }

    void checkServices()
    {
        std::set<std::string> used;
        for (const Route &route : m_config.routes) {
            for (const WeightedService &weighted : route.services) {
                used.insert(weighted.service);
            }
        }
        for (const ServiceSpec &service : m_config.services) {
            const std::string subject = "service " + service.name;
            if (!used.contains(service.name)) {
                warn(subject, "is not used by any route");
            }
            if (service.coldRatePerS > 0 && service.warmUpMs == 0) {
                warn(subject, "limits requests to cold upstreams, but its upstreams have no warm-up time");
            }
        }
    }

    void checkTeam(const Team &team)
    {
        const std::string subject = "team " + team.name;
        if (team.keys.empty()) {
            warn(subject, "has no keys");
        }
        std::set<std::string> keys;
        std::size_t repeated = 0;
        for (const std::string &key : team.keys) {
            repeated += keys.insert(key).second ? 0 : 1;
        }
        // Keys are secrets and not printed.
        if (repeated > 0) {
            warn(subject, "repeats " + std::to_string(repeated) + " of its keys");
        }
        if (team.ratePerS > 0 && team.burst < 1) {
            warn(subject, "has a burst of " + textOf(team.burst) + ", less than one request");
        }
        if (team.ratePerS == 0 && team.burst > 0) {
            warn(subject, "has a burst but no rate limit");
        }
    }

    void checkCallerLimits()
    {
        if (m_config.limits.headerTimeoutMs > m_config.limits.idleTimeoutMs) {
            warn("limits",
                 "allow " + std::to_string(m_config.limits.headerTimeoutMs) + " ms for a header, but close idle connections after "
                     + std::to_string(m_config.limits.idleTimeoutMs) + " ms");
        }
    }

    const FleetConfig &m_config;
    ConfigRemarks m_remarks;
};

using Properties = std::map<std::string, std::string>;

Properties propertiesOf(const Route &route)
{
    std::vector<std::string> services;
    for (const WeightedService &weighted : route.services) {
        services.push_back(weighted.service + " x " + textOf(weighted.weight));
    }
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"repeatability", std::string(repeatabilityName(route.repeatability))},
            {"time limit", std::to_string(route.timeoutMs) + " ms"},
            {"latency goal", std::to_string(route.latencyGoalMs) + " ms"},
            {"priority", std::to_string(route.priority)},
            {"attempts", std::to_string(route.maxAttempts)},
            {"key", route.open ? "not needed" : "needed"},
            {"regions", joined(route.regions)},
            {"services", joined(services)}};
}

Properties propertiesOf(const ServiceSpec &service)
{
    return {{"health path", service.healthPath},
            {"connections", std::to_string(service.maxConnections)},
            {"warm-up time", std::to_string(service.warmUpMs) + " ms"},
            {"cold rate", textOf(service.coldRatePerS) + "/s"}};
}

Properties propertiesOf(const Team &team)
{
    return {{"priority", team.priority ? std::to_string(*team.priority) : "of the route"},
            {"rate", textOf(team.ratePerS) + "/s"},
            {"burst", textOf(team.burst)},
            {"regions", joined(team.regions)}};
}

Properties propertiesOf(const CallerLimits &limits)
{
    return {{"header bytes", std::to_string(limits.maxHeaderBytes)},
            {"body bytes", std::to_string(limits.maxBodyBytes)},
            {"header time", std::to_string(limits.headerTimeoutMs) + " ms"},
            {"idle time", std::to_string(limits.idleTimeoutMs) + " ms"}};
}

void compareProperties(const std::string &subject, const Properties &now, const Properties &before, ConfigRemarks &remarks)
{
    for (const auto &[name, value] : now) {
        const std::string &old = before.at(name);
        if (value != old) {
            remarks.push_back(
                {RemarkKind::Difference, subject, name + " changed from " + (old.empty() ? "none" : old) + " to " + (value.empty() ? "none" : value)});
        }
    }
}

void compareDetails(const std::string &, const Route &, const Route &, ConfigRemarks &)
{
}

void compareDetails(const std::string &, const ServiceSpec &, const ServiceSpec &, ConfigRemarks &)
{
}

void compareDetails(const std::string &subject, const Team &now, const Team &before, ConfigRemarks &remarks)
{
    const std::set<std::string> keys(now.keys.begin(), now.keys.end());
    const std::set<std::string> old(before.keys.begin(), before.keys.end());
    const auto missingIn = [](const std::set<std::string> &from, const std::set<std::string> &in) {
        return std::count_if(from.begin(), from.end(), [&in](const std::string &key) {
            return !in.contains(key);
        });
    };
    const auto added = missingIn(keys, old);
    const auto withdrawn = missingIn(old, keys);
    if (added > 0 || withdrawn > 0) {
        remarks.push_back({RemarkKind::Difference, subject, std::to_string(added) + " keys added, " + std::to_string(withdrawn) + " withdrawn"});
    }
}

template<typename T>
std::map<std::string, const T *> byName(const std::vector<T> &items)
{
    std::map<std::string, const T *> result;
    for (const T &item : items) {
        result.emplace(item.name, &item);
    }
    return result;
}

template<typename T>
void compareItems(const std::string &kind, const std::vector<T> &now, const std::vector<T> &before, ConfigRemarks &remarks)
{
    const auto items = byName(now);
    const auto old = byName(before);
    for (const auto &[name, item] : items) {
        const std::string subject = subjectOf(kind, name);
        const auto found = old.find(name);
        if (found == old.end()) {
            remarks.push_back({RemarkKind::Difference, subject, "added"});
            continue;
        }
        compareProperties(subject, propertiesOf(*item), propertiesOf(*found->second), remarks);
        compareDetails(subject, *item, *found->second, remarks);
    }
    for (const auto &[name, item] : old) {
        if (!items.contains(name)) {
            remarks.push_back({RemarkKind::Difference, subjectOf(kind, name), "removed"});
        }
    }
}
}

std::string_view remarkKindName(RemarkKind kind)
{
    return remarkKindNames[static_cast<std::size_t>(kind)];
}

ConfigRemarks checkConfig(const FleetConfig &config, const Findings &findings)
{
    ConfigRemarks remarks;
    for (const Finding &finding : findings) {
        remarks.push_back({RemarkKind::Error, finding.file, finding.message});
    }
    for (ConfigRemark &remark : Checker(config).check()) {
        remarks.push_back(std::move(remark));
    }
    return remarks;
}

ConfigRemarks compareConfigs(const FleetConfig &config, const FleetConfig &inForce)
{
    ConfigRemarks remarks;
    if (config.version <= inForce.version) {
        remarks.push_back({RemarkKind::Warning, "document", "its version is not higher than that of the version in force"});
    }
    if (inForce.requiresKeys && !config.requiresKeys) {
        remarks.push_back({RemarkKind::Warning, "document", "has no list of teams any more: requests need no key"});
    } else if (config.requiresKeys && !inForce.requiresKeys) {
        remarks.push_back({RemarkKind::Difference, "document", "has a list of teams now: requests need a key"});
    }
    compareItems("route", config.routes, inForce.routes, remarks);
    compareItems("service", config.services, inForce.services, remarks);
    compareItems("team", config.teams, inForce.teams, remarks);
    compareProperties("limits", propertiesOf(config.limits), propertiesOf(inForce.limits), remarks);
    return remarks;
}
}
