#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// What the leader knows of the nodes and grants to them: their upstreams, and the tokens of the teams' rates. It starts
/// empty with each term, so that no token of a former leader is granted twice, and fills with the first reports.
class FleetRegistry
{
public:
    /// Time in which all nodes find a new leader and report to it.
    static constexpr TimeMs collectMs = 1'500;

    /// @param startedAt begin of the term; tokens of the time before belong to former leaders.
    explicit FleetRegistry(TimeMs startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Takes the report of a node. Returns true if the directory changed.
    bool report(const SyncMessage &message, TimeMs now);
    /// Removes nodes that were silent for too long. Returns true if the directory changed.
    bool expire(TimeMs now);
    /// Upstreams of the nodes that have reported so far.
    std::vector<UpstreamEntry> directory() const;
    /// True once collectMs have passed since the begin of the term.
    bool isComplete(TimeMs now) const;
    /// Divides each team's rate by demand; call it before shares(). Shares of silent nodes stay reserved until they are
    /// certain to have ended, so that the sum never exceeds the whole.
    void divide(TimeMs now);
    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Returns the shares of a node, and grants tokens for the demand until its next report.
    std::vector<TeamShare> shares(const std::string &peerAddress, TimeMs now);
    /// Grants tokens that a node asks for.
    TokenGrant grant(const TokenRequest &request, TimeMs now);
    std::size_t nodes() const
    {
        return m_nodes.size();
    }

private:
    struct TeamPart {
        double perS = 0;
        double share = 0;
        double held = 0;
    };
    struct Bucket {
        double level = 0;
        TimeMs updatedAt = 0;
        double reserved = 0; ///< part of the rate that silent nodes may use by themselves
    };
    Bucket *refill(const std::string &team, TimeMs now);
    struct Node {
        TimeMs heardAt = 0;
        std::vector<UpstreamEntry> upstreams;
        std::map<std::string, TeamPart> teams;
    };
    TimeMs m_startedAt;
    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, Bucket> m_buckets; ///< by team
    std::shared_ptr<const FleetConfig> m_config;
};
}
