#include "retrytokens.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Fraction of the shared budget for the retries of a service's calls; the rest is for nested calls that a retry of their
// caller repeats.
constexpr double directShare = 0.5;
// Tokens for a retry that repeats nested calls. In a chain of three services with nested calls, the calls repeated by these
// retries amount to three quarters of the last service's own retries.
constexpr double nestedRetryCost = 4;
constexpr double initialTokens = 1; // for a service at its first call
// Fraction of a window's tokens that the bucket holds, for bursts of retries: a failed node ends all its calls at once.
constexpr double burstShare = 0.25;
// Number of nodes until the actual one is known. A large number keeps the part of each node small.
constexpr double assumedNodes = 100;
}

RetryBudget::RetryBudget(double ratio, double perWindow, double windowMs)
    : m_ratio(ratio * directShare)
    , m_perWindow(perWindow * directShare)
    , m_windowMs(windowMs)
    , m_nodes(assumedNodes)
{
}

void RetryBudget::setNodes(std::size_t nodes)
{
    m_nodes = static_cast<double>(std::max<std::size_t>(1, nodes));
}

double RetryBudget::capacity(const Tokens &tokens) const
{
    return nestedRetryCost + burstShare * (m_perWindow / m_nodes + tokens.requests * m_ratio);
}

RetryBudget::Tokens &RetryBudget::refill(const std::string &service, double nowMs)
{
    Tokens &tokens = m_tokens[service];
    if (tokens.updatedMs == 0) {
        tokens.available = initialTokens;
    } else {
        const double windows = (nowMs - tokens.updatedMs) / m_windowMs;
        tokens.requests *= std::exp(-windows);
        tokens.available = std::min(capacity(tokens), tokens.available + windows * m_perWindow / m_nodes);
    }
    tokens.updatedMs = nowMs;
    return tokens;
}

void RetryBudget::recordRequest(const std::string &service, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    tokens.requests += 1;
    tokens.available = std::min(capacity(tokens), tokens.available + m_ratio);
}

bool RetryBudget::tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    const double cost = repeatsNestedCalls ? nestedRetryCost : 1;
    if (tokens.available < cost) {
        return false;
    }
    tokens.available -= cost;
    return true;
}
}
