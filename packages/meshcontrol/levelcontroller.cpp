#include "levelcontroller.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs updatePeriodMs = 100;
constexpr TimeMs reportValidMs = 1'000;
// Wait for a slot that is accepted: enough calls wait that no slot is idle, and latency goals are not in danger.
constexpr double targetWaitMs = 8;
// Change of the level per second for each multiple of the target that the wait exceeds, and its limit.
constexpr double risePerS = 0.5;
constexpr double maxRisePerS = 3;
constexpr double fallPerS = 0.4;
// The highest priority is always served to a part, so that the shortage can be observed.
constexpr double maxLevel = 2.8;
constexpr double msPerSecond = 1'000;
}

void LevelController::report(const SyncMessage &message, TimeMs now)
{
    m_nodes[message.peerAddress] = {message.service, message.load, message.calledServices, now};
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
    struct Sum {
        double wait = 0;
        double limit = 0;
    };
    std::map<std::string, Sum> waits;
    m_calls.clear();
    for (const auto &[address, node] : m_nodes) {
        waits[node.service].wait += node.load.waitMs * node.load.limit;
        waits[node.service].limit += node.load.limit;
        m_calls[node.service].insert(node.calledServices.begin(), node.calledServices.end());
    }
    for (const auto &[service, sum] : waits) {
        const double wait = sum.limit > 0 ? sum.wait / sum.limit : 0;
        const double excess = wait / targetWaitMs - 1;
        const double rate = excess > 0 ? std::min(excess * risePerS, maxRisePerS) : excess * fallPerS;
        m_own[service] = std::clamp(m_own[service] + rate * seconds, 0.0, maxLevel);
    }
    m_levels.clear();
    for (const auto &[service, sum] : waits) {
        std::set<std::string> seen;
        m_levels.push_back({service, worstLevel(service, seen)});
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
