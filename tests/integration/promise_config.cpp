#include <boost/test/unit_test.hpp>

#include "controlmesh.h"

#include <filesystem>
#include <future>
#include <set>

using namespace Yuccagrade::Test;

namespace
{
Json::Value manifestBody(const std::string &submission, const std::string &text)
{
    Json::Value body;
    body["submission"] = submission;
    body["text"] = text;
    return body;
}
}

// Invariant 12: guards against an accepted manifest that is lost because the leader dies before a follower applied it.
BOOST_FIXTURE_TEST_CASE(acceptedManifestSurvivesKilledLeader, ControlMesh)
{
    for (int version = 2; version <= 4; ++version) {
        Host *leading = leader();
        BOOST_REQUIRE(leading);
        const HttpAnswer accepted =
            operatorCallAt(leading->operatorAddress, "POST", "/v1/manifest", manifestBody("kill-" + std::to_string(version), manifest(version)));
        kill(*leading);
        BOOST_REQUIRE(accepted.status == 200);
        const double ms = waitForVersion(nodes(), version);
        BOOST_TEST_MESSAGE("version " << version << " in force everywhere after " << ms << " ms, leader killed");
        BOOST_TEST(ms >= 0);
        BOOST_TEST(versionAtLeader() == version);
        for (const Host *node : nodes()) {
            BOOST_TEST(!serves(*node, version - 1));
        }
        start(*leading);
        std::vector<Host *> others = controls();
        std::erase(others, leading);
        BOOST_REQUIRE(waitForLeaderAmong(others));
    }
}

// Invariant 12: guards against state that is acknowledged before it is on the disks (two failures at once: all control
// processes die together, and one node loses its memory).
BOOST_FIXTURE_TEST_CASE(acceptedManifestSurvivesKillOfAllControls, ControlMesh)
{
    apply(manifest(2));
    const TeamKey second = giveKey("south");
    for (Host *control : controls()) {
        kill(*control);
    }
    kill(host("d2-n1"));
    for (Host *host : allHosts()) {
        start(*host);
    }
    BOOST_TEST(versionAtLeader() == 2);
    BOOST_TEST(keyCount() == 2U);
    const double ms = waitForVersion(nodes(), 2);
    BOOST_TEST_MESSAGE("in force everywhere " << ms << " ms after the restart");
    BOOST_TEST(ms >= 0);
    for (const Host *node : nodes()) {
        BOOST_TEST(!serves(*node, 1));
    }
    waitUntilServing("/status", second.key);
}

// Invariant 12: guards against changes lost in the snapshot or in the log behind it, and against effects that come twice
// when the log is replayed.
BOOST_FIXTURE_TEST_CASE(hundredsOfChangesSurviveRestart, ControlMesh)
{
    // More than the 1,000 entries after which a snapshot is taken; parallel operators make it fast.
    constexpr int operators = 8;
    constexpr int keysEach = 130;
    const std::string address = leader()->operatorAddress;
    std::vector<std::future<int>> running;
    running.reserve(operators);
    for (int number = 0; number < operators; ++number) {
        running.push_back(std::async(std::launch::async, [this, address, number] {
            int accepted = 0;
            for (int i = 0; i < keysEach; ++i) {
                Json::Value body;
                body["submission"] = "many-" + std::to_string(number) + '-' + std::to_string(i);
                body["team"] = i % 2 == 0 ? "north" : "south";
                accepted += operatorCallAt(address, "POST", "/v1/keys", body).status == 200 ? 1 : 0;
            }
            return accepted;
        }));
    }
    int version = 1;
    for (int i = 0; i < 60; ++i) {
        apply(manifest(++version));
    }
    int given = 0;
    for (auto &one : running) {
        given += one.get();
    }
    BOOST_TEST(given == operators * keysEach);
    for (Host *control : controls()) {
        BOOST_TEST(std::filesystem::exists(folder() + '/' + control->id + ".data"));
        kill(*control);
    }
    for (Host *control : controls()) {
        start(*control);
    }
    BOOST_TEST(versionAtLeader() == version);
    BOOST_TEST(keyCount() == static_cast<unsigned>(given) + 1);
    std::set<std::string> ids;
    const Json::Value page = mustOperatorCall("GET", "/v1/keys");
    for (const Json::Value &key : page["keys"]) {
        ids.insert(key["keyId"].asString());
    }
    BOOST_TEST(ids.size() == static_cast<size_t>(given) + 1);
    BOOST_TEST(waitForVersion(nodes(), version) >= 0);
    BOOST_TEST(call(host("d1-n1"), "/status", team.key, "x").status == 200);
}

