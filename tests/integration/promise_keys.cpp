#include <boost/test/unit_test.hpp>

#include "controlmesh.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace Yuccagrade::Test;

namespace
{
constexpr auto networkFailure = "no answer";

/// A caller that uses one connection all the time and notes each answer with its times.
class Caller
{
public:
    struct Answer {
        double sentMs;
        double receivedMs;
        long status;
        std::string outcome;
    };

    Caller(const Host &node, std::string path, std::string key)
        : m_node(node)
        , m_thread([this, path = std::move(path), key = std::move(key)] {
            run(path, key);
        })
    {
    }
    ~Caller()
    {
        stop();
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    std::vector<Answer> answers() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_answers;
    }
    /// Number of connections that were opened.
    long connections() const
    {
        return m_connections;
    }
    /// Answers with status 200 to requests sent after @p afterMs.
    int servedSentAfter(double afterMs) const
    {
        int count = 0;
        for (const Answer &answer : answers()) {
            count += answer.status == 200 && answer.sentMs > afterMs ? 1 : 0;
        }
        return count;
    }
    /// Time of the last answer with status 200, 0 without one.
    double lastServedMs() const
    {
        double last = 0;
        for (const Answer &answer : answers()) {
            last = answer.status == 200 ? answer.receivedMs : last;
        }
        return last;
    }
    /// Answers received after @p afterMs by "status outcome".
    std::map<std::string, int> outcomesAfter(double afterMs) const
    {
        std::map<std::string, int> result;
        for (const Answer &answer : answers()) {
            if (answer.sentMs > afterMs) {
                ++result[answer.status == 0 ? networkFailure : std::to_string(answer.status) + ' ' + answer.outcome];
            }
        }
        return result;
    }
    const Host &node() const
    {
        return m_node;
    }

private:
    void run(const std::string &path, const std::string &key)
    {
        Transfer transfer;
        HttpRequest request{"POST", m_node.callerAddress, path, "x"};
        request.headers = {"Authorization: Bearer " + key};
        // Longer than a freeze of the node, so that the request on the open connection outlives it.
        request.timeoutMs = 30000;
        while (!m_stopping) {
            transfer.prepare(request);
            const double sent = steadyMs();
            HttpAnswer &answer = transfer.finish(curl_easy_perform(transfer.handle()));
            long opened = 0;
            curl_easy_getinfo(transfer.handle(), CURLINFO_NUM_CONNECTS, &opened);
            m_connections += opened;
            const std::scoped_lock lock(m_mutex);
            m_answers.push_back({sent, steadyMs(), answer.status, answer.headers["yuccagrade-outcome"]});
        }
    }

    const Host &m_node;
    mutable std::mutex m_mutex;
    std::vector<Answer> m_answers;
    std::atomic<long> m_connections = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

struct KeyMesh : ControlMesh {
    std::vector<std::unique_ptr<Caller>> callers;

