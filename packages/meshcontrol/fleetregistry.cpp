#include "fleetregistry.h"

#include <algorithm>
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
}

bool FleetRegistry::report(const SyncMessage &message, TimeMs now)
{
    Node &node = m_nodes[message.peerAddress];
    const bool changed = node.heardAt == 0 || node.upstreams != message.upstreams;
    if (node.heardAt == 0) {
        for (const TeamDemand &demand : message.demand) {
            node.teams[demand.team].share = demand.share;
        }
    }
    node.heardAt = now;
    node.upstreams = message.upstreams;
    for (const TeamDemand &demand : message.demand) {
        node.teams[demand.team].perS = demand.perS;
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
        const double idle = present > 0 ? std::max(minDemandPerS, demand * idlePart / present) : 0;
        for (auto &[address, node] : m_nodes) {
            if (now - node.heardAt <= demandValidMs) {
                TeamPart &part = node.teams[team];
                part.share = std::max(0.0, available) * (part.perS + idle) / (demand + idle * present);
            }
        }
    }
}

std::vector<TeamShare> FleetRegistry::shares(const std::string &peerAddress) const
{
    std::vector<TeamShare> result;
    const auto found = m_nodes.find(peerAddress);
    if (found != m_nodes.end()) {
        for (const auto &[team, part] : found->second.teams) {
            result.push_back({team, part.share});
        }
    }
    return result;
}
}
