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
/// What only the leader keeps. It starts empty with each term; waits cover what a former leader may have granted.
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
    /// Returns the time from which the withdrawal of a key counts: its commit, or the election for earlier ones.
    TimeMs withdrawnAt(const std::string &keyId) const
    {
        const auto found = withdrawals.find(keyId);
        return found == withdrawals.end() ? electedAt : found->second;
    }

    std::map<std::string, TimeMs> withdrawals; ///< commit times of withdrawals in this term, by key id
    std::map<std::string, TimeMs> downSince; ///< nodes that the view no longer shows
};

/// A control host: consensus, the replicated state, and sync with nodes and other control hosts.
class ClusterCore
{
public:
    /// Outcome of a proposal. The error is one of the transport (NotLeader, Unavailable, StorageFailed) or of the command.
    using ProposeCallback = std::function<void(std::error_code error, const ApplyResult &result)>;

    explicit ClusterCore(ProcessHost &host);

    /// Opens the data folder and starts the timers. Returns false if the host cannot run.
    bool open();
    void propose(const Json::Value &command, const ProposeCallback &done);
    /// Stops counting as available and hands over what it can.
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
    /// Null unless this host leads and its state contains everything committed before.
    LeaderState *leader()
    {
        return m_leader.get();
    }
    /// True if this host leads and no other host can have been elected since, so that its state may be read as current.
    bool isCurrent() const;
    /// Operator address of the leading host, empty if unknown.
    std::string leaderOperatorAddress() const;
    ProcessHost &host()
    {
        return m_host;
    }
    /// Runs on every tick while this host leads.
    std::function<void(LeaderState &, TimeMs now)> leaderTick;

private:
    ReplicaHooks replicaHooks();
    LeaderHooks leaderHooks();
    StateHooks stateHooks();
    static Member describe(const ProcessHost &host);
    void serveRaft(const std::string &method);
    void sendRaft(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params);
    void apply(std::uint64_t index, const Json::Value &command);
    void tick();
    void updateLeadership(TimeMs now);
    void syncWithLeader(TimeMs now);
    void answerSync(std::error_code error, const Json::Value &result, TimeMs sentAt);
    Json::Value serveSync(const Json::Value &parameters);
    SyncRole role() const
    {
        return m_leader ? SyncRole::Leader : SyncRole::Relay;
    }

    ProcessHost &m_host;
    Random m_random;
    ClusterState m_state;
    StateFeed m_feed;
    MemberView m_view;
    ProofHolder m_proofs;
    CoordinatorLeaseHolder m_lease; ///< never held; control hosts do not coordinate domains
    StateReceiver m_receiver;
    SyncClient m_client;
    SyncServer m_server;
    std::unique_ptr<Replica> m_replica;
    std::unique_ptr<LeaderState> m_leader;
    std::map<std::uint64_t, ApplyResult> m_results; ///< of entries that were proposed here and wait for their callback
};
}
