#include <boost/test/unit_test.hpp>

#include "support/address.h"
#include "support/faultproxy.h"
#include "support/transfer.h"
#include "support/upstream.h"
#include "support/wait.h"

#include <future>

using namespace Yuccagrade::Test;

namespace
{
/// An upstream behind a proxy, and the IP numbers of two senders.
struct Path {
    Upstream upstream{{"s", freeAddress(), {}, 4, 100, 0}};
    std::string address = freeAddress();
    std::string sender = nextLoopbackIp();
    std::string other = nextLoopbackIp();
    FaultProxy proxy;

    Path()
    {
        proxy.addTarget(address, upstream.address());
    }
    HttpRequest request(long timeoutMs = 5000) const
    {
        HttpRequest request{"POST", address, "/p", "body"};
        request.sourceIp = sender;
        request.timeoutMs = timeoutMs;
        return request;
    }
    HttpAnswer call(const std::string &from, long timeoutMs) const
    {
        HttpRequest made = request(timeoutMs);
        made.sourceIp = from;
        return httpCall(made);
    }
    int executed() const
    {
        return upstream.stats()["executed"].asInt();
    }
    void set(const FaultRule &rule)
    {
        proxy.setRule(sender, address, rule);
    }
};

HttpAnswer callAgain(Transfer &transfer, const HttpRequest &request)
{
    transfer.prepare(request);
    return transfer.finish(curl_easy_perform(transfer.handle()));
}
}

// Guards against a proxy that changes bytes without a rule, or mixes up senders in its counters.
BOOST_FIXTURE_TEST_CASE(bytesPassWithoutRule, Path)
{
    HttpRequest large = request();
    large.body.assign(3000000, 'z');
    const HttpAnswer answer = httpCall(large);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find(large.body) != std::string::npos);
    BOOST_TEST(proxy.counters(sender, address).connections == 1U);
    BOOST_TEST(proxy.counters(sender, address).bytesToTarget > 3000000U);
    BOOST_TEST(proxy.counters(other, address).connections == 0U);
}

// Guards against a cut that still lets bytes of an open connection pass, or cuts another sender.
BOOST_FIXTURE_TEST_CASE(refusingCutResetsNewAndStallsOpenConnections, Path)
{
    Transfer open;
    BOOST_TEST(callAgain(open, request()).status == 200);
    FaultRule rule;
    rule.cut = FaultRule::Cut::Refuse;
    set(rule);
    BOOST_TEST(callAgain(open, request(150)).error == CURLE_OPERATION_TIMEDOUT);
    const HttpAnswer refused = call(sender, 5000);
    BOOST_TEST(refused.error != CURLE_OK);
    BOOST_TEST(refused.error != CURLE_OPERATION_TIMEDOUT);
    BOOST_TEST(executed() == 1);
    BOOST_TEST(proxy.counters(sender, address).refused == 1U);
    BOOST_TEST(call(other, 5000).status == 200);
}

// Guards against a silent cut that shows itself by an error, and against bytes that are lost when it heals.
BOOST_FIXTURE_TEST_CASE(stallingCutIsSilentAndHeals, Path)
{
    FaultRule rule;
    rule.cut = FaultRule::Cut::Stall;
    set(rule);
    BOOST_TEST(call(sender, 150).error == CURLE_OPERATION_TIMEDOUT);
    auto pending = std::async(std::launch::async, [this] {
        return call(sender, 10000);
    });
    BOOST_TEST(waitFor(
        [this] {
            return proxy.counters(sender, address).connections == 2;
        },
        5000));
    BOOST_TEST(executed() == 0);
    proxy.clearRules();
    BOOST_TEST(pending.get().status == 200);
}

// Guards against a one-way cut that cuts the wrong direction or both.
BOOST_FIXTURE_TEST_CASE(oneWayCutsStallOneDirection, Path)
{
    FaultRule rule;
    rule.stallToTarget = true;
    set(rule);
    BOOST_TEST(call(sender, 150).error == CURLE_OPERATION_TIMEDOUT);
    BOOST_TEST(proxy.counters(sender, address).bytesToTarget == 0U);
    rule = {};
    rule.stallToSender = true;
    set(rule);
    const int before = executed();
    BOOST_TEST(call(sender, 150).error == CURLE_OPERATION_TIMEDOUT);
    BOOST_TEST(executed() > before);
    BOOST_TEST(proxy.counters(sender, address).bytesToSender == 0U);
}

// Guards against a delay that applies to one direction only.
BOOST_FIXTURE_TEST_CASE(delayAppliesInBothDirections, Path)
{
    FaultRule rule;
    rule.delayMs = 40;
    set(rule);
    const double start = steadyMs();
    BOOST_TEST(call(sender, 5000).status == 200);
    BOOST_TEST(steadyMs() - start >= 80);
}

// Guards against a limit per connection instead of one per path.
BOOST_FIXTURE_TEST_CASE(bandwidthIsSharedByConnections, Path)
{
    FaultRule rule;
    rule.bytesPerSecond = 1000000;
    set(rule);
    HttpRequest large = request();
    large.body.assign(100000, 'z');
    const double start = steadyMs();
    auto second = std::async(std::launch::async, [&] {
        return httpCall(large);
    });
    BOOST_TEST(httpCall(large).status == 200);
    BOOST_TEST(second.get().status == 200);
    BOOST_TEST(steadyMs() - start >= 190);
}

// Guards against a lost answer whose request did not run, and against a rule that outlasts its count.
BOOST_FIXTURE_TEST_CASE(answerIsDroppedAfterTheRequestRan, Path)
{
    FaultRule rule;
    rule.dropAnswers = 1;
    set(rule);
    const HttpAnswer lost = call(sender, 5000);
    BOOST_TEST(lost.error != CURLE_OK);
    BOOST_TEST(lost.status == 0);
    BOOST_TEST(executed() == 1);
    BOOST_TEST(proxy.counters(sender, address).answersDropped == 1U);
    BOOST_TEST(call(sender, 5000).status == 200);
}

// Guards against a held answer that also holds the answers behind it on other connections.
BOOST_FIXTURE_TEST_CASE(laterAnswerOvertakesAHeldOne, Path)
{
    FaultRule rule;
    rule.holdAnswers = 1;
    rule.holdMs = 400;
    set(rule);
    const double start = steadyMs();
    auto held = std::async(std::launch::async, [this, start] {
        BOOST_TEST(call(sender, 5000).status == 200);
        return steadyMs() - start;
    });
    BOOST_TEST(waitFor(
        [this] {
            return proxy.counters(sender, address).answersHeld == 1;
        },
        5000));
    BOOST_TEST(call(sender, 5000).status == 200);
    const double overtakenMs = steadyMs() - start;
    const double heldMs = held.get();
    BOOST_TEST(heldMs >= 400);
    BOOST_TEST(overtakenMs < heldMs);
}

// Guards against a proxy that accepts for a dead target and keeps the sender waiting.
BOOST_FIXTURE_TEST_CASE(deadTargetResetsTheSender, Path)
{
    const std::string listen = freeAddress();
    proxy.addTarget(listen, freeAddress());
    HttpRequest made{"GET", listen};
    const HttpAnswer answer = httpCall(made);
    BOOST_TEST(answer.error != CURLE_OK);
    BOOST_TEST(answer.error != CURLE_OPERATION_TIMEDOUT);
}
