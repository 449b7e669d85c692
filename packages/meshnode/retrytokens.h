#pragma once

#include <map>
#include <set>
#include <string>

namespace Yuccagrade::Mesh
{
/// Limits the retries of a service's calls by a token bucket. The budget of all nodes together in each window is a ratio of
/// the service's requests plus a fixed number. Each node uses its part of both without coordination. Requests of the window
/// before count too, so that the budget outlasts a sudden fall of the requests, such as one caused by failures.
class RetryBudget
{
public:
    /// @param ratio retries per request; @param perWindow fixed number of retries of all nodes per window.
    RetryBudget(double ratio, double perWindow, double windowMs);

    /// Sets the number of nodes that share the fixed number of retries.
    void setNodes(std::size_t nodes);
    /// Sets the services at which no calls of repeated runs arrive at present, since their callers are not repeated. The
    /// retries of their own calls may then use most of the budget.
    void setExclusive(std::set<std::string> services);
    /// Adds the tokens for the first attempt of a request of @p service.
    void recordRequest(const std::string &service, double nowMs);
    /// Takes the tokens for a retry; returns false if there are too few. A retry costs more if the call may have made nested
    /// calls, which are then repeated. While tokens are scarce, only calls with a low @p rank (0 to 1) get them: a request
    /// whose calls all have the same rank then gets all retries that it needs, or none.
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
    double shareOf(const std::string &service) const;
    double capacity(const Tokens &tokens, double share) const;

    double m_ratio;
    double m_perWindow;
    double m_windowMs;
    double m_nodes;
    std::set<std::string> m_exclusive;
    std::map<std::string, Tokens> m_tokens;
};
}
