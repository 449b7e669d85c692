#include "levelcontroller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs updatePeriodMs = 100;
constexpr TimeMs reportValidMs = 1'000;
// Slots kept free for fluctuations, as a multiple of the square root of the slots (square-root staffing): 8% of 54 slots.
constexpr double headroomFactor = 0.6;
constexpr double gainPerS = 2.0; // change of the level per second and unit of excess
// Delay until a change of the level shows in the measured demand: reporting, smoothing, and requests admitted earlier.
constexpr double effectDelayS = 0.7;
// Demand removed by a level of 1, as a fraction of the slots. The reduction still to come from changes of the last effectDelayS
// is subtracted from the excess (a Smith predictor); without it the level oscillates between admitting and refusing everything.
// One priority demands between a third and all of the slots; too small a value is the safer error.
constexpr double demandReductionPerLevel = 0.5;
constexpr double maxLevelChangePerS = 2.0;
// Excess added while calls queue. A caller that waits for a slot makes no further calls, so the measured demand stays close to
// the number of slots however large the shortage is.
constexpr double backlogExcess = 0.3;
// Queue lengths, as multiples of the slots, between which the added excess grows from 0 to its maximum. Shorter queues are
// normal fluctuations, in which a call waits about as long as it runs.
constexpr double minBacklog = 1.0;
constexpr double maxBacklog = 2.0;
// All live nodes report to a new leader within this time after the first report.
constexpr TimeMs takeoverPeriodMs = 1'000;
// Part of the highest priority is always admitted, so that the shortage can be measured.
constexpr double maxLevel = 2.8;
constexpr double msPerSecond = 1'000;
}

LevelController::LevelController(RetryShortage retryShortage)
    : m_retryShortage(std::move(retryShortage))
{
}

void LevelController::report(const SyncMessage &message, TimeMs now)
{
    m_nodes[message.peerAddress] = {message.service, message.load, message.calledServices, now};
    if (m_firstReportAt == 0) {
        m_firstReportAt = now;
    }
    if (now - m_firstReportAt < takeoverPeriodMs) {
        const double former = std::min(message.ownLevel, maxLevel);
        const auto [own, added] = m_ownLevels.try_emplace(message.service, Level{former, former});
        if (!added && former > own->second.value) {
            own->second.value = former;
        }
    }
}

std::vector<ServiceLevel> LevelController::levels(TimeMs now)
{
    if (now - m_updatedAt >= updatePeriodMs) {
        update(now);
    }
    return m_levels;
}

void LevelController::update(TimeMs now)
{
    const double seconds = m_updatedAt == 0 ? 0 : static_cast<double>(std::min<TimeMs>(now - m_updatedAt, reportValidMs)) / msPerSecond;
    m_updatedAt = now;
    std::erase_if(m_nodes, [now](const auto &entry) {
        return now - entry.second.lastReportAt > reportValidMs;
    });
    struct Demand {
        double offeredLoad = 0;
        double limit = 0;
        double busy = 0;
        double newCallsPerS = 0;
        double declinedPerS = 0;
    };
    std::map<std::string, Demand> demands;
    m_calledServices.clear();
    for (const auto &[address, node] : m_nodes) {
        Demand &demand = demands[node.service];
        demand.offeredLoad += node.load.offeredLoad;
        demand.limit += node.load.limit;
        demand.busy += node.load.busy;
        demand.newCallsPerS += node.load.newCallsPerS;
        demand.declinedPerS += node.load.newCallsPerS * node.load.declinedShare;
        m_calledServices[node.service].insert(node.calledServices.begin(), node.calledServices.end());
    }
    for (const auto &[service, demand] : demands) {
        double excess = 0;
        if (demand.limit > 0) {
            const double backlog = std::clamp((demand.busy / demand.limit - 1 - minBacklog) / (maxBacklog - minBacklog), 0.0, 1.0);
            excess = demand.offeredLoad / demand.limit - (1 - headroomFactor / std::sqrt(demand.limit)) + backlogExcess * backlog;
        }
        advance(m_ownLevels[service], excess, seconds);
        const double declinedShare = demand.newCallsPerS > 0 ? demand.declinedPerS / demand.newCallsPerS : 0;
        m_retryShortage.update(service, demand.newCallsPerS, declinedShare, now);
    }
    m_levels.clear();
    for (const auto &[service, demand] : demands) {
        std::set<std::string> visited;
        std::set<std::string> visitedForRetries;
        m_levels.push_back({service,
                            highestLevel(service, visited),
                            m_ownLevels[service].value,
                            m_retryShortage.isShort(service),
                            callsShortOfRetries(service, visitedForRetries)});
    }
}

void LevelController::advance(Level &level, double excess, double seconds)
{
    const double rate = std::clamp((excess - demandReductionPerLevel * (level.value - level.effective)) * gainPerS, -maxLevelChangePerS, maxLevelChangePerS);
    level.value = std::clamp(level.value + rate * seconds, 0.0, maxLevel);
    level.effective += (level.value - level.effective) * std::min(1.0, seconds / effectDelayS);
}

double LevelController::highestLevel(const std::string &service, std::set<std::string> &visited) const
{
    if (!visited.insert(service).second) {
        return 0;
    }
    const auto own = m_ownLevels.find(service);
    double highest = own == m_ownLevels.end() ? 0 : own->second.value;
    if (const auto calls = m_calledServices.find(service); calls != m_calledServices.end()) {
        for (const std::string &called : calls->second) {
            highest = std::max(highest, highestLevel(called, visited));
        }
    }
    return highest;
}

bool LevelController::callsShortOfRetries(const std::string &service, std::set<std::string> &visited) const
{
    const auto calls = m_calledServices.find(service);
    if (!visited.insert(service).second || calls == m_calledServices.end()) {
        return false;
    }
    return std::any_of(calls->second.begin(), calls->second.end(), [&](const std::string &called) {
        return m_retryShortage.isShort(called) || callsShortOfRetries(called, visited);
    });
}
}
