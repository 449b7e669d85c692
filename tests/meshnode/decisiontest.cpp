#include <boost/test/unit_test.hpp>

#include "meshnode/admissioncontrol.h"
#include "meshnode/directory.h"
#include "meshnode/retrytokens.h"
#include "meshnode/teamratelimiter.h"
#include "meshnode/upstreamqueue.h"

#include <rapidcheck.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
namespace utf = boost::unit_test;

namespace
{
const auto allReachable = [](const std::string &) {
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

// Guards against starvation of low priorities, delay of high ones, and refusal of new requests that are queued behind nested
// calls with enough time.
BOOST_AUTO_TEST_CASE(callsStartInTheOrderOfTheirLatestStart)
{
    UpstreamQueue queue;
    queue.add(offered(1, 2, false, 0)); // latest start 80, plus 2 priority steps
    queue.add(offered(2, 0, false, 10)); // latest start 90
    queue.add(offered(3, 2, true, 20)); // latest start 720; no priority steps for nested calls
    queue.add(offered(4, 0, false, 100)); // latest start 180
    queue.add(offered(5, 2, false, 650)); // latest start 730, plus 2 priority steps
    std::vector<std::uint64_t> order;
    while (!queue.empty()) {
        order.push_back(queue.takeNext().message.callId);
    }
    BOOST_TEST(order == (std::vector<std::uint64_t>{2, 1, 4, 3, 5}), boost::test_tools::per_element());
}

// Guards against refusals of new requests later than an eighth of the latency goal, also at a second upstream.
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

// Guards against a call to an upstream outside the regions of its route and team, also if no other one is available.
BOOST_AUTO_TEST_CASE(choiceKeepsToTheAllowedRegions)
{
    Directory directory("north", Random(1));
    directory.setRegions({{"north", "nordic"}, {"south", "alps"}, {"west", "alps"}});
    directory.replace({upstream("1", "north"), upstream("2", "south"), upstream("3", "unassigned")});
    Route route;
    Team team;
    const auto chosen = [&](const std::set<std::string> &tried = {}) {
        const UpstreamEntry *entry = directory.choose("stock", 1, 400, 1'000, tried, allReachable, 5'000, AllowedRegions(route, &team));
        return entry ? entry->id : std::string();
    };
    BOOST_TEST(chosen() == "1");
    BOOST_TEST(chosen({"1", "2"}) == "3");
    route.regions = {"alps"};
    BOOST_TEST(chosen() == "2");
    BOOST_TEST(chosen({"2"}).empty());
    directory.recordFailure("2", 4'900);
    BOOST_TEST(chosen() == "2");
    team.regions = {"alps", "nordic"};
    BOOST_TEST(chosen() == "2");
    team.regions = {"nordic"};
    BOOST_TEST(chosen().empty());
    route.regions.clear();
    BOOST_TEST(chosen() == "1");
    team.regions = {"tropics"};
    BOOST_TEST(chosen().empty());
    BOOST_TEST(!AllowedRegions(route, &team).allowsAnyOf(directory.regionOfDomain()));
    BOOST_TEST(AllowedRegions(route, nullptr).allowsAll());
}

// Guards against calls to upstreams that are draining, were tried before, failed recently, or are unreachable.
BOOST_AUTO_TEST_CASE(choiceSkipsUnavailableUpstreams)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north", UpstreamState::Draining), upstream("2", "north"), upstream("3", "south")});
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 0)->id == "2");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"2"}, allReachable, 0)->id == "3");
    BOOST_TEST(!directory.choose("stock", 1, 400, 1'000, {"2", "3"}, allReachable, 0));
    BOOST_TEST(!directory.choose("orders", 1, 400, 1'000, {}, allReachable, 0));
    directory.recordFailure("2", 1'000);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 1'100)->id == "3");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"3"}, allReachable, 1'100)->id == "2");
    const auto onlySouth = [](const std::string &address) {
        return address == "10.0.0.3:7000";
    };
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, onlySouth, 5'000)->id == "3");
}

// Guards against calls to the upstreams of an evacuated domain when no other ones are left, and against a domain that stays excluded.
BOOST_AUTO_TEST_CASE(evacuatedDomainIsNoLastResort)
{
    Directory directory("north", Random(1));
    directory.setEvacuatedDomains({"north"});
    directory.replace({upstream("1", "north"), upstream("2", "north", UpstreamState::Unreachable), upstream("3", "south")});
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 0)->id == "3");
    BOOST_TEST(!directory.choose("stock", 1, 400, 1'000, {"3"}, allReachable, 0));
    directory.setEvacuatedDomains({});
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"3"}, allReachable, 0)->id == "1");
}

