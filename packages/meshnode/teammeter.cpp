#include "teammeter.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Time constant of the demand that a node reports.
constexpr double demandFadeMs = 700;
// A bucket below one token could never serve a request.
constexpr double minBurst = 1;
constexpr double unknownWaitMs = 500; // without a share the next report decides

double burstOf(const Team &team, double share)
{
    return std::max(minBurst, team.burst * share);
}
}

bool TeamMeter::tryTake(const Team &team, double nowMs)
{
    Bucket &bucket = m_buckets[team.name];
    bucket.counted += 1;
    if (team.ratePerS <= 0) {
        return true;
    }
    const double elapsed = bucket.updatedMs == 0 ? 0 : nowMs - bucket.updatedMs;
    bucket.level = std::min(burstOf(team, bucket.share), bucket.level + elapsed * team.ratePerS * bucket.share / 1'000);
    bucket.updatedMs = nowMs;
    if (bucket.level < 1) {
        return false;
    }
    bucket.level -= 1;
    return true;
}

double TeamMeter::waitMs(const Team &team, double nowMs) const
{
    const auto found = m_buckets.find(team.name);
    if (found == m_buckets.end() || found->second.share <= 0 || team.ratePerS <= 0) {
        return unknownWaitMs;
    }
    const Bucket &bucket = found->second;
    const double missing = 1 - bucket.level - (nowMs - bucket.updatedMs) * team.ratePerS * bucket.share / 1'000;
    return std::max(0.0, missing) * 1'000 / (team.ratePerS * bucket.share);
}

void TeamMeter::setShares(const std::vector<TeamShare> &shares)
{
    for (const TeamShare &share : shares) {
        m_buckets[share.team].share = share.share;
    }
}

std::vector<TeamDemand> TeamMeter::demand(double nowMs)
{
    const double elapsed = nowMs - m_reportedMs;
    m_reportedMs = nowMs;
    std::vector<TeamDemand> result;
    for (auto &[team, bucket] : m_buckets) {
        if (elapsed > 0) {
            const double weight = 1 - std::exp(-elapsed / demandFadeMs);
            bucket.perS += (bucket.counted * 1'000 / elapsed - bucket.perS) * weight;
        }
        bucket.counted = 0;
        result.push_back({team, bucket.perS, bucket.share});
    }
    return result;
}
}
