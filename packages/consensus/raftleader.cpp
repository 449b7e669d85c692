#include "raftcore.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Maximum number of entries that a learner may lack when it becomes a voter. It receives the rest in one append request, so
// commits that need its acknowledgement are hardly delayed.
constexpr std::uint64_t promotionMaxLagEntries = 16;
// A learner becomes a voter only if it has answered a request sent within this number of heartbeat periods. A voter whose
// disk is already lost reduces the number of further failures that the group tolerates, so the check must be recent.
constexpr TimeMs promotionContactHeartbeats = 2;
}

void RaftCore::becomeLeader(TimeMs now)
{
    changeRole(Role::Leader, m_identity.id);
    m_electedMs = now;
    m_progress.clear();
    for (const GroupMember &member : m_log.members()) {
        m_progress[member.id].nextIndex = m_log.lastIndex() + 1;
    }
    // Entries of earlier terms are committed only through an entry of the current term (Raft, section 5.4.2).
    m_termStartIndex = appendLocal(EntryKind::Noop, Json::Value());
    advanceLeaderCommit();
    broadcastAppends(now, true);
}

std::uint64_t RaftCore::appendLocal(EntryKind kind, Json::Value data)
{
    LogEntry entry{m_log.lastIndex() + 1, m_hardState.term, kind, std::move(data)};
    m_pendingActions.entries.push_back(entry);
    m_log.append(std::move(entry));
    return m_log.lastIndex();
}

void RaftCore::tickLeader(TimeMs now)
{
    // A leader that has lost contact with its majority steps down, since it would accept proposals that cannot be committed.
    if (now - std::max(majorityContactMs(now), m_electedMs) > m_options.electionMaxMs) {
        becomeFollower(m_hardState.term, {});
        resetElectionTimer(now);
        return;
    }
    promoteLearner(now);
    if (now >= m_heartbeatDueMs) {
        broadcastAppends(now, true);
    }
}

void RaftCore::broadcastAppends(TimeMs now, bool heartbeat)
{
    if (heartbeat) {
        m_heartbeatDueMs = now + m_options.heartbeatMs;
    }
    for (const GroupMember &member : m_log.members()) {
        if (member.id != m_identity.id) {
            sendAppend(member, now, heartbeat);
        }
    }
}

// At most one append request with entries is outstanding per peer; heartbeats sent meanwhile contain no entries.
void RaftCore::sendAppend(const GroupMember &peer, TimeMs now, bool heartbeat)
{
    Progress &progress = m_progress[peer.id];
    const bool outstanding = progress.appendSentMs >= 0 && now - progress.appendSentMs < m_options.requestTimeoutMs;
    if (progress.nextIndex <= m_log.baseIndex()) {
        sendSnapshot(peer, progress, now);
    } else {
        progress.snapshotSentMs = -1;
    }
    AppendRequest request;
    request.prevIndex = std::max(progress.nextIndex - 1, m_log.baseIndex());
    if (!outstanding && progress.nextIndex > m_log.baseIndex()) {
        request.entries = m_log.slice(progress.nextIndex, m_options.entriesPerRequest);
    }
    if (request.entries.empty() && !heartbeat) {
        return;
    }
    if (!request.entries.empty()) {
        progress.appendSentMs = now;
    }
    request.term = m_hardState.term;
    request.leader = m_identity.id;
    request.prevTerm = m_log.termAt(request.prevIndex);
    request.commit = m_commitIndex;
    request.sentMs = now;
    m_pendingActions.requests.push_back({peer.id, peer.address, std::move(request)});
}

void RaftCore::sendSnapshot(const GroupMember &peer, Progress &progress, TimeMs now)
{
    if (progress.snapshotSentMs >= 0 && now - progress.snapshotSentMs < m_options.snapshotTimeoutMs) {
        return;
    }
    progress.snapshotSentMs = now;
    m_pendingActions.requests.push_back({peer.id, peer.address, SnapshotRequest{m_hardState.term, m_identity.id, *m_log.snapshot(), now}});
}

RaftActions RaftCore::handleAppendResponse(const std::string &peer, const AppendResponse &response, TimeMs now)
{
    if (response.term > m_hardState.term) {
        becomeFollower(response.term, {});
        return takeActions();
    }
    const GroupMember *member = findMember(m_log.members(), peer);
    if (m_role != Role::Leader || response.term < m_hardState.term || !member) {
        return takeActions();
    }
    Progress &progress = m_progress[peer];
    if (progress.diskId != response.diskId) {
        const TimeMs answered = -1; // responses with another disk id do not count as contact with this disk
        progress = Progress{response.diskId, 0, progress.nextIndex, answered, -1, -1};
    }
    const std::uint64_t previousNextIndex = progress.nextIndex;
    progress.lastAnsweredSentMs = std::max(progress.lastAnsweredSentMs, std::min(response.sentMs, now));
    if (response.success) {
        progress.matchIndex = std::max(progress.matchIndex, std::min(response.match, m_log.lastIndex()));
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    } else {
        progress.nextIndex = std::max(progress.matchIndex, std::min(response.match, m_log.lastIndex())) + 1;
    }
    if (response.sentMs >= progress.appendSentMs) {
        progress.appendSentMs = -1;
    }
    const GroupMember target = *member;
    advanceLeaderCommit();
    // A refusal that does not change the next index is not followed by another request at once, since both hosts would
    // exchange requests without a pause, for example after a disk lost entries that it had reported as synced. The next
    // heartbeat tries again.
    const bool advanced = response.success || progress.nextIndex != previousNextIndex;
    if (m_role == Role::Leader && advanced && progress.nextIndex <= m_log.lastIndex()) {
        sendAppend(target, now, false);
    }
    return takeActions();
}

