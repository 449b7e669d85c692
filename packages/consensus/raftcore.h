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
    /// Time after which an append request without a response is sent again.
    TimeMs requestTimeoutMs = 400;
    /// Time after which a snapshot without a response is sent again; longer, since a snapshot is larger.
    TimeMs snapshotTimeoutMs = 2000;
    /// Maximum number of entries in one append request.
    std::size_t entriesPerRequest = 128;
    /// Maximum number of uncommitted entries. Bounds the memory of a leader that has lost its majority but has not stepped
    /// down yet.
    std::size_t uncommittedLimit = 1024;
};

/// Identity of a host, and the initial group from its settings, which is used only to bootstrap the group.
struct RaftIdentity {
    std::string id;
    std::string diskId;
    std::vector<GroupMember> initialMembers; ///< id and address
};

/// Result of a proposal: the log position of its entry, or an error.
struct Proposal {
    std::error_code error; ///< NotLeader, Unavailable, NotFound, Conflict
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// Raft consensus as a state machine without I/O, threads or a clock of its own.
///
/// Disk identity. A member is the pair of host id and disk id. Vote and append responses carry the disk id of the
/// responder, and a candidate or leader counts a response only if its group lists that disk id for the host; a vote
/// request contains the expected disk id, and a host with another disk refuses it. A host that lost its disk therefore
/// can neither vote nor acknowledge entries under its old identity. It still receives the log. An operator admits it
/// with addMember(), which takes two group changes: the voter with the old disk is replaced by a learner, and when the
/// learner has caught up, the leader makes it a voter with the new disk id. Replacing the disk id in one step would
/// remove one voter and add another at once, and majorities of the old and the new group would not always overlap.
///
/// Bootstrap. At the first start all disks are empty and no group entry exists. Only the initial member with the lowest
/// id, the bootstrap member, may write one. It requests the disk ids of all other initial members with raft.hello, and
/// writes the first group entry only when each of them has reported that its disk never held a term, vote, entry or
/// snapshot. Any committed entry is on a majority of the disks, so a bootstrap member that lost its own disk gets a
/// non-empty report from at least one host unless all disks of the group are lost; an unreachable host blocks the
/// bootstrap. Unlike a bootstrap flag this cannot be repeated by mistake in a start script, but all initial members must
/// be up at the same time for the first start. If the bootstrap member's disk is lost after another host has voted but
/// before any host has stored the group entry, nothing was committed; the operator clears the data folders and starts
/// again.
///
/// Not detected: a data folder that was restored from a backup, since it has the same disk id as the newer data.
class RaftCore
{
public:
    RaftCore(RaftIdentity identity, StoredState stored, RaftOptions options, Random random, TimeMs now);

    /// Handles timeouts: starts elections and the bootstrap, sends heartbeats, and steps down without a majority. Must be
    /// called every 10 to 50 ms.
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
    /// Adds a host as a learner, which becomes a voter when it has caught up. Also readmits a member with a new disk.
    /// Errors: NotLeader, Unavailable (a change is pending, the host has not reported its disk, or the new group has no
    /// reachable majority), Conflict (already a member with this disk).
    RaftResult<Proposal> addMember(const std::string &id, const std::string &address, TimeMs now);
    /// Errors: NotLeader, Unavailable (as above), NotFound, Conflict (the last voter).
    RaftResult<Proposal> removeMember(const std::string &id, TimeMs now);
    /// Takes a snapshot. @p state is the owner's state after the last entry returned in RaftActions::committed; the log
    /// entries up to that entry are dropped.
    RaftActions compact(const std::string &state);

    bool isLeader() const;
    /// True if this host is the leader and has committed an entry of its term, so that all entries committed in earlier
    /// terms are committed here as well.
    bool isReady() const;
    /// Returns the latest time T such that a majority has answered a request of this term sent at T or later; -1 if this
    /// host is not ready.
    TimeMs quorumContactMs(TimeMs now) const;
    /// True if this host, with its current disk, is a voter of the newest group in its log.
    bool isVoter() const;
    /// True if no term, vote, entry or snapshot was ever stored.
    bool isEmpty() const;
    Leadership leadership() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    const RaftLog &log() const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    /// Replication state of a peer, kept by the leader.
    struct Progress {
        std::string diskId; ///< disk id that the peer reported in this term; empty if none
        std::uint64_t matchIndex = 0; ///< highest index known to be replicated
        std::uint64_t nextIndex = 1; ///< index of the next entry to send
        TimeMs lastAnsweredSentMs = -1; ///< sending time of the newest request that was answered
        TimeMs appendSentMs = -1; ///< sending time of the outstanding request with entries; -1 if none
        TimeMs snapshotSentMs = -1; ///< sending time of the outstanding snapshot; -1 if none
    };

    RaftActions takeActions();
    RaftResult<Proposal> rejected(Errc error);
    void changeRole(Role role, const std::string &leader);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void becomeLeader(TimeMs now);
    void setHardState(std::uint64_t term, const std::string &vote);
    void resetElectionTimer(TimeMs now);
    void startElection(bool preVote, TimeMs now);
    bool mayStartElection() const;
    void checkElectionWon(TimeMs now);
    bool mayGrantVote(const VoteRequest &request) const;
    bool acceptLeader(std::uint64_t term, const std::string &leader, TimeMs now);
    bool areEntriesValid(const AppendRequest &request) const;
    void storeEntries(const std::vector<LogEntry> &entries);
    void advanceCommit(std::uint64_t index);
    std::uint64_t conflictHint(std::uint64_t prevIndex) const;

    void tickLeader(TimeMs now);
    void sendAppend(const GroupMember &peer, TimeMs now, bool heartbeat);
    void sendSnapshot(const GroupMember &peer, Progress &progress, TimeMs now);
    void broadcastAppends(TimeMs now, bool heartbeat);
    std::uint64_t appendLocal(EntryKind kind, Json::Value data);
    void advanceLeaderCommit();
    bool isVerifiedVoter(const GroupMember &member) const;
    TimeMs majorityContactMs(TimeMs now) const;
    void promoteLearner(TimeMs now);
    RaftResult<Proposal> changeGroup(const std::vector<GroupMember> &members, TimeMs now);
    bool hasReachableMajority(const std::vector<GroupMember> &members, TimeMs now) const;
    bool mayChangeGroup() const;

    bool isBootstrapMember() const;
    void tickBootstrap(TimeMs now);
    void bootstrapGroup();

    RaftIdentity m_identity;
    RaftOptions m_options;
    Random m_random;
    HardState m_hardState;
    RaftLog m_log;
    std::uint64_t m_commitIndex = 0;
    Role m_role = Role::Follower;
    std::string m_leaderId;
    TimeMs m_leaderContactMs = -1; ///< time of the last request of a leader or of the restart; -1 if none
    TimeMs m_electionDeadlineMs = 0;
    std::set<std::string> m_grantedVotes;
    std::map<std::string, Progress> m_progress;
    TimeMs m_heartbeatDueMs = 0;
    TimeMs m_electedMs = 0;
    std::uint64_t m_termStartIndex = 0; ///< index of the leader's first entry of its term
    std::map<std::string, std::string> m_emptyDiskIds; ///< bootstrap: disk ids of the hosts that reported an empty disk
    TimeMs m_helloDueMs = 0;
    Leadership m_reportedLeadership; ///< last leadership returned in RaftActions
    RaftActions m_pendingActions;
};
}
