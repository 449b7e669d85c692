#pragma once

#include "mesh/messages.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The leader's registry of nodes and their upstreams. Each term starts with an empty registry; the first reports fill it.
class FleetRegistry
{
public:
    /// Time after which all nodes have found a new leader and reported to it.
    static constexpr TimeMs reportCollectionMs = 1'500;

    /// @param startedAt start of the term.
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
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }

private:
    struct Node {
        TimeMs lastReportAt = 0;
        std::vector<UpstreamEntry> upstreams;
    };
    TimeMs m_startedAt;
    std::map<std::string, Node> m_nodes; ///< by peer address
};
}
