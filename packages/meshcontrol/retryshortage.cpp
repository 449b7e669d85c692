#include "retryshortage.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr double msPerSecond = 1'000;
// Part of the budget that the nodes spend on retries of calls while there is no shortage.
constexpr double usableShare = 0.5;
// Hysteresis: a shortage ends at this part of the need at which it begins.
constexpr double endShare = 0.6;
// Above it the upstreams serve nearly nothing, and the need grows beyond all bounds.
constexpr double maxDeclinedShare = 0.95;
}

RetryShortage::RetryShortage(double ratio, double perWindow, TimeMs windowMs)
    : m_ratio(ratio)
    , m_perS(windowMs > 0 ? perWindow * msPerSecond / static_cast<double>(windowMs) : 0)
    , m_windowMs(windowMs)
{
}

void RetryShortage::update(const std::string &service, double callsPerS, double declinedShare, TimeMs now)
{
    if (m_windowMs <= 0) {
        return;
    }
    Calls &calls = m_calls[service];
    const double elapsed = calls.updatedAt == 0 ? static_cast<double>(m_windowMs) : static_cast<double>(now - calls.updatedAt);
    calls.perS += (callsPerS - calls.perS) * (1 - std::exp(-elapsed / static_cast<double>(m_windowMs)));
    calls.updatedAt = now;
    m_updatedAt = now;
    const double budgetPerS = usableShare * (m_ratio * std::max(calls.perS, callsPerS) + m_perS);
    const double declined = std::clamp(declinedShare, 0.0, maxDeclinedShare);
    const double neededPerS = callsPerS * declined / (1 - declined);
    const bool isShort = neededPerS > budgetPerS * (calls.isShort ? endShare : 1);
    if (std::exchange(calls.isShort, isShort) != isShort && onChanged) {
        onChanged(service, isShort);
    }
}

bool RetryShortage::isShort(const std::string &service) const
{
    const auto found = m_calls.find(service);
    return found != m_calls.end() && found->second.updatedAt == m_updatedAt && found->second.isShort;
}
}
