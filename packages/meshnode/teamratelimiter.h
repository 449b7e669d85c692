#pragma once

#include "base/random.h"
#include "mesh/fleetconfig.h"
#include "mesh/messages.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Enforces the teams' request rates at this node. The leader maintains a token bucket per team for all nodes and grants
/// tokens in advance and on request. Without an answering leader, a node takes tokens from its own share of the rate, which
/// accumulate since the leader's last answer; it reports them, so that the leader debits them to the team.
class TeamRateLimiter
{
public:
    enum class Result { Taken, Refused, Pending };
    /// Maximum time that a request waits for a token from the leader. A leader is delayed by about 60 ms while it sends a new
    /// configuration to all nodes of a large fleet.
    static constexpr double maxTokenWaitMs = 150;

    /// What a team used since the previous report.
    struct Usage {
        double fromGrants = 0; ///< tokens
        double fromShare = 0; ///< tokens
        double refused = 0; ///< requests
        double received = 0; ///< tokens granted by the leader
    };

    /// @param processId tells the accounts of this process from those of earlier ones of the node.
    explicit TeamRateLimiter(std::uint32_t processId)
        : m_account(static_cast<std::uint64_t>(processId) << 32U | 1U)
        , m_random(processId)
    {
    }

    /// Called with each report for a team that had refusals or took tokens from the node's own share.
    std::function<void(const std::string &team, const Usage &usage, double share, double unusedTokens)> onUsage;
    /// Sends a request for tokens to the leader. Returns false if there is no leader.
    std::function<bool(const TokenRequest &)> requestTokens;

    /// Takes a token of @p team. Pending means that a token was requested from the leader; the caller retries after
    /// addGrant(), or after maxTokenWaitMs without it as @p hasWaited.
    Result tryTake(const Team &team, double nowMs, bool hasWaited = false);
    /// Returns the Retry-After time for a refused caller of the team, in ms.
    double retryAfterMs(const Team &team, double nowMs) const;
    /// Adds the tokens that the leader granted on request; a grant of none sets the time of refusals. Returns false if the grant
    /// belongs to a former account.
    bool addGrant(const TokenGrant &grant, double nowMs);
    /// Sets the shares of the rates and adds the tokens that the leader granted in advance. @p leaseEndMs is the time until
    /// which the shares and all granted tokens may be used, 0 if the reply is no answer to a report.
    void applyReply(const SyncReplyMessage &reply, double leaseEndMs, double nowMs);
    /// Starts a new account with the leader, since tokens and shares on their way to this node may be lost.
    void startAccount()
    {
        ++m_account;
        m_answeredSequence = 0;
        m_isFullReportDue = true;
        m_unansweredRequests.clear();
        for (auto &[team, bucket] : m_buckets) {
            bucket.received = 0;
            bucket.reserve = 0;
        }
    }
    /// Adds the account and the demand to a report, including the unused tokens that it returns to the leader: that of all teams
    /// in use to the first report of an account, and what changed since the previous report to all others.
    void fillReport(SyncMessage &report, double nowMs);
    /// Makes the next report a full one, since the leader does not know the previous one.
    void requestFullReport()
    {
        m_isFullReportDue = true;
    }

private:
    struct Bucket {
        double tokens = 0; ///< granted by the leader
        double reserve = 0; ///< TeamShare::reserve
        double share = 0;
        double shareTokens = 0; ///< from this node's share
        double shareUpdatedMs = 0;
        double shareThreshold = 1; ///< of shareTokens, at which the next one may be taken
        double takenFromShare = 0; ///< tokens since the start of the process
        double takenBeforeContact = 0; ///< value of takenFromShare at the last answer of a leader
        std::uint64_t reserveRequest = 0; ///< sequence of the newest request that included a reserve
        double received = 0; ///< granted tokens in the present account
        double refusedUntilMs = 0; ///< end of the wait time that the leader set with its last refusal
        double demandPerS = 0; ///< smoothed demand in requests/s
        double requestCount = 0; ///< requests since the last report
        Usage usage; ///< since the last report
        TeamDemand reported; ///< values of the last report that contained the team
    };
    TeamDemand demandOf(const std::string &team, const Bucket &bucket, double returnedTokens) const;
    Result takeFromOwnShare(Bucket &bucket, const Team &team, double nowMs);
    bool isLeaderLate(double nowMs);
    bool requestToken(Bucket &bucket, const std::string &team, double nowMs);
    void replenishReserve(Bucket &bucket, const std::string &team, double nowMs);
    bool sendRequest(const std::string &team, int wanted, double nowMs);
    int missingReserve(const Bucket &bucket, double nowMs) const;

    std::map<std::string, Bucket> m_buckets;
    double m_reportedMs = 0;
    std::map<std::uint64_t, double> m_unansweredRequests; ///< send times of token requests by sequence
    std::uint64_t m_lastRequest = 0;
    double m_lateUntilMs = 0; ///< until then, requests include tokens for times without an answer
    std::uint64_t m_account;
    Random m_random;
    std::uint64_t m_answeredSequence = 0; ///< in the present account
    bool m_isFullReportDue = true;
    double m_contactMs = 0; ///< time of the last answer of a leader
    double m_leaseEndMs = std::numeric_limits<double>::max();
    int m_fleetSize = 0;
};
}
