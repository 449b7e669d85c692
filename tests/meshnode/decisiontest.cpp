#include <boost/test/unit_test.hpp>

#include "meshnode/admissioncontrol.h"
#include "meshnode/directory.h"
#include "meshnode/retrybudget.h"
#include "meshnode/teamratelimiter.h"
#include "meshnode/upstreamqueue.h"

#include <rapidcheck.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
namespace utf = boost::unit_test;

namespace
{
const auto everywhere = [](const std::string &) {
    return true;
};

UpstreamEntry upstream(const std::string &id, const std::string &domain, UpstreamState state = UpstreamState::Ready)
{
    return {id, "stock", domain, "10.0.0." + id + ":7000", state, 20, 0};
}

OfferedCall offered(std::uint64_t id, int priority, bool nested, double nowMs, double goalMs = 1'000)
{
    OfferedCall call;
    call.message.callId = id;
    call.message.priority = priority;
    call.message.nested = nested;
    call.message.latencyGoalMs = goalMs;
    call.message.timeLeftMs = 2'000;
    setTimeBounds(call, nowMs);
    return call;
}
}

// Guards against a queue in which low priorities starve or high ones wait, and against new requests that are refused because
// nested calls stand before them that have time to wait.
BOOST_AUTO_TEST_CASE(callsStartInTheOrderOfTheirLatestStart)
{
    UpstreamQueue queue;
    queue.add(offered(1, 2, false, 0)); // has to start by 80, 2 steps later
    queue.add(offered(2, 0, false, 10)); // by 90
    queue.add(offered(3, 2, true, 20)); // by 720; nested calls are not shifted
    queue.add(offered(4, 0, false, 100)); // by 180
    queue.add(offered(5, 2, false, 650)); // by 730, 2 steps later
    std::vector<std::uint64_t> order;
    while (!queue.empty()) {
        order.push_back(queue.takeNext().message.callId);
    }
    BOOST_TEST(order == (std::vector<std::uint64_t>{2, 1, 4, 3, 5}), boost::test_tools::per_element());
}

// Guards against a refusal that comes later than an eighth of the latency goal.
BOOST_AUTO_TEST_CASE(newRequestsAreRefusedEarly)
{
    UpstreamQueue queue;
    queue.add(offered(1, 0, false, 0, 400));
    queue.add(offered(2, 0, true, 0, 400));
    BOOST_TEST(queue.takeExpired(31).empty());
    const auto expired = queue.takeExpired(50);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().message.callId == 1U);
    OfferedCall again = offered(3, 0, false, 0, 400);
    again.message.offeredBefore = true;
    setTimeBounds(again, 100);
    queue.add(again);
    BOOST_TEST(queue.takeExpired(111).size() == 1U);
    BOOST_TEST(queue.remove(0, 2));
    BOOST_TEST(!queue.remove(0, 2));
}

// Guards against calls to upstreams that drain, were tried, failed, or cannot be reached.
BOOST_AUTO_TEST_CASE(choiceAvoidsWhatCannotServe)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north", UpstreamState::Draining), upstream("2", "north"), upstream("3", "south")});
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 0)->id == "2");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"2"}, everywhere, 0)->id == "3");
    BOOST_TEST(!directory.choose("stock", 1, 400, 1'000, {"2", "3"}, everywhere, 0));
    BOOST_TEST(!directory.choose("orders", 1, 400, 1'000, {}, everywhere, 0));
    directory.noteFailure("2", 1'000);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 1'100)->id == "3");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"3"}, everywhere, 1'100)->id == "2");
    const auto onlySouth = [](const std::string &address) {
        return address == "10.0.0.3:7000";
    };
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, onlySouth, 5'000)->id == "3");
}

// Guards against upstreams that are forgotten because a new leader has not heard of them yet.
BOOST_AUTO_TEST_CASE(incompleteListsRemoveNothing)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north"), upstream("2", "north")});
    directory.update({upstream("2", "north", UpstreamState::Draining), upstream("3", "south")});
    BOOST_TEST(directory.size() == 3U);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 0)->id == "1");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"1"}, everywhere, 0)->id == "3");
}

