#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// How much to ask one coordinator for.
struct BorrowAsk {
    std::string peer;
    double amount = 0;
};

/// Decides for one team which other coordinators to ask when the own domain is short.
class BorrowPolicy
{
public:
    /// Splits @p shortfall over @p peers, more to those that lent much lately. Peers with an ask under way are left out
    /// and their amounts are subtracted.
    std::vector<BorrowAsk> plan(double shortfall, const std::vector<std::string> &peers, TimeMs now);
    /// The peer lent @p amount.
    void answered(const std::string &peer, double amount);

private:
    struct Peer {
        double yield = 1; ///< moving average of lent over asked
        double asked = 0; ///< amount under way
        TimeMs askedAt = 0;
    };
    std::map<std::string, Peer> m_peers;
};
}
