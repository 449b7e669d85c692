#pragma once

#include "tokenstock.h"

namespace Yuccagrade
{
/// Node side: keeps a stock of every team's tokens and decides when to borrow.
class QuotaClient
{
public:
    QuotaClient(std::string id, std::uint64_t incarnation);
    /// Counts a request of @p tokens and tries to pay it. Returns false if it has to wait for an urgent borrow.
    bool arrive(const std::string &team, double tokens, TimeMs now);
    /// Tries again to pay a waiting request.
    bool retry(const std::string &team, double tokens, TimeMs now);
    /// A waiting request was paid or refused.
    void stopWaiting(const std::string &team, double tokens);
    /// Returns the request to send to the coordinator, if one is due: regularly, or at once if a request waits.
    std::optional<BorrowRequest> poll(TimeMs now);
    void answered(const BorrowResponse &response, TimeMs sentAt);

private:
    struct Team {
        TokenStock stock;
        double waiting = 0; ///< tokens that waiting requests need
    };
    std::string m_id;
    std::uint64_t m_incarnation;
    std::string m_lender;
    std::map<std::string, Team> m_teams;
    TimeMs m_sentAt = -1; ///< sending time of the request under way, -1 if none
    TimeMs m_regularAt = 0;
    TimeMs m_urgentAt = 0;
    bool m_wanted = false; ///< the request under way asks for tokens
    TimeMs m_urgentGap; ///< time between urgent asks; grows while they yield nothing
};
}
