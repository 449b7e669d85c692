// Whole answers per second at 1, 2 and 5 times the capacity with the domains, teams, routes and servers of the example
// manifests. Scaled: a tenth of the slots and connections per server, 100 ms per call, no nested calls, and reads are sent
// as POST, since the load generator checks answers by their echo. The arguments are the seed and the one
// deployment to run.

#include "config/manifest.h"
#include "measure.h"
#include "support/load.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <map>

using namespace Yuccagrade::Test;

namespace
{
constexpr double serviceMs = 100;
constexpr double runMs = 6000;
constexpr double factors[] = {1, 2, 5};

struct ServicePlan {
    const char *name;
    int servers;
    int slots;
    int connections;
    const char *route;
    const char *path;
    bool action;
};
struct Deployment {
    const char *manifest;
    std::vector<ServicePlan> services;
};
const Deployment deployments[] = {{"scambiotech",
                                   {{"status", 5, 4, 33, "status-read", "/status/1", false},
                                    {"activation", 4, 5, 40, "activate", "/activations", true},
                                    {"photo-archive", 3, 6, 50, "photo-read", "/photos/1", false},
                                    {"history", 3, 2, 20, "history-read", "/history/1", false}}},
                                  {"palnakhi",
                                   {{"listings", 5, 7, 50, "listing-read", "/listings/1", false},
                                    {"bookings", 4, 8, 55, "reserve", "/reservations", true},
                                    {"inspection", 4, 8, 55, "inspection-read", "/inspections/1", false},
                                    {"inventory", 4, 3, 30, "inventory-read", "/inventory/1", false}}}};

std::string manifestText(const std::string &name)
{
    std::ifstream file(YUCCAGRADE_SOURCE_FOLDER "/examples/" + name + ".ini");
    std::string text;
    std::string last;
    for (std::string line; std::getline(file, line); last = line) {
        text += line + '\n';
        // The routes without a method are reads; those of one object do not collide with a POST of the same path.
        if (last.starts_with("[route ") && line.starts_with("path = ") && line.ends_with('*')) {
            text += "method = POST\n";
        }
    }
    return text;
}

FleetPlan plan(const Deployment &deployment, const Yuccagrade::Manifest &manifest)
{
    FleetPlan result;
    for (const auto &domain : manifest.domains) {
        // Three control hosts, in the first three domains.
        result.domains.push_back({domain.name, domain.region, result.domains.size() < 3 ? 1 : 0, {}});
    }
    std::size_t next = 0;
    for (const ServicePlan &service : deployment.services) {
        for (int i = 0; i < service.servers; ++i) {
            result.domains[next++ % result.domains.size()].nodes.push_back({service.name, {}, service.slots, service.connections, serviceMs});
        }
    }
    return result;
}

struct Teams {
    std::vector<std::string> names;
    std::vector<double> rates;
    std::vector<std::string> keys;
};

enum class Kind { Layer, Straight, FixedLimit };
constexpr const char *kindNames[] = {"layer", "no layer", "fixed limit at callers"};

LoadOptions load(Fleet &fleet, const ServicePlan &service, const Teams &teams, const Yuccagrade::RouteSpec &route, double factor, Kind kind)
{
    std::vector<std::string> upstreams;
    for (const Host *host : fleet.nodes(service.name)) {
        upstreams.push_back(host->upstreamAddress);
    }
    LoadOptions options{0, runMs, 20000, {}};
    options.maxInFlight = kind == Kind::FixedLimit ? service.servers * service.slots : options.maxInFlight;
    double sum = 0;
    for (std::size_t i = 0; i < teams.names.size(); ++i) {
        sum += route.allows(teams.names[i]) ? teams.rates[i] : 0;
    }
    for (std::size_t i = 0; i < teams.names.size(); ++i) {
        if (route.allows(teams.names[i])) {
            LoadStream stream{teams.names[i],
                              kind == Kind::Layer ? teams.keys[i] : "",
                              kind == Kind::Layer ? fleet.callerAddresses() : upstreams,
                              service.path};
            stream.ratePerS = factor * service.servers * service.slots * 1000 / serviceMs * teams.rates[i] / sum;
            stream.action = service.action;
            stream.timeoutMs = 1000;
            options.streams.push_back(stream);
        }
    }
    return options;
}

void measure(const Deployment &deployment, std::uint64_t &seed)
{
    const std::string text = manifestText(deployment.manifest);
    Yuccagrade::Findings findings;
    const Yuccagrade::Manifest manifest = Yuccagrade::parseManifest(text, deployment.manifest, findings);
    Fleet fleet(plan(deployment, manifest));
    fleet.start();
    fleet.apply(text);
    Teams teams;
    for (const auto &team : manifest.teams) {
        teams.names.push_back(team.name);
        teams.rates.push_back(team.rate);
        teams.keys.push_back(fleet.giveKey(team.name).key);
    }
    for (const ServicePlan &service : deployment.services) {
        if (!service.action) {
            fleet.waitUntilServing(service.path, teams.keys[0]);
        }
    }
    for (const double factor : factors) {
        for (const Kind kind : {Kind::Layer, Kind::Straight, Kind::FixedLimit}) {
            std::vector<LoadOptions> options;
            for (const ServicePlan &service : deployment.services) {
                options.push_back(load(fleet, service, teams, *manifest.route(service.route), factor, kind));
                options.back().seed = ++seed;
            }
            std::vector<std::future<std::vector<LoadResult>>> running;
            running.reserve(options.size());
            for (const LoadOptions &one : options) {
                running.push_back(std::async(std::launch::async, runLoad, std::cref(one)));
            }
            std::printf("%-12s %.0fx %-23s", deployment.manifest, factor, kindNames[static_cast<int>(kind)]);
            double total = 0;
            double lag = 0;
            std::map<std::string, std::uint64_t> refused;
            for (std::size_t i = 0; i < running.size(); ++i) {
                std::uint64_t whole = 0;
                for (const LoadResult &result : running[i].get()) {
                    // The first second, in which queues fill, and the time after the last arrival do not count.
                    for (std::size_t bin = 20; bin < std::min<std::size_t>(120, result.goodput.size()); ++bin) {
                        whole += result.goodput[bin];
                    }
                    lag = std::max(lag, result.maxLagMs);
                    for (const auto &[reason, count] : result.refused) {
                        refused[reason] += count;
                    }
                    for (const auto &[reason, count] : result.failed) {
                        refused[reason] += count;
                    }
                }
                const double perS = static_cast<double>(whole) / 5;
                total += perS;
                std::printf(" %s %.0f/s,", deployment.services[i].name, perS);
            }
            std::printf(" total %.0f/s; lag %.0f ms; load %s;", total, lag, machineLoad().c_str());
            for (const auto &[reason, count] : refused) {
                std::printf(" %s: %llu", reason.c_str(), static_cast<unsigned long long>(count));
            }
            std::printf("\n");
            std::fflush(stdout);
        }
    }
}
}

int main(int argc, char **argv)
{
    auto seed = static_cast<std::uint64_t>(firstArgument(argc, argv, 20261204));
    for (const Deployment &deployment : deployments) {
        if (argc <= 2 || std::string(argv[2]) == deployment.manifest) {
            measure(deployment, seed);
        }
    }
    return 0;
}
