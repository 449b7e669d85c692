#pragma once

#include "mesh/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The versions of the leader's directory. Nodes get the changes since the version that they have, since a few upstreams
/// change at a time and every change goes to all nodes.
class DirectoryHistory
{
public:
    /// Makes @p upstreams the content of @p version, which is above the former one.
    void record(std::uint64_t version, const std::vector<UpstreamEntry> &upstreams);
    /// Returns what changed after version @p base, or all upstreams if @p base is 0.
    DirectoryMessage changesSince(std::uint64_t base) const;
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Item {
        UpstreamEntry entry;
        std::uint64_t changedAt = 0; ///< version
    };
    std::uint64_t m_version = 0;
    std::map<std::string, Item> m_items; ///< by id of the upstream
    std::map<std::string, std::uint64_t> m_removed; ///< version of the removal by id
};

/// The directory that one node has, as far as the leader knows.
class DirectoryCursor
{
public:
    /// Takes the version from a report. What was sent is not assumed to have arrived: a node ignores messages of a leader to
    /// which it does not report at that time.
    void report(std::uint64_t version, std::uint64_t term);
    /// Returns the version after which changes are to be sent, or 0 for all upstreams, and assumes that they arrive. A node
    /// that has an incomplete directory gets the complete one as a whole, since it may know upstreams of the former leader.
    std::uint64_t advance(std::uint64_t version, std::uint64_t term, bool isComplete);
    bool isAt(std::uint64_t version, std::uint64_t term) const
    {
        return m_version == version && m_term == term;
    }

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_term = 0;
    bool m_isComplete = false;
};
}
