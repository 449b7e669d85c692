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
// The same for a service with a scarce budget, at which no such calls arrive. Random arrivals and short pulses let requests count up
// to 1.3 times there, since both their own window and the one after it grant tokens.
constexpr double scarceShare = 0.65;
// Tokens for a retry that repeats nested calls. In a chain of three services with nested calls, the calls repeated by these
// retries amount to three quarters of the last service's own retries.
constexpr double nestedRetryCost = 4;
constexpr double initialTokens = 1; // for a service at its first call
// Fraction of a window's tokens that the bucket holds, for bursts of retries: a failed node ends all its calls at once.
constexpr double burstShare = 0.25;
// Part of a window after which the requests are compared with those of the window before.
constexpr double periodShare = 0.1;
// Below this part of the capacity, tokens are withheld by rank. The share of the calls that may take them falls with the rest, so it
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

void RetryBudget::setScarce(std::set<std::string> services, double untilMs)
{
    m_scarce = std::move(services);
    m_scarceUntilMs = untilMs;
}

bool RetryBudget::isScarce(const std::string &service, double nowMs) const
{
    return nowMs < m_scarceUntilMs && m_scarce.contains(service);
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
        const bool scarce = isScarce(service, nowMs);
        const double share = scarce ? scarceShare : directShare;
        const double windows = (nowMs - tokens.updatedMs) / m_windowMs;
        const double kept = std::exp(-windows);
        tokens.expected += tokens.requests * (1 - kept);
        tokens.requests *= kept;
        tokens.available += windows * share * m_perWindow / m_nodes;
        if (nowMs - tokens.periodStartMs >= m_windowMs * periodShare) {
            tokens.available += scarce ? std::max(0.0, tokens.expected - tokens.earned) * share * m_ratio : 0;
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
    const double share = isScarce(service, nowMs) ? scarceShare : directShare;
    tokens.requests += 1;
    tokens.earned += 1;
    tokens.available = std::min(capacity(tokens, share), tokens.available + share * m_ratio);
}

bool RetryBudget::tryTake(const std::string &service, bool repeatsNestedCalls, double nowMs, double rank)
{
    Tokens &tokens = refill(service, nowMs);
    const double cost = repeatsNestedCalls ? nestedRetryCost : 1;
    const double fill = tokens.available / capacity(tokens, scarceShare);
    if (tokens.available < cost || (isScarce(service, nowMs) && rank > fill / scarceFill)) {
        return false;
    }
    tokens.available -= cost;
    return true;
}
}
