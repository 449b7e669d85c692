#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "simcluster.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
void runSeed(int hosts, const SimFaults &faults, std::uint64_t seed)
{
    SimCluster cluster(hosts, seed);
    RC_ASSERT(cluster.runUntil(
        [&cluster] {
            return cluster.leader() >= 0;
        },
        10000));
    cluster.faults = faults;
    cluster.chaos(20000);
    const bool healed = cluster.heals();
    RC_LOG() << "seed " << seed << ", committed " << cluster.committed() << "\n";
    for (const std::string &violation : cluster.violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(cluster.violations.empty());
    RC_ASSERT(healed);
}

void runChaos(int hosts, const SimFaults &faults)
{
    // A fixed range, since the numbers of arbitrary() are small and repeat in the first cases.
    runSeed(hosts, faults, *rc::gen::inRange<std::uint64_t>(0, 1000000000));
}

const SimFaults mild{0.05, 0.05, 30, 0.0005};
const SimFaults severe{0.25, 0.2, 300, 0.005};
}

// Guards against two leaders in a term, lost or changed commits, diverging states, leases that overlap a later leader
// and a group that does not recover, under all faults of the simulation.
BOOST_AUTO_TEST_CASE(threeHostsSurviveFaults, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        runChaos(3, mild);
    }));
    BOOST_TEST(rc::check([] {
        runChaos(3, severe);
    }));
}

// As above; five hosts add member removal and two failures at once.
BOOST_AUTO_TEST_CASE(fiveHostsSurviveFaults, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        runChaos(5, mild);
    }));
    BOOST_TEST(rc::check([] {
        runChaos(5, severe);
    }));
}

// Guards against a vote that is given to a learner whose disk was lost shortly before: together with one more lost disk the
// group of four had no majority, where the group of three before had one.
BOOST_AUTO_TEST_CASE(learnerThatLostItsDiskGetsNoVote, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        runSeed(5, mild, 373413448);
    }));
}
