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
// Change of the level per second for the excess of the need. Requests that were let in go on calling for about a second,
// so a faster controller overshoots.
constexpr double gainPerS = 2.0;
constexpr double maxRatePerS = 2.0;
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
    struct Need {
        double offered = 0;
        double limit = 0;
    };
    std::map<std::string, Need> needs;
    m_calls.clear();
    for (const auto &[address, node] : m_nodes) {
        needs[node.service].offered += node.load.offered;
        needs[node.service].limit += node.load.limit;
        m_calls[node.service].insert(node.calledServices.begin(), node.calledServices.end());
    }
    for (const auto &[service, need] : needs) {
        const double excess = need.limit > 0 ? need.offered / need.limit - (1 - headroom / std::sqrt(need.limit)) : 0;
        const double rate = std::clamp(excess * gainPerS, -maxRatePerS, maxRatePerS);
        m_own[service] = std::clamp(m_own[service] + rate * seconds, 0.0, maxLevel);
    }
    m_levels.clear();
    for (const auto &[service, need] : needs) {
        std::set<std::string> seen;
        const double level = worstLevel(service, seen);
        m_levels.push_back({service, level, m_own[service] >= level});
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