// Invariant 12: guards against an isolated control host that feeds its old manifest to a node that starts empty.
BOOST_FIXTURE_TEST_CASE(emptyNodeBesideIsolatedControlServesNothingOld, ControlMesh)
{
    isolate("d3");
    // The leader may be in the isolated domain; the others elect one.
    BOOST_REQUIRE(waitForLeaderAmong({&host("d1-c1"), &host("d2-c1")}));
    apply(manifest(2));
    Host &node = host("d3-n1");
    // Until the proofs from before the cut have run out, the control host may pass the old state on.
    BOOST_REQUIRE(waitFor(
        [&] {
            return call(node, "/status", team.key, "x").status == 503;
        },
        inForceBoundMs));
    kill(node);
    start(node);
    int answers = 0;
    int old = 0;
    // The node starts with no state and must find none in this time.
    waitFor(
        [&] {
            const HttpAnswer answer = call(node, "/v1", {}, "x");
            answers += answer.status != 0 ? 1 : 0;
            old += answer.status == 200 ? 1 : 0;
            return false;
        },
        inForceBoundMs);
    BOOST_TEST_MESSAGE(answers << " answers of the isolated node, " << old << " by the old manifest");
    BOOST_TEST(answers > 0);
    BOOST_TEST(old == 0);
    proxy().clearRules();
    const double ms = waitForVersion({&node}, 2, 15000);
    BOOST_TEST_MESSAGE("new manifest " << ms << " ms after the partition healed");
    BOOST_TEST(ms >= 0);
    BOOST_TEST(!serves(node, 1));
}

// Invariant 12: guards against two accepted manifests with one version number.
BOOST_FIXTURE_TEST_CASE(equalVersionsRacedAtTwoHostsHaveOneWinner, ControlMesh)
{
    const std::vector<Host *> hosts = controls();
    for (int version = 2; version <= 11; ++version) {
        // Each operator talks to another control host and follows the leader it is told.
        const auto race = [this, version](const Host *first, const std::string &name) {
            HttpAnswer answer;
            std::string address = first->operatorAddress;
            waitFor(
                [&] {
                    answer = operatorCallAt(address, "POST", "/v1/manifest", manifestBody(name, manifest(version, name)));
                    const std::string told = answer.status == 421 ? json(answer)["leader"].asString() : std::string();
                    address = told.empty() ? first->operatorAddress : told;
                    return answer.status != 421 && answer.status != 503 && answer.status != 0;
                },
                10000);
            return answer;
        };
        const std::string names[] = {"one-" + std::to_string(version), "two-" + std::to_string(version)};
        auto one = std::async(std::launch::async, race, hosts[0], names[0]);
        auto two = std::async(std::launch::async, race, hosts[1], names[1]);
        const HttpAnswer answers[] = {one.get(), two.get()};
        const int accepted = (answers[0].status == 200 ? 1 : 0) + (answers[1].status == 200 ? 1 : 0);
        BOOST_REQUIRE(accepted == 1);
        const int winner = answers[0].status == 200 ? 0 : 1;
        const HttpAnswer &lost = answers[1 - winner];
        BOOST_TEST(lost.status == 409);
        BOOST_TEST(json(lost)["winner"]["submission"].asString() == names[winner]);
        BOOST_TEST(json(lost)["winner"]["version"].asInt() == version);
        BOOST_TEST(mustOperatorCall("GET", "/v1/manifest")["text"].asString() == manifest(version, names[winner]));
    }
    BOOST_TEST(waitForVersion(nodes(), 11) >= 0);
}

// Invariant 12: guards against a second effect, or a conflict, when an operator resends after a lost response.
BOOST_FIXTURE_TEST_CASE(resendAfterLostAnswerHasOneEffect, ControlMesh)
{
    const std::string address = freeAddress();
    proxy().addTarget(address, leader()->operatorAddress);
    FaultRule lose;
    lose.dropAnswers = 1;
    Json::Value body;
    body["submission"] = "lost-key";
    body["team"] = "south";
    for (const auto &[path, content] : {std::pair{std::string("/v1/manifest"), manifestBody("lost-manifest", manifest(2))}, {std::string("/v1/keys"), body}}) {
        proxy().setRule("127.0.0.1", address, lose);
        BOOST_TEST(operatorCallAt(address, "POST", path, content).status == 0);
        const HttpAnswer second = operatorCallAt(address, "POST", path, content);
        const HttpAnswer third = operatorCallAt(address, "POST", path, content);
        BOOST_TEST(second.status == 200);
        BOOST_TEST(second.body == third.body);
    }
    BOOST_TEST(proxy().counters("127.0.0.1", address).answersDropped == 2U);
    BOOST_TEST(keyCount() == 2U);
    BOOST_TEST(versionAtLeader() == 2);
    // The same submission with another content is refused.
    BOOST_TEST(operatorCallAt(address, "POST", "/v1/manifest", manifestBody("lost-manifest", manifest(3))).status == 409);
    BOOST_TEST(versionAtLeader() == 2);
}
