#include "raftlog.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
std::vector<GroupMember> parseMembers(const Json::Value &data)
{
    std::vector<GroupMember> members;
    for (const Json::Value &item : data) {
        GroupMember member;
        GroupMember::fromJson(item, member);
        members.push_back(std::move(member));
    }
    return members;
}
}

const GroupMember *findMember(const std::vector<GroupMember> &members, const std::string &id)
{
    for (const GroupMember &member : members) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

std::size_t majoritySize(const std::vector<GroupMember> &members)
{
    std::size_t voters = 0;
    for (const GroupMember &member : members) {
        voters += member.voter ? 1 : 0;
    }
    return voters == 0 ? 0 : voters / 2 + 1;
}

RaftLog::RaftLog()
    : m_snapshot(std::make_shared<RaftSnapshot>())
{
}

void RaftLog::load(RaftSnapshot snapshot, std::vector<LogEntry> entries)
{
    m_snapshot = std::make_shared<RaftSnapshot>(std::move(snapshot));
    m_entries = std::move(entries);
    updateMembers();
}

std::uint64_t RaftLog::baseIndex() const
{
    return m_snapshot->index;
}

std::uint64_t RaftLog::lastIndex() const
{
    return baseIndex() + m_entries.size();
}

std::uint64_t RaftLog::lastTerm() const
{
    return termAt(lastIndex());
}

bool RaftLog::hasTermAt(std::uint64_t index) const
{
    return index >= baseIndex() && index <= lastIndex();
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (!hasTermAt(index)) {
        return 0;
    }
    return index == baseIndex() ? m_snapshot->term : entryAt(index).term;
}

const LogEntry &RaftLog::entryAt(std::uint64_t index) const
{
    return m_entries.at(index - baseIndex() - 1);
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t first, std::size_t limit) const
{
    std::vector<LogEntry> result;
    for (std::uint64_t index = first; index <= lastIndex() && result.size() < limit; ++index) {
        result.push_back(entryAt(index));
    }
    return result;
}

void RaftLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Members) {
        m_members = parseMembers(entry.data);
        m_membersIndex = entry.index;
    }
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncate(std::uint64_t first)
{
    if (first > baseIndex() && first <= lastIndex()) {
        m_entries.resize(first - baseIndex() - 1);
        updateMembers();
    }
}

void RaftLog::installSnapshot(std::shared_ptr<const RaftSnapshot> snapshot)
{
    const std::uint64_t index = snapshot->index;
    if (termAt(index) == snapshot->term && hasTermAt(index)) {
        m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - baseIndex()));
    } else {
        m_entries.clear();
    }
    m_snapshot = std::move(snapshot);
    updateMembers();
}

std::shared_ptr<const RaftSnapshot> RaftLog::snapshot() const
{
    return m_snapshot;
}

const std::vector<LogEntry> &RaftLog::entries() const
{
    return m_entries;
}

const std::vector<GroupMember> &RaftLog::members() const
{
    return m_members;
}

std::uint64_t RaftLog::membersIndex() const
{
    return m_membersIndex;
}

std::vector<GroupMember> RaftLog::membersAt(std::uint64_t index) const
{
    for (std::uint64_t i = std::min(index, lastIndex()); i > baseIndex(); --i) {
        if (entryAt(i).kind == EntryKind::Members) {
            return parseMembers(entryAt(i).data);
        }
    }
    return m_snapshot->members;
}

void RaftLog::updateMembers()
{
    m_members = m_snapshot->members;
    m_membersIndex = baseIndex();
    for (const LogEntry &entry : m_entries) {
        if (entry.kind == EntryKind::Members) {
            m_members = parseMembers(entry.data);
            m_membersIndex = entry.index;
        }
    }
}
}
