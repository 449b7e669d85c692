#pragma once

#include <map>
#include <string>

namespace Yuccagrade::Mesh
{
/// Limits the retries of a service's calls by a token bucket. The budget of all nodes together in each window is a ratio of
/// the service's requests plus a fixed number. Each node uses its part of both without coordination.
class RetryBudget
{
public:
    /// @param ratio retries per request; @param perWindow fixed number of retries of all nodes per window.
    RetryBudget(double ratio, double perWindow, double windowMs);

    /// Sets the number of nodes that share the fixed number of retries.
    void setNodes(std::size_t nodes);
    /// Adds the tokens for the first attempt of a request of @p service.
    void recordRequest(const std::string &service, double nowMs);
    /// Takes the tokens for a retry; returns false if there are too few. A retry costs more if the call may have made nested
    /// calls, which are then repeated.
    bool tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs);

private:
    struct Tokens {
        double available = 0;
        double updatedMs = 0;
        double requests = 0; ///< exponentially decayed count, approximates the requests of the last window
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
