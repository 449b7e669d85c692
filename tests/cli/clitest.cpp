#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/errc.h"
#include "config/clusterstate.h"
#include "config/teamkey.h"
#include "protocol/jsoncodec.h"
#include "yuccagrade/commandline.h"
#include "yuccagrade/timeline.h"

#include <sys/stat.h>

#include <deque>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
const std::string hostA = "127.0.0.1:1";
const std::string hostB = "127.0.0.1:2";

// Stand-in for a group of two control hosts around one state. B leads.
struct Group {
    ClusterState state;
    std::deque<std::string> faults; // for the next calls of B: lost, refuse, garbage or ok
    std::vector<std::string> submissions;
    std::uint64_t laggingPolls = 2; // polls until all three processes have confirmed
    std::uint64_t newLeaderPolls = 0; // polls until a new leader knows all processes
    TimeMs nowMs = 0;

    OperatorAnswer operator()(const OperatorRequest &request)
    {
        nowMs += 10;
        if (request.secret != "0123456789abcdef") {
            return {401, "{}", {}};
        }
        if (request.address != hostB) {
            return {421, "{\"leader\":\"" + hostB + "\"}", {}};
        }
        const std::string fault = faults.empty() ? "ok" : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (fault == "refuse") {
            return {0, {}, "connection refused"};
        }
        const OperatorAnswer answer = request.method == "GET" ? read(request.path) : write(request);
        return fault == "lost" ? OperatorAnswer{0, {}, "connection broke"} : fault == "garbage" ? OperatorAnswer{200, "{", {}} : answer;
    }

    OperatorAnswer write(const OperatorRequest &request)
    {
        Json::Value body;
        parseJson(request.body, body);
        const std::string submission = body["submission"].asString();
        submissions.push_back(submission);
        Command command = PutManifest{submission, body["text"].asString()};
        // Like the control hosts: key and id follow from the submission, and a resend gets them again.
        const std::string keyId = "k-" + submission;
        if (request.path == "/v1/keys") {
            command = GiveKey{submission, keyId, body["team"].asString(), "salt", hashKeySecret("salt", "secret")};
        } else if (request.path == "/v1/keys/withdraw") {
            command = WithdrawKey{submission, body["keyId"].asString()};
        }
        ApplyResult result = state.apply(state.index() + 1, toJson(command));
        if (request.path == "/v1/keys" && !result.error) {
            result.answer["key"] = toText(TeamKey{keyId, "secret"});
        }
        const int refusal = result.error == Errc::Conflict ? 409 : result.error == Errc::NotFound ? 404 : 400;
        return {result.error ? refusal : 200, toText(result.answer), {}};
    }

    OperatorAnswer read(const std::string &path)
    {
        Json::Value value;
        if (path == "/v1/manifest") {
            value["text"] = state.manifestText();
            return {200, toText(value), {}};
        }
        const bool lagging = laggingPolls > 0;
        laggingPolls -= lagging ? 1 : 0;
        value["leader"] = hostB;
        value["term"] = 3;
        value["index"] = Json::UInt64{state.index()};
        value["manifestVersion"] = Json::UInt64{state.manifest()->version};
        for (const char *id : {"c1", "n1", "n2"}) {
            Json::Value process;
            process["id"] = id;
            process["role"] = id[0] == 'c' ? "control" : "node";
            process["domain"] = "d";
            process["index"] = Json::UInt64{lagging && id[1] == '2' ? 0 : state.index()};
            process["state"] = "up";
            value["processes"].append(process);
        }
        value["inForce"]["confirmed"] = lagging ? 2 : 3;
        value["inForce"]["known"] = 3;
        value["everywhereIndex"] = Json::UInt64{lagging || newLeaderPolls > 0 ? 0 : state.index()};
        newLeaderPolls -= newLeaderPolls > 0 ? 1 : 0;
        value["withdrawals"] = Json::Value(Json::arrayValue);
        for (const KeyRecord &key : state.keys()) {
            Json::Value item;
            item["keyId"] = key.id;
            item["done"] = !lagging;
            value["withdrawals"].append(item);
        }
        return {200, toText(value), {}};
    }
};

