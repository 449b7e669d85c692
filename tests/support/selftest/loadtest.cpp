#include <boost/test/unit_test.hpp>

#include "support/address.h"
#include "support/load.h"
#include "support/transfer.h"
#include "support/upstream.h"

#include <numeric>

using namespace Yuccagrade::Test;

namespace
{
/// Sends five requests one after the other while @p fault is switched on.
LoadResult fiveRequests(const Upstream &upstream, const std::string &fault, int attempts = 1)
{
    httpCall({"GET", upstream.address(), "/control?" + fault});
    LoadStream stream{"t", {}, {upstream.address()}, "/p"};
    stream.clients = 1;
    stream.maxRequests = 5;
    stream.attempts = attempts;
    stream.timeoutMs = 100;
    return runLoad({1, 20000, 10, {stream}})[0];
}
}

// Guards against a check that takes a foreign, shortened or unfinished answer for a whole one.
BOOST_AUTO_TEST_CASE(answersAreChecked)
{
    BOOST_TEST(isOwnWholeAnswer(R"({"echo":"a","complete":true})", "a"));
    BOOST_TEST(!isOwnWholeAnswer(R"({"echo":"b","complete":true})", "a"));
    BOOST_TEST(!isOwnWholeAnswer(R"({"echo":"a","complete":false})", "a"));
    BOOST_TEST(!isOwnWholeAnswer(R"({"echo":"a","comp)", "a"));
    BOOST_TEST(!isOwnWholeAnswer(R"(["a"])", "a"));
    BOOST_TEST(!isOwnWholeAnswer("", "a"));
}

// Guards against a generator that counts a wrong, short, foreign, late or missing answer as goodput.
BOOST_AUTO_TEST_CASE(brokenAnswersAreNotGoodput)
{
    const Upstream upstream({"s", freeAddress(), {}, 4, 100, 1});
    const LoadResult whole = fiveRequests(upstream, "broken=none");
    BOOST_TEST(whole.whole == 5U);
    BOOST_TEST(whole.requests == 5U);
    const LoadResult foreign = fiveRequests(upstream, "broken=foreign");
    BOOST_TEST(foreign.whole == 0U);
    BOOST_TEST(foreign.wrong == 5U);
    BOOST_TEST(foreign.shortened == 0U);
    for (const char *fault : {"broken=short", "broken=middle"}) {
        const LoadResult result = fiveRequests(upstream, fault);
        BOOST_TEST(result.whole == 0U);
        BOOST_TEST(result.wrong == 5U);
        BOOST_TEST(result.shortened == 5U);
    }
    const LoadResult none = fiveRequests(upstream, "broken=noanswer");
    BOOST_TEST(none.whole + none.wrong == 0U);
    BOOST_TEST(none.failed.size() == 1U);
    const LoadResult late = fiveRequests(upstream, "broken=none&late=10000");
    BOOST_TEST(late.whole + late.wrong == 0U);
    BOOST_TEST(late.failed.at(curl_easy_strerror(CURLE_OPERATION_TIMEDOUT)) == 5U);
}

// Guards against refusals that vanish from the counts, and against retries beyond the number of attempts.
BOOST_AUTO_TEST_CASE(refusalsAndRetriesAreCounted)
{
    const Upstream upstream({"s", freeAddress(), {}, 4, 100, 1});
    LoadResult result = fiveRequests(upstream, "shed=1", 3);
    BOOST_TEST(result.requests == 5U);
    BOOST_TEST(result.attempts == 15U);
    BOOST_TEST(result.refused["503 -"] == 15U);
    BOOST_TEST(result.refusedTotal() == 15U);
    BOOST_TEST(upstream.stats()["shed"].asInt() == 15);
}

// Guards against an open loop that slows down with the answers, or differs between runs of one seed.
BOOST_AUTO_TEST_CASE(openLoopKeepsItsRate)
{
    const Upstream upstream({"s", freeAddress(), {}, 50, 500, 20});
    LoadStream stream{"t", {}, {upstream.address()}, "/p"};
    stream.ratePerS = 500;
    const LoadOptions options{7, 400, 1000, {stream, stream}};
    const auto first = runLoad(options);
    const auto second = runLoad(options);
    for (size_t i = 0; i < 2; ++i) {
        BOOST_TEST(first[i].requests == second[i].requests);
        BOOST_TEST(first[i].requests > 120U);
        BOOST_TEST(first[i].requests < 290U);
        BOOST_TEST(first[i].whole == first[i].requests);
        BOOST_TEST(first[i].quantileMs(0.5) >= 20);
        BOOST_TEST(std::accumulate(first[i].goodput.begin(), first[i].goodput.end(), std::uint64_t{0}) == first[i].whole);
    }
}

// Guards against actions that share an identifier, and against answers mixed up under concurrency.
BOOST_AUTO_TEST_CASE(concurrentActionsAreUniqueAndAnsweredWhole)
{
    UpstreamOptions options{"s", freeAddress(), {}, 20, 500, 2};
    options.exponential = true;
    const Upstream upstream(options);
    LoadStream stream{"t", {}, {upstream.address()}, "/p"};
    stream.clients = 50;
    stream.maxRequests = 1000;
    stream.action = true;
    stream.bodyBytes = 5000;
    const LoadResult result = runLoad({3, 20000, 1000, {stream}})[0];
    BOOST_TEST(result.whole == 1000U);
    BOOST_TEST(upstream.stats()["executions"].size() == 1000U);
}
