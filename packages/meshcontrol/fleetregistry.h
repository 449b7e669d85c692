#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The leader's registry of nodes: their upstreams, their demand, and the rate limit tokens granted to them. Each term starts
/// with an empty registry, so that no token of a previous leader is granted twice; the first reports fill it.
class FleetRegistry
{
public:
    /// Time after which all nodes have found a new leader and reported to it.
    static constexpr TimeMs reportCollectionMs = 1'500;

    /// @param startedAt start of the term; tokens that accrued earlier belong to previous leaders.
    explicit FleetRegistry(TimeMs startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Processes the report of a node. Returns true if the directory changed.
    bool report(const SyncMessage &message, TimeMs now);
    /// Removes nodes whose last report is too old. Returns true if the directory changed.
    bool expire(TimeMs now);
    /// Returns the upstreams of all registered nodes.
    std::vector<UpstreamEntry> directory() const;
    /// True once reportCollectionMs have passed since the start of the term.
    bool isDirectoryComplete(TimeMs now) const;
    /// Divides each team's rate among the nodes in proportion to their demand; must precede shares(). The share of a node that
    /// stopped reporting stays reserved until the node is removed, since the node may still use it; the sum never exceeds the rate.
    void allocateShares(TimeMs now);
    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Returns the shares of a node and grants tokens in advance for its expected demand until the next report.
    std::vector<TeamShare> shares(const std::string &peerAddress, TimeMs now);
    /// Grants as many of the requested tokens as are available.
    TokenGrant grant(const TokenRequest &request, TimeMs now);
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }

private:
    struct TeamAllocation {
        double requestsPerS = 0;
        double share = 0;
        double unusedTokens = 0;
    };
    struct Bucket {
        double level = 0;
        TimeMs updatedAt = 0;
        double reserved = 0; ///< fraction of the rate reserved for nodes that stopped reporting
    };
    Bucket *refill(const std::string &team, TimeMs now);
    struct Node {
        TimeMs lastReportAt = 0;
        std::vector<UpstreamEntry> upstreams;
        std::map<std::string, TeamAllocation> teams;
    };
    TimeMs m_startedAt;
    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, Bucket> m_buckets; ///< by team
    std::shared_ptr<const FleetConfig> m_config;
};
}
