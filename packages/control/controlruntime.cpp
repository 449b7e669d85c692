#include "controlruntime.h"

#include "leaderduties.h"
#include "operatorapi.h"

namespace Yuccagrade
{
namespace
{
constexpr int exitCannotStart = 1;

void refreshMetrics(ClusterCore &core, Metrics &metrics)
{
    metrics.gauge("yuccagrade_state_index", static_cast<double>(core.state().index()));
    metrics.gauge("yuccagrade_leader", core.leaderState() ? 1 : 0);
    metrics.gauge("yuccagrade_term", static_cast<double>(core.replica().core()->term()));
    metrics.gauge("yuccagrade_members_up", static_cast<double>(core.view().upMembers().size()));
}
}

int runControl(const Settings &settings)
{
    ProcessHost host(settings);
    std::unique_ptr<ClusterCore> core;
    std::unique_ptr<OperatorApi> api;
    std::unique_ptr<LeaderDuties> duties;
    host.operatorHandler = [&](const auto &exchange) {
        api->handle(exchange);
    };
    host.drainHook = [&] {
        core->drain();
    };
    host.isDrained = [] {
        return true;
    };
    host.metricsHook = [&](Metrics &metrics) {
        refreshMetrics(*core, metrics);
    };
    if (!host.open()) {
        return exitCannotStart;
    }
    core = std::make_unique<ClusterCore>(host);
    api = std::make_unique<OperatorApi>(*core);
    duties = std::make_unique<LeaderDuties>(*core);
    core->onLeaderTick = [&](LeaderState &leader, TimeMs now) {
        duties->tick(leader, now);
    };
    return core->open() ? host.run() : exitCannotStart;
}
}
