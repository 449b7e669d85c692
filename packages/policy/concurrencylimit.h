#pragma once

namespace Yuccagrade
{
/// How a call to the upstream ended.
enum class CallResult {
    Ok,
    Timeout,
    Overloaded, ///< the upstream's own 503
    Cancelled, ///< by the caller; says nothing about the upstream
};

/// Number of calls that one upstream may run at a time (gradient of short-term latency against its slow minimum).
class ConcurrencyLimit
{
public:
    /// Takes the announcement over. The limit stays at or below both numbers.
    void announce(int slots, int connections);
    /// A call has ended after @p latencyMs; @p inFlight counts it in.
    void finished(CallResult result, double latencyMs, int inFlight, double nowMs);
    /// Calls that may run at a time, at least 1.
    int limit() const;

private:
    void decrease(double nowMs);
    void adjust(double latencyMs, int inFlight, double nowMs);
    void startWindow(double nowMs);

    int m_cap = 1;
    bool m_announced = false;
    double m_limit = 1;
    double m_baseMs = 0; ///< slow minimum of the latency; 0 before the first sample
    double m_windowStart = 0;
    double m_windowSum = 0;
    int m_windowCount = 0;
    int m_windowMaxInFlight = 0;
    double m_lastDecrease = -1e9;
    double m_lastAdjust = 0;
};
}
