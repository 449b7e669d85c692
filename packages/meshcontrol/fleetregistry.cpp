#include "fleetregistry.h"

namespace Yuccagrade::Mesh
{
namespace
{
// A node is removed if its last report is older than this.
constexpr TimeMs nodeTimeoutMs = 5'000;
}

bool FleetRegistry::report(const SyncMessage &message, TimeMs now)
{
    Node &node = m_nodes[message.peerAddress];
    const bool changed = node.lastReportAt == 0 || node.upstreams != message.upstreams;
    node.lastReportAt = now;
    node.upstreams = message.upstreams;
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
}
