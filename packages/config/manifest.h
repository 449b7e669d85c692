#pragma once

#include "base/clock.h"
#include "base/finding.h"
#include "base/priority.h"
#include "config/optiontable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{

/// A failure domain.
struct DomainSpec {
    std::string name;
    std::string region;
    bool operator==(const DomainSpec &) const = default;
};

struct ServiceSpec {
    std::string name;
    TimeMs queueMs = 50; ///< longest wait for a slot
    bool operator==(const ServiceSpec &) const = default;
};

struct RouteSpec {
    std::string name;
    std::string method; ///< in capitals
    std::string path; ///< without the `*` of a prefix
    bool prefix = false; ///< true if every path that starts with @c path matches
    std::string service;
    bool open = false; ///< needs no key
    bool allTeams = false; ///< `teams = *`
    std::vector<std::string> teams; ///< empty if allTeams or open
    Priority priority = Priority::Normal;
    bool action = false; ///< needs an Idempotency-Key and runs at most once
    bool idempotent = false; ///< may be sent again after a failure
    TimeMs timeoutMs = 0; ///< used when the caller gives none
    TimeMs timeoutCeilingMs = 0; ///< limit of what the caller may give
    bool isolatedServe = false; ///< `isolated = serve`
    bool internal = false; ///< answers nested calls only

    /// True if the route may run for @p team. Does not look at open.
    bool allows(std::string_view team) const;
    bool operator==(const RouteSpec &) const = default;
};

struct TeamSpec {
    std::string name;
    double rate = 0; ///< requests per second over the whole fleet
    double burst = 0; ///< requests
    double weight = 1; ///< share of a full queue
    std::string homeRegion; ///< region of its claim groups; empty for none
    bool operator==(const TeamSpec &) const = default;
};

struct LimitSpec {
    int retries = 2; ///< attempt budget of one root request
    TimeMs claimWindowMs = 3'600'000; ///< how long a claim is kept
    bool operator==(const LimitSpec &) const = default;
};

/// The operator's statement of intent. Lists keep the order of the file.
struct Manifest {
    std::uint64_t version = 0; ///< 0 only before the first manifest
    std::vector<DomainSpec> domains;
    std::vector<ServiceSpec> services;
    std::vector<RouteSpec> routes;
    std::vector<TeamSpec> teams;
    LimitSpec limits;

    /// The finders return nullptr if there is no such entry.
    const DomainSpec *domain(std::string_view name) const;
    const ServiceSpec *service(std::string_view name) const;
    const RouteSpec *route(std::string_view name) const;
    const TeamSpec *team(std::string_view name) const;
    bool operator==(const Manifest &) const = default;
};

/// Sections and options of a manifest.
const FileFormat &manifestFormat();
/// Parses and checks INI text. The result is valid only if no finding was added.
Manifest parseManifest(const std::string &text, const std::string &file, Findings &findings);
/// Returns INI text that parses to the same manifest; options with their default are left out.
std::string toText(const Manifest &manifest);
}
