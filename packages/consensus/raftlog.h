#pragma once

#include "protocol/raftmessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Returns the member with @p id, or null.
const GroupMember *findMember(const std::vector<GroupMember> &members, const std::string &id);
/// Returns the number of voters that form a majority; 0 for a group without voters.
std::size_t majority(const std::vector<GroupMember> &members);

/// The log in memory: a snapshot and the entries after it.
class RaftLog
{
public:
    RaftLog();

    /// Loads what the disk holds; the entries continue after the snapshot's index without a gap.
    void load(RaftSnapshot snapshot, std::vector<LogEntry> entries);
    std::uint64_t baseIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    /// Returns the term at @p index; 0 if the log does not hold it (index 0 has term 0).
    std::uint64_t termAt(std::uint64_t index) const;
    /// True if the log holds the term of @p index (base index included).
    bool holds(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;
    /// Returns up to @p limit entries from @p first on.
    std::vector<LogEntry> slice(std::uint64_t first, std::size_t limit) const;
    void append(LogEntry entry);
    /// Removes the entries from @p first on.
    void truncate(std::uint64_t first);
    /// Replaces everything up to the snapshot's index; later entries stay if the entry at its index is the same.
    void install(std::shared_ptr<const RaftSnapshot> snapshot);
    std::shared_ptr<const RaftSnapshot> snapshot() const;
    const std::vector<LogEntry> &entries() const;
    /// Returns the newest group in the log, committed or not.
    const std::vector<GroupMember> &members() const;
    /// Returns the index of the entry that set members(); the base index if the snapshot did.
    std::uint64_t membersIndex() const;
    /// Returns the group as of @p index.
    std::vector<GroupMember> membersAt(std::uint64_t index) const;

private:
    void refreshMembers();

    std::shared_ptr<const RaftSnapshot> m_snapshot;
    std::vector<LogEntry> m_entries;
    std::vector<GroupMember> m_members;
    std::uint64_t m_membersIndex = 0;
};
}
