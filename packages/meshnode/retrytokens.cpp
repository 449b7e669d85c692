#include "retrytokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Fraction of the shared budget for the retries of a service's calls; the rest is for nested calls that a retry of their
// caller repeats.
constexpr double directShare = 0.5;
// The same for a service at which no such calls arrive. The rest covers the tokens of requests that count twice, since both
// their own window and the one after it grant them.
constexpr double exclusiveShare = 0.75;
// Tokens for a retry that repeats nested calls. In a chain of three services with nested calls, the calls repeated by these
// retries amount to three quarters of the last service's own retries.
constexpr double nestedRetryCost = 4;
constexpr double initialTokens = 1; // for a service at its first call
// Fraction of a window's tokens that the bucket holds, for bursts of retries: a failed node ends all its calls at once.
constexpr double burstShare = 0.25;
// Part of a window after which the requests are compared with those of the window before.
constexpr double periodShare = 0.1;
// Below this part of the capacity the tokens are scarce. The share of the calls that may take them falls with the rest, so it
// settles where the calls need what the budget yields.
constexpr double scarceFill = 0.5;
// Number of nodes until the actual one is known. A large number keeps the part of each node small.
constexpr double assumedNodes = 100;
}

RetryBudget::RetryBudget(double ratio, double perWindow, double windowMs)
    : m_ratio(ratio)
    , m_perWindow(perWindow)
    , m_windowMs(windowMs)
    , m_nodes(assumedNodes)
{
}

void RetryBudget::setNodes(std::size_t nodes)
{
    m_nodes = static_cast<double>(std::max<std::size_t>(1, nodes));
}

void RetryBudget::setExclusive(std::set<std::string> services)
{
    m_exclusive = std::move(services);
}

double RetryBudget::shareOf(const std::string &service) const
{
    return m_exclusive.contains(service) ? exclusiveShare : directShare;
}

double RetryBudget::capacity(const Tokens &tokens, double share) const
{
    return nestedRetryCost + burstShare * share * (m_perWindow / m_nodes + tokens.requests * m_ratio);
}

RetryBudget::Tokens &RetryBudget::refill(const std::string &service, double nowMs)
{
    Tokens &tokens = m_tokens[service];
    if (tokens.updatedMs == 0) {
        tokens.available = initialTokens;
        tokens.periodStartMs = nowMs;
    } else {
        const double share = shareOf(service);
        const double windows = (nowMs - tokens.updatedMs) / m_windowMs;
        const double kept = std::exp(-windows);
        tokens.expected += tokens.requests * (1 - kept);
        tokens.requests *= kept;
        tokens.available += windows * share * m_perWindow / m_nodes;
        if (nowMs - tokens.periodStartMs >= m_windowMs * periodShare) {
            tokens.available += std::max(0.0, tokens.expected - tokens.earned) * share * m_ratio;
            tokens.expected = 0;
            tokens.earned = 0;
            tokens.periodStartMs = nowMs;
        }
        tokens.available = std::min(capacity(tokens, share), tokens.available);
    }
    tokens.updatedMs = nowMs;
    return tokens;
}

void RetryBudget::recordRequest(const std::string &service, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    const double share = shareOf(service);
    tokens.requests += 1;
    tokens.earned += 1;
    tokens.available = std::min(capacity(tokens, share), tokens.available + share * m_ratio);
}

bool RetryBudget::tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs, double rank)
{
    Tokens &tokens = refill(service, nowMs);
    const double cost = repeatsNestedCalls ? nestedRetryCost : 1;
    const double fill = tokens.available / capacity(tokens, shareOf(service));
    if (tokens.available < cost || rank > fill / scarceFill) {
        return false;
    }
    tokens.available -= cost;
    return true;
}
}
