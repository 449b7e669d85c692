#pragma once

#include "base/clock.h"
#include "protocol/claimmessages.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Yuccagrade
{
enum class ClaimMark : std::uint8_t {
    Held, ///< granted to the token
    Released, ///< given back; the token is kept so that a late claim message with it is refused
    Blocked, ///< held, but by which of several tokens is unknown
};

/// What is known of one action. Fits into 24 bytes.
struct Claim {
    Id128 token;
    std::int64_t expiresAt : 62;
    std::uint64_t mark : 2;

    ClaimMark state() const
    {
        return static_cast<ClaimMark>(mark);
    }
};

/// Claims by action with expiry and a bound on their number; about 100 bytes per claim.
class ClaimTable
{
public:
    explicit ClaimTable(std::size_t maxClaims);

    /// Returns the unexpired entry of @p action or nullptr.
    const Claim *find(const Id128 &action, TimeMs now) const;
    /// Inserts or overwrites an entry. Returns false if the table is full.
    bool put(const Id128 &action, const Id128 &token, TimeMs expiresAt, ClaimMark mark);
    /// Drops entries that expired.
    void expire(TimeMs now);
    /// Appends up to @p limit held claims in the order of insertion, starting at position @p from (0 is the start).
    /// Returns the position after them, or 0 when there are no more.
    std::uint64_t page(std::uint64_t from, std::size_t limit, TimeMs now, std::vector<CopiedClaim> &out) const;
    std::size_t size() const;

private:
    struct Slot {
        Id128 action;
        TimeMs checkAt;
    };
    struct Hash {
        std::size_t operator()(const Id128 &id) const noexcept;
    };

    std::size_t m_maxClaims;
    std::unordered_map<Id128, Claim, Hash> m_claims;
    std::deque<Slot> m_order; ///< one element per entry of m_claims
    std::uint64_t m_firstPosition = 1; ///< position of the front of m_order
};
}
