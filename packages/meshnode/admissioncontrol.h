#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "mesh/messages.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Decides which new requests of a service enter, by the levels that the leader found for the service and all that it
/// calls. The lowest priority is refused first; a request that was let in is never refused by it again.
class AdmissionControl
{
public:
    explicit AdmissionControl(Random random);

    /// Takes the leader's levels.
    void setLevels(const std::vector<ServiceLevel> &levels, double nowMs);
    /// Returns whether a new request of @p priority enters.
    bool admits(const std::string &service, int priority, double nowMs);
    /// Present level of @p service; 0 once the leader was silent for a while.
    double level(const std::string &service, double nowMs) const;
    /// Time since the leader's levels came.
    double ageMs(double nowMs) const
    {
        return nowMs - m_updatedMs;
    }
    /// Present level by the need of the slots of @p service alone; 0 once the leader was silent for a while.
    double ownLevel(const std::string &service, double nowMs) const;

private:
    Random m_random;
    std::map<std::string, ServiceLevel> m_levels;
    double m_updatedMs = 0;
};
}