struct Fixture {
    Group group;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;

    Fixture()
    {
        std::ofstream("clitest-secret") << "0123456789abcdef\n";
        chmod("clitest-secret", 0600);
        writeManifest(1);
    }

    static void writeManifest(int version)
    {
        std::ofstream("clitest.ini") << "[manifest]\nversion = " << version << "\n[domain d]\nregion = r\n[team a]\nrate = 5\nburst = 5\n";
    }

    ExitCode run(const std::vector<std::string> &arguments)
    {
        out.str({});
        err.str({});
        const auto now = [this] {
            return group.nowMs;
        };
        const auto pause = [this](TimeMs durationMs) {
            group.nowMs += durationMs;
        };
        return runCommandLine(arguments, {std::ref(group), now, pause, in, out, err});
    }

    ExitCode runRemote(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--control", hostA, "--control", hostB, "--secret-file", "clitest-secret"});
        return run(arguments);
    }
};

bool contains(const std::ostringstream &stream, const std::string &text)
{
    return stream.str().find(text) != std::string::npos;
}
}

BOOST_FIXTURE_TEST_SUITE(cli, Fixture)

// Guards against a second manifest after a lost answer, and against reporting success before every process confirmed.
BOOST_AUTO_TEST_CASE(applyResendsTheSameSubmissionAndWaits)
{
    group.faults = {"refuse", "lost", "garbage"};
    BOOST_TEST((runRemote({"apply", "clitest.ini"}) == ExitCode::Success));
    BOOST_REQUIRE_EQUAL(group.submissions.size(), 3U);
    BOOST_TEST(group.submissions[0] == group.submissions[2]);
    BOOST_TEST(group.state.manifest()->version == 1U);
    BOOST_TEST(contains(err, "in force on 2 of 3 processes\nin force on 3 of 3 processes\n"));
    BOOST_TEST(contains(out, "is in force everywhere"));
}

// Guards against success that a new leader reports while it knows only the processes that synced with it so far.
BOOST_AUTO_TEST_CASE(applyWaitsUntilTheLeaderKnowsAllProcesses)
{
    group.laggingPolls = 0;
    group.newLeaderPolls = 3;
    BOOST_TEST((runRemote({"apply", "clitest.ini"}) == ExitCode::Success));
    BOOST_TEST(group.newLeaderPolls == 0U);
}

// Guards against an endless wait for a process that never confirms.
BOOST_AUTO_TEST_CASE(applyReportsThatItIsNotInForce)
{
    group.laggingPolls = 1'000'000;
    BOOST_TEST((runRemote({"apply", "clitest.ini", "--wait-s", "3", "--format", "json"}) == ExitCode::NotInForce));
    Json::Value value;
    BOOST_REQUIRE(parseJson(out.str(), value));
    BOOST_TEST(value["inForce"].asBool() == false);
    BOOST_TEST(value["confirmed"].asInt() == 2);
    BOOST_TEST(group.nowMs < 4000);
}

// Guards against an operator who loses a version race without learning it.
BOOST_AUTO_TEST_CASE(refusalNamesTheWinner)
{
    runRemote({"apply", "clitest.ini", "--submission", "first"});
    BOOST_TEST((runRemote({"apply", "clitest.ini", "--submission", "second"}) == ExitCode::Refused));
    BOOST_TEST(contains(err, "'first'"));
    BOOST_TEST((runRemote({"apply", "clitest.ini", "--submission", "first"}) == ExitCode::Success));
}

// Guards against "nothing changed" after a write that may have been accepted.
BOOST_AUTO_TEST_CASE(unknownOutcomeIsReported)
{
    group.faults.assign(1000, "lost");
    BOOST_TEST((runRemote({"apply", "clitest.ini", "--timeout-s", "2", "--submission", "s1"}) == ExitCode::NoAnswer));
    BOOST_TEST(contains(err, "may have been accepted"));
    BOOST_TEST(contains(err, "--submission s1"));
    BOOST_TEST((runRemote({"status"}) == ExitCode::NoAnswer));
}

