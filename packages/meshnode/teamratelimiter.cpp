#include "teamratelimiter.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Time constant of the exponential moving average of the reported demand.
constexpr double demandTimeConstantMs = 700;
// Granted tokens that are kept in reserve, in seconds of demand; the rest is returned to the leader.
constexpr double reserveS = 0.5;
// A refused caller that retries immediately would be refused again.
constexpr double minRetryAfterMs = 300;
// Maximum validity of a refusal by the leader, since other nodes may return tokens.
constexpr double maxRefusalMs = 60;
// A token request that was not answered for this time is considered lost.
constexpr double requestLostMs = 650;
// Time after an answer that came too late, for which tokens are kept in reserve.
constexpr double lateAnswersMs = 3'000;
constexpr double msPerSecond = 1'000;
// Lower demands are reported as none.
constexpr double minReportedDemandPerS = 0.05;
// The demand is reported again if it changed by this fraction, and at least by this value.
constexpr double reportedDemandChange = 0.3;
constexpr double minReportedDemandChange = 0.1;

// Fields of a TeamDemand that are exact; a change of any is reported.
auto exactFields(const TeamDemand &demand)
{
    return std::tie(demand.unusedTokens, demand.receivedTokens, demand.share, demand.shareTokens, demand.offlineTokens);
}

bool hasChanged(const TeamDemand &demand, const TeamDemand &reported)
{
    const double change = std::abs(demand.requestsPerS - reported.requestsPerS);
    const bool isNewDemand = change > std::max(minReportedDemandChange, reportedDemandChange * reported.requestsPerS);
    const bool hasEnded = demand.requestsPerS == 0 && reported.requestsPerS > 0;
    return isNewDemand || hasEnded || demand.returnedTokens > 0 || exactFields(demand) != exactFields(reported);
}

bool isInUse(const TeamDemand &demand)
{
    return demand.requestsPerS > 0 || demand.returnedTokens > 0 || exactFields(demand) != exactFields(TeamDemand());
}
}

TeamRateLimiter::Result TeamRateLimiter::tryTake(const Team &team, double nowMs, bool hasWaited)
{
    Bucket &bucket = m_buckets[team.name];
    bucket.requestCount += 1;
    if (team.ratePerS <= 0) {
        return Result::Taken;
    }
    // The leader gives tokens and shares of a node to others after the end of its lease.
    if (nowMs > m_leaseEndMs) {
        bucket.tokens = 0;
        bucket.usage.refused += 1;
        return Result::Refused;
    }
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        bucket.usage.fromGrants += 1;
        replenishReserve(bucket, team.name, nowMs);
        return Result::Taken;
    }
    if (hasWaited) {
        m_lateUntilMs = nowMs + lateAnswersMs;
    }
    if (hasWaited || isLeaderLate(nowMs)) {
        return takeFromOwnShare(bucket, team, nowMs);
    }
    if (nowMs < bucket.refusedUntilMs) {
        bucket.usage.refused += 1;
        return Result::Refused;
    }
    if (!requestToken(bucket, team.name, nowMs)) {
        return takeFromOwnShare(bucket, team, nowMs);
    }
    bucket.requestCount -= 1; // counted when the wait ends
    return Result::Pending;
}

// Answers keep the order of the requests, so the oldest one tells how late they are.
bool TeamRateLimiter::isLeaderLate(double nowMs)
{
    std::erase_if(m_unansweredRequests, [nowMs](const auto &request) {
        return nowMs - request.second > requestLostMs;
    });
    return !m_unansweredRequests.empty() && nowMs - m_unansweredRequests.begin()->second > maxTokenWaitMs;
}

// Tokens that bridge times without an answer; none while the answers are in time.
int TeamRateLimiter::missingReserve(const Bucket &bucket, double nowMs) const
{
    if (nowMs >= m_lateUntilMs || m_unansweredRequests.contains(bucket.reserveRequest)) {
        return 0;
    }
    return std::max(0, static_cast<int>(1 + std::round(bucket.demandPerS * reserveS) - bucket.tokens));
}

// Each waiting request asks for one token, so that no unused tokens are granted while the answers are in time.
bool TeamRateLimiter::requestToken(Bucket &bucket, const std::string &team, double nowMs)
{
    const int reserve = missingReserve(bucket, nowMs);
    const bool isSent = sendRequest(team, 1 + reserve, nowMs);
    bucket.reserveRequest = isSent && reserve > 0 ? m_lastRequest : bucket.reserveRequest;
    return isSent;
}

void TeamRateLimiter::replenishReserve(Bucket &bucket, const std::string &team, double nowMs)
{
    const int missing = missingReserve(bucket, nowMs);
    if (missing > bucket.tokens && nowMs >= bucket.refusedUntilMs) {
        sendRequest(team, missing, nowMs);
        bucket.reserveRequest = m_lastRequest;
    }
}

bool TeamRateLimiter::sendRequest(const std::string &team, int wanted, double nowMs)
{
    if (!requestTokens({team, wanted, m_account, ++m_lastRequest})) {
        return false;
    }
    m_unansweredRequests.emplace(m_lastRequest, nowMs);
    return true;
}

