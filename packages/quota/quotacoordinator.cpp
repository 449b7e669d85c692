#include "quotacoordinator.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// The demand of a node is dropped if it has sent no request for this time.
constexpr TimeMs demandTimeoutMs = 1'000;
// Demand of the domain that own and borrowed tokens should cover: several round trips between coordinators.
constexpr double targetSeconds = 0.1;
// Demand of the own domain that is not lent to other domains, so that its next requests need no borrowing.
constexpr double reserveSeconds = 0.05;
// Part of the available tokens that one borrow request may add to the stock of a node.
constexpr double maxStockPart = 0.1;
// Interval of loan reports. Until it is reported, a spent token counts against the lender's burst.
constexpr TimeMs reportIntervalMs = 50;
}

QuotaCoordinator::QuotaCoordinator(std::string identity, TimeMs now, double clockMargin)
    : m_identity(std::move(identity))
    , m_clockMargin(clockMargin)
    , m_startedAt(now)
    , m_appliedUntil(now)
{
}

void QuotaCoordinator::setLimits(const std::string &team, std::uint64_t index, const TokenLimits &limits, TimeMs now)
{
    applyShareDrops(now);
    m_teams.try_emplace(team, Team{{}, TokenBucket(std::max(now, m_startedAt), m_clockMargin), {}, {}, {}, 0}).first->second.limits.change(index, limits);
    applyLimits(now);
}

void QuotaCoordinator::takeShare(const ShareMessage &grant, TimeMs sentAt, TimeMs now)
{
    applyShareDrops(now);
    m_share.accept(grant, sentAt, now);
    for (auto &[name, team] : m_teams) {
        team.limits.confirm(grant.confirmedIndex);
    }
    applyLimits(now);
}

ShareMessage QuotaCoordinator::handBack(TimeMs now)
{
    applyShareDrops(now);
    const ShareMessage message = m_share.handBack();
    applyLimits(now);
    return message;
}

BorrowResponse QuotaCoordinator::answer(const BorrowRequest &request, TimeMs now)
{
    applyShareDrops(now);
    BorrowResponse response;
    response.lender = m_identity;
    for (const BorrowItem &item : request.items) {
        const auto found = m_teams.find(item.team);
        if (found == m_teams.end()) {
            continue;
        }
        Team &team = found->second;
        if (request.lender == m_identity) {
            settle(team, item, now);
        }
        if (request.coordinator) {
            lendToCoordinator(team, item, now, response.loans);
        } else {
            team.demand[request.id] = {item.demand, now};
            lendToNode(team, item, now, response.loans);
        }
    }
    return response;
}

std::map<std::string, BorrowRequest> QuotaCoordinator::borrowRequests(const std::vector<std::string> &peers, TimeMs now)
{
    applyShareDrops(now);
    m_hasUnmetDemand = false;
    const bool reporting = now >= m_nextReportAt;
    m_nextReportAt = reporting ? now + reportIntervalMs : m_nextReportAt;
    std::map<std::string, BorrowRequest> requests;
    for (auto &[name, team] : m_teams) {
        team.stock.returnSurplus(now);
        std::map<std::string, double> amounts;
        for (const PeerRequest &peerRequest : team.policy.plan(shortfall(team, now), peers, now)) {
            amounts[peerRequest.peer] = peerRequest.amount;
        }
        team.unmet = 0;
        for (const std::string &peer : peers) {
            std::vector<LoanReport> reports;
            if (reporting) {
                reports = team.stock.reports(m_lenders[peer], now);
            }
            if (amounts.count(peer) || !reports.empty()) {
                requests[peer].items.push_back({name, amounts[peer], team.stock.left(now), 0, demand(team, now), reports});
            }
        }
    }
    for (auto &[peer, request] : requests) {
        request.id = m_identity;
        request.lender = m_lenders[peer];
        request.coordinator = true;
    }
    return requests;
}

void QuotaCoordinator::answered(const std::string &peer, const BorrowResponse &response, TimeMs sentAt, TimeMs now)
{
    applyShareDrops(now);
    m_lenders[peer] = response.lender;
    std::map<std::string, double> amounts;
    for (const Loan &loan : response.loans) {
        const auto found = m_teams.find(loan.team);
        if (found != m_teams.end()) {
            found->second.stock.accept(response.lender, loan, sentAt);
            amounts[loan.team] += loan.amount;
        }
    }
    for (auto &[name, team] : m_teams) {
        team.policy.answered(peer, amounts[name]);
    }
}

void QuotaCoordinator::applyShareDrops(TimeMs now)
{
    // A part of the share that ended since the last call must add tokens only until its end.
    for (auto drop = m_share.nextDrop(m_appliedUntil); drop && *drop <= now; drop = m_share.nextDrop(m_appliedUntil)) {
        m_appliedUntil = *drop;
        applyLimits(*drop);
    }
    m_appliedUntil = std::max(m_appliedUntil, now);
}

void QuotaCoordinator::applyLimits(TimeMs time)
{
    const double fraction = m_share.fraction(time);
    for (auto &[name, team] : m_teams) {
        const TokenLimits limits = team.limits.effective();
        team.bucket.setLimits({limits.rate * fraction, limits.burst * fraction}, time);
    }
}

void QuotaCoordinator::settle(Team &team, const BorrowItem &item, TimeMs now)
{
    for (const LoanReport &report : item.reports) {
        if (!team.bucket.settle(report, now)) {
            team.stock.settle(report, now);
        }
    }
}

void QuotaCoordinator::lendToNode(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans)
{
    const double available = team.bucket.tokens(now) + team.stock.left(now);
    // A node must not fill its stock with the last tokens while requests wait at other nodes.
    double missing = std::min(item.wanted, std::max(item.waiting, available * maxStockPart));
    const double granted = missing;
    const auto add = [&](std::optional<Loan> loan) {
        if (loan) {
            loan->team = item.team;
            missing -= loan->amount;
            loans.push_back(*loan);
        }
        return loan.has_value();
    };
    // Lend borrowed tokens first, because the rest of them is lost when their loan expires.
    while (missing > 0 && add(team.stock.lend(m_nextLoanId, missing, now))) {
        ++m_nextLoanId;
    }
    if (missing > 0 && add(team.bucket.lend(m_nextLoanId, missing, m_share.end(now), now))) {
        ++m_nextLoanId;
    }
    team.stock.addDemand(granted - missing, now);
    const double unmet = item.wanted - granted + std::max(0.0, missing);
    team.unmet += unmet;
    m_hasUnmetDemand = m_hasUnmetDemand || unmet > 0;
}

void QuotaCoordinator::lendToCoordinator(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans)
{
    const double spare = team.bucket.tokens(now) - reserveSeconds * demand(team, now);
    auto loan = team.bucket.lend(m_nextLoanId, std::min(item.wanted, spare), m_share.end(now), now);
    if (loan) {
        ++m_nextLoanId;
        loan->team = item.team;
        loans.push_back(*loan);
    }
}

double QuotaCoordinator::shortfall(Team &team, TimeMs now)
{
    const double own = team.bucket.tokens(now) + team.stock.left(now);
    const double targetTokens = std::min(targetSeconds * demand(team, now), team.limits.effective().burst / 2);
    return std::max(0.0, targetTokens - own) + team.unmet;
}

double QuotaCoordinator::demand(Team &team, TimeMs now)
{
    std::erase_if(team.demand, [now](const auto &item) {
        return now - item.second.at > demandTimeoutMs;
    });
    double sum = 0;
    for (const auto &[node, demand] : team.demand) {
        sum += demand.perSecond;
    }
    return sum;
}
}
