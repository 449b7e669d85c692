#pragma once

#include "base/clock.h"
#include "protocol/borrowmessages.h"

#include <map>
#include <optional>

namespace Yuccagrade
{
/// Validity of a loan. Longer loans block more of the lender's burst when a borrower dies.
constexpr TimeMs loanMs = 1'000;

/// Rate in tokens/s and burst in tokens.
struct TokenLimits {
    double rate = 0;
    double burst = 0;
    bool operator==(const TokenLimits &) const = default;
};

/// Limits of one team over manifest changes: the lowest of all that some process may still use.
class LimitHistory
{
public:
    /// The manifest at state @p index sets @p limits.
    void change(std::uint64_t index, const TokenLimits &limits);
    /// Every process has confirmed state @p index.
    void confirm(std::uint64_t index);
    TokenLimits effective() const;

private:
    std::map<std::uint64_t, TokenLimits> m_limits;
};

/// Tokens of one team in one domain. Mints tokens and lends them.
class TokenBucket
{
public:
    /// Starts without tokens. Mints nothing until the loans of a former process have expired.
    /// @param clockMargin fraction by which the local clock may be fast; minting is slowed down by it.
    explicit TokenBucket(TimeMs now, double clockMargin = defaultClockMargin);
    /// Sets rate and burst of the share in use. Tokens above the new burst are discarded.
    void setLimits(const TokenLimits &limits, TimeMs now);
    /// Lends up to @p wanted tokens under @p id. @p shareEnd is the end of the lender's own lease.
    std::optional<Loan> lend(std::uint64_t id, double wanted, TimeMs shareEnd, TimeMs now);
    /// Takes a borrower's report. Returns false if the loan is not known or has expired.
    bool settle(const LoanReport &report, TimeMs now);
    double tokens(TimeMs now);
    /// Returns tokens that are lent and may still be spent.
    double outstanding(TimeMs now);

    // Quartz and time adjustment together stay below 0.1%. A margin of 5% would refuse calls at 95% of the rate.
    static constexpr double defaultClockMargin = 0.001;

private:
    struct Outstanding {
        double amount = 0;
        double spent = 0;
        double returned = 0;
        TimeMs expiry = 0;
    };
    void advance(TimeMs now);
    void expireLoans(TimeMs now);
    double lent() const;

    double m_margin;
    TokenLimits m_limits;
    double m_tokens = 0;
    TimeMs m_mintedUntil;
    std::map<std::uint64_t, Outstanding> m_loans;
};
}
