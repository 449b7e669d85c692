#pragma once

#include "borrowpolicy.h"
#include "shareledger.h"
#include "tokenbucket.h"
#include "tokenstock.h"

namespace Yuccagrade
{
/// Coordinator side: mints tokens for a domain, lends them to nodes and other coordinators, and borrows when short.
class QuotaDesk
{
public:
    /// @param identity id and incarnation of the process; loans are numbered per identity.
    QuotaDesk(std::string identity, TimeMs now, double clockMargin = TokenBucket::defaultClockMargin);

    /// The manifest at state @p index gives @p team these limits for the whole fleet.
    void setLimits(const std::string &team, std::uint64_t index, const TokenLimits &limits, TimeMs now);
    /// Takes a share from a response to a sync request that was sent at @p sentAt.
    void takeShare(const ShareMessage &grant, TimeMs sentAt, TimeMs now);
    /// Stops lending for good and returns the report that hands the share back.
    ShareMessage handBack(TimeMs now);
    const ShareHolder &share() const
    {
        return m_share;
    }

    /// Answers a borrower.
    BorrowResponse answer(const BorrowRequest &request, TimeMs now);
    /// Returns the requests to send to other coordinators now, by id. To be called every 10 to 50 ms and when an answer
    /// fell short of what a node wanted.
    std::map<std::string, BorrowRequest> asks(const std::vector<std::string> &peers, TimeMs now);
    /// Takes the response of coordinator @p peer to a request that was sent at @p sentAt.
    void answered(const std::string &peer, const BorrowResponse &response, TimeMs sentAt, TimeMs now);
    /// True if some node did not get what it wanted since the last call of asks().
    bool isShort() const
    {
        return m_short;
    }

private:
    struct NodeDemand {
        double perSecond = 0;
        TimeMs at = 0;
    };
    struct Team {
        LimitHistory limits;
        TokenBucket bucket;
        TokenStock stock;
        BorrowPolicy policy;
        std::map<std::string, NodeDemand> demand;
        double unmet = 0; ///< wanted by nodes since the last asks()
    };
    void refresh(TimeMs now);
    void applyLimits(TimeMs time);
    void settle(Team &team, const BorrowItem &item, TimeMs now);
    void lendToNode(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans);
    void lendToCoordinator(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans);
    double shortfall(Team &team, TimeMs now);
    static double demand(Team &team, TimeMs now);

    std::string m_identity;
    double m_margin;
    TimeMs m_startedAt;
    TimeMs m_refreshedAt;
    ShareHolder m_share;
    std::map<std::string, Team> m_teams;
    std::map<std::string, std::string> m_lenders; ///< identity by peer id
    TimeMs m_reportAt = 0;
    std::uint64_t m_nextLoan = 1;
    bool m_short = false;
};
}
