#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Enforces the teams' request rates at this node. The leader maintains a token bucket per team for all nodes and grants
/// tokens in advance and on request. Without an answering leader, a node uses the share of the rate that is reserved for it.
class TeamRateLimiter
{
public:
    enum class Result { Taken, Refused, Pending };

    /// What a team used since the previous report.
    struct Usage {
        double fromGrants = 0; ///< tokens
        double fromShare = 0; ///< tokens
        double refused = 0; ///< requests
        double received = 0; ///< tokens granted by the leader
    };

    /// Called with each report for a team that had refusals or took tokens from the node's own share.
    std::function<void(const std::string &team, const Usage &usage, double share, double unusedTokens)> onUsage;
    /// Sends a request for tokens to the leader. Returns false if there is no leader.
    std::function<bool(const TokenRequest &)> requestTokens;

    /// Takes a token of @p team. Pending means that a token was requested from the leader; the caller retries after
    /// addGrant().
    Result tryTake(const Team &team, double nowMs);
    /// Returns the Retry-After time for a refused caller of the team, in ms.
    double retryAfterMs(const Team &team, double nowMs) const;
    /// Adds the tokens that the leader granted on request; a grant of none sets the time of refusals.
    void addGrant(const TokenGrant &grant, double nowMs);
    /// Sets the shares of the rates and adds the tokens that the leader granted in advance.
    void setShares(const std::vector<TeamShare> &shares);
    /// Takes tokens from this node's share until @p untilMs, without requests to the leader.
    void useOwnShareUntil(double untilMs)
    {
        m_ownShareUntilMs = untilMs;
    }
    /// Returns the demand of all teams for the next report, including the unused tokens that it returns to the leader.
    std::vector<TeamDemand> demand(double nowMs);

private:
    struct Bucket {
        double tokens = 0; ///< granted by the leader
        double share = 0;
        double shareTokens = 0; ///< from this node's share
        double shareUpdatedMs = 0;
        double refusedUntilMs = 0; ///< end of the wait time that the leader set with its last refusal
        double demandPerS = 0; ///< smoothed demand in requests/s
        double requestCount = 0; ///< requests since the last report
        Usage usage; ///< since the last report
    };
    Result takeFromOwnShare(Bucket &bucket, const Team &team, double nowMs);

    std::map<std::string, Bucket> m_buckets;
    double m_reportedMs = 0;
    double m_ownShareUntilMs = 0;
};
}
