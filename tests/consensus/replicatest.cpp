#include <boost/test/unit_test.hpp>

#include "consensus/replica.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <memory>

using namespace Yuccagrade;
namespace fs = std::filesystem;

namespace
{
// Three replicas with data folders on disk, a manual clock and an in-memory message queue as the network.
class ReplicaGroup
{
public:
    ReplicaGroup()
    {
        fs::remove_all(root);
        fs::create_directory(root);
        for (int i = 0; i < 3; ++i) {
            start(i);
        }
    }
    ~ReplicaGroup()
    {
        fs::remove_all(root);
    }
    void start(int i)
    {
        replicas[i].reset(); // releases the lock of the folder
        states[i].clear();
        failures[i] = {};
        ReplicaSettings settings{root + "/" + names[i], names[i], members, RaftOptions(), 50};
        Clock clock = Clock::system();
        clock.now = [this] {
            return now;
        };
        FileHooks fileHooks{[this, i](const char *, const std::string &) {
            return fullDisk[i] ? std::error_code(Errc::StorageFailed) : std::error_code();
        }};
        replicas[i] = std::make_unique<Replica>(settings, hooks(i), clock, 100 + i, fileHooks);
        StorageReport report;
        BOOST_REQUIRE(!replicas[i]->start(report));
    }
    void run(TimeMs duration)
    {
        for (const TimeMs end = now + duration; now < end; now += 10) {
            for (const auto &replica : replicas) {
                replica->tick();
            }
            while (!queue.empty()) {
                const auto next = std::move(queue.front());
                queue.pop_front();
                next();
            }
        }
    }
    int leader() const
    {
        const auto found = std::find_if(replicas.begin(), replicas.end(), [](const auto &replica) {
            return replica->isReady();
        });
        return found == replicas.end() ? -1 : static_cast<int>(found - replicas.begin());
    }

    const std::string root = "replicatest-data";
    const std::array<std::string, 3> names{"a", "b", "c"};
    const std::vector<GroupMember> members{{"a", "addr-a", {}, false}, {"b", "addr-b", {}, false}, {"c", "addr-c", {}, false}};
    TimeMs now = 0;
    std::array<std::unique_ptr<Replica>, 3> replicas;
    std::array<std::string, 3> states;
    std::array<bool, 3> fullDisk{};
    std::array<std::error_code, 3> failures;
    std::deque<std::function<void()>> queue;

private:
    ReplicaHooks hooks(int i)
    {
        ReplicaHooks result;
        result.send = [this, i](const std::string &peer, const std::string &, const std::string &method, const Json::Value &params) {
            queue.emplace_back([this, i, peer, method, params] {
                Json::Value response;
                if (!replicas[peer[0] - 'a']->handle(method, params, response)) {
                    replicas[i]->handleResponse(peer, method, response);
                }
            });
        };
        result.apply = [this, i](std::uint64_t, const Json::Value &command) {
            states[i] += command.isNull() ? "" : command.asString() + ","; // null for entries that are not commands
        };
        result.restoreSnapshot = [this, i](std::uint64_t, const std::string &state) {
            states[i] = state;
        };
        result.serializeState = [this, i] {
            return states[i];
        };
        result.leadershipChanged = [](const Leadership &) {};
        result.groupChanged = [](const std::vector<GroupMember> &) {};
        result.storageFailed = [this, i](std::error_code error) {
            failures[i] = error;
        };
        return result;
    }
};
}

// Guards against proposal callbacks before the commit, and against entries lost by a restart or a snapshot.
BOOST_AUTO_TEST_CASE(replicasAgreeOverSnapshotsAndRestarts)
{
    ReplicaGroup group;
    group.run(5000);
    int done = 0;
    std::string expected;
    for (int i = 0; i < 300; ++i) {
        const int leader = group.leader();
        BOOST_REQUIRE(leader >= 0);
        expected += std::to_string(i) + ",";
        BOOST_REQUIRE(!group.replicas[leader]->propose(std::to_string(i), [&done](std::error_code error, std::uint64_t) {
            done += error ? 0 : 1;
        }));
        BOOST_REQUIRE_EQUAL(done, i);
        group.run(10);
        BOOST_REQUIRE_EQUAL(done, i + 1);
        if (i % 100 == 99) {
            group.start((leader + 1) % 3);
        }
    }
    group.run(2000);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(group.states[i] == expected);
        BOOST_TEST(group.replicas[i]->core()->log().baseIndex() > 200U);
        BOOST_TEST(group.replicas[i]->leaderAddress() == "addr-" + group.names[group.leader()]);
    }
}

// Guards against a leader with a full disk that stays leader or reports success.
BOOST_AUTO_TEST_CASE(leaderWithFullDiskStops)
{
    ReplicaGroup group;
    group.run(5000);
    const int leader = group.leader();
    BOOST_REQUIRE(leader >= 0);
    group.fullDisk[leader] = true;
    std::error_code outcome;
    BOOST_TEST(!group.replicas[leader]->propose("x", [&outcome](std::error_code error, std::uint64_t) {
        outcome = error;
    }));
    BOOST_TEST((outcome == Errc::StorageFailed));
    BOOST_TEST((group.failures[leader] == Errc::StorageFailed));
    BOOST_TEST(!group.replicas[leader]->isLeader());
    BOOST_TEST(group.replicas[leader]->quorumContactMs() == -1);
    group.run(3000);
    BOOST_TEST(group.leader() >= 0);
    BOOST_TEST(group.leader() != leader);
    group.fullDisk[leader] = false;
    group.start(leader);
    group.run(1000);
    BOOST_TEST(group.replicas[leader]->core()->isVoter());
}

// Guards against a proposal whose callback is never called because its host lost the leadership.
BOOST_AUTO_TEST_CASE(proposalEndsWithTheLeadership)
{
    ReplicaGroup group;
    group.run(5000);
    const int leader = group.leader();
    BOOST_REQUIRE(leader >= 0);
    group.fullDisk[(leader + 1) % 3] = true;
    group.fullDisk[(leader + 2) % 3] = true;
    std::error_code outcome;
    group.replicas[leader]->propose("x", [&outcome](std::error_code error, std::uint64_t) {
        outcome = error;
    });
    group.run(3000);
    BOOST_TEST((outcome == Errc::Unavailable));
    BOOST_TEST((group.replicas[leader]->propose("y", {}) == Errc::NotLeader));
}

// Guards against a crash on malformed or unknown requests and responses of a peer.
BOOST_AUTO_TEST_CASE(malformedRequestsAreRefused)
{
    ReplicaGroup group;
    Json::Value result;
    for (const char *method : {"raft.hello", "raft.vote", "raft.append", "raft.snapshot"}) {
        BOOST_TEST((group.replicas[0]->handle(method, Json::Value(7), result) == Errc::Malformed));
        BOOST_TEST((group.replicas[0]->handleResponse("b", method, Json::Value()) == Errc::Malformed));
    }
    BOOST_TEST((group.replicas[0]->handle("raft.other", Json::Value(), result) == Errc::NotFound));
}
