#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// This node's part of the teams' rates. The leader counts each team's tokens for all nodes; a node holds those granted
/// in advance and asks for more. While no leader answers, a node uses a share of the rate that the leader reserves for it.
class TeamRateLimiter
{
public:
    enum class Result { Taken, Refused, Pending };

    /// Sends a request for tokens to the leader. Returns false if there is no leader.
    std::function<bool(const TokenRequest &)> requestTokens;

    /// Takes a token of @p team. After Asked, granted() tells when to try again.
    Result tryTake(const Team &team, double nowMs);
    /// Returns when a refused caller of the team should come back, in ms.
    double retryAfterMs(const Team &team, double nowMs) const;
    /// Tokens of the leader, on request or in advance.
    void addGrant(const TokenGrant &grant, double nowMs);
    void setShares(const std::vector<TeamShare> &shares);
    /// The leader did not answer in time: tokens come from the own share until @p untilMs.
    void useOwnShareUntil(double untilMs)
    {
        m_ownShareUntilMs = untilMs;
    }
    /// Returns the demand of all teams for the next report, and gives back tokens that were not needed.
    std::vector<TeamDemand> demand(double nowMs);

private:
    struct Bucket {
        double tokens = 0; ///< granted by the leader
        double share = 0;
        double shareTokens = 0; ///< from the share
        double shareUpdatedMs = 0;
        double refusedUntilMs = 0; ///< the leader has none before
        double demandPerS = 0; ///< smoothed demand
        double requestCount = 0; ///< requests since the last report
    };
    Result takeFromOwnShare(Bucket &bucket, const Team &team, double nowMs);

    std::map<std::string, Bucket> m_buckets;
    double m_reportedMs = 0;
    double m_ownShareUntilMs = 0;
};
}
