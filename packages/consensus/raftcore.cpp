#include "raftcore.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
RaftCore::RaftCore(RaftIdentity identity, StoredState stored, RaftOptions options, Random random, TimeMs now)
    : m_identity(std::move(identity))
    , m_options(options)
    , m_random(random)
    , m_hardState(std::move(stored.hardState))
{
    m_commitIndex = stored.snapshot.index;
    m_log.load(std::move(stored.snapshot), std::move(stored.entries));
    // Before a restart this host may have answered a leader, whose lease relies on it to refuse votes.
    if (!isEmpty()) {
        m_leaderContactMs = now;
    }
    resetElectionTimer(now);
}

RaftActions RaftCore::takeActions()
{
    m_pendingActions.hardState = m_hardState;
    const Leadership current = leadership();
    if (current != m_reportedLeadership) {
        m_reportedLeadership = current;
        m_pendingActions.leadership = current;
    }
    return std::exchange(m_pendingActions, RaftActions());
}

RaftActions RaftCore::tick(TimeMs now)
{
    if (m_role == Role::Leader) {
        tickLeader(now);
    } else if (isEmpty()) {
        tickBootstrap(now);
    } else if (now >= m_electionDeadlineMs) {
        resetElectionTimer(now);
        m_leaderId.clear();
        if (mayStartElection()) {
            startElection(true, now);
        }
    }
    return takeActions();
}

void RaftCore::resetElectionTimer(TimeMs now)
{
    const auto spread = static_cast<std::uint64_t>(m_options.electionMaxMs - m_options.electionMinMs);
    m_electionDeadlineMs = now + m_options.electionMinMs + static_cast<TimeMs>(m_random.below(spread + 1));
}

void RaftCore::setHardState(std::uint64_t term, const std::string &vote)
{
    m_hardState = {term, vote};
    m_pendingActions.persistHardState = true;
}

void RaftCore::changeRole(Role role, const std::string &leader)
{
    m_role = role;
    m_leaderId = leader;
    m_grantedVotes.clear();
    if (role != Role::Leader) {
        m_progress.clear();
    }
}

void RaftCore::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > m_hardState.term) {
        setHardState(term, {});
    }
    changeRole(Role::Follower, leader);
}

// A pre-vote changes no persistent state, so a host that cannot win an election does not increase the term.
void RaftCore::startElection(bool preVote, TimeMs now)
{
    changeRole(preVote ? Role::PreCandidate : Role::Candidate, {});
    if (!preVote) {
        setHardState(m_hardState.term + 1, m_identity.id);
    }
    VoteRequest request;
    request.term = preVote ? m_hardState.term + 1 : m_hardState.term;
    request.candidate = m_identity.id;
    request.lastIndex = m_log.lastIndex();
    request.lastTerm = m_log.lastTerm();
    request.preVote = preVote;
    for (const GroupMember &member : m_log.members()) {
        if (member.voter && member.id != m_identity.id) {
            request.voterDisk = member.diskId;
            m_pendingActions.requests.push_back({member.id, member.address, request});
        }
    }
    if (isVoter()) {
        m_grantedVotes.insert(m_identity.id);
    }
    checkElectionWon(now);
}

// A host whose removal is not committed yet may start an election: if it has the most up-to-date log, no other host can
// win one.
bool RaftCore::mayStartElection() const
{
    const std::uint64_t groupEntryIndex = m_log.membersIndex();
    if (isVoter() || groupEntryIndex <= m_commitIndex) {
        return isVoter();
    }
    const std::vector<GroupMember> previousMembers = m_log.membersAt(groupEntryIndex - 1);
    const GroupMember *self = findMember(previousMembers, m_identity.id);
    return self && self->voter && self->diskId == m_identity.diskId;
}

void RaftCore::checkElectionWon(TimeMs now)
{
    const std::size_t needed = majoritySize(m_log.members());
    if (needed == 0 || m_grantedVotes.size() < needed) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection(false, now);
    } else {
        becomeLeader(now);
    }
}

bool RaftCore::mayGrantVote(const VoteRequest &request) const
{
    // The disk id in the candidate's group decides, not the voter's own log: a voter with an empty log may vote if that
    // group lists its disk.
    if (request.voterDisk != m_identity.diskId) {
        return false;
    }
    if (request.lastTerm < m_log.lastTerm() || (request.lastTerm == m_log.lastTerm() && request.lastIndex < m_log.lastIndex())) {
        return false;
    }
    if (request.preVote) {
        return request.term > m_hardState.term;
    }
    return request.term == m_hardState.term && m_role != Role::Leader && (m_hardState.vote.empty() || m_hardState.vote == request.candidate);
}

RaftResult<VoteResponse> RaftCore::handleVote(const VoteRequest &request, TimeMs now)
{
    VoteResponse response{m_hardState.term, request.term, request.preVote, false, m_identity.diskId};
    // Refuses votes while the leader is in contact, so that a removed or partially connected host cannot depose it.
    const bool hasLeader = m_role == Role::Leader || (m_leaderContactMs >= 0 && now - m_leaderContactMs < m_options.electionMinMs);
    if (hasLeader || request.voterDisk != m_identity.diskId) {
        return {response, takeActions()};
    }
    if (!request.preVote && request.term > m_hardState.term) {
        becomeFollower(request.term, {});
    }
    response.granted = mayGrantVote(request);
    response.term = m_hardState.term;
    if (response.granted && !request.preVote) {
        if (m_hardState.vote.empty()) {
            setHardState(m_hardState.term, request.candidate);
        }
        resetElectionTimer(now);
    }
    return {response, takeActions()};
}

