#include <boost/test/unit_test.hpp>

#include "operatedmesh.h"

#include <chrono>
#include <set>
#include <thread>

using namespace Yuccagrade;
using namespace Yuccagrade::Soak;

namespace
{
const std::string heldKey = "key-0";
const std::string unknownKey = "key-of-nobody";
const std::string noKey;
constexpr auto noTeams = "[]";
constexpr auto teamWithoutKeys = R"([{"name":"red","apiKeys":[]}])";
constexpr auto teamWithoutKeyList = R"([{"name":"red"}])";
constexpr auto otherTeam = R"([{"name":"blue","apiKeys":["key-1"]}])";

/// Returns the change with another list of teams, or without the list if @p teams is empty.
Change withTeams(Change change, const std::string &teams)
{
    const std::size_t at = change.document.find(R"(,"tenants":)");
    change.document.erase(at);
    change.document += (teams.empty() ? std::string() : R"(,"tenants":)" + teams) + '}';
    return change;
}

/// A mesh with requests on a route that is not open.
class KeyedMesh : public OperatedMesh
{
public:
    KeyedMesh()
    {
        waitUntilServed(heldKey);
    }
    /// Sends a request with @p key to a node and returns the status of the answer, 0 without one.
    long call(const Host &node, const std::string &key)
    {
        const std::string id = "q" + std::to_string(++m_lastId);
        m_idsOfKey[key].insert(id);
        std::vector<std::string> headers{"Host: a.example", "X-Yuccagrade-Request-Id: " + id, "X-Yuccagrade-Deadline-Ms: 2000"};
        if (!key.empty()) {
            headers.push_back("Authorization: Bearer " + key);
        }
        return Test::httpCall({.address = node.callerAddress, .path = "/read/" + id, .headers = std::move(headers), .timeoutMs = 3'000}).status;
    }
    /// Puts a list of teams in force.
    void publishTeams(const std::string &teams)
    {
        leader();
        publish(controls(), withTeams(Change(version(), version() + 1), teams));
    }
    void waitUntilServed(const std::string &key)
    {
        for (const Host *node : nodes()) {
            BOOST_REQUIRE(Test::waitFor(
                [&] {
                    return call(*node, key) == 200;
                },
                startBoundMs));
        }
    }
    /// Waits until the operators' bound for a withdrawal has passed, and forgets the requests until then.
    void waitForWithdrawal()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(Ledger::withdrawalMs)));
        m_idsOfKey.clear();
    }
    /// Checks that each node answers requests with @p key by @p status, and runs none of them.
    void checkRefused(const std::string &key, long status, const std::string &when)
    {
        constexpr int requestsPerNode = 3;
        for (const Host *node : nodes()) {
            for (int i = 0; i < requestsPerNode; ++i) {
                const long got = call(*node, key);
                BOOST_TEST(got == status, when << ": " << node->name << " answers key '" << key << "' with " << got);
            }
        }
        checkNotRun(key, when);
    }
    /// Checks that no request with @p key has run since the last withdrawal.
    void checkNotRun(const std::string &key, const std::string &when)
    {
        for (const std::string &id : m_idsOfKey[key]) {
            BOOST_TEST(runsOf(id) == 0, when << ": " << id << " with key '" << key << "' runs");
        }
    }
    /// Waits until each node answers requests with @p key by 401.
    void waitUntilDenied(const std::string &key)
    {
        for (const Host *node : nodes()) {
            BOOST_REQUIRE(Test::waitFor(
                [&] {
                    return call(*node, key) == 401;
                },
                startBoundMs));
        }
    }

private:
    int m_lastId = 0;
    std::map<std::string, std::set<std::string>> m_idsOfKey;
};
}

// Guards against a fleet that lets every request in because the last key was withdrawn (review/9): the list of teams or of keys is empty
// or missing, or the key's team is replaced.
BOOST_FIXTURE_TEST_CASE(lastKeyOfTheFleetStopsWorking, KeyedMesh)
{
    for (const std::string teams : {noTeams, teamWithoutKeys, teamWithoutKeyList, otherTeam}) {
        publishTeams(teams);
        waitForWithdrawal();
        for (const std::string &key : {heldKey, unknownKey, noKey}) {
            checkRefused(key, 401, teams);
        }
    }
    publishTeams(R"([{"name":"red","apiKeys":["key-0"]}])");
    waitUntilServed(heldKey);
    checkRefused(unknownKey, 401, "key given again");
}

