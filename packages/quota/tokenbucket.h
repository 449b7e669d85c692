#pragma once

#include "base/clock.h"
#include "protocol/borrowmessages.h"

#include <map>
#include <optional>

namespace Yuccagrade
{
/// Validity of a loan. After the failure of a borrower, its loans count against the lender's burst for this time.
constexpr TimeMs loanMs = 1'000;

/// Rate in tokens/s and burst in tokens.
struct TokenLimits {
    double rate = 0;
    double burst = 0;
    bool operator==(const TokenLimits &) const = default;
};

/// Limits of one team during manifest changes. The effective ones are the lowest that some process may still use.
class LimitHistory
{
public:
    /// Records that the manifest at state @p index sets @p limits.
    void change(std::uint64_t index, const TokenLimits &limits);
    /// Records that every process has confirmed state @p index, and drops the limits that it replaced.
    void confirm(std::uint64_t index);
    /// Returns the lowest rate and the lowest burst of all limits that may still be in use.
    TokenLimits effective() const;

private:
    std::map<std::uint64_t, TokenLimits> m_limits;
};

/// Token bucket of one team in one domain, whose tokens are lent out.
class TokenBucket
{
public:
    /// The bucket is empty and adds no tokens until all loans of a former process have expired.
    /// @param clockMargin fraction by which the local clock may be fast; the refill rate is reduced by it.
    explicit TokenBucket(TimeMs now, double clockMargin = defaultClockMargin);
    /// Sets the rate and burst of this domain's share. Tokens above the new burst are discarded.
    void setLimits(const TokenLimits &limits, TimeMs now);
    /// Lends up to @p wanted tokens as loan @p id. The loan ends at @p shareEnd at the latest, when the lender's own share ends.
    std::optional<Loan> lend(std::uint64_t id, double wanted, TimeMs shareEnd, TimeMs now);
    /// Applies the report of a borrower. Returns false if the loan is unknown or has expired.
    bool settle(const LoanReport &report, TimeMs now);
    /// Returns the tokens that can be lent.
    double tokens(TimeMs now);
    /// Returns the tokens that are lent and may still be spent.
    double outstanding(TimeMs now);

    // Oscillator error and time adjustment together are below 0.1%. A margin of 5% would cause refusals at 95% of the rate.
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
    TimeMs m_filledUntil;
    std::map<std::uint64_t, Outstanding> m_loans;
};
}
