#pragma once

#include "base/clock.h"
#include "base/priority.h"
#include "base/random.h"

namespace Yuccagrade
{
/// Adaptive client-side throttling at the entry node, per route and priority, for root requests only. Refuses requests with a
/// probability that rises with the part of recent requests that got no complete response.
class EntryThrottle
{
public:
    explicit EntryThrottle(Priority priority);

    /// Returns false if the request is refused. A refusal counts as a request without a complete response.
    bool admit(TimeMs now, Random &random);
    /// Records the end of an admitted request. Requests are counted at their end, so that slow calls that still run do not count
    /// as failures.
    void finished(bool complete, TimeMs now);
    /// Returns the probability of a refusal; 0 while the window holds too few requests.
    double refusalProbability(TimeMs now);

private:
    struct Bucket {
        int requests = 0;
        int accepts = 0;
    };

    /// Clears the buckets that have left the window and returns the one for @p now.
    Bucket &currentBucket(TimeMs now);

    double m_requestsPerAccept;
    std::array<Bucket, 20> m_buckets{};
    TimeMs m_newestBucket = 0; ///< index of the newest bucket, counted from time 0
    Bucket m_total; ///< over all buckets
};
}
