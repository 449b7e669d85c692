#pragma once

#include "claims/claimcoordinator.h"
#include "claims/claimreplica.h"
#include "controlplane.h"

#include <map>
#include <memory>

namespace Yuccagrade
{
/// A claim and the addresses of the replicas that it is requested from.
struct ClaimTicket {
    ClaimCoordinator claim;
    std::vector<std::string> addresses;
};

/// Hosts replicas of claim groups on this node and acquires claims for actions.
class ClaimAgent
{
public:
    using Callback = std::function<void(const std::shared_ptr<ClaimTicket> &)>;

    ClaimAgent(EventLoop &loop, PeerLink &link, EventLog &log, ControlPlane &plane, const PeerIdentity &identity);

    /// Starts the timer for claim timeouts, replica copies and expiry.
    void start();
    /// Applies the claim groups of the replicated state.
    void stateChanged();
    /// Requests the claim of (@p team, @p key). The callback gets the granted or failed claim, or null if the replicated state
    /// has no complete claim group for the action.
    void claim(const std::string &team, const std::string &key, TimeMs timeoutMs, Callback callback);
    /// Releases a claim unless its action may have reached an upstream.
    void releaseUnused(ClaimTicket &ticket);
    /// Number of hosted replicas that still abstain, that is, do not answer claim requests yet.
    int abstainingCount() const;

private:
    using GroupEpoch = std::pair<int, std::uint64_t>; ///< group number and epoch
    struct HostedReplica {
        std::unique_ptr<ClaimReplica> replica;
        std::vector<std::string> sources; ///< addresses to copy claims from, indexed by the source numbers of the replica
        bool abstainingReported = true; ///< the end of abstention is not logged yet
    };
    struct PendingClaim {
        std::shared_ptr<ClaimTicket> ticket;
        Callback callback;
    };

    std::vector<int> groupsOf(const std::string &team) const;
    void hostReplica(const ClaimGroup &group, ReplicaStart start);
    void tick();
    void tickReplicas(TimeMs now);
    void sendCopyRequest(const GroupEpoch &key, const CopySend &send);
    void applyAction(const std::shared_ptr<PendingClaim> &pending, ClaimAction action);
    void sendRelease(const ClaimTicket &ticket);
    HostedReplica *findReplica(int group, std::int64_t epoch);
    HostedReplica *newestReplica(int group);
    Json::Value serveClaim(const Json::Value &parameters);
    Json::Value serveRelease(const Json::Value &parameters);
    Json::Value serveCopy(const Json::Value &parameters);

    EventLoop &m_loop;
    PeerLink &m_link;
    EventLog &m_log;
    ControlPlane &m_plane;
    PeerIdentity m_identity;
    Random m_random;
    std::map<GroupEpoch, HostedReplica> m_hostedReplicas;
    std::vector<std::shared_ptr<PendingClaim>> m_pendingClaims;
};
}
