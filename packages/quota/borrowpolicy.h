#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Number of tokens to request from one coordinator.
struct PeerRequest {
    std::string peer;
    double amount = 0;
};

/// Decides for one team how many tokens to request from each other coordinator when the own domain is short of tokens.
class BorrowPolicy
{
public:
    /// Splits @p shortfall over @p peers in proportion to their recent yield. Peers with a pending request are left out, and
    /// what they are expected to lend is subtracted.
    std::vector<PeerRequest> plan(double shortfall, const std::vector<std::string> &peers, TimeMs now);
    /// Records that the peer lent @p amount in response to the pending request.
    void answered(const std::string &peer, double amount);

private:
    struct Peer {
        double yield = 1; ///< moving average of the lent part of the requested tokens
        double requested = 0; ///< tokens in the pending request, 0 if there is none
        TimeMs requestedAt = 0;
    };
    std::map<std::string, Peer> m_peers;
};
}
