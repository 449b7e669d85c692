#include <boost/test/unit_test.hpp>

#include "support/fleet.h"
#include "support/wait.h"

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace Yuccagrade::Test;

// Drills of docs/OPERATIONS.md.
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
[route status]
method = POST
path = /status
service = status
teams = *
idempotent = yes
[route urgent]
method = POST
path = /urgent
service = status
teams = *
idempotent = yes
isolated = serve
[team north]
rate = 1000
burst = 1000
)";

FleetPlan plan()
{
    return {{{"d1", "r1", 1, {{"status"}}}, {"d2", "r1", 1, {{"status"}}}, {"d3", "r1", 1, {{"status"}}}}, true};
}

/// A running mesh behind fault proxies, with a manifest and a key.
struct Mesh : Fleet {
    TeamKey team;

    Mesh()
        : Fleet(plan())
    {
        start();
        apply(manifest);
        team = giveKey("north");
        waitUntilServing("/status", team.key);
        // The floors are granted after the first leases; without one a cut-off domain has no tokens.
        for (const Host *node : nodes()) {
            BOOST_REQUIRE(waitFor(
                [&] {
                    return hasFloor(*node);
                },
                15000));
        }
    }
    bool hasFloor(const Host &node) const
    {
        std::string secret;
        std::ifstream(folder() + "/operator-secret") >> secret;
        const std::string metrics = httpCall({"GET", node.operatorAddress, "/metrics", {}, {"Authorization: Bearer " + secret}}).body;
        const std::string name = "\nyuccagrade_floor_fraction ";
        const auto found = metrics.find(name);
        return found != std::string::npos && std::stod(metrics.substr(found + name.size())) > 0;
    }
    bool answers(const Host &node, const std::string &path, long status, double boundMs = 15000)
    {
        HttpAnswer last;
        const bool reached = waitFor(
            [&] {
                last = call(node, path, team.key, "x");
                return last.status == status;
            },
            boundMs);
        BOOST_TEST_MESSAGE(node.id << ' ' << path << ": " << last.status << ' ' << last.body);
        return reached;
    }
    std::string events(const Host &host) const
    {
        std::ifstream file(folder() + '/' + host.id + ".events");
        return {std::istreambuf_iterator<char>(file), {}};
    }
};
}

// Guards against a cut-off domain that goes on trusting keys on every route, or stops serving where it may.
BOOST_FIXTURE_TEST_CASE(domainIsCutOff, Mesh)
{
    const std::vector<Host *> inside{&host("d3-c1"), &host("d3-n1")};
    const std::vector<Host *> outside{&host("d1-c1"), &host("d1-n1"), &host("d2-c1"), &host("d2-n1")};
    FaultRule cut;
    cut.cut = FaultRule::Cut::Stall;
    partition(inside, outside, cut);
    BOOST_TEST(answers(host("d3-n1"), "/status", 503));
    BOOST_TEST(answers(host("d3-n1"), "/urgent", 200));
    BOOST_TEST(answers(host("d1-n1"), "/status", 200));
    proxy().clearRules();
    BOOST_TEST(answers(host("d3-n1"), "/status", 200));
}

// Guards against calls that go on without proof, and against configuration that is lost with the majority.
BOOST_FIXTURE_TEST_CASE(majorityIsLostAndReturns, Mesh)
{
    for (const char *id : {"d1-c1", "d2-c1"}) {
        kill(host(id));
    }
    BOOST_TEST(answers(host("d1-n1"), "/status", 503));
    BOOST_TEST(answers(host("d1-n1"), "/urgent", 200));
    for (const char *id : {"d1-c1", "d2-c1"}) {
        start(host(id));
    }
    BOOST_TEST(answers(host("d1-n1"), "/status", 200));
    BOOST_TEST(mustOperatorCall("GET", "/v1/manifest")["text"].asString() == manifest);
}

// Guards against a host with a lost disk that votes, which could lose an accepted manifest.
BOOST_FIXTURE_TEST_CASE(diskIsLost, Mesh)
{
    Host &lost = host("d3-c1");
    kill(lost);
    const std::string data = folder() + "/d3-c1.data";
    std::filesystem::remove_all(data);
    std::filesystem::create_directory(data);
    start(lost);
    BOOST_TEST(waitFor(
        [&] {
            return events(lost).find("disk-replaced") != std::string::npos;
        },
        10000));
    giveKey("north");
    BOOST_TEST(answers(host("d3-n1"), "/status", 200));

    // With the vote of the replaced disk, these two would still be a majority.
    Host &other = host("d2-c1");
    kill(other);
    BOOST_TEST(answers(host("d1-n1"), "/status", 503));
    Json::Value body;
    body["team"] = "north";
    BOOST_CHECK_THROW(operatorCall("POST", "/v1/keys", body, 2000), std::runtime_error);
    start(other);
    BOOST_TEST(answers(host("d1-n1"), "/status", 200));
    giveKey("north");
}
