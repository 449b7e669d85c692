#include "admissioncontrol.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Priorities that are told apart: 0 (first) to 2.
constexpr int lowestPriority = 2;
// Levels of a leader that was silent for this time say nothing.
constexpr double levelValidMs = 4'000;
}

AdmissionControl::AdmissionControl(Random random)
    : m_random(random)
{
}

void AdmissionControl::setLevels(const std::vector<ServiceLevel> &levels, double nowMs)
{
    m_levels.clear();
    for (const ServiceLevel &level : levels) {
        m_levels[level.service] = level;
    }
    m_updatedMs = nowMs;
}

// A request of the short service itself needs one call of it, where the others make a chain of calls: refusing it frees
// little. It is refused together with the next higher priority.
bool AdmissionControl::admits(const std::string &service, int priority, double nowMs)
{
    const auto found = m_levels.find(service);
    priority -= found != m_levels.end() && found->second.isOwn() ? 1 : 0;
    const double refused = level(service, nowMs) - (lowestPriority - std::clamp(priority, 0, lowestPriority));
    return refused <= 0 || m_random.fraction() >= refused;
}

double AdmissionControl::level(const std::string &service, double nowMs) const
{
    const auto found = m_levels.find(service);
    return found == m_levels.end() || nowMs - m_updatedMs > levelValidMs ? 0 : found->second.level;
}

double AdmissionControl::ownLevel(const std::string &service, double nowMs) const
{
    const auto found = m_levels.find(service);
    return found == m_levels.end() || nowMs - m_updatedMs > levelValidMs ? 0 : found->second.own;
}
}
