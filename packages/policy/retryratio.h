#pragma once

namespace Yuccagrade
{
/// Limits the retries of one node on one route to 10% of its first attempts, with a burst of 10 retries.
class RetryRatio
{
public:
    void recordFirstAttempt();
    /// Consumes one retry. Returns false if it would exceed the ratio.
    bool takeRetry();

private:
    // Available retries in tenths; integers do not accumulate rounding errors. Starts at the full burst, so that a route
    // with little traffic can retry from the start.
    int m_availableTenths = 100;
};
}
