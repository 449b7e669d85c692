#include "claimtable.h"

#include <algorithm>

namespace Yuccagrade
{
std::size_t ClaimTable::Hash::operator()(const Id128 &id) const noexcept
{
    return id.low; // actions are SHA-256 prefixes and so already evenly distributed
}

ClaimTable::ClaimTable(std::size_t maxClaims)
    : m_maxClaims(maxClaims)
{
}

const Claim *ClaimTable::find(const Id128 &action, TimeMs now) const
{
    const auto found = m_claims.find(action);
    return found != m_claims.end() && found->second.expiresAt > now ? &found->second : nullptr;
}

bool ClaimTable::put(const Id128 &action, const Id128 &token, TimeMs expiresAt, ClaimMark mark)
{
    auto found = m_claims.find(action);
    if (found == m_claims.end()) {
        if (m_claims.size() >= m_maxClaims) {
            return false;
        }
        found = m_claims.try_emplace(action).first;
        m_order.push_back({action, expiresAt});
    }
    found->second.token = token;
    found->second.expiresAt = expiresAt;
    found->second.mark = static_cast<std::uint8_t>(mark);
    return true;
}

void ClaimTable::expire(TimeMs now)
{
    while (!m_order.empty() && m_order.front().checkAt <= now) {
        const Id128 action = m_order.front().action;
        m_order.pop_front();
        ++m_firstPosition;
        const auto found = m_claims.find(action);
        if (found->second.expiresAt > now) {
            m_order.push_back({action, found->second.expiresAt}); // renewed since
        } else {
            m_claims.erase(found);
        }
    }
}

std::uint64_t ClaimTable::page(std::uint64_t from, std::size_t limit, TimeMs now, std::vector<CopiedClaim> &out) const
{
    const std::uint64_t end = m_firstPosition + m_order.size();
    const std::uint64_t begin = std::max(from, m_firstPosition);
    const std::uint64_t stop = std::min<std::uint64_t>(end, begin + limit);
    for (std::uint64_t position = begin; position < stop; ++position) {
        const Id128 &action = m_order[position - m_firstPosition].action;
        const Claim *claim = find(action, now);
        if (claim && claim->state() != ClaimMark::Released) {
            const bool blocked = claim->state() == ClaimMark::Blocked;
            out.push_back({action, blocked ? Id128{} : claim->token, claim->expiresAt - now});
        }
    }
    return stop < end ? stop : 0;
}

std::size_t ClaimTable::size() const
{
    return m_claims.size();
}
}
