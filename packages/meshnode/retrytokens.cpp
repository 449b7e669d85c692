#include "retrytokens.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Part of the shared budget that is used. A repeated request repeats its nested calls as well, and these count again.
constexpr double usedShare = 0.3;
constexpr double minCap = 1;
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
    return std::max(minCap, m_perWindow / m_nodes * savedShare + 2);
}

RetryTokens::Tokens &RetryTokens::refill(const std::string &service, double nowMs)
{
    Tokens &tokens = m_tokens[service];
    if (tokens.updatedMs == 0) {
        tokens.level = minCap;
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

bool RetryTokens::tryTake(const std::string &service, double nowMs)
{
    Tokens &tokens = refill(service, nowMs);
    if (tokens.level < 1) {
        return false;
    }
    tokens.level -= 1;
    return true;
}
}
