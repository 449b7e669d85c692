#include <boost/test/unit_test.hpp>

#include "base/buildinfo.h"
#include "protocol/jsoncodec.h"
#include "support/fleet.h"
#include "support/wait.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace Yuccagrade::Test;

namespace
{
constexpr double commandBoundMs = 40000;

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
[team north]
rate = 1000
burst = 1000
)";

FleetPlan plan()
{
    return {{{"d1", "r1", 1, {{"status"}}}, {"d2", "r1", 1, {{"status"}}}, {"d3", "r1", 1, {{"status"}}}}};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

struct Output {
    int code = -1;
    std::string out;
    std::string err;

    Json::Value json() const
    {
        Json::Value value;
        BOOST_REQUIRE_MESSAGE(Yuccagrade::parseJson(out, value), "no JSON: " << out << err);
        return value;
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// A running mesh without a manifest, and the command line.
struct Mesh : Fleet {
    int runs = 0;

    Mesh()
        : Fleet(plan())
    {
        start();
        writeManifest(manifest);
    }
    std::string manifestFile() const
    {
        return folder() + "/manifest.ini";
    }
    void writeManifest(const std::string &text) const
    {
        std::ofstream(manifestFile()) << text;
    }
    Output run(const std::vector<std::string> &arguments)
    {
        const std::string base = folder() + "/cli" + std::to_string(++runs);
        std::vector<std::string> all{YUCCAGRADE_PROGRAM};
        all.insert(all.end(), arguments.begin(), arguments.end());
        Process process(all, base + ".out", base + ".err");
        BOOST_REQUIRE(process.waitForExit(commandBoundMs));
        return {*process.exitCode(), readFile(base + ".out"), readFile(base + ".err")};
    }
    Output runRemote(std::vector<std::string> arguments)
    {
        for (const Host *control : controls()) {
            arguments.insert(arguments.end(), {"--control", control->operatorAddress});
        }
        arguments.insert(arguments.end(), {"--secret-file", folder() + "/operator-secret"});
        return run(arguments);
    }
    /// Waits until the leader knows all processes, so that "in force everywhere" covers them.
    bool allUp()
    {
        const auto isComplete = [this] {
            const Output status = runRemote({"status", "--format", "json"});
            return status.code == 0 && status.json()["processes"].size() == controls().size() + nodes().size();
        };
        return waitFor(isComplete, 20000);
    }
};
}

// Guards against a manifest with defects that reaches the control hosts, and against findings without file and line.
BOOST_FIXTURE_TEST_CASE(checkAndApply, Mesh)
{
    writeManifest(std::string(manifest) + "[team south]\nrate = fast\nburst = 5\n");
    const Output findings = run({"check", manifestFile()});
    BOOST_TEST(findings.code == 1);
    BOOST_TEST(contains(findings.out, manifestFile() + ":20: "));
    const Output findingsJson = run({"check", manifestFile(), "--format", "json"});
    BOOST_TEST(findingsJson.code == 1);
    BOOST_TEST(findingsJson.json()["findings"][0]["line"].asInt() == 20);
    BOOST_TEST(runRemote({"apply", manifestFile()}).code == 1);

    writeManifest(manifest);
    const Output check = run({"check", manifestFile()});
    BOOST_TEST(check.code == 0);
    BOOST_TEST(check.out == "version 1: 3 domains, 1 services, 1 routes, 1 teams\n");
    BOOST_REQUIRE(allUp());
    const Output applied = runRemote({"apply", manifestFile(), "--submission", "first"});
    BOOST_TEST(applied.code == 0);
    BOOST_TEST(applied.out == "version 1 is in force everywhere\n");
    BOOST_TEST(contains(applied.err, "version 1 accepted as submission first\n"));
    BOOST_TEST(contains(applied.err, "in force on 6 of 6 processes\n"));

    const Output refused = runRemote({"apply", manifestFile(), "--submission", "second"});
    BOOST_TEST(refused.code == 3);
    BOOST_TEST(contains(refused.err, "409"));
    BOOST_TEST(contains(refused.err, "'first'"));
    const Output resent = runRemote({"apply", manifestFile(), "--submission", "first", "--format", "json"});
    BOOST_TEST(resent.code == 0);
    BOOST_TEST(resent.json()["inForce"].asBool());
    BOOST_TEST(resent.json()["version"].asInt() == 1);

    const Output shown = runRemote({"show"});
    BOOST_TEST(shown.code == 0);
    BOOST_TEST(shown.out == manifest);
    BOOST_TEST(runRemote({"show", "manifest", "--format", "json"}).json()["text"].asString() == manifest);

    const Output status = runRemote({"status"});
    BOOST_TEST(status.code == 0);
    BOOST_TEST(contains(status.out, "manifest version 1 in force on 6 of 6 processes\n"));
    BOOST_TEST(contains(status.out, "d2-n1  node  d2  index "));
    const std::string leaderId = runRemote({"status", "--format", "json"}).json()["leader"].asString();
    BOOST_TEST(host(leaderId).isControl);

    // A process that is frozen cannot confirm; the command reports that instead of success.
    host("d1-n1").daemon->freeze();
    writeManifest("[manifest]\nversion = 2\n" + std::string(manifest).substr(std::string(manifest).find("[domain d1]")));
    const Output waiting = runRemote({"apply", manifestFile(), "--wait-s", "1"});
    host("d1-n1").daemon->resume();
    BOOST_TEST(waiting.code == 5);
    BOOST_TEST(contains(waiting.err, "not yet in force everywhere"));

    std::ofstream(folder() + "/other-secret") << "0123456789012345678901234567890123456789\n";
    std::filesystem::permissions(folder() + "/other-secret", std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
    const std::string address = host(leaderId).operatorAddress;
    BOOST_TEST(run({"status", "--control", address, "--secret-file", folder() + "/other-secret"}).code == 3);
    BOOST_TEST(run({"status", "--control", host("d1-n1").callerAddress, "--secret-file", folder() + "/operator-secret", "--timeout-s", "2"}).code != 0);
    BOOST_TEST(run({"status"}).code == 2);
}

// Guards against a key that a resend loses, against a withdrawal that is reported before it works, against a drain that
// ends in an error, and against a time line with an effect before its cause.
BOOST_FIXTURE_TEST_CASE(keysDrainAndTimeline, Mesh)
{
    BOOST_REQUIRE(allUp());
    BOOST_REQUIRE(runRemote({"apply", manifestFile()}).code == 0);
    const Output given = runRemote({"key", "give", "north", "--submission", "key-1"});
    BOOST_REQUIRE_EQUAL(given.code, 0);
    BOOST_TEST(given.out.starts_with("ygk_"));
    const std::string key = given.out.substr(0, given.out.find('\n'));
    BOOST_TEST(runRemote({"key", "give", "north", "--submission", "key-1"}).out == given.out);
    const Json::Value again = runRemote({"key", "give", "north", "--submission", "key-1", "--format", "json"}).json();
    BOOST_TEST(again["key"].asString() == key);
    const std::string keyId = again["keyId"].asString();
    BOOST_TEST(runRemote({"key", "give", "nobody"}).code == 3);
    waitUntilServing("/status", key);

    BOOST_TEST(runRemote({"show", "keys"}).out == keyId + "  north  valid\n");
    BOOST_TEST(runRemote({"show", "keys", "--format", "json"}).json()["keys"][0]["keyId"].asString() == keyId);

    const Output withdrawn = runRemote({"key", "withdraw", keyId});
    BOOST_TEST(withdrawn.code == 0);
    BOOST_TEST(withdrawn.out == "key " + keyId + " works nowhere any more\n");
    for (const Host *node : nodes()) {
        BOOST_TEST(call(*node, "/status", key, "x").status == 401);
    }
    BOOST_TEST(runRemote({"show", "keys"}).out == keyId + "  north  withdrawn\n");
    const std::string status = runRemote({"status"}).out;
    BOOST_TEST(contains(status, "withdrawal of key " + keyId + " is in force\n"));
    BOOST_TEST(contains(status, "up  sources " + Yuccagrade::buildInfo().sources + '\n'), status);
    BOOST_TEST(contains(run({"--version"}).out, "\nsources " + Yuccagrade::buildInfo().sources + '\n'));
    BOOST_TEST(runRemote({"key", "withdraw", "no-such-key"}).code == 3);

    Host &leaving = host("d3-n1");
    const Output drain = run({"drain", leaving.operatorAddress, "--secret-file", folder() + "/operator-secret"});
    BOOST_TEST(drain.code == 0);
    BOOST_TEST(contains(drain.out, leaving.operatorAddress + " drains"));
    BOOST_TEST(leaving.daemon->waitForExit(10000));
    BOOST_TEST(*leaving.daemon->exitCode() == 0);

    std::vector<std::string> arguments{"timeline", "--key", keyId};
    for (const std::vector<Host *> &hosts : {controls(), nodes()}) {
        for (const Host *each : hosts) {
            arguments.push_back(folder() + '/' + each->id + ".events");
        }
    }
    const Output timeline = run(arguments);
    BOOST_TEST(timeline.code == 0);
    std::vector<std::string> names;
    std::istringstream lines(timeline.out);
    for (std::string line; std::getline(lines, line);) {
        const auto name = line.find("] ") + 2;
        names.push_back(line.substr(name, line.find(' ', name) - name));
    }
    const auto position = [&names](const std::string &name) {
        return std::find(names.begin(), names.end(), name) - names.begin();
    };
    BOOST_TEST(position("key-given") < position("key-withdrawn"));
    BOOST_TEST(position("key-withdrawn") < position("withdrawal-in-force"));
    BOOST_TEST(position("withdrawal-in-force") < static_cast<std::ptrdiff_t>(names.size()));
    arguments.insert(arguments.end(), {"--event", "key-given", "--format", "json"});
    const Json::Value first = Output{0, run(arguments).out.substr(0, run(arguments).out.find('\n')), {}}.json();
    BOOST_TEST(first["key"].asString() == keyId);
    BOOST_TEST(first["event"].asInt() == 303);
}