// Guards against dear repeated sends to services that call no others, and cheap ones before anything is known.
BOOST_AUTO_TEST_CASE(nestedCallsAreKnownFromTheUpstreamsHeard)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north"), upstream("2", "south")});
    BOOST_TEST(directory.makesCalls("stock"));
    directory.noteLoad("1", {1, 20, 0, false}, 1'000);
    BOOST_TEST(!directory.makesCalls("stock"));
    directory.noteLoad("2", {1, 20, 0, true}, 1'000);
    BOOST_TEST(directory.makesCalls("stock"));
}

// Guards against a full upstream nearby that is preferred to an idle one elsewhere.
BOOST_AUTO_TEST_CASE(choiceFollowsTheLoad)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "south")});
    directory.noteLoad("2", {20, 20, 0}, 1'000);
    directory.noteLoad("3", {2, 20, 0}, 1'000);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 1'100)->id == "3");
    directory.noteLoad("2", {4, 20, 0}, 1'200);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 1'300)->id == "2");
}

// Guards against calls with a tight goal at a slow upstream, and against one that is never tried again.
BOOST_AUTO_TEST_CASE(choiceAvoidsSlowUpstreams)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "north")});
    directory.noteLoad("2", {4, 20, 0}, 1'000);
    directory.noteLoad("3", {4, 20, 0}, 1'000);
    directory.noteServiceTime("2", 1, 300, 1'000);
    directory.noteServiceTime("3", 1, 100, 1'000);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, everywhere, 1'100)->id == "3");
    }
    int retried = 0;
    for (int i = 0; i < 100; ++i) {
        retried += directory.choose("stock", 1, 400, 1'000, {}, everywhere, 30'000)->id == "2" ? 1 : 0;
    }
    BOOST_TEST(retried > 10);
}

// Guards against a node that takes the whole budget for itself before it knows how many share it.
BOOST_AUTO_TEST_CASE(unknownFleetsAreTakenForLargeOnes)
{
    RetryBudget tokens(0.2, 49, 10'000);
    int taken = 0;
    for (double now = 1; now < 10'000; now += 10) {
        taken += tokens.tryTake("stock", false, now) ? 1 : 0;
    }
    BOOST_TEST(taken <= 3);
}

// Guards against a lost node whose calls may not be sent again because no tokens were saved.
BOOST_AUTO_TEST_CASE(tokensAreSavedByTheRateOfRequests)
{
    RetryBudget tokens(0.2, 49, 10'000);
    tokens.setNodes(15);
    for (int i = 0; i < 650; ++i) {
        tokens.noteRequest("stock", 1 + i * 10'000.0 / 650);
    }
    int taken = 0;
    while (tokens.tryTake("stock", false, 10'001)) {
        ++taken;
    }
    BOOST_TEST(taken >= 10);
    BOOST_TEST(taken <= 0.2 * 650 + 49.0 / 15);
}

// Guards against an upstream that looks fast because all calls to it time out.
BOOST_AUTO_TEST_CASE(choiceAvoidsUpstreamsWhoseCallsTimeOut)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "south")});
    directory.noteLoad("2", {2, 20, 0}, 1'000);
    directory.noteLoad("3", {10, 20, 0}, 1'000);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, everywhere, 1'100)->id == "2");
    directory.noteTimeout("2", 1, 1'200, 1'100);
    directory.noteServiceTime("3", 1, 300, 1'100);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, everywhere, 1'200)->id == "3");
    // Other kinds of calls may still be fast there.
    BOOST_TEST(directory.choose("stock", 2, 700, 1'000, {}, everywhere, 1'200)->id == "2");
    directory.noteTimeout("2", 1, 100, 1'200);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, everywhere, 1'200)->id == "3");
}

