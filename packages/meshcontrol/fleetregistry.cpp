#include "fleetregistry.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Yuccagrade::Mesh
{
namespace
{
// A node that was silent for this time no longer counts as present.
constexpr TimeMs nodeSilentMs = 5'000;
// Reports come every 250 ms; a node that missed several keeps its share, but gets no other one.
constexpr TimeMs demandValidMs = 1'000;
// Part of an equal division that a node gets without demand, so that its first requests are not refused.
constexpr double idlePart = 0.15;
constexpr double minDemandPerS = 0.01;
// Tokens are granted in advance for this time; a node with less demand asks for each request.
constexpr double prefetchS = 0.25;
// No tokens are granted in advance from a bucket below this part of the burst: they could be missing elsewhere.
constexpr double prefetchLevel = 0.3;
constexpr double msPerSecond = 1'000;
}

bool FleetRegistry::report(const SyncMessage &message, TimeMs now)
{
    Node &node = m_nodes[message.peerAddress];
    const bool changed = node.heardAt == 0 || node.upstreams != message.upstreams;
    node.heardAt = now;
    node.upstreams = message.upstreams;
    for (const TeamDemand &demand : message.demand) {
        TeamPart &part = node.teams[demand.team];
        part.perS = demand.perS;
        part.held = demand.held;
        if (Bucket *bucket = refill(demand.team, now)) {
            bucket->level += demand.returned;
        }
    }
    return changed;
}

bool FleetRegistry::expire(TimeMs now)
{
    return std::erase_if(m_nodes,
                         [now](const auto &entry) {
                             return now - entry.second.heardAt > nodeSilentMs;
                         })
        > 0;
}

bool FleetRegistry::isComplete(TimeMs now) const
{
    return now - m_startedAt >= collectMs;
}

std::vector<UpstreamEntry> FleetRegistry::directory() const
{
    std::vector<UpstreamEntry> result;
    for (const auto &[address, node] : m_nodes) {
        result.insert(result.end(), node.upstreams.begin(), node.upstreams.end());
    }
    return result;
}

void FleetRegistry::divide(TimeMs now)
{
    std::set<std::string> teams;
    for (const auto &[address, node] : m_nodes) {
        for (const auto &[team, part] : node.teams) {
            teams.insert(team);
        }
    }
    for (const std::string &team : teams) {
        double available = 1;
        double demand = 0;
        double present = 0;
        for (auto &[address, node] : m_nodes) {
            TeamPart &part = node.teams[team];
            if (now - node.heardAt > demandValidMs) {
                available -= part.share;
            } else {
                demand += part.perS;
                present += 1;
            }
        }
        m_buckets[team].reserved = 1 - available;
        const double idle = present > 0 ? std::max(minDemandPerS, demand * idlePart / present) : 0;
        for (auto &[address, node] : m_nodes) {
            if (now - node.heardAt <= demandValidMs) {
                TeamPart &part = node.teams[team];
                part.share = std::max(0.0, available) * (part.perS + idle) / (demand + idle * present);
            }
        }
    }
}

void FleetRegistry::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
}

// Returns null for a team without a limit.
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
    for (auto &[name, part] : found->second.teams) {
        TeamShare share{name, part.share, 0};
        Bucket *bucket = refill(name, now);
        const double wanted = std::floor(part.perS * prefetchS - part.held);
        if (bucket && wanted > 0 && bucket->level - wanted > m_config->team(name)->burst * prefetchLevel) {
            bucket->level -= wanted;
            part.held += wanted;
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
