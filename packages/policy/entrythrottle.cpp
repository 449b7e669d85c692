#include "entrythrottle.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// With 20 buckets, the sliding window is 200 ms long. Failures in the window cause refusals after an overload has ended, so
// its length bounds the recovery time.
constexpr TimeMs bucketMs = 10;
// Fewer requests in the window do not indicate an overload. Since refusals count as failures, a single failure at a low
// request rate would cause a refusal, which would cause the next ones.
constexpr int minRequests = 10;
// Requests allowed per complete response, by priority: less important requests are refused earlier.
constexpr std::array<double, priorityCount> requestsPerAccept{2.0, 1.5, 1.1};
}

EntryThrottle::EntryThrottle(Priority priority)
    : m_requestsPerAccept(requestsPerAccept[static_cast<std::size_t>(priority)])
{
}

bool EntryThrottle::admit(TimeMs now, Random &random)
{
    if (random.fraction() >= refusalProbability(now)) {
        return true;
    }
    ++currentBucket(now).requests;
    ++m_total.requests;
    return false;
}

void EntryThrottle::finished(bool complete, TimeMs now)
{
    Bucket &current = currentBucket(now);
    ++current.requests;
    ++m_total.requests;
    if (complete) {
        ++current.accepts;
        ++m_total.accepts;
    }
}

double EntryThrottle::refusalProbability(TimeMs now)
{
    currentBucket(now);
    if (m_total.requests < minRequests) {
        return 0;
    }
    return std::max(0.0, (m_total.requests - m_requestsPerAccept * m_total.accepts) / (m_total.requests + 1.0));
}

EntryThrottle::Bucket &EntryThrottle::currentBucket(TimeMs now)
{
    const TimeMs count = static_cast<TimeMs>(m_buckets.size());
    const TimeMs number = std::max(now / bucketMs, m_newestBucket);
    for (TimeMs next = std::max(m_newestBucket + 1, number - count + 1); next <= number; ++next) {
        Bucket &outdated = m_buckets[static_cast<std::size_t>(next % count)];
        m_total.requests -= outdated.requests;
        m_total.accepts -= outdated.accepts;
        outdated = Bucket{};
    }
    m_newestBucket = number;
    return m_buckets[static_cast<std::size_t>(number % count)];
}
}
