#include "coldstart.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
void ColdStart::assumeCold(Cause cause, TimeMs startedAt)
{
    m_assumed = true;
    if (cause == Cause::Refused) {
        m_endedProcess = startedAt;
    }
}

// A process that refused a connection has probably ended. Its last announcement may arrive after the start of its successor, so the
// assumption then lasts until another process announces itself, or the same one announces itself a second time.
void ColdStart::recordStatement(double coldLeftMs, TimeMs startedAt, double nowMs)
{
    const bool mayBeLate = m_endedProcess && *m_endedProcess == startedAt && startedAt > 0;
    m_endedProcess.reset();
    if (mayBeLate) {
        return;
    }
    m_assumed = false;
    m_coldUntilMs = nowMs + coldLeftMs;
}

double ColdStart::coldLeftMs(double warmUpMs, double nowMs) const
{
    return std::max({0.0, m_coldUntilMs - nowMs, m_assumed ? warmUpMs : 0.0});
}

std::optional<double> ColdStart::ratePerS(std::optional<double> namedPerS, double coldPerS, double nowMs) const
{
    if (coldPerS <= 0 || !isCold(nowMs)) {
        return namedPerS;
    }
    return std::min(coldPerS, namedPerS.value_or(coldPerS));
}
}
