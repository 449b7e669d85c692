#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade
{
namespace
{
// A cold upstream has empty caches and no connections; it is met with few calls until its latency is known.
constexpr int coldStartLimit = 4;
// Latency may rise by half over its minimum before the limit falls, so that noise does not cost capacity.
constexpr double tolerance = 1.5;
// One window may at most halve the limit: a single slow window is no proof.
constexpr double minGradient = 0.5;
// Timeouts and 503 come in groups; a group counts as one event.
constexpr double decreaseFactor = 0.7;
constexpr double decreaseIntervalMs = 50;
// A window ends after this many samples and this time, so that one sample does not move the limit.
constexpr int windowSamples = 8;
constexpr double windowMs = 5;
// Time constant of the minimum's rise: an upstream that stays slower is accepted as such after about two seconds.
constexpr double baseRiseMs = 2'000;
// Growth only if the limit was in use: an idle upstream proves nothing.
constexpr double usedShare = 0.8;
}

void ConcurrencyLimit::announce(int slots, int connections)
{
    m_cap = std::max(1, std::min(slots, connections));
    if (!m_announced) {
        m_limit = coldStartLimit;
        m_announced = true;
    }
    m_limit = std::min<double>(m_limit, m_cap);
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
    m_windowSum += latencyMs;
    ++m_windowCount;
    m_windowMaxInFlight = std::max(m_windowMaxInFlight, inFlight);
    if (m_windowCount >= windowSamples && nowMs - m_windowStart >= windowMs) {
        adjust(m_windowSum / m_windowCount, m_windowMaxInFlight, nowMs);
        startWindow(nowMs);
    }
}

int ConcurrencyLimit::limit() const
{
    return std::max(1, static_cast<int>(std::floor(m_limit)));
}

void ConcurrencyLimit::decrease(double nowMs)
{
    if (nowMs - m_lastDecrease < decreaseIntervalMs) {
        return;
    }
    m_lastDecrease = nowMs;
    m_limit = std::max(1.0, m_limit * decreaseFactor);
    startWindow(nowMs);
}

void ConcurrencyLimit::adjust(double latencyMs, int inFlight, double nowMs)
{
    const double rise = 1 - std::exp(-(nowMs - m_lastAdjust) / baseRiseMs);
    m_baseMs = m_baseMs == 0 || latencyMs < m_baseMs ? latencyMs : m_baseMs + rise * (latencyMs - m_baseMs);
    m_lastAdjust = nowMs;
    const double gradient = std::clamp(tolerance * m_baseMs / latencyMs, minGradient, 1.0);
    const bool used = inFlight >= usedShare * limit();
    // The square root lets a large limit grow in larger steps and keeps a slow upstream at about 4 calls: the limit at
    // which the smallest gradient and the step cancel out.
    const double step = used && nowMs - m_lastDecrease >= decreaseIntervalMs ? std::sqrt(m_limit) : 0;
    m_limit = std::clamp(m_limit * gradient + step, 1.0, static_cast<double>(m_cap));
}

void ConcurrencyLimit::startWindow(double nowMs)
{
    m_windowStart = nowMs;
    m_windowSum = 0;
    m_windowCount = 0;
    m_windowMaxInFlight = 0;
}
}
