#pragma once

#include "base/clock.h"
#include "protocol/borrowmessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Estimates the demand for tokens from recent requests by an exponentially decaying sum.
class DemandEstimate
{
public:
    void add(double tokens, TimeMs now);
    /// Returns the demand in tokens/s, averaged over about the last half second.
    double perSecond(TimeMs now) const;

private:
    double m_sum = 0; ///< decaying sum of tokens as of `m_updatedAt`
    TimeMs m_updatedAt = 0;
};

/// Borrowed tokens of one team at a node or at a borrowing coordinator.
class TokenStock
{
public:
    /// Adds a loan from a response to a request that was sent at @p sentAt. A loan that is already held is ignored.
    void accept(const std::string &lender, const Loan &loan, TimeMs sentAt);
    /// Spends tokens if there are enough. Does not count as demand, so that a waiting request can be tried again.
    bool spend(double tokens, TimeMs now);
    /// Adds the tokens of one request to the demand estimate.
    void addDemand(double tokens, TimeMs now)
    {
        m_demand.add(tokens, now);
    }
    /// Lends up to @p wanted of the borrowed tokens as loan @p id, which expires with the loan that the tokens come from.
    std::optional<Loan> lend(std::uint64_t id, double wanted, TimeMs now);
    /// Applies the report of a borrower of this stock. Returns false if the loan is unknown.
    bool settle(const LoanReport &report, TimeMs now);
    /// Returns the number of tokens to borrow so that the stock covers the demand of its target time.
    double wanted(TimeMs now) const;
    /// Marks as returned the surplus and the tokens of loans that are about to expire. reports() tells the lender.
    void returnSurplus(TimeMs now);
    /// Returns the spent and returned tokens of each loan of @p lender.
    std::vector<LoanReport> reports(const std::string &lender, TimeMs now);
    std::set<std::string> lenders(TimeMs now) const;
    /// Returns the tokens that can be spent.
    double left(TimeMs now) const;
    double demandPerSecond(TimeMs now) const
    {
        return m_demand.perSecond(now);
    }

private:
    struct HeldLoan {
        std::string lender;
        std::uint64_t loan = 0;
        double left = 0;
        double spent = 0;
        double returned = 0;
        TimeMs expiry = 0;
    };
    struct Subloan {
        std::string lender;
        std::uint64_t loan = 0; ///< id of the held loan that the tokens come from
        double amount = 0;
        double spent = 0;
        double returned = 0;
        TimeMs loanExpiry = 0;
    };
    HeldLoan *find(const std::string &lender, std::uint64_t loan);
    void expire(TimeMs now);

    std::vector<HeldLoan> m_heldLoans; ///< by expiry
    std::map<std::uint64_t, Subloan> m_subloans;
    DemandEstimate m_demand;
};
}
