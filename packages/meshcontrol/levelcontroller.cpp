#include "levelcontroller.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs updatePeriodMs = 100;
constexpr TimeMs reportValidMs = 1'000;
// Slots are kept free for fluctuations in proportion to the square root of the usable ones (square-root staffing): 8% of 54.
constexpr double headroom = 0.6;
constexpr double gainPerS = 2.0; // change of the level per second for the excess of the need
// A change of the level shows in the need after this time: reports, their smoothing, and requests that were let in before.
constexpr double effectDelayS = 0.7;
// Need that a level of 1 takes off, as a part of the slots. What changes of the last effectDelayS will take off is subtracted
// from the excess (a Smith predictor); without it the level swings between open and closed. The requests of one priority need
// between a third and all of the slots, and too small a value is the safer error.
constexpr double effectOfLevel = 0.5;
constexpr double maxRatePerS = 2.0;
// Excess that is assumed while calls queue. A caller that waits for a slot makes no further calls, so the need that is
// measured stays near the slots however great the shortage is.
constexpr double backlogExcess = 0.3;
// Queues, as multiples of the slots, from which and up to which the excess grows. Shorter ones are mere fluctuations: a call
// waits there for about as long as it runs.
constexpr double minBacklog = 1.0;
constexpr double maxBacklog = 2.0;
// Within this time after its first report a new leader hears all nodes that are alive.
constexpr TimeMs takeOverMs = 1'000;
// The highest priority is always served to a part, so that the shortage can be observed.
constexpr double maxLevel = 2.8;
constexpr double msPerSecond = 1'000;
}

void LevelController::report(const SyncMessage &message, TimeMs now)
{
    m_nodes[message.peerAddress] = {message.service, message.load, message.calledServices, now};
    if (m_firstReportAt == 0) {
        m_firstReportAt = now;
    }
    if (now - m_firstReportAt < takeOverMs) {
        double &own = m_own[message.service];
        own = std::max(own, std::min(message.ownLevel, maxLevel));
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
        return now - entry.second.heardAt > reportValidMs;
    });
    struct Need {
        double offered = 0;
        double limit = 0;
        double busy = 0;
    };
    std::map<std::string, Need> needs;
    m_calls.clear();
    for (const auto &[address, node] : m_nodes) {
        needs[node.service].offered += node.load.offered;
        needs[node.service].limit += node.load.limit;
        needs[node.service].busy += node.load.busy;
        m_calls[node.service].insert(node.calledServices.begin(), node.calledServices.end());
    }
    for (const auto &[service, need] : needs) {
        double excess = 0;
        if (need.limit > 0) {
            const double backlog = std::clamp((need.busy / need.limit - 1 - minBacklog) / (maxBacklog - minBacklog), 0.0, 1.0);
            excess = need.offered / need.limit - (1 - headroom / std::sqrt(need.limit)) + backlogExcess * backlog;
        }
        double &own = m_own[service];
        double &inEffect = m_inEffect.try_emplace(service, own).first->second;
        const double rate = std::clamp((excess - effectOfLevel * (own - inEffect)) * gainPerS, -maxRatePerS, maxRatePerS);
        own = std::clamp(own + rate * seconds, 0.0, maxLevel);
        inEffect += (own - inEffect) * std::min(1.0, seconds / effectDelayS);
    }
    m_levels.clear();
    for (const auto &[service, need] : needs) {
        std::set<std::string> seen;
        const double level = worstLevel(service, seen);
        m_levels.push_back({service, level, m_own[service]});
    }
}

double LevelController::worstLevel(const std::string &service, std::set<std::string> &seen) const
{
    if (!seen.insert(service).second) {
        return 0;
    }
    const auto own = m_own.find(service);
    double worst = own == m_own.end() ? 0 : own->second;
    if (const auto calls = m_calls.find(service); calls != m_calls.end()) {
        for (const std::string &called : calls->second) {
            worst = std::max(worst, worstLevel(called, seen));
        }
    }
    return worst;
}
}
