#pragma once

#include <map>
#include <string>

namespace Yuccagrade::Mesh
{
/// Bounds how often calls of a service are sent again. All nodes together share a budget of a ratio of the service's
/// requests and a fixed number in each window; every node uses its own part of both without asking.
class RetryBudget
{
public:
    /// @param ratio sends beyond the first per request; @param perWindow fixed number of all nodes per window.
    RetryBudget(double ratio, double perWindow, double windowMs);

    void setNodes(std::size_t nodes);
    /// A request of @p service was sent for the first time.
    void noteRequest(const std::string &service, double nowMs);
    /// Takes what another send costs, if it is there. It costs more if the call may have made nested calls, which the second
    /// run repeats.
    bool tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs);

private:
    struct Tokens {
        double available = 0;
        double updatedMs = 0;
        double requests = 0; ///< about those of the last window
    };
    Tokens &refill(const std::string &service, double nowMs);
    double capacity(const Tokens &tokens) const;

    double m_ratio;
    double m_perWindow;
    double m_windowMs;
    double m_nodes;
    std::map<std::string, Tokens> m_tokens;
};
}
