#include "claimcoordinator.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr int majority = 2;
}

ClaimCoordinator::ClaimCoordinator(const ClaimRequest &request, TimeMs now, TimeMs timeoutMs)
    : m_request(request)
    , m_startedAt(now)
    , m_timeoutMs(timeoutMs)
{
}

const ClaimRequest &ClaimCoordinator::request() const
{
    return m_request;
}

ClaimState ClaimCoordinator::state() const
{
    return m_state;
}

ClaimAction ClaimCoordinator::onAnswer(int replica, const ClaimAnswer &answer)
{
    if (m_state != ClaimState::Pending) {
        return ClaimAction::None;
    }
    switch (answer.result) {
    case ClaimResult::Granted:
        return record(replica, Vote::Granted);
    case ClaimResult::Refused:
        return end(ClaimState::Refused);
    case ClaimResult::Abstain:
        return record(replica, Vote::Abstained);
    case ClaimResult::WrongEpoch:
        return record(replica, Vote::WrongEpoch);
    }
    return ClaimAction::None;
}

ClaimAction ClaimCoordinator::onFailure(int replica)
{
    return record(replica, Vote::Failed);
}

ClaimAction ClaimCoordinator::record(int replica, Vote vote)
{
    if (m_state != ClaimState::Pending || replica < 0 || static_cast<std::size_t>(replica) >= m_votes.size()) {
        return ClaimAction::None;
    }
    Vote &known = m_votes[static_cast<std::size_t>(replica)];
    if (known != Vote::None) {
        return ClaimAction::None;
    }
    known = vote;
    if (count(Vote::Granted) >= majority) {
        m_state = ClaimState::Granted;
        return ClaimAction::Proceed;
    }
    if (count(Vote::Granted) + count(Vote::None) >= majority) {
        return ClaimAction::None;
    }
    return end(count(Vote::WrongEpoch) > 0 ? ClaimState::WrongEpoch : ClaimState::Unavailable);
}

ClaimAction ClaimCoordinator::tick(TimeMs now)
{
    const bool late = m_state == ClaimState::Pending && now - m_startedAt >= m_timeoutMs;
    return late ? end(ClaimState::Unavailable) : ClaimAction::None;
}

bool ClaimCoordinator::mayDispatch(TimeMs now) const
{
    return m_state == ClaimState::Granted && now - m_startedAt <= maxClaimAgeMs;
}

void ClaimCoordinator::dispatched()
{
    if (m_state == ClaimState::Granted) {
        m_state = ClaimState::Dispatched;
    }
}

void ClaimCoordinator::notRun()
{
    if (m_state == ClaimState::Dispatched) {
        m_state = ClaimState::Granted;
    }
}

ClaimAction ClaimCoordinator::abandon()
{
    const bool open = m_state == ClaimState::Pending || m_state == ClaimState::Granted;
    return open ? end(ClaimState::Released) : ClaimAction::None;
}

ClaimAction ClaimCoordinator::end(ClaimState state)
{
    m_state = state;
    return ClaimAction::Release;
}

int ClaimCoordinator::count(Vote vote) const
{
    return static_cast<int>(std::count(m_votes.begin(), m_votes.end(), vote));
}
}
