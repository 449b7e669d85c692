#pragma once

#include "raftcore.h"
#include "storage.h"

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace Yuccagrade
{
/// Callbacks of a replica to its owner. A hook may call propose(), but not tick() or the handlers.
struct ReplicaHooks {
    /// Sends a request. Its result must be passed to handleResponse(); without a result the replica sends it again later.
    std::function<void(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params)> send;
    /// Applies a committed entry; called once per entry, in the order of the log. For entries that are not commands
    /// @p command is null, so that the owner is called for every index.
    std::function<void(std::uint64_t index, const Json::Value &command)> apply;
    /// Replaces the applied state by that of a snapshot at @p index.
    std::function<void(std::uint64_t index, const std::string &state)> restoreSnapshot;
    /// Returns the applied state as a text that restoreSnapshot() accepts.
    std::function<std::string()> serializeState;
    std::function<void(const Leadership &)> leadershipChanged;
    /// Called with the members of the group after each committed group change.
    std::function<void(const std::vector<GroupMember> &)> groupChanged;
    /// Called when a write has failed. The replica has stopped and returns StorageFailed from every call until the process
    /// is restarted.
    std::function<void(std::error_code)> storageFailed;
};

struct ReplicaSettings {
    std::string folder;
    std::string id;
    std::vector<GroupMember> initialMembers; ///< id and address, for the first start of the group
    RaftOptions raft;
    /// Number of applied entries after which a snapshot is taken. Bounds the size of the log on disk and the restart time.
    std::size_t snapshotEntries = 1000;
};

/// Called with the outcome of a proposal. Errors: NotLeader (another entry was committed at its index; it will never be
/// applied), Unavailable (this host lost the leadership before the commit; it may still be applied), StorageFailed (it may
/// still be applied).
using ProposalCallback = std::function<void(std::error_code error, std::uint64_t index)>;

/// One member of the consensus group: runs a RaftCore and persists its state in the data folder.
class Replica
{
public:
    Replica(ReplicaSettings settings, ReplicaHooks hooks, Clock clock, std::uint64_t seed, FileHooks fileHooks = {});

    /// Opens the data folder and restores the snapshot. Errors: those of Storage::open().
    std::error_code start(StorageReport &report);
    /// Handles timeouts; must be called every 10 to 50 ms.
    void tick();
    /// Serves raft.hello, raft.vote, raft.append and raft.snapshot. On success @p result is the
    /// response to send; the state that it acknowledges is already synced to disk. Errors: NotFound (method), Malformed, StorageFailed.
    std::error_code handle(std::string_view method, const Json::Value &params, Json::Value &result);
    /// Handles the result of a request that was passed to the send hook. Errors: NotFound (method), Malformed, StorageFailed.
    std::error_code handleResponse(const std::string &peer, std::string_view method, const Json::Value &result);
    /// Proposes a command. @p done is called exactly once unless an error is returned. Errors: NotLeader, Unavailable,
    /// StorageFailed.
    std::error_code propose(const Json::Value &command, ProposalCallback done);
    /// See RaftCore::addMember() and RaftCore::removeMember().
    std::error_code addMember(const std::string &id, const std::string &address, ProposalCallback done);
    std::error_code removeMember(const std::string &id, ProposalCallback done);

    bool isLeader() const;
    /// True if this host is the leader and has applied all entries that were committed in earlier terms.
    bool isReady() const;
    /// See RaftCore::quorumContactMs(); -1 after a disk failure.
    TimeMs quorumContactMs() const;
    std::uint64_t appliedIndex() const;
    /// Returns the address of the leader; empty if unknown.
    std::string leaderAddress() const;
    const std::string &diskId() const;
    /// Returns the core for status reports; null before start().
    const RaftCore *core() const;

private:
    struct PendingProposal {
        std::uint64_t term = 0;
        ProposalCallback done;
    };

    template<typename Request, typename Response>
    std::error_code dispatchRequest(const Json::Value &params, Json::Value &result, RaftResult<Response> (RaftCore::*handler)(const Request &, TimeMs));
    template<typename Response>
    std::error_code
    dispatchResponse(const std::string &peer, const Json::Value &result, RaftActions (RaftCore::*handler)(const std::string &, const Response &, TimeMs));
    std::error_code registerProposal(RaftResult<Proposal> result, ProposalCallback done);
    std::error_code processActions(RaftActions actions);
    std::error_code executeActions(RaftActions &actions);
    std::error_code persist(const RaftActions &actions);
    void apply(const LogEntry &entry);
    void completeProposal(std::uint64_t index, std::uint64_t term);
    void failPendingProposals(std::error_code error);
    void handleStorageFailure(std::error_code error);
    void compactIfNeeded();

    ReplicaSettings m_settings;
    ReplicaHooks m_hooks;
    Clock m_clock;
    std::uint64_t m_seed;
    Storage m_storage;
    std::unique_ptr<RaftCore> m_core;
    std::deque<RaftActions> m_actionQueue;
    bool m_processing = false;
    std::error_code m_failure;
    std::uint64_t m_appliedIndex = 0;
    std::map<std::uint64_t, PendingProposal> m_pendingProposals;
};
}
