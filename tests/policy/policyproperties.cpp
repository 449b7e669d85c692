#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "policy/attemptbudget.h"
#include "upstreammodel.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
struct Attempts {
    int all = 0;
    int firstTries = 0;
};

// Simulates one logical call that often fails, is retried within its budget and makes nested calls in each attempt.
bool call(Random &random, AttemptBudget &budget, int depth, Attempts &attempts)
{
    ++attempts.firstTries;
    while (true) {
        ++attempts.all;
        bool ok = random.fraction() < 0.6;
        for (std::uint64_t i = random.below(4); i > 0 && depth < 8 && attempts.all < 5000; --i) {
            const int lent = budget.lend();
            AttemptBudget nested(lent);
            ok = call(random, nested, depth + 1, attempts) && ok;
            if (random.fraction() < 0.8) { // otherwise the response is lost
                budget.returnUnused(lent, nested.left());
            }
        }
        if (ok || !budget.takeRetry()) {
            return ok;
        }
    }
}
}

// Guards against retries that multiply along the call chain (invariant 1).
BOOST_AUTO_TEST_CASE(attemptsOfATreeStayWithinFirstTriesAndBudget, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        for (int retries : {0, 1, 2, 5, 20}) {
            Random random(seed);
            Attempts attempts;
            AttemptBudget budget(retries);
            call(random, budget, 0, attempts);
            RC_ASSERT(attempts.all <= attempts.firstTries + retries);
        }
    }));
}

// Guards against critical requests shed before bulk ones (invariant 2), waits beyond the longest wait and an unbounded queue.
BOOST_AUTO_TEST_CASE(noCriticalRequestIsShedWhileBulkWaits, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        UpstreamModel model(seed, {50, 60 + seed % 200});
        const double load = 1 + 4 * model.random.fraction(); // of the capacity of 20 per ms
        for (const char *team : {"a", "b", "c"}) {
            model.sources.push_back({team, Priority::Critical, load * 1.5});
            model.sources.push_back({team, Priority::Critical, load * 0.5, 2});
            model.sources.push_back({team, Priority::Normal, load * 2});
            model.sources.push_back({team, Priority::Bulk, load * 3});
        }
        model.run(300);
        RC_ASSERT(!model.criticalShedBeforeBulk);
        RC_ASSERT(!model.bulkStartedBeforeCritical);
        RC_ASSERT(model.longestWait <= 51.0); // the longest wait and one tick
        RC_ASSERT(model.longestQueue <= 260U);
    }));
}

// Guards against starvation of teams while another team sends eight times its share.
BOOST_AUTO_TEST_CASE(aTeamAtEightTimesItsShareDoesNotPushOthersBelow95Percent, *utf::label("property"))
{
    double worst = 1;
    BOOST_TEST(rc::check([&worst](std::uint64_t seed) {
        UpstreamModel model(seed);
        const double fair = 20.0 / 8; // eight teams
        model.sources = {{"greedy", Priority::Normal, 8 * fair}};
        for (const char *team : {"b", "c", "d", "e", "f", "g", "h"}) {
            model.sources.push_back({team, Priority::Normal, fair * (0.5 + 0.5 * model.random.fraction())});
        }
        model.run(200); // cold start
        model.counts.clear();
        model.run(1000);
        for (const auto &[team, count] : model.counts) {
            if (team != "greedy") {
                worst = std::min(worst, static_cast<double>(count.started) / count.offered);
                RC_ASSERT(count.started >= 0.95 * count.offered);
            }
        }
    }));
    BOOST_TEST_MESSAGE("worst-served team: " << worst << " of its demand");
}

// Guards against calls that start at a draining upstream, and against queued requests that are never answered.
BOOST_AUTO_TEST_CASE(nothingStartsWhileDraining, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        UpstreamModel model(seed);
        model.sources = {{"a", Priority::Critical, 15}, {"b", Priority::Bulk, 15, 1}};
        model.run(50);
        model.apply(model.admission.drain(model.now));
        const int started = model.counts["a"].started + model.counts["b"].started;
        RC_ASSERT(model.waiting.empty());
        model.run(100);
        RC_ASSERT(model.counts["a"].started + model.counts["b"].started == started);
        RC_ASSERT(model.waiting.empty() && model.admission.inFlight() == 0);
        model.admission.resume();
        model.run(50);
        RC_ASSERT(model.counts["a"].started + model.counts["b"].started > started);
    }));
}
