#include <boost/test/unit_test.hpp>

#include "policy/attemptbudget.h"
#include "policy/balancer.h"
#include "policy/entrythrottle.h"
#include "policy/retryratio.h"
#include "upstreammodel.h"

using namespace Yuccagrade;

namespace
{
QueuedRequest request(std::uint64_t id, const std::string &team, Priority priority = Priority::Normal, int depth = 0)
{
    return {id, priority, depth, team, 1e9, 0};
}
}

// Guards against a limit that stays at its cold-start value or exceeds the announced slots.
BOOST_AUTO_TEST_CASE(theLimitReachesTheSlotsOfAFastUpstream)
{
    UpstreamModel model(1);
    BOOST_TEST(model.admission.limit() == 4);
    model.sources = {{"a", Priority::Normal, 24}}; // capacity is 20 calls per ms
    model.run(500);
    BOOST_TEST(model.admission.limit() >= 38);
    BOOST_TEST(model.admission.limit() <= 40);
    model.admission.announce(12, 10);
    BOOST_TEST(model.admission.limit() == 10);
}

// Guards against a limit that stays low after the latency of the upstream has risen tenfold, and against a slow recovery.
BOOST_AUTO_TEST_CASE(theLimitFollowsASlowdownAndARecovery)
{
    UpstreamModel model(2);
    model.sources = {{"a", Priority::Normal, 24}};
    model.run(1000);
    model.serviceMs = 20;
    model.run(500);
    BOOST_TEST(model.admission.limit() >= 2);
    BOOST_TEST(model.admission.limit() <= 20);
    model.run(9500);
    BOOST_TEST(model.admission.limit() >= 30); // the higher latency has become the minimum
    model.serviceMs = 2;
    model.run(200);
    const int before = model.counts["a"].started;
    model.run(100);
    BOOST_TEST(model.counts["a"].started - before >= 1900); // 95% of 20 per ms
}

// Guards against a limit that does not fall when the upstream times out or answers 503.
BOOST_AUTO_TEST_CASE(timeoutsAndUpstream503LowerTheLimit)
{
    ConcurrencyLimit limit;
    limit.announce(40, 1000);
    for (int i = 0; i < 2000; ++i) {
        limit.finished(CallResult::Ok, 2, 40, i);
    }
    BOOST_TEST(limit.limit() == 40);
    limit.finished(CallResult::Overloaded, 0, 40, 3000);
    limit.finished(CallResult::Timeout, 100, 40, 3001); // within the decrease interval
    BOOST_TEST(limit.limit() == 28);
    limit.finished(CallResult::Cancelled, 1, 40, 3100);
    BOOST_TEST(limit.limit() == 28);
    for (int i = 0; i < 50; ++i) {
        limit.finished(CallResult::Timeout, 100, 40, 4000 + i * 100);
    }
    BOOST_TEST(limit.limit() == 1);
}

// Guards against root requests that start before nested calls, and against requests of lower priority that start first.
BOOST_AUTO_TEST_CASE(theQueueOrdersByPriorityThenDepth)
{
    FairQueue queue;
    queue.push(request(1, "a", Priority::Bulk, 9), 0);
    queue.push(request(2, "a", Priority::Critical), 0);
    queue.push(request(3, "a", Priority::Critical, 1), 0);
    queue.push(request(4, "a", Priority::Critical, 3), 0);
    for (const std::uint64_t expected : {4U, 3U, 2U, 1U}) {
        BOOST_TEST(queue.pop(1).value().id == expected);
    }
    BOOST_TEST(!queue.pop(1).has_value());
}

// Guards against weights that have no effect.
BOOST_AUTO_TEST_CASE(theQueueServesTeamsByWeight)
{
    FairQueue queue;
    queue.setWeight("a", 3);
    for (std::uint64_t i = 0; i < 200; ++i) {
        queue.push(request(i, i % 2 == 0 ? "a" : "b"), 0);
    }
    int a = 0;
    for (int i = 0; i < 100; ++i) {
        a += queue.pop(1).value().team == "a" ? 1 : 0;
    }
    BOOST_TEST(a == 75);
}

// Guards against a standing queue served in FIFO order, where all requests start just before their callers give up.
BOOST_AUTO_TEST_CASE(aStandingQueueIsServedNewestFirst)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.push(request(i, "a"), static_cast<double>(i));
    }
    BOOST_TEST(queue.pop(10).value().id == 0U); // has waited for 10 ms, but the queue has not been standing for an interval
    BOOST_TEST(queue.pop(31).value().id == 9U);
    BOOST_TEST(queue.expire(200).size() == 8U);
    queue.push(request(20, "a"), 200);
    queue.push(request(21, "a"), 201);
    BOOST_TEST(queue.pop(202).value().id == 20U);
}

