#include <boost/test/unit_test.hpp>

#include "meshcontrol/documentstore.h"
#include "protocol/jsoncodec.h"

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
const EvacuationOrder start{EvacuationOrder::Kind::Start, "north"};
const EvacuationOrder end{EvacuationOrder::Kind::End, "north"};

std::vector<std::string> north()
{
    return {"north"};
}
}

// Guards against an evacuation that is forgotten when all hosts are restarted from their snapshots, and against snapshots from before
// this state existed that cannot be read.
BOOST_AUTO_TEST_CASE(evacuationIsPartOfTheSnapshot)
{
    DocumentStore leader;
    EvacuationOrder command;
    BOOST_REQUIRE(EvacuationOrder::fromJson(start.toJson(), command));
    Submission submission;
    DrainReport drains;
    BOOST_TEST(!Submission::fromJson(start.toJson(), submission));
    BOOST_TEST(!DrainReport::fromJson(start.toJson(), drains));
    const std::string before = leader.save();
    leader.evacuations().apply(4, command);
    DocumentStore restored;
    BOOST_REQUIRE(restored.load(leader.save()));
    BOOST_TEST(restored.evacuations().domains() == north(), boost::test_tools::per_element());
    BOOST_TEST(restored.evacuations().index() == 4U);
    BOOST_REQUIRE(restored.load(before));
    BOOST_TEST(restored.evacuations().domains().empty());
    Json::Value former;
    BOOST_REQUIRE(parseJson(before, former));
    former.removeMember("evacuations");
    BOOST_TEST(restored.load(toText(former)));
}

// Guards against an order whose acknowledgement was lost and that is refused or changes something when it is sent again.
BOOST_AUTO_TEST_CASE(orderSentTwiceIsAppliedTwice)
{
    EvacuationStore store;
    BOOST_TEST((store.apply(1, end) == EvacuationResult::Applied));
    BOOST_TEST(store.index() == 0U);
    BOOST_TEST((store.apply(2, start) == EvacuationResult::Applied));
    BOOST_TEST((store.apply(3, start) == EvacuationResult::Applied));
    BOOST_TEST(store.domains() == north(), boost::test_tools::per_element());
    BOOST_TEST(store.index() == 2U); // nothing to send to the nodes
    BOOST_TEST((store.apply(4, end) == EvacuationResult::Applied));
    BOOST_TEST((store.apply(5, end) == EvacuationResult::Applied));
    BOOST_TEST(store.domains().empty());
}

// Guards against hosts that disagree when the second copy of a start and an end are committed in either order: the log decides.
BOOST_AUTO_TEST_CASE(lastOrderInTheLogApplies)
{
    EvacuationStore endLast;
    endLast.apply(1, start);
    endLast.apply(2, start);
    endLast.apply(3, end);
    BOOST_TEST(endLast.domains().empty());
    EvacuationStore startLast;
    startLast.apply(1, start);
    startLast.apply(2, end);
    startLast.apply(3, start);
    BOOST_TEST(startLast.domains() == north(), boost::test_tools::per_element());
}

// Guards against domain names and numbers of domains without a bound, and against a refused repetition when the limit is reached.
BOOST_AUTO_TEST_CASE(ordersOutsideTheLimitsAreRefused)
{
    EvacuationStore store;
    const auto startOf = [](const std::string &domain) {
        return EvacuationOrder{EvacuationOrder::Kind::Start, domain};
    };
    for (const std::string &domain : {std::string(), std::string(65, 'a'), std::string("a b"), std::string("a/b"), std::string("a%20")}) {
        BOOST_TEST((store.check(startOf(domain)) == EvacuationResult::InvalidDomain));
    }
    BOOST_TEST((store.apply(1, startOf(std::string(64, 'a'))) == EvacuationResult::Applied));
    for (int i = 1; i < 64; ++i) {
        BOOST_TEST((store.apply(2, startOf("A-z_0." + std::to_string(i))) == EvacuationResult::Applied));
    }
    BOOST_TEST((store.apply(3, start) == EvacuationResult::TooManyDomains));
    BOOST_TEST((store.apply(4, startOf("A-z_0.1")) == EvacuationResult::Applied));
    BOOST_TEST((store.apply(5, end) == EvacuationResult::Applied));
    BOOST_TEST(store.domains().size() == 64U);
    store.apply(6, {EvacuationOrder::Kind::End, "A-z_0.1"});
    BOOST_TEST((store.apply(7, start) == EvacuationResult::Applied));
}

// Guards against a damaged snapshot that replaces the state.
BOOST_AUTO_TEST_CASE(malformedEvacuationsAreNotLoaded)
{
    EvacuationStore store;
    store.apply(1, start);
    Json::Value malformed = store.save();
    malformed["domains"] = "north";
    BOOST_TEST(!store.load(malformed));
    BOOST_TEST(store.domains() == north(), boost::test_tools::per_element());
    EvacuationOrder order;
    Json::Value command = start.toJson();
    command["evacuation"] = "pause";
    BOOST_TEST(!EvacuationOrder::fromJson(command, order));
}
