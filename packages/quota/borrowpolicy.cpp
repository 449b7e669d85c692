#include "borrowpolicy.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// Lower bound of the weight: a peer that lent nothing still gets small requests, so that its recovery is detected.
constexpr double minYield = 0.05;
constexpr double yieldGain = 0.3;
// Timeout of a request to a peer; a round trip between regions takes far less.
constexpr TimeMs requestTimeoutMs = 100;
}

std::vector<PeerRequest> BorrowPolicy::plan(double shortfall, const std::vector<std::string> &peers, TimeMs now)
{
    double yieldSum = 0;
    std::vector<std::string> available;
    for (const std::string &name : peers) {
        Peer &peer = m_peers[name];
        if (peer.requested > 0 && now - peer.requestedAt < requestTimeoutMs) {
            shortfall -= peer.requested * peer.yield;
            continue;
        }
        if (peer.requested > 0) {
            answered(name, 0);
        }
        available.push_back(name);
        yieldSum += std::max(peer.yield, minYield);
    }
    std::vector<PeerRequest> peerRequests;
    if (shortfall <= 0) {
        return peerRequests;
    }
    for (const std::string &name : available) {
        Peer &peer = m_peers[name];
        peer.requested = shortfall * std::max(peer.yield, minYield) / yieldSum;
        peer.requestedAt = now;
        peerRequests.push_back({name, peer.requested});
    }
    return peerRequests;
}

void BorrowPolicy::answered(const std::string &peer, double amount)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.requested <= 0) {
        return;
    }
    Peer &known = found->second;
    known.yield += yieldGain * (std::min(1.0, amount / known.requested) - known.yield);
    known.requested = 0;
}
}
