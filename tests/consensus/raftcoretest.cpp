#include <boost/test/unit_test.hpp>

#include "simcluster.h"

using namespace Yuccagrade;

namespace
{
bool elect(SimCluster &cluster)
{
    return cluster.runUntil(
        [&cluster] {
            return cluster.leader() >= 0 && cluster.core(cluster.leader()).isReady();
        },
        10000);
}

void commitMany(SimCluster &cluster, int count)
{
    for (int i = 0; i < count; ++i) {
        cluster.propose();
        cluster.run(20);
    }
    cluster.run(300);
}

std::vector<GroupMember> threeMembers()
{
    return {{"a", "a", "da", true}, {"b", "b", "db", true}, {"c", "c", "dc", true}};
}

LogEntry entryOf(std::uint64_t index, std::uint64_t term)
{
    return {index, term, EntryKind::Command, Json::Value(static_cast<int>(index))};
}

// A core of host a whose group is a, b, c and whose log holds one entry of each given term from index 2 on.
RaftCore coreOfThree(const HardState &hard, const std::vector<std::uint64_t> &terms)
{
    StoredState stored;
    stored.hard = hard;
    stored.snapshot = {1, 1, threeMembers(), "s"};
    for (const std::uint64_t term : terms) {
        stored.entries.push_back(entryOf(2 + stored.entries.size(), term));
    }
    return {{"a", "da", {}}, stored, RaftOptions(), Random(1), 0};
}

// Makes the core the leader of the next term with the vote of b.
void makeLeader(RaftCore &core)
{
    core.tick(2000);
    core.handleVoteResponse("b", {core.term(), core.term() + 1, true, true, "db"}, 2000);
    core.handleVoteResponse("b", {core.term(), core.term(), false, true, "db"}, 2000);
    BOOST_REQUIRE(core.isLeader());
}
}

// Guards against a vote that is given twice in a term after a restart.
BOOST_AUTO_TEST_CASE(storedVoteIsKept)
{
    RaftCore core = coreOfThree({5, "b"}, {});
    BOOST_TEST(!core.handleVote({5, "c", "da", 9, 5, false}, 0).response.granted);
    BOOST_TEST(core.handleVote({5, "b", "da", 9, 5, false}, 0).response.granted);
    const auto higher = core.handleVote({6, "c", "da", 9, 5, false}, 0);
    BOOST_TEST(higher.response.granted);
    BOOST_TEST(higher.actions.persistHard);
    BOOST_TEST((higher.actions.hard == HardState{6, "c"}));
}

// Guards against the vote of a host whose disk is another than the one that the candidate's group names.
BOOST_AUTO_TEST_CASE(voteAndAcknowledgementOfAnotherDiskDoNotCount)
{
    RaftCore core = coreOfThree({5, ""}, {});
    BOOST_TEST(!core.handleVote({6, "b", "old", 9, 5, false}, 0).response.granted);
    BOOST_TEST(core.term() == 5U);
    core.tick(2000);
    core.handleVoteResponse("b", {5, 6, true, true, "new"}, 2000);
    BOOST_TEST(core.term() == 5U);
    makeLeader(core);
    core.handleAppendResponse("b", {core.term(), true, 2, 2000, "new"}, 2010);
    BOOST_TEST(core.commitIndex() == 1U);
    BOOST_TEST(core.quorumContactMs(2010) == -1);
    core.handleAppendResponse("b", {core.term(), true, 2, 2000, "db"}, 2020);
    BOOST_TEST(core.commitIndex() == 2U);
    BOOST_TEST(core.quorumContactMs(2020) == 2000);
}

// Guards against committing an entry of a former term by counting copies, which a later leader may still replace.
BOOST_AUTO_TEST_CASE(formerTermIsCommittedOnlyWithOwnEntry)
{
    RaftCore core = coreOfThree({4, ""}, {2, 4});
    makeLeader(core);
    core.handleAppendResponse("b", {5, true, 3, 2000, "db"}, 2010);
    BOOST_TEST(core.commitIndex() == 1U);
    BOOST_TEST(!core.isReady());
    BOOST_TEST((core.propose(Json::Value(1), 2010).response.error == Errc::Unavailable));
    core.handleAppendResponse("b", {5, true, 4, 2000, "db"}, 2010);
    BOOST_TEST(core.commitIndex() == 4U);
    BOOST_TEST(core.isReady());
}

