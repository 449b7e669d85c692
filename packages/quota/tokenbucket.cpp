#include "tokenbucket.h"

#include "base/drift.h"

#include <algorithm>

namespace Yuccagrade
{
void LimitHistory::change(std::uint64_t index, const TokenLimits &limits)
{
    m_limits[index] = limits;
}

void LimitHistory::confirm(std::uint64_t index)
{
    auto current = m_limits.upper_bound(index);
    if (current != m_limits.begin()) {
        m_limits.erase(m_limits.begin(), --current);
    }
}

TokenLimits LimitHistory::effective() const
{
    if (m_limits.empty()) {
        return {};
    }
    TokenLimits lowest = m_limits.begin()->second;
    for (const auto &[index, limits] : m_limits) {
        lowest = {std::min(lowest.rate, limits.rate), std::min(lowest.burst, limits.burst)};
    }
    return lowest;
}

TokenBucket::TokenBucket(TimeMs now, double clockMargin)
    : m_margin(clockMargin)
    , m_filledUntil(now + lengthenedByDrift(loanMs))
{
}

void TokenBucket::setLimits(const TokenLimits &limits, TimeMs now)
{
    advance(now);
    m_limits = limits;
    advance(now);
}

std::optional<Loan> TokenBucket::lend(std::uint64_t id, double wanted, TimeMs shareEnd, TimeMs now)
{
    advance(now);
    const double amount = std::min(wanted, m_tokens);
    const TimeMs validMs = std::min(loanMs, shareEnd - now);
    if (amount <= 0 || validMs <= 0) {
        return std::nullopt;
    }
    m_tokens -= amount;
    m_loans[id] = {amount, 0, 0, now + lengthenedByDrift(validMs)};
    return Loan{{}, id, amount, validMs};
}

bool TokenBucket::settle(const LoanReport &report, TimeMs now)
{
    advance(now);
    const auto found = m_loans.find(report.loan);
    if (found == m_loans.end()) {
        return false;
    }
    Outstanding &loan = found->second;
    loan.spent = std::max(loan.spent, std::min(report.spent, loan.amount - loan.returned));
    const double returned = std::max(loan.returned, std::min(report.returned, loan.amount - loan.spent));
    m_tokens += returned - loan.returned;
    loan.returned = returned;
    return true;
}

double TokenBucket::tokens(TimeMs now)
{
    advance(now);
    return m_tokens;
}

double TokenBucket::outstanding(TimeMs now)
{
    advance(now);
    return lent();
}

void TokenBucket::advance(TimeMs now)
{
    expireLoans(now);
    if (now > m_filledUntil) {
        const double seconds = static_cast<double>(now - m_filledUntil) / 1'000;
        m_tokens += m_limits.rate * seconds / (1 + m_margin);
        m_filledUntil = now;
    }
    // Lent tokens count against the burst; otherwise a full bucket and its borrowers could together spend twice the burst.
    m_tokens = std::clamp(m_limits.burst - lent(), 0.0, m_tokens);
}

void TokenBucket::expireLoans(TimeMs now)
{
    std::erase_if(m_loans, [now](const auto &item) {
        return now >= item.second.expiry;
    });
}

double TokenBucket::lent() const
{
    double sum = 0;
    for (const auto &[id, loan] : m_loans) {
        sum += loan.amount - loan.spent - loan.returned;
    }
    return sum;
}
}
