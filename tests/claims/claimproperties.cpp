#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "simulation.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

// Guards against a second execution of an action under loss, repetition, reordering, replica restarts (also two at
// once), epoch changes, frozen claimers and clocks that drift by 5%.
BOOST_AUTO_TEST_CASE(anActionIsDispatchedAtMostOnce, *utf::label("property"))
{
    int executions = 0;
    int restarts = 0;
    for (const bool epochChange : {false, true}) {
        BOOST_TEST(rc::check([&](std::uint64_t salt) {
            ClaimSimulation::Faults faults;
            faults.epochChange = epochChange;
            for (std::uint64_t i = 0; i < 20; ++i) {
                ClaimSimulation simulation(salt * 1000 + i, faults);
                simulation.run(120, 15, 90'000);
                RC_ASSERT(simulation.mostExecutions() <= 1);
                executions += simulation.executions();
                restarts += simulation.restarts();
            }
        }));
    }
    // The faults must not be so heavy that the property holds because nothing runs.
    BOOST_TEST(executions > 10'000);
    BOOST_TEST(restarts > 1'000);
    BOOST_TEST_MESSAGE(executions << " executions, " << restarts << " replica restarts");
}

// Guards against a claim that is not granted although two of three replicas hold their claims.
BOOST_AUTO_TEST_CASE(aMajorityMakesProgress, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t salt, std::uint8_t victim) {
        Random random(salt);
        std::vector<ClaimReplica> replicas;
        replicas.reserve(3);
        for (int i = 0; i < 3; ++i) {
            replicas.emplace_back(ReplicaOptions{0, 1, i == victim % 3 ? ReplicaStart::Restarted : ReplicaStart::FirstEpoch, 0}, 0);
        }
        const std::uint64_t down = random.below(2); // the third replica is lost or abstains
        for (std::uint64_t i = 0; i < 50; ++i) {
            ClaimCoordinator claimer({0, 1, {salt, i}, {1, i}}, 0, 250);
            for (int r = 0; r < 3; ++r) {
                const bool lost = down == 0 && r == victim % 3;
                lost ? claimer.onFailure(r) : claimer.onAnswer(r, replicas[static_cast<std::size_t>(r)].claim(claimer.request(), 0));
            }
            RC_ASSERT(claimer.mayDispatch(0));
        }
    }));
}

// Guards against messages that change on their way through JSON.
BOOST_AUTO_TEST_CASE(claimMessagesRoundTrip, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t a, std::uint64_t b, std::int64_t epoch, bool flag) {
        const CopyAnswer sent{3, epoch, a, b, a ^ b, flag, !flag, {{{a, b}, {b, a}, epoch}}};
        CopyAnswer received;
        RC_ASSERT(CopyAnswer::fromJson(sent.toJson(), received));
        RC_ASSERT(received.toJson() == sent.toJson());
        ClaimRequest request;
        RC_ASSERT(ClaimRequest::fromJson(ClaimRequest{1, epoch, {a, b}, {b, a}}.toJson(), request));
        RC_ASSERT((request.action == Id128{a, b} && request.token == Id128{b, a} && request.epoch == epoch));
    }));
}