// In a large fleet a node's share of a rate yields less than one token while no leader answers, so with whole tokens nearly all
// requests within the limit were refused then. With a random threshold between 0 and 1 for each token, the tokens that a node
// takes equal those of its share on average, so all nodes together stay at the rate.
TeamRateLimiter::Result TeamRateLimiter::takeFromOwnShare(Bucket &bucket, const Team &team, double nowMs)
{
    const double ratePerS = team.ratePerS * bucket.share;
    const double elapsed = nowMs - std::max(bucket.shareUpdatedMs, m_contactMs);
    const double accrued = bucket.shareTokens + elapsed * ratePerS / msPerSecond;
    bucket.shareTokens = std::min(maxShareTokens(bucket.share, team.burst), accrued);
    bucket.shareUpdatedMs = nowMs;
    if (bucket.shareTokens < bucket.shareThreshold) {
        bucket.usage.refused += 1;
        return Result::Refused;
    }
    bucket.shareTokens -= 1;
    bucket.shareThreshold = m_random.fraction();
    bucket.takenFromShare += 1;
    bucket.usage.fromShare += 1;
    return Result::Taken;
}

double TeamRateLimiter::retryAfterMs(const Team &team, double nowMs) const
{
    const auto found = m_buckets.find(team.name);
    const double wait = found == m_buckets.end() ? 0 : found->second.refusedUntilMs - nowMs;
    return std::max(minRetryAfterMs, wait);
}

bool TeamRateLimiter::addGrant(const TokenGrant &grant, double nowMs)
{
    if (grant.account != m_account) {
        return false;
    }
    m_unansweredRequests.erase(m_unansweredRequests.begin(), m_unansweredRequests.upper_bound(grant.sequence));
    Bucket &bucket = m_buckets[grant.team];
    bucket.tokens += grant.granted;
    bucket.received += grant.granted;
    bucket.usage.received += grant.granted;
    if (grant.granted == 0) {
        bucket.usage.refused += 1;
        bucket.requestCount += 1;
        bucket.refusedUntilMs = nowMs + std::min(grant.waitMs, maxRefusalMs);
    }
    return true;
}

void TeamRateLimiter::applyReply(const SyncReplyMessage &reply, double leaseEndMs, double nowMs)
{
    if (reply.account != m_account) {
        return;
    }
    m_fleetSize = reply.fleetSize;
    for (const TeamShare &share : reply.shares) {
        Bucket &bucket = m_buckets[share.team];
        bucket.share = share.share;
        bucket.reserve = share.reserve;
        bucket.tokens += share.tokens;
        bucket.received += share.tokens;
        bucket.usage.received += share.tokens;
    }
    if (leaseEndMs > 0) {
        m_answeredSequence = reply.sequence;
        m_contactMs = nowMs;
        m_leaseEndMs = leaseEndMs;
        for (auto &[team, bucket] : m_buckets) {
            bucket.shareTokens = 0;
            bucket.shareThreshold = m_random.fraction();
            bucket.takenBeforeContact = bucket.takenFromShare;
        }
    }
}

void TeamRateLimiter::fillReport(SyncMessage &report, double nowMs)
{
    report.account = m_account;
    report.answeredSequence = m_answeredSequence;
    report.fleetSize = m_fleetSize;
    const double elapsed = nowMs - m_reportedMs;
    m_reportedMs = nowMs;
    for (auto &[team, bucket] : m_buckets) {
        if (elapsed > 0) {
            const double weight = 1 - std::exp(-elapsed / demandTimeConstantMs);
            bucket.demandPerS += (bucket.requestCount * msPerSecond / elapsed - bucket.demandPerS) * weight;
        }
        bucket.requestCount = 0;
        const Usage usage = std::exchange(bucket.usage, {});
        if (onUsage && (usage.fromShare > 0 || usage.refused > 0)) {
            onUsage(team, usage, bucket.share, bucket.tokens);
        }
        const double kept = std::max(bucket.reserve, std::round(bucket.demandPerS * reserveS) + (nowMs < m_lateUntilMs ? 1 : 0));
        const double returned = std::max(0.0, bucket.tokens - kept);
        bucket.tokens -= returned;
        const TeamDemand demand = demandOf(team, bucket, returned);
        if (m_isFullReportDue ? isInUse(demand) : hasChanged(demand, bucket.reported)) {
            report.demand.push_back(demand);
            bucket.reported = demand;
        }
    }
    report.isFullDemand = std::exchange(m_isFullReportDue, false);
}

TeamDemand TeamRateLimiter::demandOf(const std::string &team, const Bucket &bucket, double returnedTokens) const
{
    return {.team = team,
            .requestsPerS = bucket.demandPerS < minReportedDemandPerS ? 0 : bucket.demandPerS,
            .unusedTokens = bucket.tokens,
            .returnedTokens = returnedTokens,
            .receivedTokens = bucket.received,
            .share = bucket.share,
            .shareTokens = bucket.takenFromShare,
            .offlineTokens = bucket.takenFromShare - bucket.takenBeforeContact};
}
}
