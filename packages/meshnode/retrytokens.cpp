#include "retrytokens.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Part of the shared budget that is used by calls of one service; the rest is for the nested calls of repeated runs.
constexpr double usedShare = 0.6;
// Tokens for another send of a call that may have run. Along a chain of three services with nested calls, the repeated
// runs use as much as the last service's own repeated sends.
constexpr double secondRunCost = 3;
constexpr double firstLevel = 1; // tokens of a service that is called for the first time
// Tokens from requests that may be saved up, in ms of the window.
constexpr double savedShare = 0.1;
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

double RetryTokens::cap() const
{
    return std::max(secondRunCost, m_perWindow / m_nodes * savedShare + 2);
}

RetryTokens::Tokens &RetryTokens::refill(const std::string &service, double nowMs)
{
    Tokens &tokens = m_tokens[service];
    if (tokens.updatedMs == 0) {
        tokens.level = firstLevel;
    } else {
        tokens.level = std::min(cap(), tokens.level + (nowMs - tokens.updatedMs) * m_perWindow / m_nodes / m_windowMs);
    }
    tokens.updatedMs = nowMs;
    return tokens;
}

void RetryTokens::noteRequest(const std::string &service, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    tokens.level = std::min(cap(), tokens.level + m_ratio);
}

bool RetryTokens::tryTake(const std::string &service, bool mayHaveRun, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    const double cost = mayHaveRun ? secondRunCost : 1;
    if (tokens.level < cost) {
        return false;
    }
    tokens.level -= cost;
    return true;
}
}
