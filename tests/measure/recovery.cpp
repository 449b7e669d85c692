// Time until calls are served again after a surge of 5 times the capacity, and after a deep service was 10 times slower.
// The layer, the same callers straight at the upstreams, and a fixed limit on calls in flight at those callers run one
// after the other in one program. The arguments are the seed and, to run nothing but the layer, the word layer.

#include "measure.h"
#include "support/address.h"
#include "support/load.h"
#include "support/upstream.h"
#include "support/wait.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <thread>

using namespace Yuccagrade::Test;

namespace
{
// Three servers of each of two services; the deep one is the bottleneck: 3 x 3 slots / 25 ms = 360 calls/s.
constexpr int servers = 3;
constexpr int slots = 15;
constexpr int deepSlots = 3;
constexpr double deepMs = 25;
constexpr double capacityPerS = servers * deepSlots * 1000 / deepMs;
constexpr double baseShare = 0.7;
constexpr int callerAttempts = 2;
constexpr int callersMax = 3000; // more connections would slow the load generator down
constexpr double disturbanceStartMs = 3000;
constexpr double afterMs = 6000;
constexpr double goodShare = 0.95;
// Goodput of one bin is noisy at this rate; four bins of 50 ms are the window of the bound of 0.2 s.
constexpr std::size_t windowBins = 4;
// A queue is stale if calls take more than this times as long as before the disturbance.
constexpr double staleFactor = 2;

enum class Kind { Layer, Straight, FixedLimit };
constexpr const char *kindNames[] = {"layer", "no layer", "fixed limit at callers"};

struct Scenario {
    const char *name;
    double lengthMs;
    double surgeRatePerS; ///< added to the base load
    double slowFactor; ///< of the deep service
};
constexpr Scenario scenarios[] = {{"surge of 5x for 10 s", 10000, (5 - baseShare) * capacityPerS, 1}, {"deep service 10x slower for 5 s", 5000, 0, 10}};

/// The upstreams of callers without the layer; each front server calls its own deep server.
struct StraightStand {
    std::vector<std::unique_ptr<Upstream>> deep;
    std::vector<std::unique_ptr<Upstream>> front;

    StraightStand()
    {
        for (int i = 0; i < servers; ++i) {
            const std::string ip = nextLoopbackIp();
            deep.push_back(std::make_unique<Upstream>(UpstreamOptions{"history", freeAddress(ip), {}, deepSlots, 2000, deepMs}));
            front.push_back(
                std::make_unique<Upstream>(UpstreamOptions{"status", freeAddress(ip), deep.back()->address(), slots, 4000, 1, false, 1, {"/history"}}));
        }
    }
};

struct Stand {
    Fleet fleet;
    StraightStand straight;
    TeamKey key;

