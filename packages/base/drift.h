#pragma once

#include "clock.h"

namespace Yuccagrade
{
/// Largest deviation of a monotonic clock from real time, in percent, in either direction.
constexpr TimeMs driftPercent = 5;

/// Returns a validity received from another process as it may be counted here. The sender's clock may be fast and the
/// own clock slow at once, so both deviations are subtracted. Rounds down.
constexpr TimeMs shortenedByDrift(TimeMs duration)
{
    return duration <= 0 ? 0 : duration * (100 - driftPercent) / (100 + driftPercent);
}

/// Returns how long to wait here until @p duration has passed on every clock. Rounds up.
constexpr TimeMs lengthenedByDrift(TimeMs duration)
{
    return (duration * (100 + driftPercent) + (100 - driftPercent) - 1) / (100 - driftPercent);
}
}
