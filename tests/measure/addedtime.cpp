// Time that two nodes add to a call: calls straight to an upstream and calls through the entry node and the upstream's
// node take turns, one at a time over kept connections. The argument is the number of calls of each kind.

#include "measure.h"
#include "support/load.h"
#include "support/wait.h"

#include <cstdio>
#include <stdexcept>

using namespace Yuccagrade::Test;

namespace
{
constexpr int warmUpCalls = 500;
constexpr std::size_t bodyBytes = 256;

double timedCall(Transfer &transfer, const HttpRequest &request)
{
    transfer.prepare(request);
    const double before = steadyMs();
    const CURLcode error = curl_easy_perform(transfer.handle());
    const double took = steadyMs() - before;
    const HttpAnswer &answer = transfer.finish(error);
    if (answer.status != 200 || !isOwnWholeAnswer(answer.body, request.body)) {
        throw std::runtime_error("call failed with status " + std::to_string(answer.status) + ' ' + answer.body);
    }
    return took;
}

void print(const char *name, const std::vector<double> &ms)
{
    std::printf("%-28s median %.3f ms, 99%% %.3f ms\n", name, quantile(ms, 0.5), quantile(ms, 0.99));
}
}

int main(int argc, char **argv)
{
    const int calls = firstArgument(argc, argv, 5000);
    Fleet fleet({{{"d1", "r1", 3, {{"status", {}, 20, 200, 0.2}, {"other", {}, 20, 200, 0.2}}}}});
    fleet.start();
    fleet.apply(simpleManifest({"d1"}, {"status", "other"}));
    const TeamKey key = fleet.giveKey("north");
    fleet.waitUntilServing("/status", key.key);
    Host &server = fleet.host("d1-n1");
    Host &entry = fleet.host("d1-n2");
    HttpRequest direct{"POST", server.upstreamAddress, "/status", std::string(bodyBytes, 'x')};
    HttpRequest layered = direct;
    layered.address = entry.callerAddress;
    layered.headers.push_back("Authorization: Bearer " + key.key);

    Transfer directTransfer;
    Transfer layeredTransfer;
    for (int i = 0; i < warmUpCalls; ++i) {
        timedCall(directTransfer, direct);
        timedCall(layeredTransfer, layered);
    }
    const std::vector<std::pair<const char *, const Process *>> processes{{"entry node", entry.daemon.get()},
                                                                          {"node of the upstream", server.daemon.get()},
                                                                          {"upstream", server.upstream.get()}};
    std::vector<double> cpuBefore;
    cpuBefore.reserve(processes.size());
    for (const auto &[name, process] : processes) {
        cpuBefore.push_back(process->cpuSeconds());
    }
    std::vector<double> directMs;
    std::vector<double> layeredMs;
    std::vector<double> addedMs;
    const double startedMs = steadyMs();
    for (int i = 0; i < calls; ++i) {
        directMs.push_back(timedCall(directTransfer, direct));
        layeredMs.push_back(timedCall(layeredTransfer, layered));
        addedMs.push_back(layeredMs.back() - directMs.back());
    }
    const double seconds = (steadyMs() - startedMs) / 1000;
    std::printf("%d calls of each kind in %.1f s, machine load %s\n", calls, seconds, machineLoad().c_str());
    print("direct", directMs);
    print("through two nodes", layeredMs);
    print("difference of neighbours", addedMs);
    std::printf("difference of the quantiles: median %.3f ms, 99%% %.3f ms\n",
                quantile(layeredMs, 0.5) - quantile(directMs, 0.5),
                quantile(layeredMs, 0.99) - quantile(directMs, 0.99));
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const auto &[name, process] = processes[i];
        const double used = process->cpuSeconds() - cpuBefore[i];
        std::printf("%-28s %.1f%% of a core, %.3f ms per call, %ld KiB resident\n", name, 100 * used / seconds, 1000 * used / calls, process->residentKiB());
    }
    return 0;
}
