#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "mesh/messages.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Levels are ignored after this time without an update of the leader.
constexpr double levelValidMs = 4'000;

/// Admits or refuses new requests by the level that the leader computed for their service and the services that it calls.
/// The lowest priority is refused first. Admitted requests, including their nested calls, are not checked again.
class AdmissionControl
{
public:
    explicit AdmissionControl(Random random);

    /// Replaces the levels with those of the leader.
    void setLevels(const std::vector<ServiceLevel> &levels, double nowMs);
    /// Returns true if a new request of @p priority is admitted.
    bool admits(const std::string &service, int priority, double nowMs);
    /// Level of @p service, 0 if outdated. Each step of 1 refuses one more priority; a fraction is a probability.
    double level(const std::string &service, double nowMs) const;
    /// Time since the last levels of the leader.
    double ageMs(double nowMs) const
    {
        return nowMs - m_updatedMs;
    }
    /// Level that @p service needs for its own slots, without those of the services that it calls; 0 if outdated.
    double ownLevel(const std::string &service, double nowMs) const;

private:
    Random m_random;
    std::map<std::string, ServiceLevel> m_levels;
    double m_updatedMs = 0;
};
}