// Guards against a log that keeps conflicting entries, and against a leader's message that rewrites committed ones.
BOOST_AUTO_TEST_CASE(conflictingTailIsReplacedButNeverCommittedEntries)
{
    RaftCore core = coreOfThree({4, ""}, {2, 2, 2});
    const auto refused = core.handleAppend({5, "b", 4, 4, {}, 0, 10}, 10);
    BOOST_TEST(!refused.response.success);
    BOOST_TEST(refused.response.match == 1U);
    const auto taken = core.handleAppend({5, "b", 2, 2, {entryOf(3, 5)}, 3, 20}, 20);
    BOOST_TEST(taken.response.success);
    BOOST_TEST(taken.actions.entries.size() == 1U);
    BOOST_TEST(core.log().lastIndex() == 3U);
    BOOST_TEST(core.commitIndex() == 3U);
    BOOST_TEST(!core.handleAppend({6, "c", 2, 2, {entryOf(3, 6)}, 3, 30}, 30).response.success);
    BOOST_TEST(core.log().termAt(3) == 5U);
}

// Guards against unbounded memory when a leader takes proposals that nobody acknowledges.
BOOST_AUTO_TEST_CASE(uncommittedEntriesAreBounded)
{
    RaftCore core = coreOfThree({4, ""}, {});
    makeLeader(core);
    core.handleAppendResponse("b", {5, true, 2, 2000, "db"}, 2010);
    std::size_t taken = 0;
    while (!core.propose(Json::Value(1), 2010).response.error && taken < 5000) {
        ++taken;
    }
    BOOST_TEST(taken == RaftOptions().uncommittedLimit);
}

// Guards against an isolated host that raises the term and so ends a working leader's term when it returns.
BOOST_AUTO_TEST_CASE(isolatedFollowerDoesNotDisturbTheLeader)
{
    SimCluster cluster(3, 1);
    BOOST_REQUIRE(elect(cluster));
    const int leader = cluster.leader();
    const std::uint64_t term = cluster.core(leader).term();
    cluster.isolate((leader + 1) % 3);
    cluster.run(20000);
    cluster.connectAll();
    cluster.run(3000);
    BOOST_TEST(cluster.leader() == leader);
    BOOST_TEST(cluster.core(leader).term() == term);
}

// Guards against freshness proofs from a leader that has lost its majority, and against one that keeps leading.
BOOST_AUTO_TEST_CASE(isolatedLeaderGivesNoLease)
{
    SimCluster cluster(5, 2);
    BOOST_REQUIRE(elect(cluster));
    cluster.run(500);
    const int leader = cluster.leader();
    const TimeMs isolatedAt = cluster.now();
    cluster.isolate(leader);
    bool led = true;
    while (cluster.now() < isolatedAt + 3000) {
        cluster.run(10);
        BOOST_REQUIRE(cluster.core(leader).quorumContactMs(cluster.now()) <= isolatedAt);
        led = cluster.core(leader).isLeader();
    }
    BOOST_TEST(!led);
    BOOST_TEST(cluster.leader() >= 0);
    BOOST_TEST(cluster.violations.empty());
}

// Guards against a restart that loses or repeats entries when log and snapshot both matter.
BOOST_AUTO_TEST_CASE(allHostsRestartAfterHundredsOfEntries)
{
    for (const std::uint64_t compactAfter : {100000, 150}) {
        SimCluster cluster(3, 3);
        cluster.compactAfter = compactAfter;
        BOOST_REQUIRE(elect(cluster));
        commitMany(cluster, 700);
        const std::uint64_t before = cluster.committed();
        BOOST_TEST(before >= 700U);
        for (int i = 0; i < 3; ++i) {
            cluster.crash(i);
        }
        BOOST_TEST(cluster.heals());
        BOOST_TEST(cluster.committed() > before);
        BOOST_TEST(cluster.violations.empty());
    }
}

