#include "quotaclient.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Interval of regular borrow requests: four within the time that the stock covers.
constexpr TimeMs regularIntervalMs = 100;
// Initial interval of urgent borrow requests, short enough for several while a request waits.
constexpr TimeMs minUrgentIntervalMs = 3;
// Backoff limit of the urgent interval. Urgent requests yield nothing while a team is over its rate, and 225 nodes must not
// send 333 of them per second each.
constexpr TimeMs maxUrgentIntervalMs = 48;
// A later response is of no use to a request that waits for at most 20 ms.
constexpr TimeMs answerTimeoutMs = 20;
}

QuotaClient::QuotaClient(std::string id, std::uint64_t incarnation)
    : m_id(std::move(id))
    , m_incarnation(incarnation)
    , m_urgentInterval(minUrgentIntervalMs)
{
}

bool QuotaClient::arrive(const std::string &team, double tokens, TimeMs now)
{
    Team &entry = m_teams[team];
    entry.stock.addDemand(tokens, now);
    // Requests that are already waiting are paid first.
    if (entry.waiting <= 0 && entry.stock.spend(tokens, now)) {
        return true;
    }
    entry.waiting += tokens;
    return false;
}

bool QuotaClient::retry(const std::string &team, double tokens, TimeMs now)
{
    return m_teams[team].stock.spend(tokens, now);
}

void QuotaClient::stopWaiting(const std::string &team, double tokens)
{
    Team &entry = m_teams[team];
    entry.waiting = std::max(0.0, entry.waiting - tokens);
}

std::optional<BorrowRequest> QuotaClient::poll(TimeMs now)
{
    if (m_sentAt >= 0 && now - m_sentAt < answerTimeoutMs) {
        return std::nullopt;
    }
    const bool regular = now >= m_nextRegularAt;
    BorrowRequest request{m_id, m_incarnation, m_lender, false, {}};
    for (auto &[name, team] : m_teams) {
        const bool urgent = team.waiting > 0 && now >= m_nextUrgentAt;
        if (!regular && !urgent) {
            continue;
        }
        team.stock.returnSurplus(now);
        const double left = team.stock.left(now);
        const double missing = team.waiting > 0 ? std::max(0.0, team.waiting - left) : 0;
        const double wanted = std::max(team.stock.wanted(now), missing);
        BorrowItem item{name, wanted, left, missing, team.stock.demandPerSecond(now), {}};
        if (regular) {
            item.reports = team.stock.reports(m_lender, now);
        }
        if (item.wanted > 0 || !item.reports.empty()) {
            request.items.push_back(std::move(item));
        }
    }
    m_nextRegularAt = regular ? now + regularIntervalMs : m_nextRegularAt;
    if (request.items.empty()) {
        return std::nullopt;
    }
    m_pendingWantsTokens = std::any_of(request.items.begin(), request.items.end(), [](const BorrowItem &item) {
        return item.wanted > 0;
    });
    m_nextUrgentAt = now + m_urgentInterval;
    m_sentAt = now;
    return request;
}

void QuotaClient::answered(const BorrowResponse &response, TimeMs sentAt)
{
    m_lender = response.lender;
    for (const Loan &loan : response.loans) {
        m_teams[loan.team].stock.accept(response.lender, loan, sentAt);
    }
    if (!response.loans.empty()) {
        m_urgentInterval = minUrgentIntervalMs;
        m_nextUrgentAt = std::min(m_nextUrgentAt, sentAt + minUrgentIntervalMs);
    } else if (sentAt == m_sentAt && m_pendingWantsTokens) {
        m_urgentInterval = std::min(2 * m_urgentInterval, maxUrgentIntervalMs);
    }
    if (sentAt == m_sentAt) {
        m_sentAt = -1;
    }
}
}
