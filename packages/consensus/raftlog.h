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
/// Returns the number of voters that form a majority; 0 if the group has no voters.
std::size_t majoritySize(const std::vector<GroupMember> &members);

/// In-memory Raft log: a snapshot and the entries after it.
class RaftLog
{
public:
    RaftLog();

    /// Loads the persisted state; the entries must continue after the snapshot's index without a gap.
    void load(RaftSnapshot snapshot, std::vector<LogEntry> entries);
    /// Returns the index of the last entry that the snapshot contains; 0 without a snapshot.
    std::uint64_t baseIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    /// Returns the term of the entry at @p index; 0 if it is unknown or the index is 0.
    std::uint64_t termAt(std::uint64_t index) const;
    /// True if the term of the entry at @p index is known: the base index and all later entries.
    bool hasTermAt(std::uint64_t index) const;
    const LogEntry &entryAt(std::uint64_t index) const;
    /// Returns up to @p limit entries starting at index @p first.
    std::vector<LogEntry> slice(std::uint64_t first, std::size_t limit) const;
    void append(LogEntry entry);
    /// Removes all entries starting at index @p first.
    void truncate(std::uint64_t first);
    /// Replaces everything up to the snapshot's index. Later entries are kept only if the log's entry at that index has the
    /// snapshot's term.
    void installSnapshot(std::shared_ptr<const RaftSnapshot> snapshot);
    std::shared_ptr<const RaftSnapshot> snapshot() const;
    const std::vector<LogEntry> &entries() const;
    /// Returns the newest group in the log, committed or not.
    const std::vector<GroupMember> &members() const;
    /// Returns the index of the entry that contains members(); the base index if they come from the snapshot.
    std::uint64_t membersIndex() const;
    /// Returns the members of the group as of @p index.
    std::vector<GroupMember> membersAt(std::uint64_t index) const;

private:
    void updateMembers();

    std::shared_ptr<const RaftSnapshot> m_snapshot;
    std::vector<LogEntry> m_entries;
    std::vector<GroupMember> m_members;
    std::uint64_t m_membersIndex = 0;
};
}
