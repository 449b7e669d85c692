// How the worst-served team fares on small slow upstreams while one team sends 8 times its share. Rates do not limit, so
// the queue at the upstream's node has to share. The arguments are the seed and, to run nothing
// but the layer, the word layer.

#include "measure.h"
#include "support/load.h"

#include <algorithm>
#include <cstdio>

using namespace Yuccagrade::Test;

namespace
{
constexpr int servers = 2;
constexpr int slots = 15;
constexpr double serviceMs = 20;
constexpr int teamCount = 8;
constexpr double sharePerS = servers * slots * 1000 / serviceMs / teamCount;
constexpr double politeShare = 0.9;
constexpr double greedyShare = 8;
constexpr double runMs = 8000;

enum class Kind { Layer, Straight, FixedLimit };
constexpr const char *kindNames[] = {"layer", "no layer", "fixed limit at callers"};

std::string teamName(int i)
{
    return "team" + std::to_string(i);
}
}

int main(int argc, char **argv)
{
    const int seed = firstArgument(argc, argv, 20261204);
    const NodePlan server{"history", {}, slots, 200, serviceMs};
    Fleet fleet({{{"d1", "r1", 3, {server, server}}}});
    fleet.start();
    std::string manifest = simpleManifest({"d1"}, {"history"});
    for (int i = 0; i < teamCount; ++i) {
        manifest += "[team " + teamName(i) + "]\nrate = 100000\nburst = 100000\n";
    }
    fleet.apply(manifest);
    std::vector<std::string> keys;
    keys.reserve(teamCount);
    for (int i = 0; i < teamCount; ++i) {
        keys.push_back(fleet.giveKey(teamName(i)).key);
    }
    fleet.waitUntilServing("/history", keys[0]);
    std::vector<std::string> upstreams;
    for (const Host *host : fleet.nodes()) {
        upstreams.push_back(host->upstreamAddress);
    }
    for (const Kind kind : {Kind::Layer, Kind::Straight, Kind::FixedLimit, Kind::Layer}) {
        if (kind != Kind::Layer && argc > 2) {
            continue;
        }
        LoadOptions options{static_cast<std::uint64_t>(seed), runMs, 20000, {}};
        options.maxInFlight = kind == Kind::FixedLimit ? servers * slots : options.maxInFlight;
        for (int i = 0; i < teamCount; ++i) {
            LoadStream stream{teamName(i), kind == Kind::Layer ? keys[i] : "", kind == Kind::Layer ? fleet.callerAddresses() : upstreams, "/history"};
            stream.ratePerS = sharePerS * (i == 0 ? greedyShare : politeShare);
            options.streams.push_back(stream);
        }
        const std::vector<LoadResult> results = runLoad(options);
        std::printf("%-23s served over entitled", kindNames[static_cast<int>(kind)]);
        double worst = 1e9;
        std::uint64_t whole = 0;
        for (int i = 0; i < teamCount; ++i) {
            // The first second, in which limits grow and queues fill, does not count.
            const auto first = static_cast<std::size_t>(1000 / LoadResult::binMs);
            StartBin sum;
            for (std::size_t bin = first; bin < results[i].byStart.size(); ++bin) {
                sum.requests += results[i].byStart[bin].requests;
                sum.whole += results[i].byStart[bin].whole;
            }
            const double entitled = std::min(static_cast<double>(sum.requests), sharePerS * (runMs - 1000) / 1000);
            const double ratio = static_cast<double>(sum.whole) / entitled;
            std::printf(" %.3f", ratio);
            worst = std::min(worst, ratio);
            whole += sum.whole;
        }
        std::printf(", worst %.3f; total %.0f/s of %.0f/s; lag %.0f ms, load %s;",
                    worst,
                    static_cast<double>(whole) * 1000 / (runMs - 1000),
                    sharePerS * teamCount,
                    results[0].maxLagMs,
                    machineLoad().c_str());
        for (const auto &[reason, count] : results[1].refused) {
            std::printf(" team1 %s: %llu", reason.c_str(), static_cast<unsigned long long>(count));
        }
        std::printf("\n");
        std::fflush(stdout);
    }
    return 0;
}
