#pragma once

#include <map>
#include <set>
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
    /// Sets the services whose budget does not suffice, until @p untilMs. No calls of repeated runs arrive there, since their
    /// callers are not repeated, so the retries of their own calls may use more of the budget. The requests of the window before
    /// count too, so that the budget outlasts a fall of the requests that the failures cause.
    void setScarce(std::set<std::string> services, double untilMs);
    /// Adds the tokens for the first attempt of a request of @p service.
    void recordRequest(const std::string &service, double nowMs);
    /// Takes the tokens for a retry; returns false if there are too few. A retry costs more if the call may have made nested
    /// calls, which are then repeated. At a service with a scarce budget, only calls with a low @p rank (0 to 1) get tokens: a
    /// request whose calls all have the same rank then gets all retries that it needs, or none.
    bool tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs, double rank = 0);

private:
    struct Tokens {
        double available = 0;
        double updatedMs = 0;
        double requests = 0; ///< exponentially decayed count, approximates the requests of the last window
        double periodStartMs = 0;
        double earned = 0; ///< requests since periodStartMs, each of which added its tokens
        double expected = 0; ///< requests since periodStartMs at the rate of the window before
    };
    Tokens &refill(const std::string &service, double nowMs);
    bool isScarce(const std::string &service, double nowMs) const;
    double capacity(const Tokens &tokens, double share) const;

    double m_ratio;
    double m_perWindow;
    double m_windowMs;
    double m_nodes;
    std::set<std::string> m_scarce;
    double m_scarceUntilMs = 0;
    std::map<std::string, Tokens> m_tokens;
};
}
