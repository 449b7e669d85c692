#include "raftcore.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Yuccagrade
{
namespace
{
// A learner this close to the end of the log catches up within one request, so the group waits little for its vote.
constexpr std::uint64_t caughtUpLag = 16;
// A learner becomes a voter only if it answered a request of the last heartbeats. A vote for a disk that is lost by then costs
// the group one of the losses that it can bear, so the time in which the loss stays unknown is kept short.
constexpr TimeMs promotionHeartbeats = 2;
}

void RaftCore::becomeLeader(TimeMs now)
{
    changeRole(Role::Leader, m_identity.id);
    m_electedMs = now;
    m_progress.clear();
    for (const GroupMember &member : m_log.members()) {
        m_progress[member.id].next = m_log.lastIndex() + 1;
    }
    // Entries of former terms may only be committed together with one of this term.
    m_termStart = appendOwn(EntryKind::Noop, Json::Value());
    leaderCommit();
    broadcast(now, true);
}

std::uint64_t RaftCore::appendOwn(EntryKind kind, Json::Value data)
{
    LogEntry entry{m_log.lastIndex() + 1, m_hard.term, kind, std::move(data)};
    m_out.entries.push_back(entry);
    m_log.append(std::move(entry));
    return m_log.lastIndex();
}

void RaftCore::tickLeader(TimeMs now)
{
    // Without this an isolated leader would take proposals that cannot be committed.
    if (now - std::max(majorityContactMs(now), m_electedMs) > m_options.electionMaxMs) {
        becomeFollower(m_hard.term, {});
        resetElectionTimer(now);
        return;
    }
    promoteLearner(now);
    if (now >= m_heartbeatDueMs) {
        broadcast(now, true);
    }
}

void RaftCore::broadcast(TimeMs now, bool heartbeat)
{
    if (heartbeat) {
        m_heartbeatDueMs = now + m_options.heartbeatMs;
    }
    for (const GroupMember &member : m_log.members()) {
        if (member.id != m_identity.id) {
            sendTo(member, now, heartbeat);
        }
    }
}

// Keeps at most one request with entries outstanding per peer; heartbeats in between carry none.
void RaftCore::sendTo(const GroupMember &peer, TimeMs now, bool heartbeat)
{
    Progress &progress = m_progress[peer.id];
    const bool outstanding = progress.pendingSinceMs >= 0 && now - progress.pendingSinceMs < m_options.requestTimeoutMs;
    if (progress.next <= m_log.baseIndex()) {
        sendSnapshot(peer, progress, now);
    } else {
        progress.snapshotSentMs = -1;
    }
    AppendRequest request;
    request.prevIndex = std::max(progress.next - 1, m_log.baseIndex());
    if (!outstanding && progress.next > m_log.baseIndex()) {
        request.entries = m_log.slice(progress.next, m_options.entriesPerRequest);
    }
    if (request.entries.empty() && !heartbeat) {
        return;
    }
    if (!request.entries.empty()) {
        progress.pendingSinceMs = now;
    }
    request.term = m_hard.term;
    request.leader = m_identity.id;
    request.prevTerm = m_log.termAt(request.prevIndex);
    request.commit = m_commit;
    request.sentMs = now;
    m_out.requests.push_back({peer.id, peer.address, std::move(request)});
}

void RaftCore::sendSnapshot(const GroupMember &peer, Progress &progress, TimeMs now)
{
    if (progress.snapshotSentMs >= 0 && now - progress.snapshotSentMs < m_options.snapshotTimeoutMs) {
        return;
    }
    progress.snapshotSentMs = now;
    m_out.requests.push_back({peer.id, peer.address, SnapshotRequest{m_hard.term, m_identity.id, *m_log.snapshot(), now}});
}

RaftActions RaftCore::handleAppendResponse(const std::string &peer, const AppendResponse &response, TimeMs now)
{
    if (response.term > m_hard.term) {
        becomeFollower(response.term, {});
        return takeActions();
    }
    const GroupMember *member = findMember(m_log.members(), peer);
    if (m_role != Role::Leader || response.term < m_hard.term || !member) {
        return takeActions();
    }
    Progress &progress = m_progress[peer];
    if (progress.diskId != response.diskId) {
        const TimeMs answered = -1; // contact with another disk says nothing about this one
        progress = Progress{response.diskId, 0, progress.next, answered, -1, -1};
    }
    const std::uint64_t formerNext = progress.next;
    progress.answeredSentMs = std::max(progress.answeredSentMs, std::min(response.sentMs, now));
    if (response.success) {
        progress.match = std::max(progress.match, std::min(response.match, m_log.lastIndex()));
        progress.next = std::max(progress.next, progress.match + 1);
    } else {
        progress.next = std::max(progress.match, std::min(response.match, m_log.lastIndex())) + 1;
    }
    if (response.sentMs >= progress.pendingSinceMs) {
        progress.pendingSinceMs = -1;
    }
    const GroupMember target = *member;
    leaderCommit();
    // Repeating what was just refused would make both hosts busy at the speed of the network, for example when a disk
    // lost entries that it had reported as synced; the next heartbeat repeats it.
    const bool advanced = response.success || progress.next != formerNext;
    if (m_role == Role::Leader && advanced && progress.next <= m_log.lastIndex()) {
        sendTo(target, now, false);
    }
    return takeActions();
}

bool RaftCore::countsAsVoter(const GroupMember &member) const
{
    if (!member.voter) {
        return false;
    }
    if (member.id == m_identity.id) {
        return member.diskId == m_identity.diskId;
    }
    const auto found = m_progress.find(member.id);
    return found != m_progress.end() && found->second.diskId == member.diskId;
}

void RaftCore::leaderCommit()
{
    std::vector<std::uint64_t> matches;
    for (const GroupMember &member : m_log.members()) {
        if (countsAsVoter(member)) {
            matches.push_back(member.id == m_identity.id ? m_log.lastIndex() : m_progress[member.id].match);
        }
    }
    const std::size_t needed = majority(m_log.members());
    if (needed == 0 || matches.size() < needed) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[needed - 1];
    // An entry of a former term on a majority can still be replaced by another leader's entry.
    if (index <= m_commit || m_log.termAt(index) != m_hard.term) {
        return;
    }
    advanceCommit(index);
    if (m_commit >= m_log.membersIndex() && !isVoter()) {
        becomeFollower(m_hard.term, {});
    }
}

TimeMs RaftCore::majorityContactMs(TimeMs now) const
{
    std::vector<TimeMs> contacts;
    for (const GroupMember &member : m_log.members()) {
        if (countsAsVoter(member)) {
            contacts.push_back(member.id == m_identity.id ? now : m_progress.at(member.id).answeredSentMs);
        }
    }
    const std::size_t needed = majority(m_log.members());
    if (needed == 0 || contacts.size() < needed) {
        return -1;
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[needed - 1];
}

bool RaftCore::isReady() const
{
    return m_role == Role::Leader && m_commit >= m_termStart;
}

TimeMs RaftCore::quorumContactMs(TimeMs now) const
{
    return isReady() ? majorityContactMs(now) : -1;
}

RaftResult<Proposal> RaftCore::rejected(Errc error)
{
    return {{error, 0, 0}, takeActions()};
}

RaftResult<Proposal> RaftCore::propose(const Json::Value &command, TimeMs now)
{
    if (m_role != Role::Leader) {
        return rejected(Errc::NotLeader);
    }
    if (!isReady() || m_log.lastIndex() - m_commit >= m_options.uncommittedLimit) {
        return rejected(Errc::Unavailable);
    }
    const std::uint64_t index = appendOwn(EntryKind::Command, command);
    leaderCommit();
    broadcast(now, false);
    return {{{}, index, m_hard.term}, takeActions()};
}

// One change at a time keeps majorities of neighbouring groups overlapping.
bool RaftCore::mayChangeGroup() const
{
    return isReady() && m_log.membersIndex() <= m_commit;
}

// A group without a reachable majority could never commit its own entry, and its leader could not take the change back.
bool RaftCore::hasLiveMajority(const std::vector<GroupMember> &members, TimeMs now) const
{
    std::size_t live = 0;
    for (const GroupMember &member : members) {
        const bool self = member.id == m_identity.id;
        live += countsAsVoter(member) && (self || now - m_progress.at(member.id).answeredSentMs < m_options.electionMinMs) ? 1 : 0;
    }
    return live >= majority(members);
}

RaftResult<Proposal> RaftCore::changeGroup(const std::vector<GroupMember> &members, TimeMs now)
{
    if (!hasLiveMajority(members, now)) {
        return rejected(Errc::Unavailable);
    }
    const std::uint64_t index = appendOwn(EntryKind::Members, toJsonList(members));
    leaderCommit();
    if (m_role == Role::Leader) {
        broadcast(now, false);
    }
    return {{{}, index, m_hard.term}, takeActions()};
}

RaftResult<Proposal> RaftCore::addMember(const std::string &id, const std::string &address, TimeMs now)
{
    if (m_role != Role::Leader) {
        return rejected(Errc::NotLeader);
    }
    if (!mayChangeGroup()) {
        return rejected(Errc::Unavailable);
    }
    std::vector<GroupMember> members = m_log.members();
    const auto found = std::find_if(members.begin(), members.end(), [&id](const GroupMember &member) {
        return member.id == id;
    });
    if (found == members.end()) {
        members.push_back({id, address, {}, false});
        return changeGroup(members, now);
    }
    const std::string reported = m_progress[id].diskId;
    if (id == m_identity.id || !found->voter || reported == found->diskId) {
        return rejected(Errc::Conflict);
    }
    // The host must be back with its new disk before its old vote is removed.
    if (reported.empty()) {
        return rejected(Errc::Unavailable);
    }
    *found = {id, address, {}, false};
    return changeGroup(members, now);
}

RaftResult<Proposal> RaftCore::removeMember(const std::string &id, TimeMs now)
{
    if (m_role != Role::Leader) {
        return rejected(Errc::NotLeader);
    }
    if (!mayChangeGroup()) {
        return rejected(Errc::Unavailable);
    }
    std::vector<GroupMember> members = m_log.members();
    if (std::erase_if(members,
                      [&id](const GroupMember &member) {
                          return member.id == id;
                      })
        == 0) {
        return rejected(Errc::NotFound);
    }
    if (majority(members) == 0) {
        return rejected(Errc::Conflict);
    }
    return changeGroup(members, now);
}

// Learners become voters without the operator: being a learner in the group already means being admitted.
void RaftCore::promoteLearner(TimeMs now)
{
    if (!mayChangeGroup()) {
        return;
    }
    std::vector<GroupMember> members = m_log.members();
    for (GroupMember &member : members) {
        const Progress &progress = m_progress[member.id];
        const bool alive = progress.answeredSentMs >= 0 && now - progress.answeredSentMs < promotionHeartbeats * m_options.heartbeatMs;
        if (!member.voter && alive && !progress.diskId.empty() && progress.match + caughtUpLag >= m_log.lastIndex()) {
            member.voter = true;
            member.diskId = progress.diskId;
            appendOwn(EntryKind::Members, toJsonList(members));
            broadcast(now, false);
            return;
        }
    }
}
}
