#pragma once

#include "claims/claimcoordinator.h"
#include "claims/claimreplica.h"
#include "controlplane.h"

#include <map>
#include <memory>

namespace Yuccagrade
{
/// A claim and the replicas that it is asked from.
struct ClaimTicket {
    ClaimCoordinator claim;
    std::vector<std::string> addresses;
};

/// The node's part in claims: hosts replicas of claim groups and obtains claims for actions.
class ClaimAgent
{
public:
    using Callback = std::function<void(const std::shared_ptr<ClaimTicket> &)>;

    ClaimAgent(EventLoop &loop, PeerLink &link, EventLog &log, ControlPlane &plane, const PeerIdentity &identity);

    /// Starts the timer for copies and expiry.
    void start();
    /// Takes over the claim groups of the replicated state.
    void stateChanged();
    /// Asks for the claim of (@p team, @p key). The callback gets a claim that is granted or has failed, or null if the
    /// replicated state names no claim group.
    void claim(const std::string &team, const std::string &key, TimeMs timeoutMs, Callback callback);
    /// Gives a claim back of which it is known that no byte reached an upstream.
    void giveBack(ClaimTicket &ticket);
    /// Number of replicas of this process that do not answer yet.
    int abstaining() const;

private:
    using Key = std::pair<int, std::uint64_t>; ///< group and epoch
    struct Hosted {
        std::unique_ptr<ClaimReplica> replica;
        std::vector<std::string> sources; ///< addresses to copy from, in the order of the replica's source numbers
        bool wasAbstaining = true;
    };
    struct Pending {
        std::shared_ptr<ClaimTicket> ticket;
        Callback callback;
    };

    std::vector<int> groupsOf(const std::string &team) const;
    void host(const ClaimGroup &group, ReplicaStart start);
    void tick();
    void tickReplicas(TimeMs now);
    void sendCopy(const Key &key, const CopySend &send);
    void act(const std::shared_ptr<Pending> &pending, ClaimAction action);
    void sendRelease(const ClaimTicket &ticket);
    Hosted *find(int group, std::int64_t epoch);
    Hosted *newest(int group);
    Json::Value serveClaim(const Json::Value &parameters);
    Json::Value serveRelease(const Json::Value &parameters);
    Json::Value serveCopy(const Json::Value &parameters);

    EventLoop &m_loop;
    PeerLink &m_link;
    EventLog &m_log;
    ControlPlane &m_plane;
    PeerIdentity m_identity;
    Random m_random;
    std::map<Key, Hosted> m_hosted;
    std::vector<std::shared_ptr<Pending>> m_pending;
};
}