    /// Starts a caller per node and waits until all are served.
    void startCallers(const std::string &path)
    {
        for (const Host *node : nodes()) {
            callers.push_back(std::make_unique<Caller>(*node, path, team.key));
        }
        for (const auto &caller : callers) {
            BOOST_REQUIRE(waitFor(
                [&] {
                    return caller->servedSentAfter(0) > 20;
                },
                10000));
        }
    }
    /// Waits until the nodes of all domains hold their floors, without which an isolated domain has no tokens.
    void waitForFloors()
    {
        BOOST_REQUIRE(waitFor(
            [this] {
                const Json::Value status = mustOperatorCall("GET", "/v1/status");
                return status["floors"].size() == 3
                    && std::all_of(status["processes"].begin(), status["processes"].end(), [&status](const Json::Value &process) {
                           return process["index"] == status["index"];
                       });
            },
            20000));
    }
    bool isDone()
    {
        const Json::Value status = mustOperatorCall("GET", "/v1/status");
        for (const Json::Value &item : status["withdrawals"]) {
            if (item["keyId"].asString() == team.id) {
                return item["done"].asBool();
            }
        }
        return false;
    }
    /// Waits until the withdrawal is reported done. Returns the time at which the answer came.
    double waitUntilDone()
    {
        BOOST_REQUIRE(waitFor(
            [this] {
                return isDone();
            },
            20000));
        return steadyMs();
    }
    /// Waits until every caller has had answers for requests that it sent after @p afterMs.
    void waitForAnswersAfter(double afterMs, int count)
    {
        for (const auto &caller : callers) {
            BOOST_TEST(waitFor(
                [&] {
                    const auto outcomes = caller->outcomesAfter(afterMs);
                    int sum = 0;
                    for (const auto &[outcome, number] : outcomes) {
                        sum += number;
                    }
                    return sum >= count;
                },
                20000));
        }
    }
    /// Checks that no caller was served after the bound, nor with a request that it sent after @p doneMs.
    void checkWithdrawn(double withdrawnMs, double doneMs)
    {
        waitForAnswersAfter(doneMs, 3);
        for (const auto &caller : callers) {
            caller->stop();
            const double last = caller->lastServedMs() - withdrawnMs;
            BOOST_TEST_MESSAGE(caller->node().id << ": last served " << last << " ms after the accepted withdrawal, done reported after "
                                                 << doneMs - withdrawnMs << " ms, " << caller->answers().size() << " answers");
            BOOST_TEST(last <= inForceBoundMs);
            BOOST_TEST(caller->servedSentAfter(doneMs) == 0);
        }
    }
};
}

// Invariant 5: guards against a key that goes on working on a connection that is open and in use.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsOnOpenConnection, KeyMesh)
{
    startCallers("/status");
    withdrawKey(team.id);
    const double withdrawn = steadyMs();
    const double done = waitUntilDone();
    checkWithdrawn(withdrawn, done);
    for (const auto &caller : callers) {
        BOOST_TEST(caller->connections() == 1);
        for (const auto &[outcome, count] : caller->outcomesAfter(done)) {
            BOOST_TEST(outcome == "401 not-run");
        }
    }
}

// Invariants 5 and 8: guards against a domain that is cut off and goes on to accept a withdrawn key. Also checks what it
// still serves.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsInIsolatedDomain, KeyMesh)
{
    waitForFloors();
    startCallers("/status");
    isolate("d3");
    BOOST_REQUIRE(waitForLeaderAmong({&host("d1-c1"), &host("d2-c1")}));
    withdrawKey(team.id);
    const double withdrawn = steadyMs();
    const double done = waitUntilDone();
    checkWithdrawn(withdrawn, done);
    const Host &island = host("d3-n1");
    for (const auto &[outcome, count] : callers.back()->outcomesAfter(done)) {
        BOOST_TEST(outcome == "503 not-run");
    }
    const int executed = upstreamStats(island)["received"].asInt();
    for (int i = 0; i < 10; ++i) {
        const HttpAnswer answer = call(island, "/status", team.key, "x");
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.headers.at("yuccagrade-outcome") == "not-run");
    }
    BOOST_TEST(upstreamStats(island)["received"].asInt() == executed);
    BOOST_TEST(call(island, "/open", {}, "x").status == 200);
    BOOST_TEST(call(island, "/v1", {}, "x").status == 200);
    BOOST_TEST(call(island, "/island", team.key, "x").status == 200);
    BOOST_TEST(call(island, "/island", "ygk_unknown.key", "x").status == 401);
    BOOST_TEST(upstreamStats(island)["received"].asInt() == executed + 3);
    proxy().clearRules();
    BOOST_TEST(waitFor(
        [&] {
            return call(island, "/island", team.key, "x").status == 401;
        },
        15000));
}

// Invariant 5: guards against a node that keeps its proof although the answers of others, or its own requests, are lost.
// The leader dies in addition, so that a new one has to report the withdrawal (two failures at once).
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsBehindOneWayCutWithoutLeader, KeyMesh)
{
    waitForFloors();
    startCallers("/status");
    FaultRule deaf;
    deaf.stallToSender = true;
    FaultRule mute;
    mute.stallToTarget = true;
    // A node still reaches itself, and so its floor.
    for (const Host *other : allHosts()) {
        if (other->id != "d3-n1") {
            proxy().setRule(host("d3-n1").ip, other->peerAdvertise, deaf);
        }
        if (other->id != "d2-n1") {
            proxy().setRule(host("d2-n1").ip, other->peerAdvertise, mute);
        }
    }
    Host *leading = leader();
    BOOST_REQUIRE(leading);
    withdrawKey(team.id);
    const double withdrawn = steadyMs();
    kill(*leading);
    const double done = waitUntilDone();
    checkWithdrawn(withdrawn, done);
}

