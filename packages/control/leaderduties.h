#pragma once

#include "clustercore.h"

namespace Yuccagrade
{
/// Decisions that the leader takes by itself: replicas of claim groups and holders of floors.
class LeaderDuties
{
public:
    explicit LeaderDuties(ClusterCore &core);

    /// Call on every tick of the leader.
    void tick(LeaderState &leader, TimeMs now);

private:
    void updateFloors(LeaderState &leader, TimeMs now);
    void updateGroups(LeaderState &leader, TimeMs now);
    void noteDown(LeaderState &leader, TimeMs now) const;
    bool needsReplacement(const LeaderState &leader, const ClaimReplicaSpec &replica, TimeMs now) const;
    using Loads = std::map<std::string, int>; ///< replicas by node id
    std::vector<ClaimReplicaSpec> choose(const ClaimGroup &group, const std::vector<ClaimReplicaSpec> &kept, Loads &loads) const;
    std::string regionOf(int group) const;
    Loads loads() const;
    void propose(const Command &command);
    void noteInForce(LeaderState &leader, TimeMs now);

    ClusterCore &m_core;
    TimeMs m_nextDue = 0;
    int m_pending = 0; ///< proposals of this class that are under way
    std::map<int, TimeMs> m_changedAt; ///< last change of each claim group
    std::uint64_t m_manifestInForce = 0; ///< version that was last reported to be in force
    std::set<std::string> m_withdrawalsInForce;
};
}
