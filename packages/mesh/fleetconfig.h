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
/// Whether a request that may already have been executed may be sent again.
enum class Repeatability { Idempotent, AtMostOnce };
std::string_view repeatabilityName(Repeatability repeatability);

/// A service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService {
    std::string service;
    double weight = 1;
    bool operator==(const WeightedService &) const = default;
};

/// Maps a host name and a path prefix to services.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::Idempotent;
    TimeMs timeoutMs = 0; ///< time limit for the response to the caller
    TimeMs latencyGoalMs = 0; ///< target for the response time
    int priority = 0; ///< 0 is the highest
    int maxAttempts = 1; ///< upstreams to which one request may be sent, the first included
    bool open = false; ///< requests need no key
    std::vector<std::string> regions; ///< whose upstreams may serve the requests; empty for all
    std::vector<WeightedService> services;
};

/// A service and the parameters of the connections to its upstreams.
struct ServiceSpec {
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< to one upstream, 0 for no limit
    TimeMs warmUpMs = 0; ///< how long an upstream stays cold after its start
    double coldRatePerS = 0; ///< requests per second that a cold upstream tolerates from all hosts together; 0 for no limit
};

/// A team with its keys and its rate limit over all nodes.
struct Team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the priority of the route
    double ratePerS = 0; ///< 0 for no limit
    double burst = 0;
    std::vector<std::string> regions; ///< whose upstreams may serve the team's requests; empty for all
};

/// Limits on the size and the timing of callers' requests.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
    TimeMs headerTimeoutMs = 3'000;
    TimeMs idleTimeoutMs = 15'000;
};

/// One version of the configuration that all nodes use.
class FleetConfig
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<Team> teams;
    bool requiresKeys = true; ///< requests on routes that are not open need a key of a team; without teams none is valid
    CallerLimits limits;

    /// Builds the lookup tables and adds a finding for each inconsistency. Must be called after the last change.
    void index(Findings &findings);
    /// Returns the route with the longest prefix of @p path among those of @p host, or null. Routes of the host as it is
    /// written come first, then those with its port, then those of the host alone.
    const Route *route(std::string_view host, std::string_view path) const;
    /// Returns the team to which @p key belongs, or null.
    const Team *teamOfKey(std::string_view key) const;
    /// True if requests on @p route may come without a key.
    bool allowsNoKey(const Route &route) const
    {
        return route.open || !requiresKeys;
    }
    /// Number of different keys of all teams.
    std::size_t keyCount() const
    {
        return m_teamOfKey.size();
    }
    const Team *team(std::string_view name) const;
    const ServiceSpec *service(std::string_view name) const;

private:
    void checkRoute(const Route &route, Findings &findings);
    const Route *routeOfHost(const std::string &host, std::string_view path) const;

    std::unordered_map<std::string, std::vector<std::size_t>> m_routesOfHost; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> m_teamOfKey;
};
}
