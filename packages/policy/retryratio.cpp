#include "retryratio.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr int capTenths = 100;
constexpr int retryTenths = 10;
}

void RetryRatio::firstAttempt()
{
    m_tenths = std::min(m_tenths + 1, capTenths);
}

bool RetryRatio::takeRetry()
{
    if (m_tenths < retryTenths) {
        return false;
    }
    m_tenths -= retryTenths;
    return true;
}
}
