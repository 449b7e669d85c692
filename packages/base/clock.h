#pragma once

#include <cstdint>
#include <functional>

namespace Yuccagrade
{
/// A point in time or a duration in whole milliseconds.
using TimeMs = std::int64_t;

/// Sources of time. Tests replace the hooks.
struct Clock {
    /// Monotonic time in ms; includes the time a machine was suspended.
    std::function<TimeMs()> now;
    /// Monotonic time in ms with a fraction, for latencies below 1 ms.
    std::function<double()> preciseMs;
    /// Wall-clock time in ms since 1970; only for logs and incarnations, never for leases.
    std::function<TimeMs()> wall;

    /// Returns the clock of this machine.
    static Clock system();
};
}
