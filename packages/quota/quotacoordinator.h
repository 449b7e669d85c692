#pragma once

#include "borrowpolicy.h"
#include "shareledger.h"
#include "tokenbucket.h"
#include "tokenstock.h"

namespace Yuccagrade
{
/// Coordinator side of the quota: fills the token buckets of a domain, lends tokens to nodes and other coordinators, and borrows
/// from other coordinators when the domain is short of tokens.
class QuotaCoordinator
{
public:
    /// @param identity id and incarnation of the process; loans are numbered per identity.
    QuotaCoordinator(std::string identity, TimeMs now, double clockMargin = TokenBucket::defaultClockMargin);

    /// Applies the limits of @p team for the whole fleet from the manifest at state @p index.
    void setLimits(const std::string &team, std::uint64_t index, const TokenLimits &limits, TimeMs now);
    /// Applies a share from the response to a sync request that was sent at @p sentAt.
    void takeShare(const ShareMessage &grant, TimeMs sentAt, TimeMs now);
    /// Gives up the share permanently and returns the report that tells the leader.
    ShareMessage handBack(TimeMs now);
    const ShareHolder &share() const
    {
        return m_share;
    }

    /// Handles a borrow request: applies its loan reports and lends tokens.
    BorrowResponse answer(const BorrowRequest &request, TimeMs now);
    /// Returns the borrow requests to send now, by id of the other coordinator. To be called every 10 to 50 ms, and at once if
    /// hasUnmetDemand().
    std::map<std::string, BorrowRequest> borrowRequests(const std::vector<std::string> &peers, TimeMs now);
    /// Takes the response of coordinator @p peer to a borrow request that was sent at @p sentAt.
    void answered(const std::string &peer, const BorrowResponse &response, TimeMs sentAt, TimeMs now);
    /// Returns true if a node got fewer tokens than it wanted since the last call of borrowRequests().
    bool hasUnmetDemand() const
    {
        return m_hasUnmetDemand;
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
        double unmet = 0; ///< tokens that nodes wanted but did not get since the last borrowRequests()
    };
    /// Applies the drops of the share since the last call, each at its own time.
    void applyShareDrops(TimeMs now);
    void applyLimits(TimeMs time);
    void settle(Team &team, const BorrowItem &item, TimeMs now);
    void lendToNode(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans);
    void lendToCoordinator(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans);
    double shortfall(Team &team, TimeMs now);
    static double demand(Team &team, TimeMs now);

    std::string m_identity;
    double m_clockMargin;
    TimeMs m_startedAt;
    TimeMs m_appliedUntil;
    ShareHolder m_share;
    std::map<std::string, Team> m_teams;
    std::map<std::string, std::string> m_lenders; ///< identity of the lending process by peer id
    TimeMs m_nextReportAt = 0;
    std::uint64_t m_nextLoanId = 1;
    bool m_hasUnmetDemand = false;
};
}
