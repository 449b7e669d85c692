#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade
{
namespace
{
// A cold upstream has empty caches and no open connections; it gets few calls until its latency is known.
constexpr int coldStartLimit = 4;
// Ratio of latency to minimum latency up to which the limit is not reduced, so that noise does not cost capacity.
constexpr double latencyTolerance = 1.5;
// One window can at most halve the limit, because a single slow window may be an outlier.
constexpr double minGradient = 0.5;
// Timeouts and 503 responses come in groups; all within one interval cause a single decrease.
constexpr double decreaseFactor = 0.7;
constexpr double decreaseIntervalMs = 50;
// Minimum samples and duration of a window, so that a single sample does not change the limit.
constexpr int minWindowSamples = 8;
constexpr double minWindowMs = 5;
// Time constant of the rise of the minimum latency: a lasting slowdown becomes the new minimum after
// about two seconds.
constexpr double minLatencyRiseMs = 2'000;
// The limit grows only if at least this part of it was in use; otherwise the latency says nothing about a higher limit.
constexpr double minUsedPart = 0.8;
}

void ConcurrencyLimit::announce(int slots, int connections)
{
    m_maxLimit = std::max(1, std::min(slots, connections));
    if (!m_announced) {
        m_limit = coldStartLimit;
        m_announced = true;
    }
    m_limit = std::min<double>(m_limit, m_maxLimit);
}

void ConcurrencyLimit::finished(CallResult result, double latencyMs, int inFlight, double nowMs)
{
    if (result == CallResult::Cancelled) {
        return;
    }
    if (result != CallResult::Ok) {
        decrease(nowMs);
        return;
    }
    m_windowLatencySumMs += latencyMs;
    ++m_windowCount;
    m_windowMaxInFlight = std::max(m_windowMaxInFlight, inFlight);
    if (m_windowCount >= minWindowSamples && nowMs - m_windowStartMs >= minWindowMs) {
        adjust(m_windowLatencySumMs / m_windowCount, m_windowMaxInFlight, nowMs);
        startWindow(nowMs);
    }
}

int ConcurrencyLimit::limit() const
{
    return std::max(1, static_cast<int>(std::floor(m_limit)));
}

void ConcurrencyLimit::decrease(double nowMs)
{
    if (nowMs - m_lastDecreaseMs < decreaseIntervalMs) {
        return;
    }
    m_lastDecreaseMs = nowMs;
    m_limit = std::max(1.0, m_limit * decreaseFactor);
    startWindow(nowMs);
}

void ConcurrencyLimit::adjust(double latencyMs, int inFlight, double nowMs)
{
    const double rise = 1 - std::exp(-(nowMs - m_lastAdjustMs) / minLatencyRiseMs);
    m_minLatencyMs = m_minLatencyMs == 0 || latencyMs < m_minLatencyMs ? latencyMs : m_minLatencyMs + rise * (latencyMs - m_minLatencyMs);
    m_lastAdjustMs = nowMs;
    const double gradient = std::clamp(latencyTolerance * m_minLatencyMs / latencyMs, minGradient, 1.0);
    const bool used = inFlight >= minUsedPart * limit();
    // The square root lets a large limit grow in larger steps. At the smallest gradient, step and reduction cancel out at a
    // limit of 4, so a slow upstream keeps about 4 calls.
    const double step = used && nowMs - m_lastDecreaseMs >= decreaseIntervalMs ? std::sqrt(m_limit) : 0;
    m_limit = std::clamp(m_limit * gradient + step, 1.0, static_cast<double>(m_maxLimit));
}

void ConcurrencyLimit::startWindow(double nowMs)
{
    m_windowStartMs = nowMs;
    m_windowLatencySumMs = 0;
    m_windowCount = 0;
    m_windowMaxInFlight = 0;
}
}
