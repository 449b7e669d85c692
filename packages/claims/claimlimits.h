#pragma once

#include "base/clock.h"

#include <cstddef>

namespace Yuccagrade
{
/// A claim older than this is not dispatched, so a claimer that was frozen cannot act on a claim that has expired.
inline constexpr TimeMs maxClaimAgeMs = 10'000;
/// Claims are kept longer than the longest deadline of a request (60 s).
inline constexpr TimeMs defaultClaimWindowMs = 3'600'000;
/// A restarted replica copies only after this time. By then each claim that its former incarnation had granted is
/// dispatched, and so known to another replica, or too old for a dispatch; 20% covers two clocks that drift by 5%.
inline constexpr TimeMs restartHoldMs = maxClaimAgeMs * 6 / 5;
/// Both copies must be taken within this time. It is shorter than restartHoldMs less drift, so a sealed replica that
/// restarts meets the other sealed replica before it can grant again.
inline constexpr TimeMs maxCopyMs = 8'000;
/// A copy or page without a response is requested again after this time.
inline constexpr TimeMs copyRetryMs = 1'000;
/// Claims per page of a copy: about 450 KB of JSON.
inline constexpr std::size_t copyPageSize = 4'096;
/// Memory bound of a replica: about 40 MB at 100 B per claim, 20% above the 328,500 claims of the two-year target.
inline constexpr std::size_t defaultMaxClaims = 400'000;
}
