#pragma once

#include "base/random.h"

#include <map>
#include <string>

namespace Yuccagrade::Mesh
{
/// Decides which new requests of a service enter, by the waits that answers report for the service and all that it
/// calls. The lowest priority is refused first; a request that was let in is never refused by it again.
class AdmissionLevel
{
public:
    explicit AdmissionLevel(Random random);

    /// Follows the wait of @p service; call it for each request.
    void observe(const std::string &service, double pressureMs, double nowMs);
    /// Returns whether a new request of @p priority enters.
    bool admits(const std::string &service, int priority);
    /// Present level: 0 admits all, n refuses all requests of the n lowest priorities.
    double level(const std::string &service) const;

private:
    struct State {
        double level = 0;
        double updatedMs = 0;
    };
    Random m_random;
    std::map<std::string, State> m_states;
};
}