// Guards against a repaired host that counts as a voter before it holds what the lost one had acknowledged.
BOOST_AUTO_TEST_CASE(secondHostLostRightAfterRepair)
{
    SimCluster cluster(3, 4);
    BOOST_REQUIRE(elect(cluster));
    commitMany(cluster, 200);
    const int first = (cluster.leader() + 1) % 3;
    cluster.loseDisk(first);
    cluster.start(first);
    const auto repaired = [&cluster, first] {
        cluster.admit();
        return cluster.core(first).isVoter();
    };
    BOOST_REQUIRE(cluster.runUntil(repaired, 10000));
    const std::uint64_t before = cluster.committed();
    cluster.loseDisk(cluster.leader());
    BOOST_TEST(cluster.heals());
    BOOST_TEST(cluster.committed() > before);
    BOOST_TEST(cluster.violations.empty());
}

// Guards against a group of five that reverts or stops when two disks are lost at once.
BOOST_AUTO_TEST_CASE(twoDisksLostAtOnce)
{
    SimCluster cluster(5, 5);
    BOOST_REQUIRE(elect(cluster));
    commitMany(cluster, 100);
    const int leader = cluster.leader();
    cluster.loseDisk(leader);
    cluster.loseDisk((leader + 1) % 5);
    BOOST_TEST(cluster.heals());
    BOOST_TEST(cluster.violations.empty());
}

// Guards against a majority that consists of hosts which do not hold the committed entries: the disks of the two hosts
// that held them are lost or down, and the third was isolated. The group must wait instead of reverting.
BOOST_AUTO_TEST_CASE(lostDiskHasNoVoteUnderItsOldIdentity)
{
    for (int round = 0; round < 3; ++round) {
        SimCluster cluster(3, 6 + static_cast<std::uint64_t>(round));
        BOOST_REQUIRE(elect(cluster));
        const int leader = cluster.leader();
        const int lost = (leader + 1) % 3;
        cluster.isolate((leader + 2) % 3);
        commitMany(cluster, 10);
        const std::uint64_t before = cluster.committed();
        cluster.crash(leader);
        cluster.loseDisk(lost);
        cluster.start(lost);
        cluster.connectAll();
        cluster.run(10000);
        BOOST_TEST(cluster.leader() == -1);
        BOOST_TEST(cluster.heals());
        BOOST_TEST(cluster.committed() > before);
        BOOST_TEST(cluster.violations.empty());
    }
}

// Guards against founding a second group: the founder and another host lost their disks, and the third is down.
BOOST_AUTO_TEST_CASE(founderWithLostDiskDoesNotFoundAgain)
{
    SimCluster cluster(3, 9);
    BOOST_REQUIRE(elect(cluster));
    commitMany(cluster, 10);
    cluster.crash(2);
    for (const int host : {0, 1}) {
        cluster.loseDisk(host);
        cluster.start(host);
    }
    cluster.run(5000);
    cluster.start(2);
    cluster.run(5000);
    BOOST_TEST(cluster.core(0).isEmpty());
    BOOST_TEST(cluster.core(1).isEmpty());
    BOOST_TEST(cluster.leader() == -1);
}

// Guards against a group that starts before all initial members have confirmed that their disks are empty.
BOOST_AUTO_TEST_CASE(firstStartWaitsForAllInitialMembers)
{
    SimCluster cluster(3, 10);
    cluster.crash(2);
    cluster.run(10000);
    BOOST_TEST(cluster.leader() == -1);
    BOOST_TEST(cluster.core(0).isEmpty());
    cluster.start(2);
    BOOST_TEST(elect(cluster));
}

// Guards against a group change that the leader could neither commit nor take back.
BOOST_AUTO_TEST_CASE(groupChangeNeedsAReachableMajority)
{
    SimCluster cluster(3, 11);
    BOOST_REQUIRE(elect(cluster));
    cluster.run(500);
    const int leader = cluster.leader();
    const std::string other(1, static_cast<char>('a' + (leader + 1) % 3));
    const std::string third(1, static_cast<char>('a' + (leader + 2) % 3));
    cluster.crash((leader + 1) % 3);
    cluster.run(600);
    RaftCore &core = cluster.core(leader);
    BOOST_TEST((core.removeMember(third, cluster.now()).response.error == Errc::Unavailable));
    BOOST_TEST((core.removeMember("x", cluster.now()).response.error == Errc::NotFound));
    BOOST_TEST((core.addMember(third, third, cluster.now()).response.error == Errc::Conflict));
    BOOST_TEST(!core.removeMember(other, cluster.now()).response.error);
    BOOST_TEST((core.addMember(other, other, cluster.now()).response.error == Errc::Unavailable));
}