// Guards against a key that is given but never shown, also when the first answer is lost, and against a withdrawal
// reported too early.
BOOST_AUTO_TEST_CASE(keysAreGivenAndWithdrawn)
{
    runRemote({"apply", "clitest.ini"});
    BOOST_TEST((runRemote({"key", "give", "nobody"}) == ExitCode::Refused));
    BOOST_TEST((runRemote({"key", "give", "a", "--submission", "s2"}) == ExitCode::Success));
    BOOST_TEST(out.str() == "ygk_k-s2.secret\n");
    BOOST_TEST(contains(err, "submission s2"));
    group.faults = {"lost"};
    BOOST_TEST((runRemote({"key", "give", "a", "--submission", "s3"}) == ExitCode::Success));
    BOOST_TEST(out.str() == "ygk_k-s3.secret\n");
    BOOST_TEST(group.state.keys().size() == 2U);
    group.laggingPolls = 2;
    BOOST_TEST((runRemote({"key", "withdraw", "k-s2"}) == ExitCode::Success));
    BOOST_TEST(group.laggingPolls == 0U);
    BOOST_TEST(contains(out, "works nowhere any more"));
}

// Guards against a wrong exit code, on which scripts rely.
BOOST_AUTO_TEST_CASE(usageErrorsAndHelp)
{
    BOOST_TEST((run({}) == ExitCode::Usage));
    BOOST_TEST((run({"fly"}) == ExitCode::Usage));
    BOOST_TEST((run({"--version"}) == ExitCode::Success));
    BOOST_TEST((run({"status"}) == ExitCode::Usage));
    BOOST_TEST((run({"status", "--control", "localhost"}) == ExitCode::Usage));
    BOOST_TEST((run({"check", "clitest.ini", "--format", "xml"}) == ExitCode::Usage));
    BOOST_TEST((run({"check", "no-such-file"}) == ExitCode::Unreadable));
    BOOST_TEST((run({"check", "."}) == ExitCode::Unreadable));
    BOOST_TEST((run({"check", "clitest.ini", "--against", "clitest.ini"}) == ExitCode::Usage));
    BOOST_TEST((run({"check", "clitest.ini"}) == ExitCode::Success));
    for (const char *name : {"check", "apply", "show", "status", "drain", "timeline"}) {
        BOOST_TEST((run({name, "--help"}) == ExitCode::Success));
    }
    BOOST_TEST((run({"key", "give", "--help"}) == ExitCode::Success));
    chmod("clitest-secret", 0644);
    BOOST_TEST((runRemote({"status"}) == ExitCode::Usage));
    BOOST_TEST(contains(err, "chmod 600"));
}

// Guards against a wrong exit code for a configuration of the mesh, against findings that are not printed, and against output that
// scripts cannot read.
BOOST_AUTO_TEST_CASE(meshConfigurationIsChecked)
{
    const std::string document = R"({"version":"0000000a","services":[{"name":"stock"}],"routes":[{"name":"s","host":"a.example",)"
                                 R"("pathPrefix":"/s/","routeType":"safe","timeoutS":1,"targetLatencyS":GOAL,"service":"stock"}],)"
                                 R"("tenants":[{"name":"red","apiKeys":["k1"],"ratePerS":5,"burst":5}]})";
    const auto write = [&](const std::string &file, const std::string &goal) {
        std::ofstream out(file);
        out << std::string(document).replace(document.find("GOAL"), 4, goal);
    };
    write("clitest-sound.json", "0.5");
    write("clitest-warning.json", "2");
    write("clitest-error.json", "900");
    BOOST_TEST((run({"check", "clitest-sound.json"}) == ExitCode::Success));
    BOOST_TEST(contains(out, "1 routes"));
    BOOST_TEST((run({"check", "clitest-warning.json"}) == ExitCode::HasWarnings));
    BOOST_TEST(contains(out, "clitest-warning.json: warning: route s: has a latency goal of 2000 ms"));
    BOOST_TEST((run({"check", "clitest-error.json"}) == ExitCode::HasErrors));
    BOOST_TEST(contains(out, "error: route s"));
    BOOST_TEST(contains(out, "warning: route s"));
    BOOST_TEST((run({"check", "clitest-warning.json", "--against", "clitest-sound.json", "--json"}) == ExitCode::HasWarnings));
    Json::Value value;
    BOOST_REQUIRE(parseJson(out.str(), value));
    BOOST_TEST(value["version"].asUInt64() == 10U);
    // The goal above the time limit, the version, and the changed goal.
    BOOST_TEST(value["findings"].size() == 3U);
    BOOST_TEST(value["findings"][2]["kind"].asString() == "difference");
    BOOST_TEST((run({"check", "clitest-sound.json", "--against", "no-such-file"}) == ExitCode::Unreadable));
    std::ofstream("clitest-cut.json") << "{\"version\":";
    BOOST_TEST((run({"check", "clitest-cut.json"}) == ExitCode::HasErrors));
}

