#pragma once

#include "base/clock.h"
#include "base/finding.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Whether a request may run again after it may have run.
enum class Repeatability { Idempotent, AtMostOnce };
std::string_view repeatabilityName(Repeatability repeatability);

/// A share of a route's requests.
struct WeightedService {
    std::string service;
    double weight = 1;
};

/// Where requests of a host name and path go.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::Idempotent;
    TimeMs timeoutMs = 0; ///< longest time that a caller waits
    TimeMs latencyGoalMs = 0; ///< a later answer is worth less
    int priority = 0; ///< 0 is served first
    int maxAttempts = 1; ///< upstreams that one request may be sent to
    bool open = false; ///< no key is needed
    std::vector<WeightedService> services;
};

/// A service and how its upstreams are reached.
struct ServiceSpec {
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< of one upstream, 0 for no limit
};

/// A team, its keys and its rate over all nodes.
struct Team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the priority of the route
    double ratePerS = 0; ///< 0 for no limit
    double burst = 0;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
    TimeMs headerTimeoutMs = 3'000;
    TimeMs idleTimeoutMs = 15'000;
};

/// One version of the configuration of all nodes.
class FleetConfig
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<Team> teams;
    CallerLimits limits;

    /// Builds the lookups; call it after the last change. Adds a finding for each contradiction.
    void index(Findings &findings);
    /// Returns the route with the longest prefix of @p path among those of @p host, or null.
    const Route *route(std::string_view host, std::string_view path) const;
    /// Returns the team that holds @p key, or null.
    const Team *teamOfKey(std::string_view key) const;
    const Team *team(std::string_view name) const;
    const ServiceSpec *service(std::string_view name) const;

private:
    void checkRoute(const Route &route, Findings &findings);

    std::unordered_map<std::string, std::vector<std::size_t>> m_routesOfHost; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> m_teamOfKey;
};
}
