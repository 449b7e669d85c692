#include <boost/test/unit_test.hpp>

#include "claims/actionhash.h"
#include "claims/claimcoordinator.h"
#include "claims/claimreplica.h"
#include "claims/dispatchedactions.h"

#include <malloc.h>

using namespace Yuccagrade;

namespace
{
constexpr Id128 action{1, 2};
constexpr Id128 ours{7, 7};
constexpr Id128 theirs{8, 8};
constexpr TimeMs window = 60'000;

ClaimRequest request(Id128 token, std::int64_t epoch = 1, Id128 which = action)
{
    return {0, epoch, which, token};
}

ClaimReplica firstReplica()
{
    return ClaimReplica({0, 1, ReplicaStart::FirstEpoch, 0, window}, 0);
}

// Copies all pages from the source at once.
void copyAll(ClaimReplica &target, const CopySend &first, ClaimReplica &source, TimeMs now)
{
    for (std::optional<CopySend> next = first; next;) {
        next = target.onCopyAnswer(next->source, source.copy(next->request, now), now);
    }
}
}

// Guards against grants to two tokens, and against refusing a repeated request of the holder.
BOOST_AUTO_TEST_CASE(theFirstTokenHoldsTheActionUntilExpiry)
{
    ClaimReplica replica = firstReplica();
    BOOST_CHECK(replica.claim(request(ours), 0).result == ClaimResult::Granted);
    BOOST_CHECK(replica.claim(request(ours), 1).result == ClaimResult::Granted);
    BOOST_CHECK(replica.claim(request(theirs), 2).result == ClaimResult::Refused);
    BOOST_CHECK(replica.claim(request(ours, 2), 2).result == ClaimResult::WrongEpoch);
    BOOST_CHECK(replica.claim(request(theirs), window).result == ClaimResult::Refused);
    BOOST_CHECK(replica.claim(request(theirs), window + 1).result == ClaimResult::Granted);
}

// Guards against a release by another token, and against a late claim message that blocks a released action.
BOOST_AUTO_TEST_CASE(aReleaseNeedsTheTokenAndOutlivesLateClaims)
{
    ClaimReplica replica = firstReplica();
    replica.claim(request(ours), 0);
    replica.release(request(theirs), 1);
    BOOST_CHECK(replica.claim(request(theirs), 2).result == ClaimResult::Refused);
    replica.release(request(ours), 3);
    BOOST_CHECK(replica.claim(request(ours), 4).result == ClaimResult::Refused);
    BOOST_CHECK(replica.claim(request(theirs), 5).result == ClaimResult::Granted);
}

// Guards against a restarted replica that grants what its former incarnation had granted to others.
BOOST_AUTO_TEST_CASE(aRestartedReplicaAbstainsUntilItHasCopiedFromBothOthers)
{
    Random random(1);
    ClaimReplica a = firstReplica();
    ClaimReplica b = firstReplica();
    a.claim(request(ours), 0);
    ClaimReplica c({0, 1, ReplicaStart::Restarted, 0, window}, 0);
    BOOST_CHECK(c.tick(restartHoldMs - 1, random).empty());
    const auto sends = c.tick(restartHoldMs, random);
    BOOST_REQUIRE_EQUAL(sends.size(), 2U);
    copyAll(c, sends[0], a, restartHoldMs);
    BOOST_CHECK(c.claim(request(theirs), restartHoldMs).result == ClaimResult::Abstain);
    copyAll(c, sends[1], b, restartHoldMs);
    BOOST_CHECK(c.claim(request(theirs), restartHoldMs).result == ClaimResult::Refused);
    BOOST_CHECK(c.claim(request(ours), restartHoldMs).result == ClaimResult::Granted);
}

// Guards against two restarted replicas that accept each other's empty copies; both wait for the window.
BOOST_AUTO_TEST_CASE(anAbstainingReplicaIsNoSource)
{
    Random random(1);
    ClaimReplica a = firstReplica();
    ClaimReplica b({0, 1, ReplicaStart::Restarted, 0, window}, 0);
    ClaimReplica c({0, 1, ReplicaStart::Restarted, 0, window}, 0);
    for (TimeMs now = 0; now < window; now += 500) {
        for (const CopySend &copy : c.tick(now, random)) {
            copyAll(c, copy, copy.source == 0 ? a : b, now);
        }
        BOOST_REQUIRE(c.isAbstaining());
    }
    c.tick(window + window / 20, random);
    BOOST_CHECK(!c.isAbstaining());
}

