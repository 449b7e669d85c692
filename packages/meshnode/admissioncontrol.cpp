#include "admissioncontrol.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Priorities range from 0 (highest) to 2; larger values are treated as 2.
constexpr int lowestPriority = 2;
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

// A request to the overloaded service itself causes one call, a request to a service that calls it causes a chain of calls.
// Refusing the former frees little capacity, so its priority is raised by one step.
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