// Guards against removal of upstreams that a new leader does not list because their nodes have not reported to it yet.
BOOST_AUTO_TEST_CASE(incompleteListsRemoveNothing)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north"), upstream("2", "north")});
    directory.update({upstream("2", "north", UpstreamState::Draining), upstream("3", "south")});
    BOOST_TEST(directory.size() == 3U);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 0)->id == "1");
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {"1"}, allReachable, 0)->id == "3");
}

// Guards against the higher retry cost for services without nested calls, and against the lower one before the first report.
BOOST_AUTO_TEST_CASE(loadReportsTellWhetherAServiceMakesCalls)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("1", "north"), upstream("2", "south")});
    BOOST_TEST(directory.makesCalls("stock"));
    directory.recordLoad("1", {1, 20, 0, false}, 1'000);
    BOOST_TEST(!directory.makesCalls("stock"));
    directory.recordLoad("2", {1, 20, 0, true}, 1'000);
    BOOST_TEST(directory.makesCalls("stock"));
}

// Guards against calls that pile up at a cold upstream before its first load report, because its slots are free.
BOOST_AUTO_TEST_CASE(coldUpstreamGetsWhatItsRateAllows)
{
    Directory directory("north", Random(1));
    UpstreamEntry cold = upstream("2", "north");
    cold.warmUpLeftMs = 3'000;
    directory.replace({cold, upstream("3", "north")});
    const auto callsToCold = [&directory] {
        int calls = 0;
        for (int i = 0; i < 200; ++i) {
            calls += directory.choose("stock", 1, 400, 1'000, {}, allReachable, 1'000)->id == "2" ? 1 : 0;
        }
        return calls;
    };
    const int unlimited = callsToCold();
    directory.setColdRates({{"stock", 13}});
    const int limited = callsToCold();
    BOOST_TEST(limited < 20);
    BOOST_TEST(limited < unlimited);
}

// Guards against preferring a full upstream in the own domain to an idle one in another domain.
BOOST_AUTO_TEST_CASE(choiceFollowsTheLoad)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "south")});
    directory.recordLoad("2", {20, 20, 0}, 1'000);
    directory.recordLoad("3", {2, 20, 0}, 1'000);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 1'100)->id == "3");
    directory.recordLoad("2", {4, 20, 0}, 1'200);
    BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 1'300)->id == "2");
}

