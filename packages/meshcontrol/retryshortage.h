#pragma once

#include "base/clock.h"

#include <functional>
#include <map>
#include <string>

namespace Yuccagrade::Mesh
{
/// Decides whether the retry budget of a service lets its calls succeed. Load that it answers: all upstreams of a service
/// decline a large part of their calls although they have free slots. The nodes then spend the budget on the calls of few
/// requests, see RetryBudget, and do not repeat the requests that fail.
class RetryShortage
{
public:
    /// Called when a shortage begins or ends.
    std::function<void(const std::string &service, bool isShort)> onChanged;

    RetryShortage() = default;
    /// @param ratio retries per request; @param perWindow fixed number of retries of all nodes per window.
    RetryShortage(double ratio, double perWindow, TimeMs windowMs);

    /// Sets the first attempts per second of all nodes at a service, and the share of all attempts that it declines.
    void update(const std::string &service, double callsPerS, double declinedShare, TimeMs now);
    /// Returns false for a service that was left out of the last updates, since none of its nodes reports.
    bool isShort(const std::string &service) const;

private:
    struct Calls {
        double perS = 0; ///< mean of about the last window
        TimeMs updatedAt = 0;
        bool isShort = false;
    };
    double m_ratio = 0;
    double m_perS = 0; ///< fixed number of retries per second
    TimeMs m_windowMs = 0;
    TimeMs m_updatedAt = 0; ///< of the services that are reported at present
    std::map<std::string, Calls> m_calls;
};
}