// Guards against a subcommand that the manual page or the help leaves out.
BOOST_AUTO_TEST_CASE(manualPageAndHelpListTheSameSubcommands)
{
    std::ifstream page(YUCCAGRADE_SOURCE_FOLDER "/docs/yuccagrade.1.md");
    std::set<std::string> documented;
    bool inSection = false;
    for (std::string line; std::getline(page, line);) {
        inSection = line.starts_with("## ") ? line == "## Subcommands" : inSection;
        if (inSection && line.starts_with("- `")) {
            documented.insert(line.substr(3, line.find('`', 3) - 3));
        }
    }
    BOOST_TEST((run({"--help"}) == ExitCode::Success));
    std::istringstream help(out.str());
    std::set<std::string> helped;
    for (std::string line; std::getline(help, line);) {
        if (line.starts_with("  ")) {
            helped.insert(line.substr(2, line.find("  ", 2) - 2));
        }
    }
    BOOST_TEST(helped.size() == 8U);
    BOOST_TEST(documented == helped, boost::test_tools::per_element());
}

// Guards against output that a script cannot read.
BOOST_AUTO_TEST_CASE(showAndStatus)
{
    runRemote({"apply", "clitest.ini"});
    BOOST_TEST((runRemote({"show"}) == ExitCode::Success));
    BOOST_TEST(out.str() == group.state.manifestText());
    BOOST_TEST((runRemote({"status"}) == ExitCode::Success));
    BOOST_TEST(contains(out, "manifest version 1 in force on 3 of 3 processes\n"));
    BOOST_TEST((runRemote({"status", "--format", "json"}) == ExitCode::Success));
    Json::Value value;
    BOOST_TEST(parseJson(out.str(), value));
    BOOST_TEST((run({"drain", hostB, "--secret-file", "clitest-secret"}) == ExitCode::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a time line in which an effect stands before its cause, and against filters that drop events.
BOOST_AUTO_TEST_CASE(timelineMergesFiles)
{
    Timeline timeline({.request = "r1", .team = {}, .key = {}, .version = {}, .event = {}, .process = {}});
    Findings findings;
    timeline.add(
        "{\"time\":\"5.0\",\"process\":\"n2\",\"event\":713,\"name\":\"call-served\",\"request\":\"r1\"}\n"
        "{\"time\":\"9.0\",\"process\":\"n2\",\"event\":713,\"name\":\"call-served\",\"request\":\"r2\"}\n{\"time\":\"9",
        "n2.log",
        findings);
    timeline.add("{\"time\":\"4.12\",\"process\":\"n1\",\"event\":714,\"name\":\"call-forwarded\",\"request\":\"r1\"}\n", "n1.log", findings);
    BOOST_TEST(toText(findings) == "n2.log:3: not an event; the line is left out\n");
    const auto events = timeline.merged();
    BOOST_REQUIRE_EQUAL(events.size(), 2U);
    BOOST_TEST(events[0].text() == "1970-01-01T00:00:00.004Z+12 n1 [714] call-forwarded request=r1");
    BOOST_TEST(events[1].process == "n2");
}

// Guards against a search that misses the nested calls of a request or takes other requests for them, and against lines
// that are left out because a log collector put a time and a host before them.
BOOST_AUTO_TEST_CASE(timelineFollowsNestedCallsInCollectedLogs)
{
    Timeline timeline({.request = "r1", .team = {}, .key = {}, .version = {}, .event = {}, .process = {}});
    Findings findings;
    timeline.add(
        "  12.3456 host-7 {\"time\":\"5.0\",\"process\":\"n2\",\"event\":718,\"name\":\"call-refused-at-upstream\",\"request\":\"r1.a.b\"}\n"
        "  12.3457 host-7 {\"time\":\"6.0\",\"process\":\"n2\",\"event\":713,\"name\":\"call-served\",\"request\":\"r10\"}\n"
        "  12.3458 host-8 {\"time\":\"4.0\",\"process\":\"n1\",\"event\":710,\"name\":\"upstream-unavailable\",\"request\":\"r1\"}\n"
        "  12.3459 host-8 {\"time\":\"7.0\",\"process\":\"n1\",\"event\":405,\"name\":\"upstream-announced\",\"upstream\":\"r1\"}\n",
        "all.log",
        findings);
    BOOST_TEST(findings.empty());
    const auto events = timeline.merged();
    BOOST_REQUIRE_EQUAL(events.size(), 2U);
    BOOST_TEST(events[0].text() == "1970-01-01T00:00:00.004Z+0 n1 [710] upstream-unavailable request=r1");
    BOOST_TEST(events[1].text() == "1970-01-01T00:00:00.005Z+0 n2 [718] call-refused-at-upstream request=r1.a.b");
}

// Guards against a time line that cannot be fed by the output of other programs.
BOOST_FIXTURE_TEST_CASE(timelineReadsStandardInput, Fixture)
{
    in.str("{\"time\":\"5.0\",\"process\":\"n2\",\"event\":713,\"name\":\"call-served\",\"request\":\"r1\"}\n");
    BOOST_TEST((run({"timeline", "-"}) == ExitCode::Success));
    BOOST_TEST(contains(out, "[713] call-served request=r1"));
}

// Guards against lost or reordered events for any split of a sequence over files, whatever the order of the files.
BOOST_AUTO_TEST_CASE(timelineKeepsAllEvents, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        const auto places = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        std::vector<std::string> files(4);
        for (std::size_t i = 0; i < places.size(); ++i) {
            const std::string time = std::to_string(i / 3) + '.' + std::to_string(i % 3);
            files[places[i]] += R"({"time":")" + time + R"(","process":"p)" + std::to_string(places[i]) + R"(","event":1,"name":"x"})" + '\n';
        }
        Timeline timeline{{}};
        Findings findings;
        for (const std::size_t index : *rc::gen::element(std::vector<std::size_t>{0, 1, 2, 3}, std::vector<std::size_t>{3, 1, 0, 2})) {
            timeline.add(files[index], "f", findings);
        }
        const auto events = timeline.merged();
        RC_ASSERT(findings.empty());
        RC_ASSERT(events.size() == places.size());
        for (std::size_t i = 0; i < events.size(); ++i) {
            RC_ASSERT(events[i].process == 'p' + std::to_string(places[i]));
        }
    }));
}

// Guards against a crash on a damaged event file.
BOOST_AUTO_TEST_CASE(timelineAcceptsArbitraryBytes, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::string &text, TimeMs wallMs, int counter) {
        Timeline timeline{{}};
        Findings findings;
        timeline.add(text, "f", findings);
        timeline.add("{\"time\":\"" + std::to_string(wallMs) + '.' + std::to_string(counter) + R"(","process":"p","event":1,"name":"x","a":[1,{}]})",
                     "f",
                     findings);
        for (const TimelineEvent &event : timeline.merged()) {
            event.text();
            TimelineEvent again;
            RC_ASSERT(parseTimelineEvent(toText(event.toJson()), again));
        }
    }));
}