RaftActions RaftCore::handleVoteResponse(const std::string &peer, const VoteResponse &response, TimeMs now)
{
    if (response.term > m_hardState.term) {
        becomeFollower(response.term, {});
        return takeActions();
    }
    const bool current = response.preVote ? m_role == Role::PreCandidate && response.requestTerm == m_hardState.term + 1
                                          : m_role == Role::Candidate && response.requestTerm == m_hardState.term;
    const GroupMember *member = findMember(m_log.members(), peer);
    if (current && response.granted && member && member->voter && member->diskId == response.diskId) {
        m_grantedVotes.insert(peer);
        checkElectionWon(now);
    }
    return takeActions();
}

bool RaftCore::acceptLeader(std::uint64_t term, const std::string &leader, TimeMs now)
{
    if (term < m_hardState.term || (term == m_hardState.term && m_role == Role::Leader)) {
        return false;
    }
    becomeFollower(term, leader);
    m_leaderContactMs = now;
    resetElectionTimer(now);
    return true;
}

bool RaftCore::areEntriesValid(const AppendRequest &request) const
{
    std::uint64_t index = request.prevIndex;
    for (const LogEntry &entry : request.entries) {
        const bool conflictsWithCommitted = index + 1 <= m_commitIndex && m_log.hasTermAt(index + 1) && m_log.termAt(index + 1) != entry.term;
        if (entry.index != ++index || entry.term > request.term || entry.term == 0 || conflictsWithCommitted) {
            return false;
        }
    }
    return true;
}

// Returns the match index to report after a failed consistency check. It skips all uncommitted entries of the conflicting
// term, so that the leader needs one round trip per term instead of one per entry.
std::uint64_t RaftCore::conflictHint(std::uint64_t prevIndex) const
{
    if (prevIndex > m_log.lastIndex()) {
        return m_log.lastIndex();
    }
    const std::uint64_t conflictTerm = m_log.termAt(prevIndex);
    std::uint64_t hint = prevIndex;
    while (hint > m_commitIndex && m_log.termAt(hint) == conflictTerm) {
        --hint;
    }
    return hint;
}

RaftResult<AppendResponse> RaftCore::handleAppend(const AppendRequest &request, TimeMs now)
{
    AppendResponse response{m_hardState.term, false, 0, request.sentMs, m_identity.diskId};
    if (!acceptLeader(request.term, request.leader, now)) {
        return {response, takeActions()};
    }
    response.term = m_hardState.term;
    // Entries up to the base index are committed and therefore equal to the leader's.
    const bool matches = request.prevIndex < m_log.baseIndex() || (m_log.hasTermAt(request.prevIndex) && m_log.termAt(request.prevIndex) == request.prevTerm);
    if (!matches || !areEntriesValid(request)) {
        response.match = conflictHint(request.prevIndex);
        return {response, takeActions()};
    }
    storeEntries(request.entries);
    response.success = true;
    response.match = request.prevIndex + request.entries.size();
    advanceCommit(std::min(request.commit, response.match));
    return {response, takeActions()};
}

void RaftCore::storeEntries(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= m_log.baseIndex()) {
            continue;
        }
        if (m_log.hasTermAt(entry.index)) {
            if (m_log.termAt(entry.index) == entry.term) {
                continue;
            }
            m_log.truncate(entry.index);
        }
        m_log.append(entry);
        m_pendingActions.entries.push_back(entry);
    }
}

void RaftCore::advanceCommit(std::uint64_t index)
{
    while (m_commitIndex < index) {
        m_pendingActions.committed.push_back(m_log.entryAt(++m_commitIndex));
    }
}

RaftResult<AppendResponse> RaftCore::handleSnapshot(const SnapshotRequest &request, TimeMs now)
{
    AppendResponse response{m_hardState.term, false, 0, request.sentMs, m_identity.diskId};
    if (!acceptLeader(request.term, request.leader, now)) {
        return {response, takeActions()};
    }
    response.term = m_hardState.term;
    response.success = true;
    response.match = request.snapshot.index;
    if (request.snapshot.index > m_commitIndex) {
        m_log.installSnapshot(std::make_shared<RaftSnapshot>(request.snapshot));
        m_commitIndex = request.snapshot.index;
        m_pendingActions.snapshot = m_log.snapshot();
        m_pendingActions.tail = m_log.entries();
        m_pendingActions.restoreState = true;
    }
    return {response, takeActions()};
}

RaftActions RaftCore::compact(const std::string &state)
{
    if (m_commitIndex > m_log.baseIndex()) {
        m_log.installSnapshot(std::make_shared<RaftSnapshot>(RaftSnapshot{m_commitIndex, m_log.termAt(m_commitIndex), m_log.membersAt(m_commitIndex), state}));
        m_pendingActions.snapshot = m_log.snapshot();
        m_pendingActions.tail = m_log.entries();
    }
    return takeActions();
}

bool RaftCore::isLeader() const
{
    return m_role == Role::Leader;
}

bool RaftCore::isVoter() const
{
    const GroupMember *self = findMember(m_log.members(), m_identity.id);
    return self && self->voter && self->diskId == m_identity.diskId;
}

bool RaftCore::isEmpty() const
{
    return m_hardState == HardState() && m_log.lastIndex() == 0;
}

Leadership RaftCore::leadership() const
{
    return {m_hardState.term, m_leaderId, m_role == Role::Leader};
}

std::uint64_t RaftCore::term() const
{
    return m_hardState.term;
}

std::uint64_t RaftCore::commitIndex() const
{
    return m_commitIndex;
}

const RaftLog &RaftCore::log() const
{
    return m_log;
}
}
