#pragma once

#include "tokenstock.h"

namespace Yuccagrade
{
/// Node side of the quota: holds a stock of borrowed tokens per team and decides when to borrow from the coordinator.
class QuotaClient
{
public:
    QuotaClient(std::string id, std::uint64_t incarnation);
    /// Adds a request of @p tokens to the demand and tries to pay it. Returns false if it has to wait for an urgent borrow request.
    bool arrive(const std::string &team, double tokens, TimeMs now);
    /// Tries again to pay a waiting request. Returns true if it is paid.
    bool retry(const std::string &team, double tokens, TimeMs now);
    /// Ends the wait of a request that was paid or refused.
    void stopWaiting(const std::string &team, double tokens);
    /// Returns the borrow request to send to the coordinator, if one is due: at regular intervals, or early if requests wait.
    std::optional<BorrowRequest> poll(TimeMs now);
    /// Takes the response of the coordinator to the borrow request that was sent at @p sentAt.
    void answered(const BorrowResponse &response, TimeMs sentAt);

private:
    struct Team {
        TokenStock stock;
        double waiting = 0; ///< tokens needed by waiting requests
    };
    std::string m_id;
    std::uint64_t m_incarnation;
    std::string m_lender;
    std::map<std::string, Team> m_teams;
    TimeMs m_sentAt = -1; ///< sending time of the pending borrow request, -1 if none
    TimeMs m_nextRegularAt = 0;
    TimeMs m_nextUrgentAt = 0;
    bool m_pendingWantsTokens = false; ///< the pending borrow request asks for tokens
    TimeMs m_urgentInterval; ///< interval between urgent borrow requests; backs off while no tokens are lent
};
}