// Guards against grants of a former epoch after the new one has copied, and against a lost claim in a long copy.
BOOST_AUTO_TEST_CASE(aNewEpochCopiesTwoReplicasThatThenRefuseTheFormerEpoch)
{
    Random random(1);
    ClaimReplica a = firstReplica();
    ClaimReplica b = firstReplica();
    for (std::uint64_t i = 0; i < 3 * copyPageSize; ++i) {
        a.claim(request(ours, 1, {9, i}), 0);
    }
    a.claim(request(ours), 0);
    b.claim(request(theirs), 0);
    ClaimReplica next({0, 2, ReplicaStart::NewEpoch, 1, window}, 0);
    const auto sends = next.tick(0, random);
    BOOST_REQUIRE_EQUAL(sends.size(), 3U);
    copyAll(next, sends[0], a, 0);
    BOOST_TEST(next.isAbstaining());
    copyAll(next, sends[2], b, 0);
    BOOST_TEST(next.claimCount() == 3 * copyPageSize + 1);
    BOOST_CHECK(a.claim(request(ours, 1, {5, 5}), 1).result == ClaimResult::WrongEpoch);
    BOOST_CHECK(b.claim(request(ours, 1, {5, 5}), 1).result == ClaimResult::WrongEpoch);
    BOOST_CHECK(next.claim(request(ours, 2, {9, 77}), 1).result == ClaimResult::Granted);
    // Held by two tokens in the former epoch: either may have been dispatched.
    BOOST_CHECK(next.claim(request(ours, 2), 1).result == ClaimResult::Refused);
    BOOST_CHECK(next.claim(request(theirs, 2), 1).result == ClaimResult::Refused);
}

// Guards against memory that grows with the traffic: the table is bounded and a claim takes at most 110 bytes.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    constexpr std::size_t claims = 200'000;
    const std::size_t before = mallinfo2().uordblks;
    ClaimReplica replica({0, 1, ReplicaStart::FirstEpoch, 0, window, claims}, 0);
    for (std::uint64_t i = 0; i <= claims; ++i) {
        const ClaimResult expected = i < claims ? ClaimResult::Granted : ClaimResult::Abstain;
        BOOST_REQUIRE(replica.claim(request(ours, 1, {i, i * 0x9E3779B97F4A7C15U}), 0).result == expected);
    }
    const double bytes = static_cast<double>(mallinfo2().uordblks - before) / claims;
    BOOST_TEST_MESSAGE(bytes << " bytes per claim");
    BOOST_TEST(bytes <= 110);
    Random random(1);
    replica.tick(window, random);
    BOOST_TEST(replica.claimCount() == 0U);
}

// Guards against a dispatch without a majority, after a refusal, after the age limit or after a timeout.
BOOST_AUTO_TEST_CASE(theCoordinatorNeedsAFreshMajority)
{
    ClaimCoordinator granted(request(ours), 0, 250);
    BOOST_CHECK(granted.onAnswer(0, {ClaimResult::Granted, 1}) == ClaimAction::None);
    BOOST_CHECK(granted.onAnswer(0, {ClaimResult::Granted, 1}) == ClaimAction::None);
    BOOST_TEST(!granted.mayDispatch(1));
    BOOST_CHECK(granted.onAnswer(2, {ClaimResult::Granted, 1}) == ClaimAction::Proceed);
    BOOST_TEST(granted.mayDispatch(maxClaimAgeMs));
    BOOST_TEST(!granted.mayDispatch(maxClaimAgeMs + 1));
    granted.dispatched();
    BOOST_CHECK(granted.abandon() == ClaimAction::None);

    ClaimCoordinator refused(request(ours), 0, 250);
    refused.onAnswer(0, {ClaimResult::Granted, 1});
    BOOST_CHECK(refused.onAnswer(1, {ClaimResult::Refused, 1}) == ClaimAction::Release);
    BOOST_CHECK(refused.onAnswer(2, {ClaimResult::Granted, 1}) == ClaimAction::None);
    BOOST_TEST(!refused.mayDispatch(1));

    ClaimCoordinator late(request(ours), 0, 250);
    BOOST_CHECK(late.tick(250) == ClaimAction::Release);
    BOOST_CHECK(late.state() == ClaimState::Unavailable);

    ClaimCoordinator stale(request(ours), 0, 250);
    stale.onAnswer(0, {ClaimResult::WrongEpoch, 2});
    BOOST_CHECK(stale.onFailure(1) == ClaimAction::Release);
    BOOST_CHECK(stale.state() == ClaimState::WrongEpoch);
}

// Guards against a second dispatch at the receiving node, and against a connect failure that blocks the retry.
BOOST_AUTO_TEST_CASE(theReceivingNodeDispatchesAnActionOnce)
{
    DispatchedActions actions(window, 2);
    BOOST_TEST(actions.add(action, ours, 0));
    BOOST_TEST(!actions.add(action, ours, 1));
    actions.notRun(action, theirs, 1);
    BOOST_TEST(!actions.add(action, theirs, 1));
    actions.notRun(action, ours, 1);
    BOOST_TEST(actions.add(action, theirs, 2));
    BOOST_TEST(actions.add({1, 3}, ours, 2));
    BOOST_TEST(!actions.add({1, 4}, ours, 2));
    actions.expire(2 * window);
    BOOST_TEST(actions.size() == 0U);
}

// Guards against two actions with one identity because their texts join to the same string.
BOOST_AUTO_TEST_CASE(theActionHashSeparatesItsParts)
{
    BOOST_CHECK(actionHash("a", "bc", "d") != actionHash("ab", "c", "d"));
    BOOST_CHECK(actionHash("a", "bc", "d") == actionHash("a", "bc", "d"));
    BOOST_TEST(claimGroupOf(action, {4, 6, 8}).value() == 6);
    BOOST_TEST(!claimGroupOf(action, {}).has_value());
}
