#pragma once

namespace Yuccagrade
{
/// Bounds the retries of one node on one route to 10% of its first attempts, with a burst of 10.
class RetryRatio
{
public:
    void firstAttempt();
    /// Returns false if a retry would exceed the ratio.
    bool takeRetry();

private:
    // In tenths of a retry, so that no rounding adds up. A quiet route can retry from the start.
    int m_tenths = 100;
};
}