// Guards against calls with a short latency goal to a slow upstream, and against a slow upstream that is never tried again.
BOOST_AUTO_TEST_CASE(choiceAvoidsSlowUpstreams)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "north")});
    directory.recordLoad("2", {4, 20, 0}, 1'000);
    directory.recordLoad("3", {4, 20, 0}, 1'000);
    directory.recordServiceTime("2", 1, 300, 1'000);
    directory.recordServiceTime("3", 1, 100, 1'000);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(directory.choose("stock", 1, 400, 1'000, {}, allReachable, 1'100)->id == "3");
    }
    int retried = 0;
    for (int i = 0; i < 100; ++i) {
        retried += directory.choose("stock", 1, 400, 1'000, {}, allReachable, 30'000)->id == "2" ? 1 : 0;
    }
    BOOST_TEST(retried > 10);
}

// Guards against a node that uses the whole retry budget before it has the number of nodes.
BOOST_AUTO_TEST_CASE(retryBudgetIsSmallBeforeTheNumberOfNodesIsSet)
{
    RetryBudget tokens(0.2, 49, 10'000);
    int taken = 0;
    for (double now = 1; now < 10'000; now += 10) {
        taken += tokens.tryTake("stock", false, now) ? 1 : 0;
    }
    BOOST_TEST(taken <= 3);
}

// Guards against a bucket too small for the burst of retries after the failure of a node.
BOOST_AUTO_TEST_CASE(retryBurstGrowsWithTheRateOfRequests)
{
    RetryBudget tokens(0.2, 49, 10'000);
    tokens.setNodes(15);
    for (int i = 0; i < 650; ++i) {
        tokens.recordRequest("stock", 1 + i * 10'000.0 / 650);
    }
    int taken = 0;
    while (tokens.tryTake("stock", false, 10'001)) {
        ++taken;
    }
    BOOST_TEST(taken >= 10);
    BOOST_TEST(taken <= 0.2 * 650 + 49.0 / 15);
}

// Guards against an upstream that is preferred although its calls time out, because timeouts add no service time.
BOOST_AUTO_TEST_CASE(choiceAvoidsUpstreamsWhoseCallsTimeOut)
{
    Directory directory("north", Random(1));
    directory.replace({upstream("2", "north"), upstream("3", "south")});
    directory.recordLoad("2", {2, 20, 0}, 1'000);
    directory.recordLoad("3", {10, 20, 0}, 1'000);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, allReachable, 1'100)->id == "2");
    directory.recordTimeout("2", 1, 1'200, 1'100);
    directory.recordServiceTime("3", 1, 300, 1'100);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, allReachable, 1'200)->id == "3");
    // Other kinds of calls are not affected.
    BOOST_TEST(directory.choose("stock", 2, 700, 1'000, {}, allReachable, 1'200)->id == "2");
    directory.recordTimeout("2", 1, 100, 1'200);
    BOOST_TEST(directory.choose("stock", 1, 700, 1'000, {}, allReachable, 1'200)->id == "3");
}

// Guards against retries of all nodes together beyond the shared budget.
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
                node.recordRequest("stock", now);
                requests += 1;
            }
            for (int i = 0; i < 3; ++i) {
                repeats += node.tryTake("stock", random.below(2) == 0, now) ? 1 : 0;
            }
        }
        RC_ASSERT(repeats <= ratio * requests + fixed);
    }));
}

