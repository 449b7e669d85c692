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
/// Hooks into the owner of a control plane.
struct ControlPlaneHooks {
    std::function<void()> stateChanged; ///< manifest, keys or claim groups may have changed
    std::function<void()> viewChanged; ///< members may have changed
    std::function<void(bool)> freshChanged; ///< the freshness proof was lost (false) or regained (true)
    /// Returns the share to report; called before each request.
    std::function<std::optional<ShareMessage>()> share;
    /// Takes a granted share; the time is when the request was sent.
    std::function<void(const ShareMessage &, TimeMs sentAt)> shareGranted;
};

/// The node's part in membership, replicated state and freshness proofs: syncs with its coordinator and serves the syncs
/// of others, as coordinator of its domain or as a relay.
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
    /// True if the applied state is proven to be fresh.
    bool isFresh() const;
    /// True if this node holds the coordinator lease of its domain.
    bool isCoordinator() const;
    const CoordinatorLeaseHolder &lease() const
    {
        return m_lease;
    }
    /// Peer address of the domain's coordinator, without one that of the holder of its floor; empty if unknown.
    std::string coordinatorAddress() const;
    /// Description of this node as it announces it.
    const Member &self() const
    {
        return m_client.self();
    }
    /// Announces a change of the upstream, or its absence.
    void setUpstream(const std::optional<UpstreamAnnouncement> &upstream);
    /// Announces that this node takes no new work and gives its lease back.
    void drain();

private:
    static Member describe(const Settings &settings, const PeerIdentity &identity);
    StateHooks stateHooks();
    Json::Value serveSync(const Json::Value &parameters);
    void sync();
    void takeAnswer(std::error_code error, const Json::Value &result, TimeMs sentAt);
    void check();

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
    bool m_fresh = false;
    bool m_coordinating = false;
    bool m_draining = false;
};
}
