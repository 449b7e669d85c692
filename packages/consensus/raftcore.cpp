#include "raftcore.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
RaftCore::RaftCore(RaftIdentity identity, StoredState stored, RaftOptions options, Random random, TimeMs now)
    : m_identity(std::move(identity))
    , m_options(options)
    , m_random(random)
    , m_hard(std::move(stored.hard))
{
    m_commit = stored.snapshot.index;
    m_log.load(std::move(stored.snapshot), std::move(stored.entries));
    resetElectionTimer(now);
}

RaftActions RaftCore::takeActions()
{
    m_out.hard = m_hard;
    const Leadership current = leadership();
    if (current != m_reported) {
        m_reported = current;
        m_out.leadership = current;
    }
    return std::exchange(m_out, RaftActions());
}

RaftActions RaftCore::tick(TimeMs now)
{
    if (m_role == Role::Leader) {
        tickLeader(now);
    } else if (isEmpty()) {
        tickFounder(now);
    } else if (now >= m_electionDueMs) {
        resetElectionTimer(now);
        m_leader.clear();
        if (mayCampaign()) {
            campaign(true, now);
        }
    }
    return takeActions();
}

void RaftCore::resetElectionTimer(TimeMs now)
{
    const auto spread = static_cast<std::uint64_t>(m_options.electionMaxMs - m_options.electionMinMs);
    m_electionDueMs = now + m_options.electionMinMs + static_cast<TimeMs>(m_random.below(spread + 1));
}

void RaftCore::setHard(std::uint64_t term, const std::string &vote)
{
    m_hard = {term, vote};
    m_out.persistHard = true;
}

void RaftCore::changeRole(Role role, const std::string &leader)
{
    m_role = role;
    m_leader = leader;
    m_votes.clear();
    if (role != Role::Leader) {
        m_progress.clear();
    }
}

void RaftCore::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > m_hard.term) {
        setHard(term, {});
    }
    changeRole(Role::Follower, leader);
}

// A pre-vote changes no state, so a host that cannot win does not raise the term of the others.
void RaftCore::campaign(bool preVote, TimeMs now)
{
    changeRole(preVote ? Role::PreCandidate : Role::Candidate, {});
    if (!preVote) {
        setHard(m_hard.term + 1, m_identity.id);
    }
    VoteRequest request;
    request.term = preVote ? m_hard.term + 1 : m_hard.term;
    request.candidate = m_identity.id;
    request.lastIndex = m_log.lastIndex();
    request.lastTerm = m_log.lastTerm();
    request.preVote = preVote;
    for (const GroupMember &member : m_log.members()) {
        if (member.voter && member.id != m_identity.id) {
            request.voterDisk = member.diskId;
            m_out.requests.push_back({member.id, member.address, request});
        }
    }
    if (isVoter()) {
        m_votes.insert(m_identity.id);
    }
    countVotes(now);
}

// A host that an uncommitted entry removes may hold the longest log, and then no other host could win an election.
bool RaftCore::mayCampaign() const
{
    const std::uint64_t changed = m_log.membersIndex();
    if (isVoter() || changed <= m_commit) {
        return isVoter();
    }
    const std::vector<GroupMember> former = m_log.membersAt(changed - 1);
    const GroupMember *self = findMember(former, m_identity.id);
    return self && self->voter && self->diskId == m_identity.diskId;
}

void RaftCore::countVotes(TimeMs now)
{
    const std::size_t needed = majority(m_log.members());
    if (needed == 0 || m_votes.size() < needed) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        campaign(false, now);
    } else {
        becomeLeader(now);
    }
}

bool RaftCore::mayGrant(const VoteRequest &request) const
{
    // The group of the candidate, not that of the voter, decides: an empty disk that the group names may vote.
    if (request.voterDisk != m_identity.diskId) {
        return false;
    }
    if (request.lastTerm < m_log.lastTerm() || (request.lastTerm == m_log.lastTerm() && request.lastIndex < m_log.lastIndex())) {
        return false;
    }
    if (request.preVote) {
        return request.term > m_hard.term;
    }
    return request.term == m_hard.term && m_role != Role::Leader && (m_hard.vote.empty() || m_hard.vote == request.candidate);
}

RaftResult<VoteResponse> RaftCore::handleVote(const VoteRequest &request, TimeMs now)
{
    VoteResponse response{m_hard.term, request.term, request.preVote, false, m_identity.diskId};
    // A host that still hears its leader ignores elections, so that a removed or half-connected host cannot end a term.
    const bool leaderAlive = m_role == Role::Leader || (m_leaderHeardMs >= 0 && now - m_leaderHeardMs < m_options.electionMinMs);
    if (leaderAlive || request.voterDisk != m_identity.diskId) {
        return {response, takeActions()};
    }
    if (!request.preVote && request.term > m_hard.term) {
        becomeFollower(request.term, {});
    }
    response.granted = mayGrant(request);
    response.term = m_hard.term;
    if (response.granted && !request.preVote) {
        if (m_hard.vote.empty()) {
            setHard(m_hard.term, request.candidate);
        }
        resetElectionTimer(now);
    }
    return {response, takeActions()};
}

