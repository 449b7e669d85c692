#include "support/wait.h"

#include <chrono>
#include <thread>

namespace Yuccagrade::Test
{
double steadyMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

bool waitFor(const std::function<bool()> &condition, double boundMs)
{
    const double end = steadyMs() + boundMs;
    while (!condition()) {
        if (steadyMs() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
    return true;
}
}