bool RaftCore::isVerifiedVoter(const GroupMember &member) const
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

void RaftCore::advanceLeaderCommit()
{
    std::vector<std::uint64_t> matches;
    for (const GroupMember &member : m_log.members()) {
        if (isVerifiedVoter(member)) {
            matches.push_back(member.id == m_identity.id ? m_log.lastIndex() : m_progress[member.id].matchIndex);
        }
    }
    const std::size_t needed = majoritySize(m_log.members());
    if (needed == 0 || matches.size() < needed) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[needed - 1];
    // An entry of an earlier term that is on a majority can still be overwritten by another leader.
    if (index <= m_commitIndex || m_log.termAt(index) != m_hardState.term) {
        return;
    }
    advanceCommit(index);
    if (m_commitIndex >= m_log.membersIndex() && !isVoter()) {
        becomeFollower(m_hardState.term, {});
    }
}

TimeMs RaftCore::majorityContactMs(TimeMs now) const
{
    std::vector<TimeMs> contacts;
    for (const GroupMember &member : m_log.members()) {
        if (isVerifiedVoter(member)) {
            contacts.push_back(member.id == m_identity.id ? now : m_progress.at(member.id).lastAnsweredSentMs);
        }
    }
    const std::size_t needed = majoritySize(m_log.members());
    if (needed == 0 || contacts.size() < needed) {
        return -1;
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[needed - 1];
}

bool RaftCore::isReady() const
{
    return m_role == Role::Leader && m_commitIndex >= m_termStartIndex;
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
    if (!isReady() || m_log.lastIndex() - m_commitIndex >= m_options.uncommittedLimit) {
        return rejected(Errc::Unavailable);
    }
    const std::uint64_t index = appendLocal(EntryKind::Command, command);
    advanceLeaderCommit();
    broadcastAppends(now, false);
    return {{{}, index, m_hardState.term}, takeActions()};
}

// At most one group change may be uncommitted, so that majorities of consecutive groups overlap.
bool RaftCore::mayChangeGroup() const
{
    return isReady() && m_log.membersIndex() <= m_commitIndex;
}

// A group change whose new group has no reachable majority could be neither committed nor reverted.
bool RaftCore::hasReachableMajority(const std::vector<GroupMember> &members, TimeMs now) const
{
    std::size_t reachable = 0;
    for (const GroupMember &member : members) {
        const bool self = member.id == m_identity.id;
        reachable += isVerifiedVoter(member) && (self || now - m_progress.at(member.id).lastAnsweredSentMs < m_options.electionMinMs) ? 1 : 0;
    }
    return reachable >= majoritySize(members);
}

RaftResult<Proposal> RaftCore::changeGroup(const std::vector<GroupMember> &members, TimeMs now)
{
    if (!hasReachableMajority(members, now)) {
        return rejected(Errc::Unavailable);
    }
    const std::uint64_t index = appendLocal(EntryKind::Members, toJsonList(members));
    advanceLeaderCommit();
    if (m_role == Role::Leader) {
        broadcastAppends(now, false);
    }
    return {{{}, index, m_hardState.term}, takeActions()};
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
    // The host must have reported its new disk before the voter with its old disk is removed.
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
    if (majoritySize(members) == 0) {
        return rejected(Errc::Conflict);
    }
    return changeGroup(members, now);
}

// Promotes a learner that has caught up. This needs no operator, since adding the learner was already the admission.
void RaftCore::promoteLearner(TimeMs now)
{
    if (!mayChangeGroup()) {
        return;
    }
    std::vector<GroupMember> members = m_log.members();
    for (GroupMember &member : members) {
        const Progress &progress = m_progress[member.id];
        const bool recentlyAnswered =
            progress.lastAnsweredSentMs >= 0 && now - progress.lastAnsweredSentMs < promotionContactHeartbeats * m_options.heartbeatMs;
        if (!member.voter && recentlyAnswered && !progress.diskId.empty() && progress.matchIndex + promotionMaxLagEntries >= m_log.lastIndex()) {
            member.voter = true;
            member.diskId = progress.diskId;
            appendLocal(EntryKind::Members, toJsonList(members));
            broadcastAppends(now, false);
            return;
        }
    }
}
}
