#include "retryratio.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr int burstTenths = 100;
constexpr int retryCostTenths = 10;
}

void RetryRatio::recordFirstAttempt()
{
    m_availableTenths = std::min(m_availableTenths + 1, burstTenths);
}

bool RetryRatio::takeRetry()
{
    if (m_availableTenths < retryCostTenths) {
        return false;
    }
    m_availableTenths -= retryCostTenths;
    return true;
}
}
