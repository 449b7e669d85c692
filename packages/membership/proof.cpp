#include "proof.h"

#include "base/drift.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// One proof per sync period within V is the normal case; more would only come from a misbehaving peer.
constexpr std::size_t maxEntries = 32;
}

void ProofHolder::accept(const FreshnessProof &proof, TimeMs sentAt)
{
    insert({proof.index, sentAt + shortenedByDrift(std::min(proof.remainingMs, proofValidMs))});
}

void ProofHolder::contacted(TimeMs contactAt, std::uint64_t commitIndex)
{
    insert({commitIndex, contactAt + proofValidMs});
}

TimeMs ProofHolder::validUntil(std::uint64_t appliedIndex, TimeMs now) const
{
    const Entry *entry = best(appliedIndex, now);
    return entry ? entry->expiry : 0;
}

std::optional<FreshnessProof> ProofHolder::issue(std::uint64_t appliedIndex, TimeMs now) const
{
    const Entry *entry = best(appliedIndex, now);
    if (!entry) {
        return std::nullopt;
    }
    return FreshnessProof{entry->index, entry->expiry - now};
}

std::optional<std::uint64_t> ProofHolder::lowestIndex(TimeMs now) const
{
    std::optional<std::uint64_t> lowest;
    for (const Entry &entry : m_entries) {
        if (entry.expiry > now) {
            lowest = std::min(lowest.value_or(entry.index), entry.index);
        }
    }
    return lowest;
}

void ProofHolder::clear()
{
    m_entries.clear();
}

const ProofHolder::Entry *ProofHolder::best(std::uint64_t appliedIndex, TimeMs now) const
{
    const Entry *found = nullptr;
    for (const Entry &entry : m_entries) {
        const bool usable = entry.index <= appliedIndex && entry.expiry > now;
        if (usable && (!found || entry.expiry > found->expiry)) {
            found = &entry;
        }
    }
    return found;
}

void ProofHolder::insert(Entry entry)
{
    const auto dominates = [](const Entry &a, const Entry &b) {
        return a.index <= b.index && a.expiry >= b.expiry;
    };
    if (std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &old) {
            return dominates(old, entry);
        })) {
        return;
    }
    std::erase_if(m_entries, [&](const Entry &old) {
        return dominates(entry, old);
    });
    m_entries.push_back(entry);
    if (m_entries.size() > maxEntries) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const Entry &a, const Entry &b) {
            return a.expiry < b.expiry;
        }));
    }
}
}
