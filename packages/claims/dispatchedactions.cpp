#include "dispatchedactions.h"

namespace Yuccagrade
{
DispatchedActions::DispatchedActions(TimeMs windowMs, std::size_t maxActions)
    : m_windowMs(windowMs)
    , m_actions(maxActions)
{
}

bool DispatchedActions::add(const Id128 &action, const Id128 &token, TimeMs now)
{
    const Claim *known = m_actions.find(action, now);
    if (known && known->state() == ClaimMark::Held) {
        return false;
    }
    return m_actions.put(action, token, now + m_windowMs, ClaimMark::Held);
}

void DispatchedActions::notRun(const Id128 &action, const Id128 &token, TimeMs now)
{
    const Claim *known = m_actions.find(action, now);
    if (known && known->state() == ClaimMark::Held && known->token == token) {
        m_actions.put(action, token, now + m_windowMs, ClaimMark::Released);
    }
}

void DispatchedActions::expire(TimeMs now)
{
    m_actions.expire(now);
}

std::size_t DispatchedActions::size() const
{
    return m_actions.size();
}
}
