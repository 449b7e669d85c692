#include "borrowpolicy.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// A peer that lent nothing is still asked for a little, so that its recovery is noticed.
constexpr double lowestYield = 0.05;
constexpr double yieldGain = 0.3;
// An ask without answer for this time is given up; a round trip between regions takes far less.
constexpr TimeMs askTimeoutMs = 100;
}

std::vector<BorrowAsk> BorrowPolicy::plan(double shortfall, const std::vector<std::string> &peers, TimeMs now)
{
    double weights = 0;
    std::vector<std::string> idle;
    for (const std::string &name : peers) {
        Peer &peer = m_peers[name];
        if (peer.asked > 0 && now - peer.askedAt < askTimeoutMs) {
            shortfall -= peer.asked * peer.yield;
            continue;
        }
        if (peer.asked > 0) {
            answered(name, 0);
        }
        idle.push_back(name);
        weights += std::max(peer.yield, lowestYield);
    }
    std::vector<BorrowAsk> asks;
    if (shortfall <= 0) {
        return asks;
    }
    for (const std::string &name : idle) {
        Peer &peer = m_peers[name];
        peer.asked = shortfall * std::max(peer.yield, lowestYield) / weights;
        peer.askedAt = now;
        asks.push_back({name, peer.asked});
    }
    return asks;
}

void BorrowPolicy::answered(const std::string &peer, double amount)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.asked <= 0) {
        return;
    }
    Peer &known = found->second;
    known.yield += yieldGain * (std::min(1.0, amount / known.asked) - known.yield);
    known.asked = 0;
}
}
