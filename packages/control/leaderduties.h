#pragma once

#include "clustercore.h"

namespace Yuccagrade
{
/// Periodic tasks of the leader: assigns the replicas of claim groups and the holders of floors, and logs when a manifest or
/// a key withdrawal is in force.
class LeaderDuties
{
public:
    explicit LeaderDuties(ClusterCore &core);

    /// Must be called on every tick while this host is the leader.
    void tick(LeaderState &leader, TimeMs now);

private:
    void updateFloors(LeaderState &leader, TimeMs now);
    void updateGroups(LeaderState &leader, TimeMs now);
    void updateDownSince(LeaderState &leader, TimeMs now) const;
    bool needsReplacement(const LeaderState &leader, const ClaimReplicaSpec &replica, TimeMs now) const;
    using ReplicaCounts = std::map<std::string, int>; ///< number of replicas, by node id
    std::vector<ClaimReplicaSpec> chooseReplicas(const ClaimGroup &group, const std::vector<ClaimReplicaSpec> &kept, ReplicaCounts &replicaCounts) const;
    std::string groupRegion(int group) const;
    ReplicaCounts replicaCounts() const;
    void propose(const Command &command);
    void logInForce(LeaderState &leader, TimeMs now);

    ClusterCore &m_core;
    TimeMs m_nextRunMs = 0;
    int m_pendingProposals = 0; ///< number of proposals without an outcome yet
    std::map<int, TimeMs> m_groupChangedMs; ///< time of the last change, by number of the claim group
    std::uint64_t m_loggedManifestVersion = 0; ///< version of the manifest that was last logged as in force
    std::set<std::string> m_loggedWithdrawals; ///< ids of the keys whose withdrawal was logged as in force
};
}
