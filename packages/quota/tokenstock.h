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
/// Estimates the demand for tokens from recent requests.
class DemandEstimate
{
public:
    void add(double tokens, TimeMs now);
    /// Returns tokens/s over about the last half second.
    double perSecond(TimeMs now) const;

private:
    double m_sum = 0; ///< tokens, decaying exponentially
    TimeMs m_at = 0;
};

/// Borrowed tokens of one team at a node or at a borrowing coordinator.
class TokenStock
{
public:
    /// Takes a loan from a response to a request that was sent at @p sentAt.
    void accept(const std::string &lender, const Loan &loan, TimeMs sentAt);
    /// Spends tokens if there are enough. Does not count the demand, so that a waiting request may try again.
    bool spend(double tokens, TimeMs now);
    /// Counts the demand of one request.
    void addDemand(double tokens, TimeMs now)
    {
        m_demand.add(tokens, now);
    }
    /// Lends up to @p wanted tokens on under @p id; the loan ends with the one that it is taken from.
    std::optional<Loan> lend(std::uint64_t id, double wanted, TimeMs now);
    /// Takes the report of a borrower of this stock. Returns false if the loan is not known here.
    bool settle(const LoanReport &report, TimeMs now);
    /// Returns how many tokens to ask for so that the stock lasts for its target time.
    double wanted(TimeMs now) const;
    /// Gives back tokens that are not needed before their loan expires.
    void returnSurplus(TimeMs now);
    /// Returns what became of the loans of @p lender.
    std::vector<LoanReport> reports(const std::string &lender, TimeMs now);
    std::set<std::string> lenders(TimeMs now) const;
    double left(TimeMs now) const;
    double demandPerSecond(TimeMs now) const
    {
        return m_demand.perSecond(now);
    }

private:
    struct Held {
        std::string lender;
        std::uint64_t loan = 0;
        double left = 0;
        double spent = 0;
        double returned = 0;
        TimeMs expiry = 0;
    };
    struct LentOn {
        std::string lender;
        std::uint64_t loan = 0; ///< loan that the tokens come from
        double amount = 0;
        double spent = 0;
        double returned = 0;
        TimeMs forgetAt = 0;
    };
    Held *find(const std::string &lender, std::uint64_t loan);
    void expire(TimeMs now);

    std::vector<Held> m_held; ///< by expiry
    std::map<std::uint64_t, LentOn> m_lent;
    DemandEstimate m_demand;
};
}