// Guards against evictions from a more important class or from a team within its share.
BOOST_AUTO_TEST_CASE(aFullQueueEvictsTheTeamMostOverItsShare)
{
    FairQueue queue({50, 4});
    queue.push(request(1, "a", Priority::Critical), 0);
    queue.push(request(2, "b", Priority::Bulk), 0);
    queue.push(request(3, "c", Priority::Bulk), 0);
    queue.push(request(4, "c", Priority::Bulk), 0);
    BOOST_TEST(queue.push(request(5, "b", Priority::Critical), 0).value().id == 3U);
    queue.push(request(6, "a", Priority::Normal), 0);
    BOOST_TEST(queue.push(request(7, "a", Priority::Critical), 0).value().id == 4U);
    BOOST_TEST(queue.push(request(8, "a", Priority::Bulk), 0).value().id == 8U);
    BOOST_TEST(queue.cancel(7));
    BOOST_TEST(!queue.cancel(7));
    BOOST_TEST(queue.size() == 3U);
}

// Guards against a throttle that refuses requests without an overload, and against one that never recovers.
BOOST_AUTO_TEST_CASE(theEntryThrottleFollowsTheWindow)
{
    EntryThrottle throttle(Priority::Normal);
    for (int i = 0; i < 100; ++i) {
        throttle.finished(true, i / 10);
    }
    BOOST_TEST(throttle.refusalProbability(10) == 0);
    for (int i = 0; i < 300; ++i) {
        throttle.finished(false, 20);
    }
    BOOST_TEST(throttle.refusalProbability(20) == (400 - 1.5 * 100) / 401, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(throttle.refusalProbability(219) > 0);
    BOOST_TEST(throttle.refusalProbability(220) == 0);
    EntryThrottle critical(Priority::Critical);
    EntryThrottle bulk(Priority::Bulk);
    for (int i = 0; i < 100; ++i) {
        critical.finished(i % 2 == 0, 10);
        bulk.finished(i % 2 == 0, 10);
    }
    BOOST_TEST(critical.refusalProbability(10) == 0);
    BOOST_TEST(bulk.refusalProbability(10) > 0.4);
}

// Guards against a single failure that causes refusals of all later requests: at 20 requests/s the window holds about four.
BOOST_AUTO_TEST_CASE(theEntryThrottleIgnoresSingleFailuresOfASlowStream)
{
    Random random(1);
    EntryThrottle throttle(Priority::Critical);
    throttle.finished(false, 0);
    int refused = 0;
    for (TimeMs now = 50; now < 10'000; now += 50) {
        if (throttle.admit(now, random)) {
            throttle.finished(now % 1'000 != 0, now);
        } else {
            ++refused;
        }
    }
    BOOST_TEST(refused == 0);
}

// Guards against calls to draining, suspect or excluded upstreams, and against calls to other domains without need.
BOOST_AUTO_TEST_CASE(theBalancerPrefersHealthyUpstreamsOfItsDomain)
{
    Random random(1);
    Balancer balancer("x");
    balancer.setUpstreams({{"x1", "x", 1, 10}, {"x2", "x", 1, 10}, {"y1", "y", 1, 10}});
    const auto picksOf = [&](const std::string &id, TimeMs now, const std::vector<std::string> &exclude = {}) {
        int picks = 0;
        for (int i = 0; i < 100; ++i) {
            picks += balancer.pick(now, random, exclude).value_or("") == id ? 1 : 0;
        }
        return picks;
    };
    BOOST_TEST(picksOf("y1", 0) == 0);
    BOOST_TEST(picksOf("x2", 0, {"x1"}) == 100);
    BOOST_TEST(picksOf("y1", 0, {"x1", "x2"}) == 100);
    balancer.connectFailed("x1", 0);
    BOOST_TEST(picksOf("x1", 999) == 0);
    BOOST_TEST(picksOf("x1", 1000) > 0);
    balancer.report("x1", {10, 0, 6, 10}, 2000);
    balancer.report("x1", {9, 0, 0, 10}, 2001); // older than the last report, so ignored
    BOOST_TEST(picksOf("x1", 2002) == 0);
    BOOST_TEST(picksOf("x1", 3001) > 0); // the weight of the report has fallen to zero
    balancer.report("x1", {11, 5, 10, 10}, 4000);
    balancer.report("x2", {11, 5, 10, 10}, 4000);
    BOOST_TEST(picksOf("y1", 4000) > 0);
    balancer.setDraining("x1", 6000);
    balancer.setUpstreams({{"x1", "x", 1, 10}, {"x2", "x", 1, 10, true}, {"y1", "y", 1, 10}}); // a list older than the drain notice
    BOOST_TEST(picksOf("y1", 6000) == 100);
    balancer.setUpstreams({});
    BOOST_TEST(!balancer.pick(6000, random).has_value());
}

// Guards against more retries than the ratio allows.
BOOST_AUTO_TEST_CASE(retriesStayBelowTheRatio)
{
    RetryRatio ratio;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        ratio.recordFirstAttempt();
        retries += ratio.takeRetry() ? 1 : 0;
    }
    BOOST_TEST(retries <= 110);
    BOOST_TEST(retries >= 100);
}
