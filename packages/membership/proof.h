#pragma once

#include "base/clock.h"
#include "protocol/syncmessages.h"

#include <optional>
#include <vector>

namespace Yuccagrade
{
/// Validity V of a freshness proof. Shorter values make brief partitions refuse calls; longer ones delay revocation.
constexpr TimeMs proofValidMs = 5'000;

/// Keeps the freshness proofs of one process. Expiry is counted on the local monotonic clock.
class ProofHolder
{
public:
    /// Takes a proof from a response to a request that was sent at @p sentAt, so that delay only shortens it.
    void accept(const FreshnessProof &proof, TimeMs sentAt);
    /// Leader only: a majority answered a heartbeat round sent at @p contactAt; @p commitIndex is the index now.
    void contacted(TimeMs contactAt, std::uint64_t commitIndex);
    /// Returns until when state at @p appliedIndex is proven fresh; 0 if it is not.
    TimeMs validUntil(std::uint64_t appliedIndex, TimeMs now) const;
    bool isValid(std::uint64_t appliedIndex, TimeMs now) const
    {
        return validUntil(appliedIndex, now) > now;
    }
    /// Returns the longest valid proof that state at @p appliedIndex satisfies, to pass on.
    std::optional<FreshnessProof> issue(std::uint64_t appliedIndex, TimeMs now) const;
    /// Returns the lowest index of the valid proofs; an empty process accepts no state below it.
    std::optional<std::uint64_t> lowestIndex(TimeMs now) const;
    /// Drops all proofs, as on loss of leadership.
    void clear();

private:
    struct Entry {
        std::uint64_t index;
        TimeMs expiry;
    };
    const Entry *best(std::uint64_t appliedIndex, TimeMs now) const;
    void insert(Entry entry);

    // A newer proof with a higher index must not remove an older one that the applied state still satisfies.
    std::vector<Entry> m_entries;
};
}
