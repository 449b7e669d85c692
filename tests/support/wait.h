#pragma once

#include <functional>

namespace Yuccagrade::Test
{
/// Monotonic time in ms with a fraction.
double steadyMs();
/// Polls @p condition every few ms. Returns false if it does not hold within @p boundMs.
bool waitFor(const std::function<bool()> &condition, double boundMs);
}
