#pragma once

#include "raftactions.h"
#include "raftlog.h"

#include "base/clock.h"
#include "base/errc.h"
#include "base/random.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace Yuccagrade
{
/// Timing and limits of the consensus protocol.
struct RaftOptions {
    TimeMs heartbeatMs = 100;
    TimeMs electionMinMs = 500;
    TimeMs electionMaxMs = 1000;
    /// A request to a peer that was not answered for this time is given up and repeated.
    TimeMs requestTimeoutMs = 400;
    /// A snapshot is larger than other requests, so more time passes before it is repeated.
    TimeMs snapshotTimeoutMs = 2000;
    /// Bounds the size of one append request.
    std::size_t entriesPerRequest = 128;
    /// Bounds the memory for entries that a leader without a majority takes before it steps down.
    std::size_t uncommittedLimit = 1024;
};

/// Identity of a host and the group that its settings name for the first start.
struct RaftIdentity {
    std::string id;
    std::string diskId;
    std::vector<GroupMember> initialMembers; ///< id and address
};

/// Where a proposal will stand in the log if it is committed.
struct Proposal {
    std::error_code error; ///< NotLeader, Unavailable, NotFound, Conflict
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// Raft-style consensus without I/O.
///
/// Disk identity. A member is the pair of host id and disk id. Vote and append responses carry the disk id of the
/// responder, and a candidate or leader counts a response only if its group names that disk id for the host; a vote
/// request names the disk it expects, and a host with another disk refuses. So a host that lost its disk has neither
/// a vote nor an acknowledgement under its old identity, whatever it remembers. It still receives the log. An operator
/// admits it with addMember(), which takes two group changes: the old disk's voter becomes a learner, and when the
/// learner has caught up, the leader makes it a voter with the new disk id. A direct exchange of the disk ids would
/// change two voters at once, and majorities of the groups before and after would not always overlap.
///
/// First start. All disks are empty and no group names their ids. The initial member with the lowest id is the only one
/// that may found the group. It asks all other initial members with raft.hello for their disk ids, and writes the first
/// group entry only when each of them has answered that its disk never held a term, vote, entry or snapshot. If any
/// entry was committed, a majority of disks held it, so a founder that lost its own disk meets at least one non-empty
/// host unless all disks of the group are lost, and an unreachable host blocks founding. Compared with a bootstrap flag
/// of the operator this cannot be repeated by mistake with a start script; the price is that all initial members must
/// be up once for the first start.
class RaftCore
{
public:
    RaftCore(RaftIdentity identity, StoredState stored, RaftOptions options, Random random, TimeMs now);

    /// Starts elections and founding, sends heartbeats and steps down; call it every 10 to 50 ms.
    RaftActions tick(TimeMs now);
    HelloResponse handleHello(const HelloRequest &request) const;
    RaftResult<VoteResponse> handleVote(const VoteRequest &request, TimeMs now);
    RaftResult<AppendResponse> handleAppend(const AppendRequest &request, TimeMs now);
    RaftResult<AppendResponse> handleSnapshot(const SnapshotRequest &request, TimeMs now);
    RaftActions handleHelloResponse(const std::string &peer, const HelloResponse &response, TimeMs now);
    RaftActions handleVoteResponse(const std::string &peer, const VoteResponse &response, TimeMs now);
    /// Handles the response to an append or a snapshot request.
    RaftActions handleAppendResponse(const std::string &peer, const AppendResponse &response, TimeMs now);

    RaftResult<Proposal> propose(const Json::Value &command, TimeMs now);
    /// Adds a host as a learner, which becomes a voter when it has caught up. Also admits a member with a new disk.
    /// Errors: NotLeader, Unavailable (a change is pending, the host has not reported its disk, or the new group has no
    /// reachable majority), Conflict (already a member with this disk).
    RaftResult<Proposal> addMember(const std::string &id, const std::string &address, TimeMs now);
    /// Errors: NotLeader, Unavailable (as above), NotFound, Conflict (the last voter).
    RaftResult<Proposal> removeMember(const std::string &id, TimeMs now);
    /// Stores @p state, the owner's state after the last committed entry handed out, and drops the entries up to it.
    RaftActions compact(const std::string &state);

    bool isLeader() const;
    /// True if this host leads and has committed an entry of its term, so its state contains all earlier commits.
    bool isReady() const;
    /// Sending time of the last round of requests that a majority answered in this term; -1 if not ready.
    TimeMs quorumContactMs(TimeMs now) const;
    /// True if this host's disk has a vote in the newest group that it knows.
    bool isVoter() const;
    /// True if no term, vote, entry or snapshot was ever stored.
    bool isEmpty() const;
    Leadership leadership() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    const RaftLog &log() const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    /// What the leader knows about a peer.
    struct Progress {
        std::string diskId; ///< as reported in this term
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        TimeMs answeredSentMs = -1; ///< sending time of the newest request that was answered
        TimeMs pendingSinceMs = -1; ///< sending time of the outstanding request with entries; -1 if none
        TimeMs snapshotSentMs = -1; ///< sending time of the outstanding snapshot; -1 if none
    };

    RaftActions takeActions();
    RaftResult<Proposal> rejected(Errc error);
    void changeRole(Role role, const std::string &leader);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void becomeLeader(TimeMs now);
    void setHard(std::uint64_t term, const std::string &vote);
    void resetElectionTimer(TimeMs now);
    void campaign(bool preVote, TimeMs now);
    bool mayCampaign() const;
    void countVotes(TimeMs now);
    bool mayGrant(const VoteRequest &request) const;
    bool acceptLeader(std::uint64_t term, const std::string &leader, TimeMs now);
    bool validEntries(const AppendRequest &request) const;
    void storeEntries(const std::vector<LogEntry> &entries);
    void advanceCommit(std::uint64_t index);
    std::uint64_t conflictHint(std::uint64_t prevIndex) const;

    void tickLeader(TimeMs now);
    void sendTo(const GroupMember &peer, TimeMs now, bool heartbeat);
    void sendSnapshot(const GroupMember &peer, Progress &progress, TimeMs now);
    void broadcast(TimeMs now, bool heartbeat);
    std::uint64_t appendOwn(EntryKind kind, Json::Value data);
    void leaderCommit();
    bool countsAsVoter(const GroupMember &member) const;
    TimeMs majorityContactMs(TimeMs now) const;
    void promoteLearner(TimeMs now);
    RaftResult<Proposal> changeGroup(const std::vector<GroupMember> &members, TimeMs now);
    bool hasLiveMajority(const std::vector<GroupMember> &members, TimeMs now) const;
    bool mayChangeGroup() const;

    bool isFounder() const;
    void tickFounder(TimeMs now);
    void foundGroup();

    RaftIdentity m_identity;
    RaftOptions m_options;
    Random m_random;
    HardState m_hard;
    RaftLog m_log;
    std::uint64_t m_commit = 0;
    Role m_role = Role::Follower;
    std::string m_leader;
    TimeMs m_leaderHeardMs = -1; ///< -1 if no leader was heard since the start
    TimeMs m_electionDueMs = 0;
    std::set<std::string> m_votes;
    std::map<std::string, Progress> m_progress;
    TimeMs m_heartbeatDueMs = 0;
    TimeMs m_electedMs = 0;
    std::uint64_t m_termStart = 0; ///< index of the leader's first entry of its term
    std::map<std::string, std::string> m_emptyDisks; ///< founder: disk ids of the hosts that answered "empty"
    TimeMs m_helloDueMs = 0;
    Leadership m_reported;
    RaftActions m_out;
};
}