// Guards against refusing a higher priority while a lower one is admitted.
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
    // Requests to the overloaded service itself are refused at the level of the next higher priority of its callers.
    admission.setLevels({{"stock", 2.0, 2.0}, {"orders", 2.0, 0.0}}, 0);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!admission.admits("stock", 2, 100));
        BOOST_TEST(admission.admits("stock", 1, 100));
        BOOST_TEST(!admission.admits("orders", 1, 100));
        BOOST_TEST(admission.admits("orders", 0, 100));
    }
    // Levels expire without updates of the leader.
    BOOST_TEST(admission.admits("stock", 2, 10'000));
}

// Guards against an upstream that has left and is used again, because a report of its node was still on its way when the leader
// removed it.
BOOST_AUTO_TEST_CASE(removedUpstreamStaysRemovedUntilTheLeaderAddsItAgain)
{
    Directory directory("north", Random(1));
    const UpstreamEntry entry{"i-1", "stock", "north", "a", UpstreamState::Ready, 10, 0};
    const auto isChosen = [&directory] {
        return directory.choose(
                   "stock",
                   0,
                   100,
                   100,
                   {},
                   [](const std::string &) {
                       return true;
                   },
                   0)
            != nullptr;
    };
    directory.replace({entry});
    BOOST_TEST(isChosen());
    directory.recordSent("i-1");
    directory.change({}, {"i-1"});
    BOOST_TEST(!isChosen());
    directory.update({entry});
    directory.recordDone("i-1");
    BOOST_TEST(!isChosen());
    BOOST_TEST(directory.size() == 0U);
    directory.update({entry});
    BOOST_TEST(!isChosen());
    directory.change({entry}, {});
    BOOST_TEST(isChosen());
    directory.change({}, {"i-1"});
    directory.replace({entry});
    BOOST_TEST(isChosen());
}

// Guards against admitting requests without a token, and against refusals although the leader grants tokens.
BOOST_AUTO_TEST_CASE(teamsTakeTokensFromTheLeaderOrTheNodesShare)
{
    const Team team{"red", {}, std::nullopt, 100, 100};
    const Team free{"free", {}, std::nullopt, 0, 0};
    TeamRateLimiter meter(1);
    SyncMessage report;
    meter.fillReport(report, 0);
    bool leader = true;
    int asked = 0;
    meter.requestTokens = [&](const TokenRequest &request) {
        asked += request.wanted;
        return leader;
    };
    BOOST_TEST((meter.tryTake(free, 0) == TeamRateLimiter::Result::Taken));
    BOOST_TEST((meter.tryTake(team, 0) == TeamRateLimiter::Result::Pending));
    BOOST_TEST(asked == 1);
    meter.addGrant({"red", 1, 0, report.account}, 2);
    BOOST_TEST((meter.tryTake(team, 2) == TeamRateLimiter::Result::Taken));
    BOOST_TEST((meter.tryTake(team, 3) == TeamRateLimiter::Result::Pending));
    meter.addGrant({"red", 0, 40, report.account}, 5);
    BOOST_TEST((meter.tryTake(team, 10) == TeamRateLimiter::Result::Refused));
    BOOST_TEST((meter.tryTake(team, 60) == TeamRateLimiter::Result::Pending));
    leader = false;
    SyncReplyMessage reply;
    reply.account = report.account;
    reply.shares = {{"red", 0.5, 0}};
    meter.applyReply(reply, 10'000, 1'000);
    int taken = 0;
    for (double now = 1'000; now < 2'000; now += 1) {
        taken += meter.tryTake(team, now) == TeamRateLimiter::Result::Taken ? 1 : 0;
    }
    BOOST_TEST(taken <= 51);
    BOOST_TEST(taken >= 48);
    SyncMessage next;
    meter.fillReport(next, 2'000);
    BOOST_REQUIRE(next.demand.size() == 2U); // red and the team without a limit
    BOOST_TEST(next.demand.back().shareTokens == taken);
    BOOST_TEST(next.demand.back().offlineTokens == taken);
    // Neither a share nor a token is used after the lease, and grants of a former account are dropped.
    BOOST_TEST((meter.tryTake(team, 10'001) == TeamRateLimiter::Result::Refused));
    meter.startAccount();
    BOOST_TEST(!meter.addGrant({"red", 1, 0, report.account}, 10'002));
}

// Guards against refusing nearly all requests within a limit while no leader answers, because the share of each of many nodes
// yields less than one token, and against taking more than the rate then.
BOOST_AUTO_TEST_CASE(smallSharesServeRequestsWithoutALeader)
{
    constexpr std::size_t nodes = 60;
    constexpr double absenceMs = 1'500;
    const Team team{"red", {}, std::nullopt, 40, 40};
    const double tokens = team.ratePerS * absenceMs / 1'000;
    Random random(3);
    int taken = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
        TeamRateLimiter limiter(static_cast<std::uint32_t>(i));
        limiter.requestTokens = [](const TokenRequest &) {
            return false;
        };
        SyncMessage report;
        limiter.fillReport(report, 0);
        SyncReplyMessage reply;
        reply.account = report.account;
        reply.shares = {{"red", 1.0 / nodes, 0}};
        limiter.applyReply(reply, 10'000, 1'000);
        // Demand of the whole rate.
        for (double now = 1'000 + random.fraction() * absenceMs; now < 1'000 + absenceMs; now += absenceMs) {
            taken += limiter.tryTake(team, now) == TeamRateLimiter::Result::Taken ? 1 : 0;
        }
    }
    BOOST_TEST(taken > tokens / 3);
    BOOST_TEST(taken <= tokens);
}
