#include "fleetregistry.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Yuccagrade::Mesh
{
namespace
{
// A node is removed if its last report is older than this.
constexpr TimeMs nodeTimeoutMs = 5'000;
// Nodes report every 250 ms. A node without a report for this time keeps its share, but is left out of the allocation.
constexpr TimeMs demandValidMs = 1'000;
// Share of a node without demand, as a fraction of an equal share, so that its first requests are not refused.
constexpr double idleShareFraction = 0.15;
constexpr double minDemandPerS = 0.01;
// Tokens granted in advance cover the demand of this time. A node whose demand is below one token requests each one.
constexpr double prefetchS = 0.25;
// Tokens are granted in advance only while the bucket stays above this fraction of the burst; other nodes may need the rest.
constexpr double minPrefetchFill = 0.3;
constexpr double msPerSecond = 1'000;
}

bool FleetRegistry::report(const SyncMessage &message, TimeMs now)
{
    Node &node = m_nodes[message.peerAddress];
    const bool changed = node.lastReportAt == 0 || node.upstreams != message.upstreams;
    node.lastReportAt = now;
    node.upstreams = message.upstreams;
    for (const TeamDemand &demand : message.demand) {
        TeamAllocation &allocation = node.teams[demand.team];
        allocation.requestsPerS = demand.requestsPerS;
        allocation.unusedTokens = demand.unusedTokens;
        if (Bucket *bucket = refill(demand.team, now)) {
            bucket->level += demand.returnedTokens;
        }
    }
    return changed;
}

bool FleetRegistry::expire(TimeMs now)
{
    return std::erase_if(m_nodes,
                         [now](const auto &entry) {
                             return now - entry.second.lastReportAt > nodeTimeoutMs;
                         })
        > 0;
}

bool FleetRegistry::isDirectoryComplete(TimeMs now) const
{
    return now - m_startedAt >= reportCollectionMs;
}

std::vector<UpstreamEntry> FleetRegistry::directory() const
{
    std::vector<UpstreamEntry> result;
    for (const auto &[address, node] : m_nodes) {
        result.insert(result.end(), node.upstreams.begin(), node.upstreams.end());
    }
    return result;
}

void FleetRegistry::allocateShares(TimeMs now)
{
    std::set<std::string> teams;
    for (const auto &[address, node] : m_nodes) {
        for (const auto &[team, allocation] : node.teams) {
            teams.insert(team);
        }
    }
    for (const std::string &team : teams) {
        double available = 1;
        double demand = 0;
        double present = 0;
        for (auto &[address, node] : m_nodes) {
            TeamAllocation &allocation = node.teams[team];
            if (now - node.lastReportAt > demandValidMs) {
                available -= allocation.share;
            } else {
                demand += allocation.requestsPerS;
                present += 1;
            }
        }
        m_buckets[team].reserved = 1 - available;
        const double idle = present > 0 ? std::max(minDemandPerS, demand * idleShareFraction / present) : 0;
        for (auto &[address, node] : m_nodes) {
            if (now - node.lastReportAt <= demandValidMs) {
                TeamAllocation &allocation = node.teams[team];
                allocation.share = std::max(0.0, available) * (allocation.requestsPerS + idle) / (demand + idle * present);
            }
        }
    }
}

void FleetRegistry::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
}

// Refills the token bucket of a team. Returns null for a team without a rate limit.
FleetRegistry::Bucket *FleetRegistry::refill(const std::string &name, TimeMs now)
{
    const Team *team = m_config ? m_config->team(name) : nullptr;
    if (!team || team->ratePerS <= 0) {
        return nullptr;
    }
    Bucket &bucket = m_buckets[name];
    const auto elapsedMs = static_cast<double>(now - (bucket.updatedAt == 0 ? m_startedAt : bucket.updatedAt));
    const double rate = team->ratePerS * std::max(0.0, 1 - bucket.reserved);
    bucket.level = std::min(std::max(team->burst, 1.0), bucket.level + elapsedMs * rate / msPerSecond);
    bucket.updatedAt = now;
    return &bucket;
}

std::vector<TeamShare> FleetRegistry::shares(const std::string &peerAddress, TimeMs now)
{
    std::vector<TeamShare> result;
    const auto found = m_nodes.find(peerAddress);
    if (found == m_nodes.end()) {
        return result;
    }
    for (auto &[name, allocation] : found->second.teams) {
        TeamShare share{name, allocation.share, 0};
        Bucket *bucket = refill(name, now);
        const double wanted = std::floor(allocation.requestsPerS * prefetchS - allocation.unusedTokens);
        if (bucket && wanted > 0 && bucket->level - wanted > m_config->team(name)->burst * minPrefetchFill) {
            bucket->level -= wanted;
            allocation.unusedTokens += wanted;
            share.tokens = wanted;
        }
        result.push_back(share);
    }
    return result;
}

TokenGrant FleetRegistry::grant(const TokenRequest &request, TimeMs now)
{
    TokenGrant grant{request.team, request.wanted, 0};
    if (Bucket *bucket = refill(request.team, now)) {
        grant.granted = std::clamp(static_cast<int>(bucket->level), 0, request.wanted);
        bucket->level -= grant.granted;
        if (grant.granted == 0) {
            grant.waitMs = (1 - bucket->level) * msPerSecond / m_config->team(request.team)->ratePerS;
        }
    }
    return grant;
}
}
