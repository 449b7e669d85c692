#pragma once

#include "base/clock.h"

#include <optional>

namespace Yuccagrade::Mesh
{
/// Determines whether one upstream is cold, and the rate that it tolerates meanwhile. The load: a domain that returns after a
/// power loss, whose upstreams end when they get their usual rate within their first seconds.
class ColdStart
{
public:
    /// Reason to treat the upstream as cold without a statement of its own.
    enum class Cause {
        Unreachable, ///< its process may have been replaced
        Refused, ///< as Unreachable, and announcements of the former process may still arrive
        EvacuationEnded,
        Probed, ///< found by a health check that did not state the remaining time
    };

    /// Treats the upstream as cold until its next statement. @p startedAt names its process, as far as it is known.
    void assumeCold(Cause cause, TimeMs startedAt);
    /// Applies an announcement or a health response, received at @p nowMs, of the process that started at @p startedAt.
    void recordStatement(double coldLeftMs, TimeMs startedAt, double nowMs);
    bool isCold(double nowMs) const
    {
        return m_assumed || nowMs < m_coldUntilMs;
    }
    /// Returns the remaining time; @p warmUpMs, that of a process that just started, while the upstream is assumed to be cold.
    double coldLeftMs(double warmUpMs, double nowMs) const;
    /// Returns the lower one of the rate that the upstream names in its responses and of @p coldPerS while it is cold.
    /// @p coldPerS is 0 if cold upstreams are not limited.
    std::optional<double> ratePerS(std::optional<double> namedPerS, double coldPerS, double nowMs) const;

private:
    bool m_assumed = false;
    std::optional<TimeMs> m_endedProcess; ///< start of the process whose next announcement may have been sent before its end
    double m_coldUntilMs = 0;
};
}
