#include "attemptbudget.h"

#include <algorithm>

namespace Yuccagrade
{
AttemptBudget::AttemptBudget(int retries)
    : m_retriesLeft(std::max(retries, 0))
{
}

int AttemptBudget::left() const
{
    return m_retriesLeft;
}

bool AttemptBudget::takeRetry()
{
    if (m_retriesLeft == 0) {
        return false;
    }
    --m_retriesLeft;
    return true;
}

int AttemptBudget::lend()
{
    const int part = m_retriesLeft / 2;
    m_retriesLeft -= part;
    return part;
}

void AttemptBudget::returnUnused(int lent, int unused)
{
    m_retriesLeft += std::clamp(unused, 0, std::max(lent, 0));
}
}
