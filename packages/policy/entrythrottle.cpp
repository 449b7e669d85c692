#include "entrythrottle.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// 20 buckets make the sliding window of 200 ms. Failures in the window keep refusing calls after an overload has ended,
// so its length bounds the recovery time.
constexpr TimeMs bucketMs = 10;
// Fewer requests in the window say nothing about an overload: refusals count as failures, so that one failure of a slow
// stream of requests would refuse the next ones, and these the ones after them.
constexpr int minRequests = 10;
// Requests let through per complete response: the less important, the earlier they are refused.
constexpr std::array<double, priorityCount> factors{2.0, 1.5, 1.1};
}

EntryThrottle::EntryThrottle(Priority priority)
    : m_factor(factors[static_cast<std::size_t>(priority)])
{
}

bool EntryThrottle::admit(TimeMs now, Random &random)
{
    if (random.fraction() >= refusalProbability(now)) {
        return true;
    }
    ++bucket(now).requests;
    ++m_sum.requests;
    return false;
}

void EntryThrottle::finished(bool complete, TimeMs now)
{
    Bucket &current = bucket(now);
    ++current.requests;
    ++m_sum.requests;
    if (complete) {
        ++current.accepts;
        ++m_sum.accepts;
    }
}

double EntryThrottle::refusalProbability(TimeMs now)
{
    bucket(now);
    if (m_sum.requests < minRequests) {
        return 0;
    }
    return std::max(0.0, (m_sum.requests - m_factor * m_sum.accepts) / (m_sum.requests + 1.0));
}

EntryThrottle::Bucket &EntryThrottle::bucket(TimeMs now)
{
    const TimeMs count = static_cast<TimeMs>(m_buckets.size());
    const TimeMs number = std::max(now / bucketMs, m_lastBucket);
    for (TimeMs next = std::max(m_lastBucket + 1, number - count + 1); next <= number; ++next) {
        Bucket &old = m_buckets[static_cast<std::size_t>(next % count)];
        m_sum.requests -= old.requests;
        m_sum.accepts -= old.accepts;
        old = Bucket{};
    }
    m_lastBucket = number;
    return m_buckets[static_cast<std::size_t>(number % count)];
}
}
