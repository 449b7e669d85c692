#pragma once

#include "base/random.h"
#include "config/clusterstate.h"
#include "config/settings.h"
#include "membership/syncclient.h"
#include "membership/syncserver.h"
#include "protocol/peerlink.h"

#include <functional>

namespace Yuccagrade
{
/// Callbacks of a control plane to its owner.
struct ControlPlaneHooks {
    std::function<void()> stateChanged; ///< manifest, keys or claim groups may have changed
    std::function<void()> viewChanged; ///< members may have changed
    std::function<void(bool)> freshnessChanged; ///< the freshness proof was lost (false) or regained (true)
    /// Returns the quota share to report; called before each sync request.
    std::function<std::optional<ShareMessage>()> share;
    /// Receives a granted quota share and the time at which the sync request was sent.
    std::function<void(const ShareMessage &, TimeMs sentAt)> shareGranted;
};

/// Keeps membership, replicated state and freshness proofs of this node up to date: syncs with its coordinator and serves sync
/// requests of other nodes, as coordinator of its domain or as a relay.
class ControlPlane
{
public:
    ControlPlane(EventLoop &loop, PeerLink &link, EventLog &log, const Settings &settings, const PeerIdentity &identity, ControlPlaneHooks hooks);

    /// Starts the timers.
    void start();
    const ClusterState &state() const
    {
        return m_state;
    }
    const MemberView &view() const
    {
        return m_view;
    }
    /// True if a valid proof shows that the applied state is fresh.
    bool isFresh() const;
    /// True if this node holds the coordinator lease of its domain.
    bool isCoordinator() const;
    const CoordinatorLeaseHolder &lease() const
    {
        return m_lease;
    }
    /// Peer address of the domain's coordinator; if there is none, of the holder of the domain's quota floor; empty if unknown.
    std::string coordinatorAddress() const;
    /// Member description that this node announces.
    const Member &self() const
    {
        return m_client.self();
    }
    /// Sets the upstream to announce, or none.
    void setUpstream(const std::optional<UpstreamAnnouncement> &upstream);
    /// Announces that this node is draining and releases its coordinator lease.
    void drain();

private:
    static Member makeSelf(const Settings &settings, const PeerIdentity &identity);
    StateHooks stateHooks();
    Json::Value serveSync(const Json::Value &parameters);
    void sync();
    void onSyncResponse(std::error_code error, const Json::Value &result, TimeMs sentAt);
    void detectChanges();

    EventLoop &m_loop;
    PeerLink &m_link;
    EventLog &m_log;
    ControlPlaneHooks m_hooks;
    Random m_random;
    ClusterState m_state;
    StateFeed m_feed;
    MemberView m_view;
    ProofHolder m_proofs;
    CoordinatorLeaseHolder m_lease;
    StateReceiver m_receiver;
    SyncClient m_client;
    SyncServer m_server;
    bool m_reportedFresh = false;
    bool m_reportedCoordinator = false;
    bool m_draining = false;
};
}
