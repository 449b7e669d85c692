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
    cluster.injectFaults(20000);
    const bool recovered = cluster.recoversFromFaults();
    RC_LOG() << "seed " << seed << ", committed " << cluster.committed() << "\n";
    for (const std::string &violation : cluster.violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(cluster.violations.empty());
    RC_ASSERT(recovered);
}

void checkRandomSeed(int hosts, const SimFaults &faults)
{
    // An explicit range, since arbitrary() generates small, repeating numbers in the first cases.
    runSeed(hosts, faults, *rc::gen::inRange<std::uint64_t>(0, 1000000000));
}

const SimFaults mildFaults{0.05, 0.05, 30, 0.0005};
const SimFaults severeFaults{0.25, 0.2, 300, 0.005};
}

// Guards against two leaders in one term, lost or changed committed entries, diverging states, leases that overlap with a
// later leader, and a group that does not recover, under all faults of the simulation.
BOOST_AUTO_TEST_CASE(threeHostsSurviveFaults, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        checkRandomSeed(3, mildFaults);
    }));
    BOOST_TEST(rc::check([] {
        checkRandomSeed(3, severeFaults);
    }));
}

// Checks the same with five hosts, which allows member removal and two failures at once.
BOOST_AUTO_TEST_CASE(fiveHostsSurviveFaults, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        checkRandomSeed(5, mildFaults);
    }));
    BOOST_TEST(rc::check([] {
        checkRandomSeed(5, severeFaults);
    }));
}

// Guards against promoting a learner whose disk was lost shortly before: with one more lost disk the group of four voters
// had no majority, whereas the previous group of three voters had one.
BOOST_AUTO_TEST_CASE(learnerThatLostItsDiskGetsNoVote, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        runSeed(5, mildFaults, 373413448);
    }));
}