// Invariant 5: guards against a frozen node that wakes with an old proof and serves a request sent after the withdrawal.
// Its domain is cut off in addition, so that it cannot learn of the withdrawal (two failures at once).
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsOnFrozenNode, KeyMesh)
{
    waitForFloors();
    startCallers("/status");
    Host &frozen = host("d2-n1");
    frozen.daemon->freeze();
    isolate("d2");
    BOOST_REQUIRE(waitForLeaderAmong({&host("d1-c1"), &host("d3-c1")}));
    withdrawKey(team.id);
    const double withdrawn = steadyMs();
    const double done = waitUntilDone();
    // Sent while the node is frozen and after the withdrawal was reported done; answered when it wakes.
    Caller late(frozen, "/status", team.key);
    BOOST_TEST(!waitFor(
        [&late] {
            return !late.answers().empty();
        },
        500));
    frozen.daemon->resume();
    BOOST_TEST(waitFor(
        [&late] {
            return late.answers().size() > 5;
        },
        20000));
    late.stop();
    BOOST_TEST(late.servedSentAfter(0) == 0);
    waitForAnswersAfter(done, 3);
    for (const auto &caller : callers) {
        caller->stop();
        BOOST_TEST_MESSAGE(caller->node().id << ": last served " << caller->lastServedMs() - withdrawn << " ms after the accepted withdrawal, done after "
                                             << done - withdrawn << " ms");
        BOOST_TEST(caller->servedSentAfter(done) == 0);
    }
}

// Invariant 5: guards against nodes that let every request in once no key is left: the last one is withdrawn, or the last team is removed.
// Both hold after a restart of all processes.
BOOST_FIXTURE_TEST_CASE(withoutAnyKeyNoRequestRuns, ControlMesh)
{
    const auto received = [this] {
        int sum = 0;
        for (const Host *node : nodes()) {
            sum += upstreamStats(*node)["received"].asInt();
        }
        return sum;
    };
    const auto waitUntilDenied = [this](const std::string &key) {
        for (const Host *node : nodes()) {
            BOOST_REQUIRE(waitFor(
                [&] {
                    return call(*node, "/status", key, "x").status == 401;
                },
                20000));
        }
    };
    const auto checkDenied = [&](const std::vector<std::string> &keys) {
        const int before = received();
        for (const Host *node : nodes()) {
            for (const std::string &key : keys) {
                for (const std::string path : {"/status", "/island"}) {
                    BOOST_TEST(call(*node, path, key, "x").status == 401, path << " with key '" << key << "'");
                }
            }
        }
        BOOST_TEST(received() == before);
    };
    const std::string unknownKey = "ygk_unknown.key";
    withdrawKey(team.id);
    waitUntilDenied(team.key);
    checkDenied({team.key, unknownKey, {}});
    const TeamKey south = giveKey("south");
    waitUntilServing("/status", south.key);
    std::string withoutTeams = manifest(2);
    withoutTeams.erase(withoutTeams.find("[route north]"));
    apply(withoutTeams);
    waitUntilDenied(south.key);
    checkDenied({team.key, south.key, unknownKey, {}});
    for (Host *host : allHosts()) {
        host->daemon->kill();
        host->daemon.reset();
    }
    for (Host *host : allHosts()) {
        start(*host);
    }
    waitUntilDenied(south.key);
    checkDenied({team.key, south.key, unknownKey, {}});
}

// Invariant 3: guards against a request that runs for a team whose key did not come with it.
BOOST_FIXTURE_TEST_CASE(requestRunsOnlyForTheTeamOfItsKey, ControlMesh)
{
    const TeamKey south = giveKey("south");
    waitUntilServing("/status", south.key);
    const TeamKey withdrawn = giveKey("north");
    waitUntilServing("/north", withdrawn.key);
    withdrawKey(withdrawn.id);
    BOOST_TEST(waitFor(
        [&] {
            const std::vector<Host *> all = nodes();
            return std::all_of(all.begin(), all.end(), [&](const Host *node) {
                return call(*node, "/north", withdrawn.key, "x").status == 401;
            });
        },
        inForceBoundMs));
    const auto received = [this] {
        int sum = 0;
        for (const Host *node : nodes()) {
            sum += upstreamStats(*node)["received"].asInt();
        }
        return sum;
    };
    const int before = received();
    const std::string mixed = south.id + '.' + team.key.substr(team.key.find('.') + 1);
    for (const Host *node : nodes()) {
        BOOST_TEST(call(*node, "/north", south.key, "x").status == 403);
        for (const std::string &key : {std::string(), std::string("ygk_unknown.key"), withdrawn.key, "ygk_" + mixed, team.key + 'x', team.id}) {
            BOOST_TEST(call(*node, "/north", key, "x").status == 401);
        }
    }
    BOOST_TEST(received() == before);
    int served = 0;
    for (const Host *node : nodes()) {
        served += call(*node, "/north", team.key, "x").status == 200 ? 1 : 0;
        served += call(*node, "/open", {}, "x").status == 200 ? 1 : 0;
        served += call(*node, "/open", withdrawn.key, "x").status == 200 ? 1 : 0;
    }
    BOOST_TEST(served >= 6);
    BOOST_TEST(received() == before + served);
    for (const Host *node : nodes()) {
        BOOST_TEST(upstreamStats(*node)["keyLeaks"].asInt() == 0);
    }
}