// Guards against a withdrawn key that works once the list of teams is left out: requests need no key then, but no key is valid.
BOOST_FIXTURE_TEST_CASE(keyOfALeftOutListOfTeamsStopsWorking, KeyedMesh)
{
    publishTeams({});
    waitForWithdrawal();
    checkRefused(heldKey, 401, "list left out");
    checkRefused(unknownKey, 401, "list left out");
    waitUntilServed(noKey);
    publishTeams(noTeams);
    waitForWithdrawal();
    checkRefused(noKey, 401, "empty list after none");
}

// Guards against an empty list of teams that is lost on the way to another leader, to the disk and back, or to a restarted node.
BOOST_FIXTURE_TEST_CASE(emptyListOfTeamsOutlivesRestarts, KeyedMesh)
{
    const std::vector<Host *> all = controls();
    Host &former = leader();
    publishTeams(noTeams);
    fleet().kill(former);
    waitForWithdrawal();
    waitUntilDenied(heldKey);
    for (Host &host : fleet().hosts()) {
        fleet().kill(host);
    }
    for (Host &host : fleet().hosts()) {
        fleet().start(host, false);
    }
    waitUntilDenied(heldKey);
    waitUntilDenied(noKey);
    checkRefused(unknownKey, 401, "after a restart of all processes");
    for (const std::string &key : {heldKey, noKey}) {
        checkNotRun(key, "after a change of the leader and a restart of all processes");
    }
}

// Guards against a node that was cut off and lets every request in, with the withdrawn key or after it has learnt of the empty list.
BOOST_FIXTURE_TEST_CASE(cutOffNodeLetsNoWithdrawnKeyIn, KeyedMesh)
{
    const Host &node = *nodes().front();
    const auto setPathsOfNode = [&](const Test::FaultRule &rule) {
        for (const Host &other : fleet().hosts()) {
            if (&other != &node) {
                fleet().setPath(node, other, rule);
                fleet().setPath(other, node, rule);
            }
        }
    };
    setPathsOfNode({.cut = Test::FaultRule::Cut::Stall});
    publishTeams(noTeams);
    waitForWithdrawal();
    for (const std::string &key : {heldKey, unknownKey, noKey}) {
        BOOST_TEST(call(node, key) == 503);
    }
    setPathsOfNode({});
    waitUntilDenied(heldKey);
    checkRefused(heldKey, 401, "node that was cut off");
    for (const std::string &key : {unknownKey, noKey}) {
        checkNotRun(key, "node that was cut off");
    }
}

// Guards against a change that is put in force although an empty or null member lifts what the version before restricts.
BOOST_FIXTURE_TEST_CASE(undecidedMembersAreRefused, KeyedMesh)
{
    const Host &present = leader();
    const std::uint64_t inForce = version();
    const Change next(inForce, inForce + 1);
    const std::string service = R"("service":"deep")";
    std::vector<Change> changes;
    for (const std::string parts : {R"(,"weightedServices":[])", R"(,"weightedServices":null)", R"(,"allowedRegions":[])", R"(,"allowedRegions":null)"}) {
        changes.push_back(next);
        changes.back().document.insert(next.document.find(service) + service.size(), parts);
    }
    for (const std::string teams : {"null",
                                    "{}",
                                    R"([{"name":"red","apiKeys":null}])",
                                    R"([{"name":"red","apiKeys":["key-0"],"ratePerS":null}])",
                                    R"([{"name":"red","apiKeys":[""]}])"}) {
        changes.push_back(withTeams(next, teams));
    }
    for (const Change &change : changes) {
        const long status = submit(present, change);
        BOOST_TEST(status == 400, change.document << ": " << status);
    }
    leader();
    BOOST_TEST(version() == inForce);
    waitUntilServed(heldKey);
    checkRefused(unknownKey, 401, "after refused changes");
}
