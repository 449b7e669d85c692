#pragma once

#include "config/clusterstate.h"
#include "consensus/replica.h"
#include "membership/confirmation.h"
#include "membership/syncclient.h"
#include "membership/syncserver.h"
#include "quota/shareledger.h"
#include "runtime/processhost.h"

#include <functional>
#include <memory>
#include <optional>

namespace Yuccagrade
{
/// State of the leader that is not replicated. It is empty at the start of each term; before the first grants, waiting times
/// cover what an earlier leader may have granted.
struct LeaderState {
    explicit LeaderState(TimeMs now)
        : electedAt(now)
        , leases(now)
        , confirmations(now)
        , ledger(now)
    {
    }
    TimeMs electedAt;
    CoordinatorLeaseTable leases;
    ConfirmationTracker confirmations;
    ShareLedger ledger;
    /// Returns the time at which the withdrawal of a key was committed; the time of the election if it was committed earlier.
    TimeMs withdrawnAt(const std::string &keyId) const
    {
        const auto found = withdrawalTimes.find(keyId);
        return found == withdrawalTimes.end() ? electedAt : found->second;
    }

    std::map<std::string, TimeMs> withdrawalTimes; ///< commit times of the withdrawals of this term, by key id
    std::map<std::string, TimeMs> downSince; ///< by node id: time since which the member view does not contain the node
};

/// The core of a control host: a consensus replica, the replicated cluster state, and the sync with nodes and other
/// control hosts.
class ClusterCore
{
public:
    /// Called with the outcome of a proposal. The error comes from the replica (NotLeader, Unavailable, StorageFailed) or from
    /// applying the command.
    using ProposeCallback = std::function<void(std::error_code error, const ApplyResult &result)>;

    explicit ClusterCore(ProcessHost &host);

    /// Opens the data folder, registers the RPC methods and starts the timer. Returns false if the data folder cannot be
    /// opened; the error is logged.
    bool open();
    void propose(const Json::Value &command, const ProposeCallback &done);
    /// Reports this host as draining to its peers.
    void drain();

    const ClusterState &state() const
    {
        return m_state;
    }
    Replica &replica()
    {
        return *m_replica;
    }
    const MemberView &view() const
    {
        return m_view;
    }
    /// Null unless this host is the leader and its state contains all entries that were committed in earlier terms.
    LeaderState *leaderState()
    {
        return m_leaderState.get();
    }
    /// True if this host is the leader and no other host can have been elected since, so that reads of its state are current.
    bool isStateCurrent() const;
    /// Returns the operator address of the leader; empty if unknown.
    std::string leaderOperatorAddress() const;
    ProcessHost &host()
    {
        return m_host;
    }
    /// Called on every tick while this host is the leader.
    std::function<void(LeaderState &, TimeMs now)> onLeaderTick;

private:
    ReplicaHooks replicaHooks();
    LeaderHooks leaderHooks();
    StateHooks stateHooks();
    static Member makeSelfMember(const ProcessHost &host);
    void registerRaftMethod(const std::string &method);
    void sendRaftRequest(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params);
    void apply(std::uint64_t index, const Json::Value &command);
    void tick();
    void updateLeadership(TimeMs now);
    void syncWithLeader(TimeMs now);
    void handleSyncResponse(std::error_code error, const Json::Value &result, TimeMs sentAt);
    Json::Value handleSyncRequest(const Json::Value &parameters);
    SyncRole role() const
    {
        return m_leaderState ? SyncRole::Leader : SyncRole::Relay;
    }

    ProcessHost &m_host;
    Random m_random;
    ClusterState m_state;
    StateFeed m_stateFeed;
    MemberView m_view;
    ProofHolder m_proofs;
    CoordinatorLeaseHolder m_coordinatorLease; ///< always empty, since control hosts do not coordinate domains
    StateReceiver m_stateReceiver;
    SyncClient m_syncClient;
    SyncServer m_syncServer;
    std::unique_ptr<Replica> m_replica;
    std::unique_ptr<LeaderState> m_leaderState;
    std::map<std::uint64_t, ApplyResult> m_applyResults; ///< results of applied entries, by index, kept until the callbacks of their proposals are called
};
}
