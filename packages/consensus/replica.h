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
/// What a replica asks of its owner. Hooks may call propose(), but not tick() or the handlers.
struct ReplicaHooks {
    /// Sends a request; its result goes to handleResponse(). A request without a result is repeated by the protocol.
    std::function<void(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params)> send;
    /// Applies a committed entry; called once per entry, in the order of the log. Entries that are not commands have a
    /// null value, so that the owner sees every index.
    std::function<void(std::uint64_t index, const Json::Value &command)> apply;
    /// Replaces the applied state by that of a snapshot.
    std::function<void(std::uint64_t index, const std::string &state)> restore;
    /// Returns the applied state as text for restore().
    std::function<std::string()> state;
    std::function<void(const Leadership &)> leadershipChanged;
    /// The group's newest committed members.
    std::function<void(const std::vector<GroupMember> &)> groupChanged;
    /// The disk failed; the replica has stopped and answers every call with StorageFailed until the process restarts.
    std::function<void(std::error_code)> failed;
};

struct ReplicaSettings {
    std::string folder;
    std::string id;
    std::vector<GroupMember> initialMembers; ///< id and address, for the first start of the group
    RaftOptions raft;
    /// A snapshot is taken after this many entries, which bounds the log on disk and the time of a restart.
    std::size_t snapshotEntries = 1000;
};

/// Outcome of a proposal. Errors: NotLeader (another entry took its place: it will never be applied), Unavailable (the
/// leadership ended first: it may still be applied), StorageFailed (as Unavailable).
using ProposalCallback = std::function<void(std::error_code error, std::uint64_t index)>;

/// One member of the consensus group: joins the core with the data folder.
class Replica
{
public:
    Replica(ReplicaSettings settings, ReplicaHooks hooks, Clock clock, std::uint64_t seed, FileHooks fileHooks = {});

    /// Opens the data folder and restores the snapshot. Errors: those of Storage::open().
    std::error_code start(StorageReport &report);
    /// Call every 10 to 50 ms.
    void tick();
    /// Serves raft.hello, raft.vote, raft.append and raft.snapshot. Without an error @p result is the response, to be
    /// sent now; the state it confirms is synced. Errors: NotFound (method), Malformed, StorageFailed.
    std::error_code handle(std::string_view method, const Json::Value &params, Json::Value &result);
    /// Takes the result of a request that the send hook got. Errors: NotFound (method), Malformed, StorageFailed.
    std::error_code handleResponse(const std::string &peer, std::string_view method, const Json::Value &result);
    /// Proposes a command. The callback is called once unless an error is returned. Errors: NotLeader, Unavailable,
    /// StorageFailed.
    std::error_code propose(const Json::Value &command, ProposalCallback done);
    /// See RaftCore::addMember() and RaftCore::removeMember().
    std::error_code addMember(const std::string &id, const std::string &address, ProposalCallback done);
    std::error_code removeMember(const std::string &id, ProposalCallback done);

    bool isLeader() const;
    /// True if this host leads and its applied state contains everything committed before.
    bool isReady() const;
    /// See RaftCore::quorumContactMs(); -1 after a disk failure.
    TimeMs quorumContactMs() const;
    std::uint64_t appliedIndex() const;
    /// Returns the address of the leader; empty if unknown.
    std::string leaderAddress() const;
    const std::string &diskId() const;
    /// The core for status reports; null before start().
    const RaftCore *core() const;

private:
    struct PendingProposal {
        std::uint64_t term = 0;
        ProposalCallback done;
    };

    template<typename Request, typename Response>
    std::error_code serve(const Json::Value &params, Json::Value &result, RaftResult<Response> (RaftCore::*handler)(const Request &, TimeMs));
    template<typename Response>
    std::error_code take(const std::string &peer, const Json::Value &result, RaftActions (RaftCore::*handler)(const std::string &, const Response &, TimeMs));
    std::error_code accept(RaftResult<Proposal> result, ProposalCallback done);
    std::error_code run(RaftActions actions);
    std::error_code runOne(RaftActions &actions);
    std::error_code persist(const RaftActions &actions);
    void apply(const LogEntry &entry);
    void finish(std::uint64_t index, std::uint64_t term);
    void abandonProposals(std::error_code error);
    void fail(std::error_code error);
    void compactIfDue();

    ReplicaSettings m_settings;
    ReplicaHooks m_hooks;
    Clock m_clock;
    std::uint64_t m_seed;
    Storage m_storage;
    std::unique_ptr<RaftCore> m_core;
    std::deque<RaftActions> m_queue;
    bool m_running = false;
    std::error_code m_failure;
    std::uint64_t m_applied = 0;
    std::map<std::uint64_t, PendingProposal> m_pending;
};
}
