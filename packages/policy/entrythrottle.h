#pragma once

#include "base/clock.h"
#include "base/priority.h"
#include "base/random.h"

namespace Yuccagrade
{
/// Client-side throttle of one route and priority at the entry node, for root requests only.
class EntryThrottle
{
public:
    explicit EntryThrottle(Priority priority);

    /// Returns false if the request is refused here; the refusal counts as a request without a complete response.
    bool admit(TimeMs now, Random &random);
    /// An admitted request has ended. It counts from now on, so that slow calls that still run are not taken for failures.
    void finished(bool complete, TimeMs now);
    /// Probability of a refusal; 0 while the window holds too few requests to tell.
    double refusalProbability(TimeMs now);

private:
    struct Bucket {
        int requests = 0;
        int accepts = 0;
    };

    Bucket &bucket(TimeMs now);

    double m_factor;
    std::array<Bucket, 20> m_buckets{};
    TimeMs m_lastBucket = 0; ///< number of the newest bucket since time 0
    Bucket m_sum;
};
}
