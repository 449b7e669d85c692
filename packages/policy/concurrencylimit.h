#pragma once

namespace Yuccagrade
{
/// Result of a call to the upstream.
enum class CallResult {
    Ok,
    Timeout,
    Overloaded, ///< the upstream answered 503
    Cancelled, ///< by the caller; does not affect the limit
};

/// Adaptive limit on the concurrent calls to one upstream. The gradient, the ratio of a slowly rising minimum latency to the
/// latency of the last window, reduces the limit; unless the limit is unused or was just decreased, each window adds to it.
class ConcurrencyLimit
{
public:
    /// Applies an announcement of the upstream. The limit does not exceed the smaller of both numbers.
    void announce(int slots, int connections);
    /// Records the end of a call after @p latencyMs. @p inFlight is the number of running calls including this one.
    void finished(CallResult result, double latencyMs, int inFlight, double nowMs);
    /// Returns the number of concurrent calls allowed, at least 1.
    int limit() const;

private:
    void decrease(double nowMs);
    void adjust(double latencyMs, int inFlight, double nowMs);
    void startWindow(double nowMs);

    int m_maxLimit = 1;
    bool m_announced = false;
    double m_limit = 1;
    double m_minLatencyMs = 0; ///< slowly rising minimum latency; 0 before the first window
    double m_windowStartMs = 0;
    double m_windowLatencySumMs = 0;
    int m_windowCount = 0;
    int m_windowMaxInFlight = 0;
    double m_lastDecreaseMs = -1e9;
    double m_lastAdjustMs = 0;
};
}