RaftActions RaftCore::handleVoteResponse(const std::string &peer, const VoteResponse &response, TimeMs now)
{
    if (response.term > m_hard.term) {
        becomeFollower(response.term, {});
        return takeActions();
    }
    const bool current = response.preVote ? m_role == Role::PreCandidate && response.requestTerm == m_hard.term + 1
                                          : m_role == Role::Candidate && response.requestTerm == m_hard.term;
    const GroupMember *member = findMember(m_log.members(), peer);
    if (current && response.granted && member && member->voter && member->diskId == response.diskId) {
        m_votes.insert(peer);
        countVotes(now);
    }
    return takeActions();
}

bool RaftCore::acceptLeader(std::uint64_t term, const std::string &leader, TimeMs now)
{
    if (term < m_hard.term || (term == m_hard.term && m_role == Role::Leader)) {
        return false;
    }
    becomeFollower(term, leader);
    m_leaderHeardMs = now;
    resetElectionTimer(now);
    return true;
}

bool RaftCore::validEntries(const AppendRequest &request) const
{
    std::uint64_t index = request.prevIndex;
    for (const LogEntry &entry : request.entries) {
        const bool rewritesCommitted = index + 1 <= m_commit && m_log.holds(index + 1) && m_log.termAt(index + 1) != entry.term;
        if (entry.index != ++index || entry.term > request.term || entry.term == 0 || rewritesCommitted) {
            return false;
        }
    }
    return true;
}

// Returns the index from which the leader should continue: before the whole run of entries of the conflicting term.
std::uint64_t RaftCore::conflictHint(std::uint64_t prevIndex) const
{
    if (prevIndex > m_log.lastIndex()) {
        return m_log.lastIndex();
    }
    const std::uint64_t conflictTerm = m_log.termAt(prevIndex);
    std::uint64_t hint = prevIndex;
    while (hint > m_commit && m_log.termAt(hint) == conflictTerm) {
        --hint;
    }
    return hint;
}

RaftResult<AppendResponse> RaftCore::handleAppend(const AppendRequest &request, TimeMs now)
{
    AppendResponse response{m_hard.term, false, 0, request.sentMs, m_identity.diskId};
    if (!acceptLeader(request.term, request.leader, now)) {
        return {response, takeActions()};
    }
    response.term = m_hard.term;
    // Entries up to the base are committed, so they equal the leader's.
    const bool matches = request.prevIndex < m_log.baseIndex() || (m_log.holds(request.prevIndex) && m_log.termAt(request.prevIndex) == request.prevTerm);
    if (!matches || !validEntries(request)) {
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
        if (m_log.holds(entry.index)) {
            if (m_log.termAt(entry.index) == entry.term) {
                continue;
            }
            m_log.truncate(entry.index);
        }
        m_log.append(entry);
        m_out.entries.push_back(entry);
    }
}

void RaftCore::advanceCommit(std::uint64_t index)
{
    while (m_commit < index) {
        m_out.committed.push_back(m_log.at(++m_commit));
    }
}

RaftResult<AppendResponse> RaftCore::handleSnapshot(const SnapshotRequest &request, TimeMs now)
{
    AppendResponse response{m_hard.term, false, 0, request.sentMs, m_identity.diskId};
    if (!acceptLeader(request.term, request.leader, now)) {
        return {response, takeActions()};
    }
    response.term = m_hard.term;
    response.success = true;
    response.match = request.snapshot.index;
    if (request.snapshot.index > m_commit) {
        m_log.install(std::make_shared<RaftSnapshot>(request.snapshot));
        m_commit = request.snapshot.index;
        m_out.snapshot = m_log.snapshot();
        m_out.tail = m_log.entries();
        m_out.restore = true;
    }
    return {response, takeActions()};
}

RaftActions RaftCore::compact(const std::string &state)
{
    if (m_commit > m_log.baseIndex()) {
        m_log.install(std::make_shared<RaftSnapshot>(RaftSnapshot{m_commit, m_log.termAt(m_commit), m_log.membersAt(m_commit), state}));
        m_out.snapshot = m_log.snapshot();
        m_out.tail = m_log.entries();
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
    return m_hard == HardState() && m_log.lastIndex() == 0;
}

Leadership RaftCore::leadership() const
{
    return {m_hard.term, m_leader, m_role == Role::Leader};
}

std::uint64_t RaftCore::term() const
{
    return m_hard.term;
}

std::uint64_t RaftCore::commitIndex() const
{
    return m_commit;
}

const RaftLog &RaftCore::log() const
{
    return m_log;
}
}
