#include "admissionlevel.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Priorities that are told apart: 0 (first) to 2.
constexpr int lowestPriority = 2;
// Wait for a slot that is accepted: enough calls wait that no slot is idle, and latency goals are not in danger.
constexpr double targetWaitMs = 8;
// Change of the level per second for each multiple of the target that the wait exceeds, and its limit.
constexpr double risePerS = 0.8;
constexpr double maxRisePerS = 4;
constexpr double fallPerS = 0.5;
// The highest priority is always served to this part, so that the level can be observed.
constexpr double maxLevel = lowestPriority + 0.9;
constexpr double stepMs = 20;
constexpr double maxStepMs = 500;
}

AdmissionLevel::AdmissionLevel(Random random)
    : m_random(std::move(random))
{
}

void AdmissionLevel::observe(const std::string &service, double pressureMs, double nowMs)
{
    State &state = m_states[service];
    const double elapsed = nowMs - state.updatedMs;
    if (elapsed < stepMs) {
        return;
    }
    state.updatedMs = nowMs;
    const double seconds = std::min(elapsed, maxStepMs) / 1'000;
    const double excess = pressureMs / targetWaitMs - 1;
    const double rate = excess > 0 ? std::min(excess * risePerS, maxRisePerS) : excess * fallPerS;
    state.level = std::clamp(state.level + rate * seconds, 0.0, maxLevel);
}

bool AdmissionLevel::admits(const std::string &service, int priority)
{
    const double refused = level(service) - (lowestPriority - std::clamp(priority, 0, lowestPriority));
    return refused <= 0 || m_random.fraction() >= refused;
}

double AdmissionLevel::level(const std::string &service) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() ? 0 : found->second.level;
}
}
