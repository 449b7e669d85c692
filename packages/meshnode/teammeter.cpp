#include "teammeter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Time constant of the exponential moving average of the reported demand.
constexpr double demandTimeConstantMs = 700;
// Burst size of the node's own share, in seconds of its rate.
constexpr double shareBurstS = 0.5;
// Granted tokens that are kept in reserve, in seconds of demand; the rest is returned to the leader.
constexpr double reserveS = 0.5;
// A refused caller that retries immediately would be refused again.
constexpr double minRetryAfterMs = 300;
// Maximum validity of a refusal by the leader, since other nodes may return tokens.
constexpr double maxRefusalMs = 60;
constexpr double msPerSecond = 1'000;
}

TeamRateLimiter::Result TeamRateLimiter::tryTake(const Team &team, double nowMs)
{
    Bucket &bucket = m_buckets[team.name];
    bucket.requestCount += 1;
    if (team.ratePerS <= 0) {
        return Result::Taken;
    }
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        bucket.usage.fromGrants += 1;
        return Result::Taken;
    }
    if (nowMs < m_ownShareUntilMs) {
        return takeFromOwnShare(bucket, team, nowMs);
    }
    if (nowMs < bucket.refusedUntilMs) {
        bucket.usage.refused += 1;
        return Result::Refused;
    }
    // Each waiting request asks for one token, so that no unused tokens are granted.
    return requestTokens({team.name, 1}) ? Result::Pending : takeFromOwnShare(bucket, team, nowMs);
}

TeamRateLimiter::Result TeamRateLimiter::takeFromOwnShare(Bucket &bucket, const Team &team, double nowMs)
{
    const double demandPerS = team.ratePerS * bucket.share;
    const double elapsed = bucket.shareUpdatedMs == 0 ? 0 : nowMs - bucket.shareUpdatedMs;
    bucket.shareTokens = std::min(std::max(1.0, demandPerS * shareBurstS), bucket.shareTokens + elapsed * demandPerS / msPerSecond);
    bucket.shareUpdatedMs = nowMs;
    if (bucket.shareTokens < 1) {
        bucket.usage.refused += 1;
        return Result::Refused;
    }
    bucket.shareTokens -= 1;
    bucket.usage.fromShare += 1;
    return Result::Taken;
}

double TeamRateLimiter::retryAfterMs(const Team &team, double nowMs) const
{
    const auto found = m_buckets.find(team.name);
    const double wait = found == m_buckets.end() ? 0 : found->second.refusedUntilMs - nowMs;
    return std::max(minRetryAfterMs, wait);
}

void TeamRateLimiter::addGrant(const TokenGrant &grant, double nowMs)
{
    Bucket &bucket = m_buckets[grant.team];
    bucket.tokens += grant.granted;
    bucket.usage.received += grant.granted;
    if (grant.granted == 0) {
        bucket.usage.refused += 1;
        bucket.refusedUntilMs = nowMs + std::min(grant.waitMs, maxRefusalMs);
    }
}

void TeamRateLimiter::setShares(const std::vector<TeamShare> &shares)
{
    for (const TeamShare &share : shares) {
        Bucket &bucket = m_buckets[share.team];
        bucket.share = share.share;
        bucket.tokens += share.tokens;
        bucket.usage.received += share.tokens;
    }
}

std::vector<TeamDemand> TeamRateLimiter::demand(double nowMs)
{
    const double elapsed = nowMs - m_reportedMs;
    m_reportedMs = nowMs;
    std::vector<TeamDemand> result;
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
        const double returned = std::max(0.0, std::floor(bucket.tokens - std::max(1.0, bucket.demandPerS * reserveS)));
        bucket.tokens -= returned;
        result.push_back({team, bucket.demandPerS, bucket.tokens, returned});
    }
    return result;
}
}
