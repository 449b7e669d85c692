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
// The stock covers several exchanges with the coordinator, but stays below the validity of a loan.
constexpr double stockSeconds = 0.4;
// Tokens that are left this long before expiry go back; later the report might arrive after the expiry.
constexpr TimeMs returnBeforeMs = 200;
// A stock above this multiple of its target goes back: other nodes may need the tokens.
constexpr double surplusFactor = 1.5;
// Rounding of sums must not make a whole token unavailable.
constexpr double tolerance = 1e-9;
}

void DemandEstimate::add(double tokens, TimeMs now)
{
    m_sum = perSecond(now) * demandWindowMs / 1'000 + tokens;
    m_at = now;
}

double DemandEstimate::perSecond(TimeMs now) const
{
    return m_sum * std::exp(-static_cast<double>(now - m_at) / demandWindowMs) * 1'000 / demandWindowMs;
}

void TokenStock::accept(const std::string &lender, const Loan &loan, TimeMs sentAt)
{
    if (find(lender, loan.id)) {
        return; // repeated response
    }
    const TimeMs expiry = sentAt + shortenedByDrift(std::min(loan.validMs, loanMs));
    const auto place = std::upper_bound(m_held.begin(), m_held.end(), expiry, [](TimeMs end, const Held &held) {
        return end < held.expiry;
    });
    m_held.insert(place, {lender, loan.id, loan.amount, 0, 0, expiry});
}

bool TokenStock::spend(double tokens, TimeMs now)
{
    expire(now);
    if (left(now) + tolerance < tokens) {
        return false;
    }
    for (Held &held : m_held) {
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
    // The loan with the most time left loses least to the drift discount.
    const auto held = std::find_if(m_held.rbegin(), m_held.rend(), [](const Held &item) {
        return item.left > 0;
    });
    if (held == m_held.rend() || wanted <= 0) {
        return std::nullopt;
    }
    const double amount = std::min(wanted, held->left);
    held->left -= amount;
    m_lent[id] = {held->lender, held->loan, amount, 0, 0, held->expiry};
    return Loan{{}, id, amount, held->expiry - now};
}

bool TokenStock::settle(const LoanReport &report, TimeMs now)
{
    expire(now);
    const auto found = m_lent.find(report.loan);
    if (found == m_lent.end()) {
        return false;
    }
    LentOn &lent = found->second;
    const double spent = std::max(lent.spent, std::min(report.spent, lent.amount - lent.returned));
    const double returned = std::max(lent.returned, std::min(report.returned, lent.amount - spent));
    if (Held *held = find(lent.lender, lent.loan)) {
        held->spent += spent - lent.spent;
        held->left += returned - lent.returned;
    }
    lent.spent = spent;
    lent.returned = returned;
    return true;
}

double TokenStock::wanted(TimeMs now) const
{
    const double target = m_demand.perSecond(now) * stockSeconds;
    // Less than one token cannot serve a request, so rare demand is served by urgent asks only.
    return target < 1 ? 0 : std::max(0.0, target - left(now));
}

void TokenStock::returnSurplus(TimeMs now)
{
    expire(now);
    double surplus = left(now) - surplusFactor * m_demand.perSecond(now) * stockSeconds;
    for (Held &held : m_held) {
        const bool ending = held.expiry - now <= returnBeforeMs;
        const double part = ending ? held.left : std::clamp(surplus, 0.0, held.left);
        held.left -= part;
        held.returned += part;
        surplus -= part;
    }
}

std::vector<LoanReport> TokenStock::reports(const std::string &lender, TimeMs now)
{
    expire(now);
    std::vector<LoanReport> reports;
    for (const Held &held : m_held) {
        if (held.lender == lender && (held.spent > 0 || held.returned > 0)) {
            reports.push_back({held.loan, held.spent, held.returned});
        }
    }
    return reports;
}

std::set<std::string> TokenStock::lenders(TimeMs now) const
{
    std::set<std::string> names;
    for (const Held &held : m_held) {
        if (held.expiry > now) {
            names.insert(held.lender);
        }
    }
    return names;
}

double TokenStock::left(TimeMs now) const
{
    double sum = 0;
    for (const Held &held : m_held) {
        sum += held.expiry > now ? held.left : 0;
    }
    return sum;
}

TokenStock::Held *TokenStock::find(const std::string &lender, std::uint64_t loan)
{
    const auto found = std::find_if(m_held.begin(), m_held.end(), [&](const Held &held) {
        return held.lender == lender && held.loan == loan;
    });
    return found == m_held.end() ? nullptr : &*found;
}

void TokenStock::expire(TimeMs now)
{
    std::erase_if(m_held, [now](const Held &held) {
        return now >= held.expiry;
    });
    std::erase_if(m_lent, [now](const auto &item) {
        return now >= item.second.forgetAt;
    });
}
}
