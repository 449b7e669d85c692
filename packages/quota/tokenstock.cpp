#include "tokenstock.h"

#include "base/drift.h"
#include "tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade
{
namespace
{
// Time constant of the demand estimate.
constexpr double demandWindowMs = 500;
// Demand that the stock covers: longer than several request intervals to the coordinator, shorter than the validity of a loan.
constexpr double targetSeconds = 0.4;
// Unspent tokens are returned this long before the expiry; a later report could arrive after it.
constexpr TimeMs returnBeforeMs = 200;
// Tokens above this multiple of the target are returned, since other nodes may need them.
constexpr double surplusFactor = 1.5;
// Compensates rounding of sums, which could otherwise make a whole token unavailable.
constexpr double roundingTolerance = 1e-9;
}

void DemandEstimate::add(double tokens, TimeMs now)
{
    m_sum = perSecond(now) * demandWindowMs / 1'000 + tokens;
    m_updatedAt = now;
}

double DemandEstimate::perSecond(TimeMs now) const
{
    return m_sum * std::exp(-static_cast<double>(now - m_updatedAt) / demandWindowMs) * 1'000 / demandWindowMs;
}

void TokenStock::accept(const std::string &lender, const Loan &loan, TimeMs sentAt)
{
    if (find(lender, loan.id)) {
        return; // duplicate response
    }
    const TimeMs expiry = sentAt + shortenedByDrift(std::min(loan.validMs, loanMs));
    const auto place = std::upper_bound(m_heldLoans.begin(), m_heldLoans.end(), expiry, [](TimeMs end, const HeldLoan &held) {
        return end < held.expiry;
    });
    m_heldLoans.insert(place, {lender, loan.id, loan.amount, 0, 0, expiry});
}

bool TokenStock::spend(double tokens, TimeMs now)
{
    expire(now);
    if (left(now) + roundingTolerance < tokens) {
        return false;
    }
    for (HeldLoan &held : m_heldLoans) {
        const double part = std::min(tokens, held.left);
        held.left -= part;
        held.spent += part;
        tokens -= part;
    }
    return true;
}

std::optional<Loan> TokenStock::lend(std::uint64_t id, double wanted, TimeMs now)
{
    expire(now);
    // The loan that expires last loses the smallest part of its validity to the clock drift allowance.
    const auto held = std::find_if(m_heldLoans.rbegin(), m_heldLoans.rend(), [](const HeldLoan &item) {
        return item.left > 0;
    });
    if (held == m_heldLoans.rend() || wanted <= 0) {
        return std::nullopt;
    }
    const double amount = std::min(wanted, held->left);
    held->left -= amount;
    m_subloans[id] = {held->lender, held->loan, amount, 0, 0, held->expiry};
    return Loan{{}, id, amount, held->expiry - now};
}

bool TokenStock::settle(const LoanReport &report, TimeMs now)
{
    expire(now);
    const auto found = m_subloans.find(report.loan);
    if (found == m_subloans.end()) {
        return false;
    }
    Subloan &lent = found->second;
    const double spent = std::max(lent.spent, std::min(report.spent, lent.amount - lent.returned));
    const double returned = std::max(lent.returned, std::min(report.returned, lent.amount - spent));
    if (HeldLoan *held = find(lent.lender, lent.loan)) {
        held->spent += spent - lent.spent;
        held->left += returned - lent.returned;
    }
    lent.spent = spent;
    lent.returned = returned;
    return true;
}

double TokenStock::wanted(TimeMs now) const
{
    const double target = m_demand.perSecond(now) * targetSeconds;
    // Less than one token cannot pay a request, so a low demand is served by urgent borrow requests only.
    return target < 1 ? 0 : std::max(0.0, target - left(now));
}

void TokenStock::returnSurplus(TimeMs now)
{
    expire(now);
    double surplus = left(now) - surplusFactor * m_demand.perSecond(now) * targetSeconds;
    for (HeldLoan &held : m_heldLoans) {
        const bool aboutToExpire = held.expiry - now <= returnBeforeMs;
        const double part = aboutToExpire ? held.left : std::clamp(surplus, 0.0, held.left);
        held.left -= part;
        held.returned += part;
        surplus -= part;
    }
}

std::vector<LoanReport> TokenStock::reports(const std::string &lender, TimeMs now)
{
    expire(now);
    std::vector<LoanReport> reports;
    for (const HeldLoan &held : m_heldLoans) {
        if (held.lender == lender && (held.spent > 0 || held.returned > 0)) {
            reports.push_back({held.loan, held.spent, held.returned});
        }
    }
    return reports;
}

std::set<std::string> TokenStock::lenders(TimeMs now) const
{
    std::set<std::string> names;
    for (const HeldLoan &held : m_heldLoans) {
        if (held.expiry > now) {
            names.insert(held.lender);
        }
    }
    return names;
}

double TokenStock::left(TimeMs now) const
{
    double sum = 0;
    for (const HeldLoan &held : m_heldLoans) {
        sum += held.expiry > now ? held.left : 0;
    }
    return sum;
}

TokenStock::HeldLoan *TokenStock::find(const std::string &lender, std::uint64_t loan)
{
    const auto found = std::find_if(m_heldLoans.begin(), m_heldLoans.end(), [&](const HeldLoan &held) {
        return held.lender == lender && held.loan == loan;
    });
    return found == m_heldLoans.end() ? nullptr : &*found;
}

void TokenStock::expire(TimeMs now)
{
    std::erase_if(m_heldLoans, [now](const HeldLoan &held) {
        return now >= held.expiry;
    });
    std::erase_if(m_subloans, [now](const auto &item) {
        return now >= item.second.loanExpiry;
    });
}
}
