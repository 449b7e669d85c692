#include "retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Part of the shared budget that is used by calls of one service; the rest is for the nested calls of repeated runs.
constexpr double directShare = 0.5;
// Tokens for a second run with nested calls. Along a chain of three such services, the second runs use three quarters of
// what the last service's own repeated sends use.
constexpr double nestedRetryCost = 4;
constexpr double initialTokens = 1; // tokens of a service that is called for the first time
// Part of a window's tokens that may be saved up: a lost node ends all calls that it has at once.
constexpr double burstShare = 0.25;
// Until the number of nodes is known, the part of a node is that in a large fleet.
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

void RetryBudget::noteRequest(const std::string &service, double nowMs)
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
