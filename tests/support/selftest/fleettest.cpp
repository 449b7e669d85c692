#include <boost/test/unit_test.hpp>

#include "config/settings.h"
#include "support/fleet.h"
#include "support/upstream.h"
#include "support/wait.h"

#include <cstdlib>
#include <filesystem>
#include <set>

using namespace Yuccagrade::Test;
using Yuccagrade::Findings;
using Yuccagrade::Settings;

namespace
{
FleetPlan plan(bool proxied)
{
    return {{{"d1", "r1", 1, {{"status", {"/history"}}, {"history"}}}, {"d2", "r1", 2, {{"status"}}}}, proxied};
}

Settings settingsOf(const Fleet &fleet, const std::string &id)
{
    Findings findings;
    Settings settings = readSettings(fleet.folder() + '/' + id + ".ini", findings);
    BOOST_TEST(findings.empty(), toText(findings));
    return settings;
}
}

// Guards against settings files that the processes refuse, and against two processes with one address.
BOOST_AUTO_TEST_CASE(settingsFilesAreAccepted)
{
    for (const bool proxied : {false, true}) {
        Fleet fleet(plan(proxied));
        BOOST_TEST(fleet.controls().size() == 3U);
        BOOST_TEST(fleet.nodes().size() == 3U);
        BOOST_TEST(fleet.nodes("status").size() == 2U);
        std::set<std::string> sources;
        for (const char *id : {"d1-c1", "d2-c1", "d2-c2", "d1-n1", "d1-n2", "d2-n1"}) {
            const Settings settings = settingsOf(fleet, id);
            BOOST_TEST(settings.seeds.size() == 3U);
            BOOST_TEST((settings.peerAddress != settings.peerAdvertise) == proxied);
            sources.insert(settings.sourceAddress);
        }
        BOOST_TEST(sources.size() == 6U);
    }
}

// Guards against a partition that misses one direction, or that cuts a pair outside it.
BOOST_AUTO_TEST_CASE(partitionCutsBothDirections)
{
    Fleet fleet(plan(true));
    Host &one = fleet.host("d1-n1");
    Host &two = fleet.host("d2-n1");
    Host &third = fleet.host("d1-n2");
    const Upstream atOne({"s", one.peerAddress});
    const Upstream atTwo({"s", two.peerAddress});
    const auto reaches = [](const Host &from, const Host &to) {
        HttpRequest request{"GET", to.peerAdvertise};
        request.sourceIp = from.ip;
        request.timeoutMs = 200;
        return httpCall(request).status == 200;
    };
    BOOST_TEST(waitFor(
        [&] {
            return reaches(one, two) && reaches(two, one);
        },
        5000));
    FaultRule cut;
    cut.cut = FaultRule::Cut::Stall;
    fleet.partition({&one}, {&two}, cut);
    BOOST_TEST(!reaches(one, two));
    BOOST_TEST(!reaches(two, one));
    BOOST_TEST(waitFor(
        [&] {
            return reaches(third, one) && reaches(third, two);
        },
        5000));
    fleet.proxy().clearRules();
    BOOST_TEST(waitFor(
        [&] {
            return reaches(one, two) && reaches(two, one);
        },
        5000));
}

// Guards against operator calls that give up at the first host, or resend with another submission.
BOOST_AUTO_TEST_CASE(operatorCallSearchesAHostThatAnswers)
{
    Fleet fleet(plan(false));
    const Upstream answering({"s", fleet.host("d2-c1").operatorAddress});
    Json::Value body;
    body["team"] = "north";
    const HttpAnswer answer = fleet.operatorCall("POST", "/v1/keys", body);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find("submission") != std::string::npos);
    BOOST_TEST(answer.body.find("north") != std::string::npos);
    BOOST_TEST(answering.stats()["headers"]["authorization"].asInt() == 1);
    httpCall({"GET", answering.address(), "/control?shed=1"});
    BOOST_CHECK_THROW(fleet.operatorCall("POST", "/v1/keys", body, 100), std::runtime_error);
}

// Guards against a failed test whose logs are gone: by a failed check, which is the one of this test that must fail.
BOOST_AUTO_TEST_CASE(folderOfAFailedCheckIsKept, *boost::unit_test::expected_failures(1))
{
    unsetenv("YUCCAGRADE_KEEP_FOLDER");
    std::string folder;
    {
        const Fleet fleet(plan(false));
        folder = fleet.folder();
        BOOST_TEST(false, "expected");
    }
    BOOST_REQUIRE(std::filesystem::exists(folder + "/operator-secret"));
    std::filesystem::remove_all(folder);
    {
        const Fleet fleet(plan(false));
        folder = fleet.folder();
    }
    BOOST_REQUIRE(!std::filesystem::exists(folder));
}

// Guards against a failed test whose logs are gone: by an exception that leaves the test.
BOOST_AUTO_TEST_CASE(folderOfAThrowingTestIsKept)
{
    unsetenv("YUCCAGRADE_KEEP_FOLDER");
    std::string folder;
    try {
        const Fleet fleet(plan(false));
        folder = fleet.folder();
        throw std::runtime_error("leaves the test");
    } catch (const std::runtime_error &) {
        BOOST_TEST(std::filesystem::exists(folder + "/operator-secret"));
    }
    std::filesystem::remove_all(folder);
}

// Guards against a test program that crashes at its end, because a folder that all of its tests share outlives them.
BOOST_AUTO_TEST_CASE(folderMayOutliveTheTests)
{
    static const TestFolder folder;
    BOOST_TEST(std::filesystem::exists(folder.path()));
}

// Guards against temporary folders that pile up.
BOOST_AUTO_TEST_CASE(folderIsRemoved)
{
    unsetenv("YUCCAGRADE_KEEP_FOLDER");
    std::string folder;
    {
        const Fleet fleet(plan(false));
        folder = fleet.folder();
        BOOST_TEST(std::filesystem::exists(folder));
    }
    BOOST_TEST(!std::filesystem::exists(folder));
}
