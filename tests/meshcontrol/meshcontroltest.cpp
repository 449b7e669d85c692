#include <boost/test/unit_test.hpp>

#include "meshcontrol/directoryhistory.h"
#include "meshcontrol/documentstore.h"
#include "meshcontrol/fleetregistry.h"
#include "meshcontrol/levelcontroller.h"

#include "base/random.h"

#include <rapidcheck.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
namespace utf = boost::unit_test;

namespace
{
Submission submission(std::uint64_t version, std::uint64_t base, const std::string &text)
{
    return {version, base, "digest of " + text, text};
}

SyncMessage nodeReport(const std::string &address, const std::string &service = "stock")
{
    SyncMessage message;
    message.peerAddress = address;
    message.service = service;
    message.upstreams = {{"i-" + address, service, "north", address, UpstreamState::Ready, 10, 0}};
    return message;
}

SyncMessage loadReport(const std::string &address, const std::string &service, double offered, const std::vector<std::string> &called)
{
    SyncMessage message = nodeReport(address, service);
    message.load = {0, 10, offered};
    message.calledServices = called;
    return message;
}

double levelOf(LevelController &controller, const std::string &service, TimeMs now)
{
    for (const ServiceLevel &level : controller.levels(now)) {
        if (level.service == service) {
            return level.level;
        }
    }
    return -1;
}
}

