#include <boost/test/unit_test.hpp>

#include "support/fleet.h"
#include "support/load.h"
#include "support/wait.h"

#include <algorithm>
#include <future>

using namespace Yuccagrade::Test;

namespace
{
constexpr auto manifest = R"([manifest]
version = 1
[domain d1]
region = r1
[domain d2]
region = r1
[domain d3]
region = r1
[service status]
[service activation]
[service history]
[route status]
method = POST
path = /status
service = status
teams = *
priority = critical
idempotent = yes
[route activate]
method = POST
path = /activate
service = activation
teams = *
priority = critical
action = yes
[route history]
method = POST
path = /history
service = history
teams = *
idempotent = yes
internal = yes
[team north]
rate = 1000
burst = 1000
)";

FleetPlan plan()
{
    const NodePlan status{"status", {"/history"}};
    const NodePlan activation{"activation"};
    const NodePlan history{"history"};
    return {{{"d1", "r1", 1, {status, activation}}, {"d2", "r1", 1, {status, history}}, {"d3", "r1", 1, {activation, history}}}};
}

/// A running mesh with a manifest and a key.
struct Mesh : Fleet {
    TeamKey team;

    Mesh()
        : Fleet(plan())
    {
        start();
        apply(manifest);
        team = giveKey("north");
        waitUntilServing("/status", team.key);
    }
    int sumOfStats(const char *name)
    {
        int sum = 0;
        for (const Host *node : nodes()) {
            sum += upstreamStats(*node)[name].asInt();
        }
        return sum;
    }
    int executions(const std::string &action)
    {
        int sum = 0;
        for (const Host *node : nodes("activation")) {
            sum += upstreamStats(*node)["executions"][action].asInt();
        }
        return sum;
    }
};
}

// Guards against a call chain that loses its answer, and against an upstream that sees the team's key (invariants 4, 7).
BOOST_FIXTURE_TEST_CASE(nestedStatusReadReturnsWhole, Mesh)
{
    // The upstream of this node serves another service, so the call crosses two nodes before it reaches an upstream.
    const HttpAnswer answer = call(host("d3-n1"), "/status", team.key, "switch 17");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(isOwnWholeAnswer(answer.body, "switch 17"));
    BOOST_TEST(answer.body.find("\"service\":\"history\"") != std::string::npos);
    BOOST_TEST(call(host("d3-n1"), "/status", {}, "x").status == 401);
    BOOST_TEST(call(host("d3-n1"), "/status", "ygk_unknown.key", "x").status == 401);
    BOOST_TEST(sumOfStats("keyLeaks") == 0);
    BOOST_TEST(sumOfStats("received") > 0);
}

// Guards against an action that runs twice (invariant 9).
BOOST_FIXTURE_TEST_CASE(activationRunsOnce, Mesh)
{
    int warmUp = 0;
    const auto activates = [&] {
        return call(host("d2-n1"), "/activate", team.key, "x", "warm-up-" + std::to_string(++warmUp)).status == 200;
    };
    BOOST_REQUIRE(waitFor(activates, 10000));
    const HttpAnswer first = call(host("d2-n1"), "/activate", team.key, "heater 5", "action-1");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(isOwnWholeAnswer(first.body, "heater 5"));
    for (const Host *node : nodes()) {
        BOOST_TEST(call(*node, "/activate", team.key, "heater 5", "action-1").status == 409);
    }
    BOOST_TEST(executions("action-1") == 1);
    BOOST_TEST(call(host("d2-n1"), "/activate", team.key, "heater 5").status == 400);
}

// Guards against accepted configuration that is lost with the control processes (invariant 12).
BOOST_FIXTURE_TEST_CASE(configurationSurvivesControlRestart, Mesh)
{
    Host *leading = leader();
    BOOST_REQUIRE(leading);
    kill(*leading);
    BOOST_TEST(mustOperatorCall("GET", "/v1/manifest")["text"].asString() == manifest);
    // A follower may name the former leader until the election is over.
    BOOST_TEST(waitFor(
        [&] {
            return leader() != leading;
        },
        10000));
    for (Host *control : controls()) {
        kill(*control);
    }
    for (Host *control : controls()) {
        start(*control);
    }
    BOOST_TEST(mustOperatorCall("GET", "/v1/manifest")["text"].asString() == manifest);
    waitUntilServing("/status", team.key);
    BOOST_TEST(call(host("d1-n2"), "/status", team.key, "x").status == 200);
}

// Guards against a lost host that takes calls of other hosts with it.
BOOST_FIXTURE_TEST_CASE(callsGoOnWithoutOneUpstreamHost, Mesh)
{
    Host &lost = host("d1-n1");
    LoadStream stream{"north", team.key, {}, "/status"};
    for (const std::string &address : callerAddresses()) {
        if (address != lost.callerAddress) {
            stream.addresses.push_back(address);
        }
    }
    stream.ratePerS = 100;
    const LoadOptions before{1, 6000, 1000, {stream}};
    auto load = std::async(std::launch::async, [&before] {
        return runLoad(before);
    });
    const int received = upstreamStats(lost)["received"].asInt();
    BOOST_TEST(waitFor(
        [&] {
            return upstreamStats(lost)["received"].asInt() > received + 20;
        },
        5000));
    kill(lost);
    const LoadResult during = load.get()[0];
    BOOST_TEST_MESSAGE(during.toJson());
    BOOST_TEST(during.wrong == 0U);
    BOOST_TEST(static_cast<double>(during.whole) >= 0.97 * static_cast<double>(during.requests));
    const LoadResult after = runLoad({2, 2000, 1000, {stream}})[0];
    BOOST_TEST_MESSAGE(after.toJson());
    BOOST_TEST(after.whole == after.requests);
}
