#include "quotadesk.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// A node that has not asked for this time has no demand.
constexpr TimeMs demandMemoryMs = 1'000;
// Own and borrowed tokens cover this time of the domain's demand, several round trips between coordinators.
constexpr double coverSeconds = 0.1;
// Kept for the own domain when another one borrows, so that its next requests need no borrowing back.
constexpr double reserveSeconds = 0.05;
// Part of the available tokens that one node may add to its stock with one request.
constexpr double stockPart = 0.1;
// Reports without an ask are sent this often; until then spent tokens count against the lender's burst.
constexpr TimeMs reportMs = 50;
}

QuotaDesk::QuotaDesk(std::string identity, TimeMs now, double clockMargin)
    : m_identity(std::move(identity))
    , m_margin(clockMargin)
    , m_startedAt(now)
    , m_refreshedAt(now)
{
}

void QuotaDesk::setLimits(const std::string &team, std::uint64_t index, const TokenLimits &limits, TimeMs now)
{
    refresh(now);
    m_teams.try_emplace(team, Team{{}, TokenBucket(std::max(now, m_startedAt), m_margin), {}, {}, {}, 0})
        .first->second.limits.change(index, limits);
    applyLimits(now);
}

void QuotaDesk::takeShare(const ShareMessage &grant, TimeMs sentAt, TimeMs now)
{
    refresh(now);
    m_share.accept(grant, sentAt, now);
    for (auto &[name, team] : m_teams) {
        team.limits.confirm(grant.confirmedIndex);
    }
    applyLimits(now);
}

ShareMessage QuotaDesk::handBack(TimeMs now)
{
    refresh(now);
    const ShareMessage message = m_share.handBack();
    applyLimits(now);
    return message;
}

BorrowResponse QuotaDesk::answer(const BorrowRequest &request, TimeMs now)
{
    refresh(now);
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

std::map<std::string, BorrowRequest> QuotaDesk::asks(const std::vector<std::string> &peers, TimeMs now)
{
    refresh(now);
    m_short = false;
    const bool reporting = now >= m_reportAt;
    m_reportAt = reporting ? now + reportMs : m_reportAt;
    std::map<std::string, BorrowRequest> requests;
    for (auto &[name, team] : m_teams) {
        team.stock.returnSurplus(now);
        std::map<std::string, double> amounts;
        for (const BorrowAsk &ask : team.policy.plan(shortfall(team, now), peers, now)) {
            amounts[ask.peer] = ask.amount;
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

void QuotaDesk::answered(const std::string &peer, const BorrowResponse &response, TimeMs sentAt, TimeMs now)
{
    refresh(now);
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

void QuotaDesk::refresh(TimeMs now)
{
    // A part that ended since the last call must not mint up to now.
    for (auto drop = m_share.nextDrop(m_refreshedAt); drop && *drop <= now; drop = m_share.nextDrop(m_refreshedAt)) {
        m_refreshedAt = *drop;
        applyLimits(*drop);
    }
    m_refreshedAt = std::max(m_refreshedAt, now);
}

void QuotaDesk::applyLimits(TimeMs time)
{
    const double fraction = m_share.fraction(time);
    for (auto &[name, team] : m_teams) {
        const TokenLimits limits = team.limits.effective();
        team.bucket.setLimits({limits.rate * fraction, limits.burst * fraction}, time);
    }
}

void QuotaDesk::settle(Team &team, const BorrowItem &item, TimeMs now)
{
    for (const LoanReport &report : item.reports) {
        if (!team.bucket.settle(report, now)) {
            team.stock.settle(report, now);
        }
    }
}

void QuotaDesk::lendToNode(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans)
{
    const double available = team.bucket.tokens(now) + team.stock.left(now);
    // One node must not fill its stock with the last tokens while requests wait at the others.
    double missing = std::min(item.wanted, std::max(item.waiting, available * stockPart));
    const double granted = missing;
    const auto add = [&](std::optional<Loan> loan) {
        if (loan) {
            loan->team = item.team;
            missing -= loan->amount;
            loans.push_back(*loan);
        }
        return loan.has_value();
    };
    // Borrowed tokens first: what is left of them is lost when their loan ends.
    while (missing > 0 && add(team.stock.lend(m_nextLoan, missing, now))) {
        ++m_nextLoan;
    }
    if (missing > 0 && add(team.bucket.lend(m_nextLoan, missing, m_share.end(now), now))) {
        ++m_nextLoan;
    }
    team.stock.addDemand(granted - missing, now);
    const double unmet = item.wanted - granted + std::max(0.0, missing);
    team.unmet += unmet;
    m_short = m_short || unmet > 0;
}

void QuotaDesk::lendToCoordinator(Team &team, const BorrowItem &item, TimeMs now, std::vector<Loan> &loans)
{
    const double spare = team.bucket.tokens(now) - reserveSeconds * demand(team, now);
    auto loan = team.bucket.lend(m_nextLoan, std::min(item.wanted, spare), m_share.end(now), now);
    if (loan) {
        ++m_nextLoan;
        loan->team = item.team;
        loans.push_back(*loan);
    }
}

double QuotaDesk::shortfall(Team &team, TimeMs now)
{
    const double own = team.bucket.tokens(now) + team.stock.left(now);
    const double cover = std::min(coverSeconds * demand(team, now), team.limits.effective().burst / 2);
    return std::max(0.0, cover - own) + team.unmet;
}

double QuotaDesk::demand(Team &team, TimeMs now)
{
    std::erase_if(team.demand, [now](const auto &item) {
        return now - item.second.at > demandMemoryMs;
    });
    double sum = 0;
    for (const auto &[node, demand] : team.demand) {
        sum += demand.perSecond;
    }
    return sum;
}
}
