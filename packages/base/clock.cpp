#include "clock.h"

#include <ctime>

namespace Yuccagrade
{
namespace
{
double readMs(clockid_t id)
{
    timespec time{};
    clock_gettime(id, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}
}

// CLOCK_BOOTTIME counts suspended time, so a lease cannot survive the suspension of a machine.
Clock Clock::system()
{
    return {[] {
                return static_cast<TimeMs>(readMs(CLOCK_BOOTTIME));
            },
            [] {
                return readMs(CLOCK_BOOTTIME);
            },
            [] {
                return static_cast<TimeMs>(readMs(CLOCK_REALTIME));
            }};
}
}
