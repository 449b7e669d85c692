#include "fleetconfig.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// A latency goal that exceeds the time limit by this much is taken for a mix-up of units.
constexpr TimeMs maxGoalExcessMs = 60'000;
constexpr std::string_view defaultPort = "80";

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return result;
}

// Splits "name:port". The colons of an IPv6 address are in brackets.
std::pair<std::string, std::string> splitPort(const std::string &host)
{
    const std::size_t colon = host.find(':', host.starts_with('[') ? host.find(']') : 0);
    return colon == std::string::npos ? std::pair(host, std::string()) : std::pair(host.substr(0, colon), host.substr(colon + 1));
}

template<typename T>
const T *findNamed(const std::vector<T> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const T &item) {
        return item.name == name;
    });
    return found == items.end() ? nullptr : &*found;
}
}

std::string_view repeatabilityName(Repeatability repeatability)
{
    return repeatability == Repeatability::Idempotent ? "idempotent" : "at-most-once";
}

void FleetConfig::checkRoute(const Route &route, Findings &findings)
{
    const auto report = [&](const std::string &message) {
        findings.push_back({"route " + route.name, 0, message});
    };
    double weightSum = 0;
    for (const WeightedService &weighted : route.services) {
        weightSum += weighted.weight;
        if (!service(weighted.service)) {
            report("names the unknown service " + weighted.service);
        }
        if (weighted.weight < 0) {
            report("has a negative weight");
        }
    }
    if (weightSum <= 0) {
        report("has no service with a weight above 0");
    }
    if (route.timeoutMs <= 0) {
        report("needs a time limit above 0");
    }
    if (route.latencyGoalMs >= route.timeoutMs + maxGoalExcessMs) {
        report("has a latency goal a minute or more above its time limit");
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        report("needs a prefix that begins and ends with a slash");
    }
}

void FleetConfig::index(Findings &findings)
{
    m_routesOfHost.clear();
    m_teamOfKey.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        checkRoute(routes[i], findings);
        auto &sameHost = m_routesOfHost[lowerCase(routes[i].host)];
        for (const std::size_t other : sameHost) {
            if (routes[other].prefix == routes[i].prefix) {
                findings.push_back({"route " + routes[i].name, 0, "has the host and prefix of route " + routes[other].name});
            }
        }
        sameHost.push_back(i);
    }
    for (auto &[host, indices] : m_routesOfHost) {
        std::sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].prefix.size() > routes[b].prefix.size();
        });
    }
    for (std::size_t i = 0; i < teams.size(); ++i) {
        for (const std::string &key : teams[i].keys) {
            const auto [entry, added] = m_teamOfKey.emplace(key, i);
            if (!added && entry->second != i) {
                findings.push_back({"team " + teams[i].name, 0, "shares a key with team " + teams[entry->second].name});
            }
        }
    }
}

const Route *FleetConfig::route(std::string_view host, std::string_view path) const
{
    const std::string asked = lowerCase(host);
    if (const Route *found = routeOfHost(asked, path)) {
        return found;
    }
    auto [name, port] = splitPort(asked);
    // The dot of the DNS root names the same host.
    if (name.ends_with('.')) {
        name.pop_back();
    }
    const std::string rooted = name + '.';
    const std::string suffix = ':' + (port.empty() ? std::string(defaultPort) : port);
    for (const std::string &form : {name + suffix, rooted + suffix, name, rooted}) {
        if (const Route *found = routeOfHost(form, path)) {
            return found;
        }
    }
    return nullptr;
}

const Route *FleetConfig::routeOfHost(const std::string &host, std::string_view path) const
{
    const auto found = m_routesOfHost.find(host);
    if (found == m_routesOfHost.end()) {
        return nullptr;
    }
    for (const std::size_t i : found->second) {
        if (path.starts_with(routes[i].prefix)) {
            return &routes[i];
        }
    }
    return nullptr;
}

const Team *FleetConfig::teamOfKey(std::string_view key) const
{
    const auto found = m_teamOfKey.find(std::string(key));
    return found == m_teamOfKey.end() ? nullptr : &teams[found->second];
}

const Team *FleetConfig::team(std::string_view name) const
{
    return findNamed(teams, name);
}

const ServiceSpec *FleetConfig::service(std::string_view name) const
{
    return findNamed(services, name);
}
}