    static FleetPlan plan()
    {
        FleetPlan result;
        for (const char *name : {"d1", "d2", "d3"}) {
            result.domains.push_back({name, "r1", 1, {{"status", {"/history"}, slots, 400, 1}, {"history", {}, deepSlots, 200, deepMs}}});
        }
        return result;
    }
    Stand()
        : fleet(plan())
    {
        fleet.start();
        fleet.apply(simpleManifest({"d1", "d2", "d3"}, {"status", "history"}));
        key = fleet.giveKey("north");
        fleet.waitUntilServing("/status", key.key);
    }
    std::vector<std::string> addresses(Kind kind, const char *service)
    {
        std::vector<std::string> result;
        for (const Host *host : fleet.nodes(kind == Kind::Layer ? service : "none")) {
            result.push_back(std::string(service) == "status" ? host->callerAddress : host->upstreamAddress);
        }
        if (kind != Kind::Layer) {
            for (const auto &upstream : std::string(service) == "status" ? straight.front : straight.deep) {
                result.push_back(upstream->address());
            }
        }
        return result;
    }
};

void setSlow(const std::vector<std::string> &upstreams, double factor)
{
    for (const std::string &address : upstreams) {
        httpCall({"GET", address, "/control?slow=" + std::to_string(factor)});
    }
}

struct Window {
    double share = 0;
    double latencyMs = 0;
};

Window window(const std::vector<StartBin> &bins, std::size_t first, std::size_t count)
{
    StartBin sum;
    for (std::size_t i = first; i < std::min(first + count, bins.size()); ++i) {
        sum.requests += bins[i].requests;
        sum.whole += bins[i].whole;
        sum.latencySumMs += bins[i].latencySumMs;
    }
    return {sum.requests ? static_cast<double>(sum.whole) / static_cast<double>(sum.requests) : 0,
            sum.whole ? sum.latencySumMs / static_cast<double>(sum.whole) : 0};
}

void measure(Stand &stand, Kind kind, const Scenario &scenario, std::uint64_t seed)
{
    LoadStream base{"north", stand.key.key, stand.addresses(kind, "status"), "/status", baseShare * capacityPerS};
    base.attempts = callerAttempts;
    LoadStream surge = base;
    surge.ratePerS = scenario.surgeRatePerS;
    surge.startMs = disturbanceStartMs;
    surge.endMs = disturbanceStartMs + scenario.lengthMs;
    LoadOptions options{seed, surge.endMs + afterMs, callersMax, {base}};
    if (surge.ratePerS > 0) {
        options.streams.push_back(surge);
    }
    if (kind == Kind::FixedLimit) {
        options.maxInFlight = servers * slots;
    }
    const double startMs = steadyMs();
    auto load = std::async(std::launch::async, [&options] {
        return runLoad(options);
    });
    if (scenario.slowFactor > 1) {
        const auto deep = stand.addresses(kind, "history");
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(startMs + surge.startMs - steadyMs()));
        setSlow(deep, scenario.slowFactor);
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(startMs + surge.endMs - steadyMs()));
        setSlow(deep, 1);
    }
    const std::vector<LoadResult> results = load.get();
    const std::vector<StartBin> &bins = results[0].byStart;
    const auto bin = [](double ms) {
        return static_cast<std::size_t>(ms / LoadResult::binMs);
    };
    const Window before = window(bins, bin(1000), bin(2000));
    const Window during = window(bins, bin(surge.startMs), bin(scenario.lengthMs));
    // The time to the first window that is good again and to the end of the last one that was not.
    const std::size_t end = bin(surge.endMs);
    std::size_t firstGood = bins.size();
    std::size_t lastBad = end;
    for (std::size_t i = end; i + windowBins <= bins.size(); ++i) {
        const Window now = window(bins, i, windowBins);
        if (now.share >= goodShare && now.latencyMs <= staleFactor * before.latencyMs) {
            firstGood = std::min(firstGood, i);
        } else {
            lastBad = i + 1;
        }
    }
    const auto seconds = [&](std::size_t i) {
        return static_cast<double>(i - end) * LoadResult::binMs / 1000;
    };
    std::printf("%-32s %-23s served before %.3f, during %.3f; mean %.1f ms before; first good %.2f s, good from %.2f s; skipped %llu, lag %.0f ms, load %s\n",
                scenario.name,
                kindNames[static_cast<int>(kind)],
                before.share,
                during.share,
                before.latencyMs,
                seconds(std::max(firstGood, end)),
                seconds(std::max(firstGood, lastBad)),
                static_cast<unsigned long long>(results[0].skipped),
                results[0].maxLagMs,
                machineLoad().c_str());
    std::printf("  served by 200 ms after the end:");
    for (std::size_t i = end; i + windowBins <= std::min(bins.size(), end + 60); i += windowBins) {
        const Window now = window(bins, i, windowBins);
        std::printf(" %.2f/%.0fms", now.share, now.latencyMs);
    }
    for (const auto &[reason, count] : results[0].refused) {
        std::printf("; %s: %llu", reason.c_str(), static_cast<unsigned long long>(count));
    }
    std::printf("\n");
    std::fflush(stdout);
}
}

int main(int argc, char **argv)
{
    const int seed = firstArgument(argc, argv, 20261204);
    Stand stand;
    for (const Scenario &scenario : scenarios) {
        for (const Kind kind : {Kind::Layer, Kind::Straight, Kind::FixedLimit}) {
            if (kind != Kind::Layer && argc > 2) {
                continue;
            }
            measure(stand, kind, scenario, static_cast<std::uint64_t>(seed));
        }
    }
    return 0;
}
