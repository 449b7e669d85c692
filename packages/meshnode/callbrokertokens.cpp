// The part of CallBroker that takes tokens of the teams' rates.

#include "callbroker.h"

namespace Yuccagrade::Mesh
{
namespace
{
// Interval at which calls that wait for a token from the leader are checked.
constexpr TimeMs tokenWaitCheckMs = 20;
}

// Starts the call if the team has a token, else refuses it or queues it until the leader's answer.
void CallBroker::takeTeamToken(const CallPtr &call, bool hasWaited)
{
    const auto result = call->rateLimitedTeam ? m_teamRateLimiter.tryTake(*call->rateLimitedTeam, now(), hasWaited) : TeamRateLimiter::Result::Taken;
    if (result == TeamRateLimiter::Result::Taken) {
        startCall(call);
    } else if (result == TeamRateLimiter::Result::Refused) {
        refuseOverRate(call);
    } else {
        call->tokenWaitStartMs = now();
        m_waitingForToken[call->team].push_back(call);
        if (!m_tokenWaitCheckScheduled) {
            m_tokenWaitCheckScheduled = true;
            m_loop.after(tokenWaitCheckMs, [this] {
                expireTokenWaits();
            });
        }
    }
}

void CallBroker::refuseOverRate(const CallPtr &call)
{
    refuse(*call, 429, m_teamRateLimiter.retryAfterMs(*call->rateLimitedTeam, now()), Event::TeamOverRate, "team over its rate");
}

void CallBroker::handleTokenGrant(const TokenGrant &grant)
{
    if (!m_teamRateLimiter.addGrant(grant, now())) {
        return;
    }
    auto &waitingCalls = m_waitingForToken[grant.team];
    if (waitingCalls.empty()) {
        return;
    }
    const CallPtr call = waitingCalls.front();
    waitingCalls.pop_front();
    if (call->exchange->isFinished()) {
        return;
    }
    if (grant.granted > 0 && m_teamRateLimiter.tryTake(*call->rateLimitedTeam, now()) == TeamRateLimiter::Result::Taken) {
        startCall(call);
    } else {
        refuseOverRate(call);
    }
}

// Falls back to the node's own share of the rate for calls whose token request the leader did not answer in time.
void CallBroker::expireTokenWaits()
{
    m_tokenWaitCheckScheduled = false;
    const double at = now();
    bool anyWaiting = false;
    for (auto &[team, waitingCalls] : m_waitingForToken) {
        while (!waitingCalls.empty() && at - waitingCalls.front()->tokenWaitStartMs > TeamRateLimiter::maxTokenWaitMs) {
            const CallPtr call = waitingCalls.front();
            waitingCalls.pop_front();
            if (!call->exchange->isFinished()) {
                takeTeamToken(call, true);
            }
        }
        anyWaiting = anyWaiting || !waitingCalls.empty();
    }
    if (anyWaiting && !m_tokenWaitCheckScheduled) {
        m_tokenWaitCheckScheduled = true;
        m_loop.after(tokenWaitCheckMs, [this] {
            expireTokenWaits();
        });
    }
}
}
