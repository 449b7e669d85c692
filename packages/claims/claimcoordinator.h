#pragma once

#include "claimlimits.h"
#include "protocol/claimmessages.h"

#include <array>
#include <string_view>

namespace Yuccagrade
{
enum class ClaimState {
    Pending, ///< waits for responses
    Granted, ///< by two of three; may be dispatched
    Dispatched, ///< the action may have run
    Refused, ///< another claimer has the action (409)
    WrongEpoch, ///< ask again with the group's current epoch and the same token
    Unavailable, ///< no majority within the timeout
    Released, ///< granted, given back without a dispatch
};
inline constexpr std::array<std::string_view, 7> claimStateNames{"pending", "granted", "dispatched", "refused", "wrong-epoch", "unavailable", "released"};

/// What the caller does after an input.
enum class ClaimAction {
    None,
    Proceed, ///< the claim is granted: check mayDispatch(), call dispatched() and dispatch
    Release, ///< send request() as `release` to all three replicas; state() says why
};

/// Drives one claim: the caller sends request() as `claim` to all three replicas and passes the responses in.
class ClaimCoordinator
{
public:
    /// @p now is the time at which the requests are sent.
    ClaimCoordinator(const ClaimRequest &request, TimeMs now, TimeMs timeoutMs);

    const ClaimRequest &request() const;
    ClaimState state() const;
    /// @p replica is 0, 1 or 2. Repeated and late responses are ignored.
    ClaimAction onAnswer(int replica, const ClaimAnswer &answer);
    /// The request to a replica has failed.
    ClaimAction onFailure(int replica);
    ClaimAction tick(TimeMs now);

    /// True if the claim is granted and at most maxClaimAgeMs old. Check directly before the dispatch.
    bool mayDispatch(TimeMs now) const;
    /// The dispatch begins; from now on the claim is kept.
    void dispatched();
    /// It is known that no byte of the dispatch reached an upstream: the claim may be dispatched again or given up.
    void notRun();
    /// Gives up a claim that was not dispatched.
    ClaimAction abandon();

private:
    enum class Vote : std::uint8_t { None, Granted, Abstained, WrongEpoch, Failed };

    ClaimAction record(int replica, Vote vote);
    ClaimAction end(ClaimState state);
    int count(Vote vote) const;

    ClaimRequest m_request;
    TimeMs m_startedAt;
    TimeMs m_timeoutMs;
    ClaimState m_state = ClaimState::Pending;
    std::array<Vote, 3> m_votes{};
};
}
