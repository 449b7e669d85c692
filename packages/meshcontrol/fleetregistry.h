#pragma once

#include "mesh/messages.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// What the leader knows of the nodes: their upstreams, and how the teams' rates are divided among them. It starts empty
/// with each term and fills with the first reports.
class FleetRegistry
{
public:
    /// Takes the report of a node. Returns true if the directory changed.
    bool report(const SyncMessage &message, TimeMs now);
    /// Removes nodes that were silent for too long. Returns true if the directory changed.
    bool expire(TimeMs now);
    std::vector<UpstreamEntry> directory() const;
    /// Divides each team's rate by demand; call it before shares(). Shares of silent nodes stay reserved until they are
    /// certain to have ended, so that the sum never exceeds the whole.
    void divide(TimeMs now);
    /// Returns the shares of a node.
    std::vector<TeamShare> shares(const std::string &peerAddress) const;
    std::size_t nodes() const
    {
        return m_nodes.size();
    }

private:
    struct TeamPart {
        double perS = 0;
        double share = 0;
    };
    struct Node {
        TimeMs heardAt = 0;
        std::vector<UpstreamEntry> upstreams;
        std::map<std::string, TeamPart> teams;
    };
    std::map<std::string, Node> m_nodes; ///< by peer address
};
}
