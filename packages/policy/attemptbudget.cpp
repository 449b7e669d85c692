#include "attemptbudget.h"

#include <algorithm>

namespace Yuccagrade
{
AttemptBudget::AttemptBudget(int retries)
    : m_left(std::max(retries, 0))
{
}

int AttemptBudget::left() const
{
    return m_left;
}

bool AttemptBudget::takeRetry()
{
    if (m_left == 0) {
        return false;
    }
    --m_left;
    return true;
}

int AttemptBudget::lend()
{
    const int part = m_left / 2;
    m_left -= part;
    return part;
}

void AttemptBudget::giveBack(int lent, int unused)
{
    m_left += std::clamp(unused, 0, std::max(lent, 0));
}
}