// Guards against nodes that get an empty directory, or treat a partial one as complete, while a new leader still collects reports.
BOOST_AUTO_TEST_CASE(directoryOfANewLeaderIsPublishedIncomplete)
{
    FleetRegistry registry(1'000);
    registry.report(nodeReport("10.0.0.1:7000"), 1'100);
    BOOST_TEST(registry.directory().size() == 1U);
    BOOST_TEST(!registry.isDirectoryComplete(1'100));
    SyncReplyMessage reply;
    reply.hasDirectory = true;
    reply.directory = encode(DirectoryMessage{registry.directory()});
    SyncReplyMessage read;
    BOOST_REQUIRE(decode(encode(reply), read));
    BOOST_TEST(!read.directoryComplete);
    BOOST_TEST(registry.isDirectoryComplete(1'000 + FleetRegistry::reportCollectionMs));
}

// Guards against a whole directory for each node whenever one upstream changes, and against changes that lead to another
// directory than the leader has.
BOOST_AUTO_TEST_CASE(changesOfTheDirectoryLeadFromAnyVersionToTheNewest, *utf::label("property"))
{
    BOOST_TEST(rc::check("changes since any version", [](std::uint64_t seed) {
        Random random(seed);
        DirectoryHistory history;
        std::vector<std::vector<UpstreamEntry>> versions(1);
        for (std::uint64_t version = 1; version <= 12; ++version) {
            std::vector<UpstreamEntry> next;
            for (int i = 0; i < 8; ++i) {
                if (random.below(4) > 0) {
                    next.push_back({"i-" + std::to_string(i), "stock", "north", "a", UpstreamState::Ready, static_cast<int>(random.below(2)), 0});
                }
            }
            history.record(version, next);
            versions.push_back(next);
            for (std::uint64_t base = 0; base <= version; ++base) {
                std::map<std::string, UpstreamEntry> known;
                for (const UpstreamEntry &entry : versions[base]) {
                    known[entry.id] = entry;
                }
                const DirectoryMessage changes = history.changesSince(base);
                for (const UpstreamEntry &entry : changes.upstreams) {
                    known[entry.id] = entry;
                }
                for (const std::string &id : changes.removed) {
                    known.erase(id);
                }
                RC_ASSERT(known.size() == next.size());
                for (const UpstreamEntry &entry : next) {
                    RC_ASSERT(known[entry.id] == entry);
                }
            }
            RC_ASSERT(history.changesSince(version).upstreams.empty());
        }
    }));
}

// Guards against nodes that refuse the changes of a directory for as long as the leader assumes that they have its base: they
// reported to another host when the base was sent.
BOOST_AUTO_TEST_CASE(directoryThatANodeIgnoredIsSentAgain)
{
    DirectoryCursor cursor;
    BOOST_TEST(cursor.advance(3, 2, false) == 0U);
    BOOST_TEST(cursor.isAt(3, 2));
    BOOST_TEST(cursor.advance(4, 2, false) == 3U);
    cursor.report(0, 0);
    BOOST_TEST(!cursor.isAt(4, 2));
    BOOST_TEST(cursor.advance(4, 2, false) == 0U);
    // The whole directory follows when it is complete, then its changes.
    cursor.report(4, 2);
    BOOST_TEST(cursor.advance(5, 2, true) == 0U);
    cursor.report(5, 2);
    BOOST_TEST(cursor.advance(6, 2, true) == 5U);
    // What a node has of the complete directory is not known if it reports another version.
    cursor.report(5, 2);
    BOOST_TEST(cursor.advance(7, 2, true) == 0U);
    BOOST_TEST(cursor.advance(8, 3, true) == 0U);
}

// Guards against a drain that is forgotten when the process that acknowledged it ends, the leader changes, or an announcement from
// before the drain is reported.
BOOST_AUTO_TEST_CASE(drainOutlivesTheProcessesThatKnowIt)
{
    const DrainReport drain{"a", {{"i-a", 100, 7, false}}};
    const DrainReport departure{"a", {{"i-a", 100, 7, true}}};
    DocumentStore leader;
    BOOST_TEST(leader.drains().missing(drain).size() == 1U);
    DrainReport command;
    BOOST_REQUIRE(DrainReport::fromJson(drain.toJson(), command));
    Submission other;
    BOOST_TEST(!Submission::fromJson(drain.toJson(), other));
    leader.drains().apply(1, command);
    BOOST_TEST(leader.drains().missing(drain).empty());
    BOOST_TEST(leader.drains().missing(departure).size() == 1U);
    leader.drains().apply(2, departure);
    BOOST_TEST(leader.drains().missing({"a", {{"i-a", 100, 9, false}, {"i-a", 50, 20, true}}}).empty());
    BOOST_TEST(leader.drains().missing({"a", {{"i-a", 200, 1, false}}}).size() == 1U);
    BOOST_TEST(leader.drains().drained("b").empty());
    leader.apply(3, submission(1, 0, "text"));
    DocumentStore next;
    BOOST_REQUIRE(next.load(leader.save()));
    BOOST_TEST((next.drains().drained("a") == departure.drained));
    BOOST_TEST(next.document() == "text");
    DocumentStore reversed;
    reversed.drains().apply(1, departure);
    reversed.drains().apply(2, drain);
    BOOST_TEST((reversed.drains().drained("a") == departure.drained));
}

// Guards against a store of drains that grows with each release of the upstreams, and one that forgets the newest.
BOOST_AUTO_TEST_CASE(storedDrainsAreBounded)
{
    DrainStore store;
    for (int i = 0; i < 5'000; ++i) {
        store.apply(static_cast<std::uint64_t>(i), {std::to_string(i), {{"i-" + std::to_string(i), i, 1, true}}});
    }
    for (int i = 0; i < 100; ++i) {
        store.apply(5'000U + static_cast<std::uint64_t>(i), {"a", {{"i-" + std::to_string(i), i, 1, true}}});
    }
    BOOST_TEST(store.save().size() < 5'000U);
    BOOST_TEST(store.drained("4999").size() == 1U);
    BOOST_TEST(store.drained("a").size() < 10U);
    BOOST_TEST(store.drained("a").back().id == "i-99");
}

// Guards against accepting two submissions with the same base version.
BOOST_AUTO_TEST_CASE(oneOfTwoChangesOnTheSameVersionWins)
{
    DocumentStore store;
    BOOST_TEST((store.apply(1, submission(3, 0, "a")) == SubmissionResult::Accepted));
    BOOST_TEST((store.apply(2, submission(5, 3, "b")) == SubmissionResult::Accepted));
    BOOST_TEST((store.apply(3, submission(5, 3, "c")) == SubmissionResult::Conflict));
    BOOST_TEST((store.check(submission(4, 5, "d")) == SubmissionResult::OldVersion));
    BOOST_TEST(store.document() == "b");
    BOOST_TEST(store.index() == 2U);
}

// Guards against rejecting the retry of an accepted submission whose response was lost, also after later submissions and a
// restart.
BOOST_AUTO_TEST_CASE(acceptedSubmissionIsAcceptedAgainAndChangesNothing)
{
    DocumentStore store;
    store.apply(1, submission(3, 0, "a"));
    store.apply(2, submission(5, 3, "b"));
    DocumentStore restored;
    BOOST_REQUIRE(restored.load(store.save()));
    BOOST_TEST((restored.apply(3, submission(3, 0, "a")) == SubmissionResult::Accepted));
    BOOST_TEST(restored.document() == "b");
    BOOST_TEST(restored.version() == 5U);
    BOOST_TEST(!restored.load("{\"version\":1"));
    BOOST_TEST(restored.version() == 5U);
}

// Guards against calls to nodes that no longer report.
BOOST_AUTO_TEST_CASE(silentNodeLeavesTheDirectory)
{
    FleetRegistry registry(0);
    BOOST_TEST(registry.report(nodeReport("a"), 1'000));
    BOOST_TEST(!registry.report(nodeReport("a"), 1'250));
    BOOST_TEST(registry.report(nodeReport("b"), 1'300));
    BOOST_TEST(!registry.expire(2'000));
    registry.report(nodeReport("b"), 6'000);
    BOOST_TEST(registry.expire(6'400));
    BOOST_REQUIRE(registry.directory().size() == 1U);
    BOOST_TEST(registry.directory().front().peerAddress == "b");
}

// Guards against an entry service that keeps admitting requests while an indirectly called service is short of slots, and
// against a call cycle that keeps a level raised after the shortage has ended.
BOOST_AUTO_TEST_CASE(shortageOfADeepServiceClosesTheEntryAndOpensItAgain)
{
    LevelController controller;
    TimeMs now = 1'000;
    const auto simulate = [&](double deepOffered, TimeMs until) {
        for (; now < until; now += 100) {
            controller.report(loadReport("a", "entry", 2, {"middle"}), now);
            controller.report(loadReport("b", "middle", 2, {"deep", "entry"}), now);
            controller.report(loadReport("c", "deep", deepOffered, {}), now);
            controller.report(loadReport("d", "aside", 2, {}), now);
            controller.levels(now);
        }
    };
    simulate(20, 3'000);
    BOOST_TEST(levelOf(controller, "deep", now) > 0.5);
    BOOST_TEST(levelOf(controller, "entry", now) == levelOf(controller, "deep", now));
    BOOST_TEST(levelOf(controller, "aside", now) == 0);
    for (const ServiceLevel &level : controller.levels(now)) {
        BOOST_TEST((level.level == 0 || level.isOwn() == (level.service == "deep")));
    }
    simulate(1, 8'000);
    BOOST_TEST(levelOf(controller, "entry", now) == 0);
}

// Guards against an entry service that keeps admitting requests while nested calls queue: callers that wait for a slot make no
// further calls, so the measured demand stays close to the number of slots.
BOOST_AUTO_TEST_CASE(queuedCallsCloseTheEntry)
{
    LevelController controller;
    SyncMessage full = loadReport("c", "deep", 9.5, {});
    full.load.busy = 3 * full.load.limit;
    for (TimeMs now = 1'000; now <= 2'500; now += 100) {
        controller.report(loadReport("a", "entry", 2, {"deep"}), now);
        controller.report(full, now);
        controller.levels(now);
    }
    BOOST_TEST(levelOf(controller, "entry", 2'500) > 0.5);
}

// Guards against an oscillating level, caused by the delay until a change of the level shows in the measured demand.
BOOST_AUTO_TEST_CASE(levelSettlesAlthoughItsEffectIsDelayed)
{
    LevelController controller;
    constexpr std::size_t delaySteps = 8; // of 100 ms
    std::vector<double> levels(delaySteps, 0.0);
    double measuredDemand = 0;
    double lowest = 10;
    double highest = 0;
    for (TimeMs now = 1'000; now <= 21'000; now += 100) {
        // The load is 1.6 times the slots; the lowest priority makes up 60% of it.
        const double offered = 16 * (1 - 0.6 * std::min(1.0, levels[levels.size() - delaySteps]));
        measuredDemand += (offered - measuredDemand) * 0.2;
        controller.report(loadReport("c", "deep", measuredDemand, {}), now);
        levels.push_back(levelOf(controller, "deep", now));
        if (now > 11'000) {
            lowest = std::min(lowest, levels.back());
            highest = std::max(highest, levels.back());
        }
    }
    BOOST_TEST(highest - lowest < 0.2);
    BOOST_TEST(lowest > 0.5);
    BOOST_TEST(highest < 1.0);
}

// Guards against retries of failed requests while a service below them is short of retries, and against a shortage that is
// reported although the retry budget suffices, or after it has ended.
BOOST_AUTO_TEST_CASE(shortageOfRetriesIsToldToTheCallers)
{
    LevelController controller(RetryShortage(0.2, 94, 10'000));
    TimeMs now = 1'000;
    const auto simulate = [&](double declinedShare, TimeMs until) {
        for (; now < until; now += 100) {
            controller.report(loadReport("a", "entry", 2, {"middle"}), now);
            controller.report(loadReport("b", "middle", 2, {"deep", "entry"}), now);
            SyncMessage deep = loadReport("c", "deep", 2, {});
            deep.load.newCallsPerS = 400;
            deep.load.declinedShare = declinedShare;
            controller.report(deep, now);
            controller.report(loadReport("d", "aside", 2, {}), now);
            controller.levels(now);
        }
        std::map<std::string, ServiceLevel> levels;
        for (const ServiceLevel &level : controller.levels(now)) {
            levels[level.service] = level;
        }
        return levels;
    };
    auto levels = simulate(0.05, 2'000);
    BOOST_TEST(!levels["deep"].isShortOfRetries);
    BOOST_TEST(!levels["entry"].callsShortOfRetries);
    levels = simulate(0.55, 3'000);
    BOOST_TEST(levels["deep"].isShortOfRetries);
    BOOST_TEST(!levels["deep"].callsShortOfRetries);
    BOOST_TEST(!levels["entry"].isShortOfRetries);
    BOOST_TEST(levels["entry"].callsShortOfRetries);
    BOOST_TEST(levels["middle"].callsShortOfRetries);
    BOOST_TEST(!levels["aside"].callsShortOfRetries);
    BOOST_TEST(levels["entry"].level == 0); // requests are still admitted
    levels = simulate(0.01, 4'000);
    BOOST_TEST(!levels["deep"].isShortOfRetries);
    BOOST_TEST(!levels["entry"].callsShortOfRetries);
}

// Guards against a new leader that admits all requests during a shortage because it starts from level 0.
BOOST_AUTO_TEST_CASE(newLeaderTakesLevelsOverFromNodes)
{
    LevelController controller;
    SyncMessage restarted = loadReport("c", "deep", 9.5, {});
    SyncMessage shortOfSlots = loadReport("d", "deep", 9.5, {});
    shortOfSlots.ownLevel = 0.8;
    controller.report(loadReport("a", "entry", 2, {"deep"}), 1'000);
    controller.report(restarted, 1'000);
    controller.report(shortOfSlots, 1'000);
    BOOST_TEST(levelOf(controller, "entry", 1'000) > 0.7);
    // Later reports only repeat the leader's own level and must not raise it.
    const auto simulate = [&](TimeMs from, TimeMs until) {
        for (TimeMs now = from; now <= until; now += 100) {
            controller.report(loadReport("a", "entry", 2, {"deep"}), now);
            SyncMessage idle = loadReport("d", "deep", 1, {});
            idle.ownLevel = 0.8;
            controller.report(idle, now);
            controller.levels(now);
        }
    };
    simulate(1'100, 5'000);
    BOOST_TEST(levelOf(controller, "entry", 5'000) == 0);
}