// Guards against repeated sends of all nodes together beyond the shared budget.
BOOST_AUTO_TEST_CASE(retriesOfAllNodesStayWithinTheBudget, *utf::label("property"))
{
    BOOST_TEST(rc::check("sends beyond the first in a window are at most ratio x requests + the fixed number", [](std::uint64_t seed) {
        constexpr std::size_t nodes = 15;
        constexpr double ratio = 0.2;
        constexpr double fixed = 49;
        constexpr double windowMs = 10'000;
        Random random(seed);
        std::vector<RetryBudget> tokens(nodes, RetryBudget(ratio, fixed, windowMs));
        for (RetryBudget &node : tokens) {
            node.setNodes(nodes);
        }
        double requests = 0;
        double repeats = 0;
        for (double now = 1; now < windowMs; now += 5) {
            RetryBudget &node = tokens[random.below(nodes)];
            if (random.below(2) == 0) {
                node.noteRequest("stock", now);
                requests += 1;
            }
            for (int i = 0; i < 3; ++i) {
                repeats += node.tryTake("stock", random.below(2) == 0, now) ? 1 : 0;
            }
        }
        RC_ASSERT(repeats <= ratio * requests + fixed);
    }));
}

// Guards against refusals of urgent requests while less urgent ones are admitted.
BOOST_AUTO_TEST_CASE(lowestPriorityIsRefusedFirst)
{
    AdmissionControl admission(Random(1));
    admission.setLevels({{"stock", 1.0}}, 0);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!admission.admits("stock", 2, 100));
        BOOST_TEST(admission.admits("stock", 1, 100));
        BOOST_TEST(admission.admits("stock", 0, 100));
        BOOST_TEST(admission.admits("orders", 2, 100));
    }
    // At its own shortage, requests of the service are refused together with the next higher priority of its callers.
    admission.setLevels({{"stock", 2.0, 2.0}, {"orders", 2.0, 0.0}}, 0);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!admission.admits("stock", 2, 100));
        BOOST_TEST(admission.admits("stock", 1, 100));
        BOOST_TEST(!admission.admits("orders", 1, 100));
        BOOST_TEST(admission.admits("orders", 0, 100));
    }
    // A leader that is gone must not keep the entry closed.
    BOOST_TEST(admission.admits("stock", 2, 10'000));
}

// Guards against requests that run without a token, and against refusals while the leader grants.
BOOST_AUTO_TEST_CASE(teamsTakeTokensFromTheLeaderOrTheOwnShare)
{
    const Team team{"red", {}, std::nullopt, 100, 100};
    const Team free{"free", {}, std::nullopt, 0, 0};
    TeamRateLimiter meter;
    bool leader = true;
    int asked = 0;
    meter.requestTokens = [&](const TokenRequest &request) {
        asked += request.wanted;
        return leader;
    };
    BOOST_TEST((meter.tryTake(free, 0) == TeamRateLimiter::Result::Taken));
    BOOST_TEST((meter.tryTake(team, 0) == TeamRateLimiter::Result::Pending));
    BOOST_TEST(asked == 1);
    meter.addGrant({"red", 1, 0}, 2);
    BOOST_TEST((meter.tryTake(team, 2) == TeamRateLimiter::Result::Taken));
    BOOST_TEST((meter.tryTake(team, 3) == TeamRateLimiter::Result::Pending));
    meter.addGrant({"red", 0, 40}, 5);
    BOOST_TEST((meter.tryTake(team, 10) == TeamRateLimiter::Result::Refused));
    BOOST_TEST((meter.tryTake(team, 60) == TeamRateLimiter::Result::Pending));
    leader = false;
    meter.setShares({{"red", 0.5, 0}});
    int taken = 0;
    for (double now = 1'000; now < 2'000; now += 1) {
        taken += meter.tryTake(team, now) == TeamRateLimiter::Result::Taken ? 1 : 0;
    }
    BOOST_TEST(taken <= 51);
    BOOST_TEST(taken >= 48);
}
