#include <boost/test/unit_test.hpp>

#include "support/address.h"
#include "support/load.h"
#include "support/transfer.h"
#include "support/upstream.h"
#include "support/wait.h"

using namespace Yuccagrade::Test;

namespace
{
HttpAnswer post(const Upstream &upstream, const std::string &body, const std::vector<std::string> &headers = {})
{
    return httpCall({"POST", upstream.address(), "/p", body, headers});
}

void control(const Upstream &upstream, const std::string &query)
{
    BOOST_TEST(httpCall({"GET", upstream.address(), "/control?" + query}).status == 200);
}

double callMs(const Upstream &upstream)
{
    const double start = steadyMs();
    BOOST_TEST(post(upstream, "x").status == 200);
    return steadyMs() - start;
}
}

// Guards against a double that misses the second execution of an action.
BOOST_AUTO_TEST_CASE(executionsAreCountedPerAction)
{
    const Upstream upstream({"s", freeAddress(), {}, 4, 100, 1});
    post(upstream, "a", {"Idempotency-Key: k1"});
    post(upstream, "a", {"Idempotency-Key: k1"});
    post(upstream, "a", {"Idempotency-Key: k2"});
    const Json::Value stats = upstream.stats();
    BOOST_TEST(stats["executions"]["k1"].asInt() == 2);
    BOOST_TEST(stats["executions"]["k2"].asInt() == 1);
    BOOST_TEST(stats["executed"].asInt() == 3);
}

// Guards against a double that overlooks a team's key in a header, body or path.
BOOST_AUTO_TEST_CASE(leakedKeysAreNoticed)
{
    const Upstream upstream({"s", freeAddress(), {}, 4, 100, 0});
    post(upstream, "a", {"X-Other: none"});
    BOOST_TEST(upstream.stats()["keyLeaks"].asInt() == 0);
    post(upstream, "a", {"Authorization: Bearer x"});
    post(upstream, "a", {"X-Other: ygk_1.abc"});
    post(upstream, "text ygk_1.abc");
    httpCall({"GET", upstream.address(), "/ygk_1.abc"});
    httpCall({"GET", upstream.address(), "/p?token=ygk_1.abc"});
    BOOST_TEST(upstream.stats()["keyLeaks"].asInt() == 5);
    BOOST_TEST(upstream.stats()["headers"]["x-other"].asInt() == 2);
}

// Guards against slots that exist only in the announcement.
BOOST_AUTO_TEST_CASE(slotsLimitConcurrency)
{
    const Upstream upstream({"s", freeAddress(), {}, 3, 100, 5});
    LoadStream stream{"t", {}, {upstream.address()}, "/p"};
    stream.clients = 12;
    const auto results = runLoad({1, 300, 100, {stream}});
    BOOST_TEST(results[0].whole > 30U);
    BOOST_TEST(results[0].whole <= 3U * 300 / 5 + 12);
    BOOST_TEST(upstream.stats()["concurrencyMax"].asInt() == 3);
    BOOST_TEST(upstream.stats()["waitingMax"].asInt() >= 8);
}

// Guards against faults that are switched on but have no effect, or stay on.
BOOST_AUTO_TEST_CASE(faultsAreSwitchable)
{
    const Upstream upstream({"s", freeAddress(), {}, 4, 100, 5});
    control(upstream, "slow=20");
    BOOST_TEST(callMs(upstream) >= 100);
    control(upstream, "slow=1&late=80");
    BOOST_TEST(callMs(upstream) >= 85);
    control(upstream, "late=0&cold=100000");
    BOOST_TEST(callMs(upstream) >= 24);
    control(upstream, "cold=0&shed=1");
    BOOST_TEST(post(upstream, "x").status == 503);
    control(upstream, "shed=0&drain=1");
    BOOST_TEST(post(upstream, "x").status == 200);
    BOOST_TEST(upstream.stats()["receivedDraining"].asInt() == 1);
    BOOST_TEST(upstream.stats()["shed"].asInt() == 1);
    control(upstream, "broken=short");
    BOOST_TEST(post(upstream, "x").error == CURLE_PARTIAL_FILE);
    control(upstream, "broken=middle");
    BOOST_TEST(post(upstream, "x").error == CURLE_PARTIAL_FILE);
    control(upstream, "broken=noanswer");
    BOOST_TEST(post(upstream, "x").status == 0);
    control(upstream, "broken=none");
    BOOST_TEST(post(upstream, "x").status == 200);
}

// Guards against a cancelled call that keeps its slot.
BOOST_AUTO_TEST_CASE(cancelledCallFreesItsSlot)
{
    const Upstream upstream({"s", freeAddress(), {}, 1, 100, 5});
    control(upstream, "slow=10000");
    HttpRequest cancelled{"POST", upstream.address(), "/p", "x"};
    cancelled.timeoutMs = 100;
    BOOST_TEST(httpCall(cancelled).error == CURLE_OPERATION_TIMEDOUT);
    BOOST_TEST(waitFor(
        [&] {
            return upstream.stats()["cancelled"].asInt() == 1;
        },
        5000));
    control(upstream, "slow=1");
    BOOST_TEST(callMs(upstream) < 2000);
}

// Guards against nested calls that leave out the context or lose an answer, and against missing announcements.
BOOST_AUTO_TEST_CASE(nestedCallsCarryTheContext)
{
    // The second upstream stands in for the node: it accepts every path.
    const Upstream node({"node", freeAddress(), {}, 4, 100, 0});
    UpstreamOptions options{"s", freeAddress(), node.address(), 4, 100, 1};
    options.nested = {"/one", "/two"};
    const Upstream upstream(options);
    const HttpAnswer answer = post(upstream, "x", {"Yuccagrade-Context: c"});
    BOOST_TEST(isOwnWholeAnswer(answer.body, "x"));
    BOOST_TEST(answer.body.find("\"/one\"") != std::string::npos);
    BOOST_TEST(answer.body.find("\"/two\"") != std::string::npos);
    BOOST_TEST(node.stats()["headers"]["yuccagrade-context"].asInt() == 2);
    BOOST_TEST(waitFor(
        [&] {
            return upstream.stats()["announced"].asInt() >= 2;
        },
        5000));
    control(node, "shed=1");
    BOOST_TEST(post(upstream, "x").status == 500);
}
