#include <boost/test/unit_test.hpp>

#include "meshnode/coldstart.h"

using namespace Yuccagrade::Mesh;

// Guards against a cold upstream that gets the rate of a warm one, also if it names a higher rate itself, and against a limit after
// its warm-up or in fleets that specify none.
BOOST_AUTO_TEST_CASE(lowerOneOfTheNamedAndTheColdRateApplies)
{
    ColdStart coldStart;
    BOOST_TEST(!coldStart.ratePerS(std::nullopt, 13, 0));
    coldStart.recordStatement(3'000, 100, 1'000);
    BOOST_TEST(coldStart.ratePerS(std::nullopt, 13, 1'000).value_or(-1) == 13);
    BOOST_TEST(coldStart.ratePerS(40, 13, 1'000).value_or(-1) == 13);
    BOOST_TEST(coldStart.ratePerS(5, 13, 1'000).value_or(-1) == 5);
    BOOST_TEST(!coldStart.ratePerS(std::nullopt, 0, 1'000));
    BOOST_TEST(coldStart.isCold(3'999));
    BOOST_TEST(!coldStart.ratePerS(std::nullopt, 13, 4'000));
    BOOST_TEST(coldStart.ratePerS(40, 13, 4'000).value_or(-1) == 40);
    coldStart.recordStatement(3'000, 100, 9'000); // cold again without a restart
    BOOST_TEST(coldStart.isCold(9'001));
}

// Guards against the usual rate for an upstream that was restarted and has not announced itself since: after a crash, beside a node
// that was restarted, and after an evacuation.
BOOST_AUTO_TEST_CASE(upstreamIsColdUntilItStatesOtherwise)
{
    for (const auto cause : {ColdStart::Cause::Unreachable, ColdStart::Cause::Probed, ColdStart::Cause::EvacuationEnded}) {
        ColdStart coldStart;
        coldStart.recordStatement(0, 100, 1'000);
        coldStart.assumeCold(cause, 100);
        BOOST_TEST(coldStart.isCold(60'000));
        BOOST_TEST(coldStart.coldLeftMs(3'000, 60'000) == 3'000);
        coldStart.recordStatement(0, 100, 60'000);
        BOOST_TEST(!coldStart.isCold(60'000));
    }
}

// Guards against a last announcement of the crashed process that arrives when the next one has started.
BOOST_AUTO_TEST_CASE(lateAnnouncementOfTheCrashedProcessDoesNotCount)
{
    ColdStart coldStart;
    coldStart.recordStatement(0, 100, 1'000);
    coldStart.assumeCold(ColdStart::Cause::Refused, 100);
    coldStart.recordStatement(0, 100, 1'500);
    BOOST_TEST(coldStart.isCold(1'500));
    ColdStart sameProcess = coldStart;
    sameProcess.recordStatement(0, 100, 3'000); // it had not ended
    BOOST_TEST(!sameProcess.isCold(3'000));
    coldStart.recordStatement(2'000, 200, 2'000);
    BOOST_TEST(coldStart.isCold(3'999));
    BOOST_TEST(!coldStart.isCold(4'000));
}
