#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "meshnode/retrytokens.h"

#include <vector>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr double ratio = 0.2;
constexpr double fixedRetries = 94;
constexpr double windowMs = 10'000;
constexpr double calmMs = 20'000;
constexpr double shortageMs = 8'500;
constexpr double declinedShare = 0.55;
constexpr int callsOfTree = 4;
constexpr int upstreamsOfRoute = 2; // to which a call may be sent
constexpr int maxOffers = 10;
constexpr std::size_t nodes = 5;
constexpr double treesPerS = 250; // at all nodes

struct Result {
    int trees = 0; ///< during the shortage
    int whole = 0; ///< of them, those whose calls all succeeded
    int wholeUrgent = 0; ///< of them, those of the highest of three equally frequent priorities
    int calls = 0;
    int repeats = 0;
};

/// How the retries of a call are decided.
enum class Policy {
    OnceAtEachUpstream, ///< in the order of the declined calls, once at each upstream of the route
    UntilTaken, ///< again at the upstreams that declined, and with all of the budget
    ByRank, ///< the same, by the rank of the tree
};

// Trees of calls, one after the other, at nodes with a retry budget each, while upstreams decline most calls.
Result play(Policy policy)
{
    Random random(7);
    std::vector<RetryBudget> budgets(nodes, RetryBudget(ratio, fixedRetries, windowMs));
    for (RetryBudget &budget : budgets) {
        budget.setNodes(nodes);
    }
    Result result;
    bool isShort = false;
    for (double now = 1; now < calmMs + shortageMs; now += 1'000 / treesPerS) {
        const bool declines = now >= calmMs;
        if (declines && !isShort && policy != Policy::OnceAtEachUpstream) {
            isShort = true;
            for (RetryBudget &budget : budgets) {
                budget.setScarce({"deep"}, calmMs + shortageMs);
            }
        }
        RetryBudget &budget = budgets[random.below(nodes)];
        const auto priority = static_cast<int>(random.below(3));
        const double rank = (priority + random.fraction()) / 3;
        bool whole = true;
        for (int call = 0; call < callsOfTree && whole; ++call) {
            budget.recordRequest("deep", now);
            int offers = 1;
            while (declines && random.fraction() < declinedShare) {
                const int limit = policy == Policy::OnceAtEachUpstream ? upstreamsOfRoute : maxOffers;
                whole = offers < limit && budget.tryTake("deep", false, now, policy == Policy::ByRank ? rank : 0);
                if (!whole) {
                    break;
                }
                ++offers;
            }
            result.calls += declines ? 1 : 0;
            result.repeats += offers - 1;
        }
        result.trees += declines ? 1 : 0;
        result.whole += declines && whole ? 1 : 0;
        result.wholeUrgent += declines && whole && priority == 0 ? 1 : 0;
    }
    return result;
}
}

// Guards against a retry budget that is left unused or spent on all requests alike while the upstreams of the deepest service decline
// most calls: few requests succeed whole then, and the urgent ones no more often than the others.
BOOST_AUTO_TEST_CASE(scarceRetriesCompleteUrgentRequests)
{
    const Result once = play(Policy::OnceAtEachUpstream);
    const Result untilTaken = play(Policy::UntilTaken);
    const Result byRank = play(Policy::ByRank);
    for (const Result &result : {once, untilTaken, byRank}) {
        BOOST_TEST_MESSAGE(result.whole << " of " << result.trees << " whole, " << result.wholeUrgent << " of the highest priority, " << result.repeats
                                        << " repeats");
        // The window before the shortage counts, as it has more requests.
        const double requestsBefore = treesPerS * windowMs / 1'000 * callsOfTree;
        BOOST_TEST(result.repeats <= ratio * requestsBefore + fixedRetries);
    }
    BOOST_TEST(byRank.whole > once.whole);
    BOOST_TEST(byRank.wholeUrgent > 2 * once.wholeUrgent);
    BOOST_TEST(byRank.whole > 0.9 * untilTaken.whole);
    BOOST_TEST(byRank.wholeUrgent > 2 * untilTaken.wholeUrgent);
}

// Guards against a rank that counts after the levels of a lost leader have expired.
BOOST_AUTO_TEST_CASE(shortageEndsWithoutALeader)
{
    RetryBudget budget(ratio, fixedRetries, windowMs);
    budget.setScarce({"deep"}, 5'000);
    BOOST_TEST(!budget.tryTake("deep", false, 4'000, 0.999)); // the first token only
    BOOST_TEST(budget.tryTake("deep", false, 5'001, 0.999));
}

// Guards against a rank that withholds retries while there are enough of them.
BOOST_AUTO_TEST_CASE(everyRankGetsRetriesInCalm)
{
    RetryBudget budget(ratio, fixedRetries, windowMs);
    budget.setNodes(nodes);
    int refused = 0;
    for (double now = 1; now < windowMs; now += 5) {
        budget.recordRequest("deep", now);
        refused += static_cast<int>(now) % 100 == 1 && now > 1'000 && !budget.tryTake("deep", false, now, 0.999) ? 1 : 0;
    }
    BOOST_TEST(refused == 0);
}
