#pragma once

#include "claimlimits.h"
#include "claimtable.h"

namespace Yuccagrade
{
/// The actions that a node has passed to its upstream. Refuses a second dispatch of the same action.
class DispatchedActions
{
public:
    explicit DispatchedActions(TimeMs windowMs = defaultClaimWindowMs, std::size_t maxActions = defaultMaxClaims);

    /// Records a dispatch under the claimer's token. Returns false, and the call must be refused as "not run", if the
    /// action was dispatched within the window or the set is full.
    bool add(const Id128 &action, const Id128 &token, TimeMs now);
    /// No byte of the dispatch reached the upstream. Ignored unless it was recorded with the same token.
    void notRun(const Id128 &action, const Id128 &token, TimeMs now);
    void expire(TimeMs now);
    std::size_t size() const;

private:
    TimeMs m_windowMs;
    ClaimTable m_actions;
};
}
