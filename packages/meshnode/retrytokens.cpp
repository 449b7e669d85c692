#include "retrytokens.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Part of the shared budget that is used by calls of one service; the rest is for the nested calls of repeated runs.
constexpr double usedShare = 0.5;
// Tokens for a second run with nested calls. Along a chain of three such services, the second runs use three quarters of
// what the last service's own repeated sends use.
constexpr double secondRunCost = 4;
constexpr double firstLevel = 1; // tokens of a service that is called for the first time
// Part of a window's tokens that may be saved up: a lost node ends all calls that it has at once.
constexpr double savedShare = 0.25;
// Until the number of nodes is known, the part of a node is that in a large fleet.
constexpr double assumedNodes = 100;
}

RetryTokens::RetryTokens(double ratio, double perWindow, double windowMs)
    : m_ratio(ratio * usedShare)
    , m_perWindow(perWindow * usedShare)
    , m_windowMs(windowMs)
    , m_nodes(assumedNodes)
{
}

void RetryTokens::setNodes(std::size_t nodes)
{
    m_nodes = static_cast<double>(std::max<std::size_t>(1, nodes));
}

double RetryTokens::cap(const Tokens &tokens) const
{
    return secondRunCost + savedShare * (m_perWindow / m_nodes + tokens.requests * m_ratio);
}

RetryTokens::Tokens &RetryTokens::refill(const std::string &service, double nowMs)
{
    Tokens &tokens = m_tokens[service];
    if (tokens.updatedMs == 0) {
        tokens.level = firstLevel;
    } else {
        const double windows = (nowMs - tokens.updatedMs) / m_windowMs;
        tokens.requests *= std::exp(-windows);
        tokens.level = std::min(cap(tokens), tokens.level + windows * m_perWindow / m_nodes);
    }
    tokens.updatedMs = nowMs;
    return tokens;
}

void RetryTokens::noteRequest(const std::string &service, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    tokens.requests += 1;
    tokens.level = std::min(cap(tokens), tokens.level + m_ratio);
}

bool RetryTokens::tryTake(const std::string &service, bool repeatsCalls, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    const double cost = repeatsCalls ? secondRunCost : 1;
    if (tokens.level < cost) {
        return false;
    }
    tokens.level -= cost;
    return true;
}
}
