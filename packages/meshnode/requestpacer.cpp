#include "requestpacer.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr double burstS = 0.25;
// An upstream that takes no requests still gets one at times, since only a response can lift its limit.
constexpr double minPacePerS = 0.5;
constexpr double msPerSecond = 1'000;
}

double RequestPacer::pacePerS() const
{
    return std::max(minPacePerS, *m_ratePerS);
}

bool RequestPacer::setRate(std::optional<double> perS, double nowMs)
{
    if (perS == m_ratePerS) {
        return false;
    }
    m_tokens = m_ratePerS && perS ? tokens(nowMs) : 0;
    m_updatedMs = nowMs;
    m_ratePerS = perS;
    return true;
}

double RequestPacer::tokens(double nowMs) const
{
    const double maxTokens = std::max(1.0, pacePerS() * burstS);
    return std::min(maxTokens, m_tokens + (nowMs - m_updatedMs) * pacePerS() / msPerSecond);
}

double RequestPacer::waitMs(std::size_t queued, double nowMs) const
{
    if (!m_ratePerS) {
        return 0;
    }
    return std::max(0.0, (static_cast<double>(queued) + 1 - tokens(nowMs)) * msPerSecond / pacePerS());
}

void RequestPacer::recordSent(double nowMs)
{
    if (m_ratePerS) {
        m_tokens = tokens(nowMs) - 1;
        m_updatedMs = nowMs;
    }
}
}
