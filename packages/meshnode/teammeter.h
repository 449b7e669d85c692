#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// This node's part of the teams' rates: counts demand and takes tokens from a bucket of the granted share.
class TeamMeter
{
public:
    /// Takes a token of @p team; true for a team without a limit.
    bool tryTake(const Team &team, double nowMs);
    /// Returns how long the team's next token takes, in ms.
    double waitMs(const Team &team, double nowMs) const;
    /// Takes the shares granted by the leader.
    void setShares(const std::vector<TeamShare> &shares);
    /// Returns the demand of all teams for the next report.
    std::vector<TeamDemand> demand(double nowMs);

private:
    struct Bucket {
        double share = 0;
        double level = 0;
        double updatedMs = 0;
        double perS = 0; ///< smoothed demand
        double counted = 0; ///< requests since the last report
    };
    std::map<std::string, Bucket> m_buckets;
    double m_reportedMs = 0;
};
}
