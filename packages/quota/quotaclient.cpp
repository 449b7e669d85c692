#include "quotaclient.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Four exchanges within the time that the stock covers.
constexpr TimeMs regularMs = 100;
// Urgent asks while requests wait; a waiting request has time for several.
constexpr TimeMs urgentMs = 3;
// While a team is over its rate, urgent asks are useless; 225 nodes must not send 333 each per second.
constexpr TimeMs longestUrgentMs = 48;
// A response later than this does not help a request that waits for 20 ms.
constexpr TimeMs answerTimeoutMs = 20;
}

QuotaClient::QuotaClient(std::string id, std::uint64_t incarnation)
    : m_id(std::move(id))
    , m_incarnation(incarnation)
    , m_urgentGap(urgentMs)
{
}

bool QuotaClient::arrive(const std::string &team, double tokens, TimeMs now)
{
    Team &entry = m_teams[team];
    entry.stock.addDemand(tokens, now);
    // Requests that wait already come first.
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
    const bool regular = now >= m_regularAt;
    BorrowRequest request{m_id, m_incarnation, m_lender, false, {}};
    for (auto &[name, team] : m_teams) {
        const bool urgent = team.waiting > 0 && now >= m_urgentAt;
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
    m_regularAt = regular ? now + regularMs : m_regularAt;
    if (request.items.empty()) {
        return std::nullopt;
    }
    m_wanted = std::any_of(request.items.begin(), request.items.end(), [](const BorrowItem &item) {
        return item.wanted > 0;
    });
    m_urgentAt = now + m_urgentGap;
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
        m_urgentGap = urgentMs;
    } else if (sentAt == m_sentAt && m_wanted) {
        m_urgentGap = std::min(2 * m_urgentGap, longestUrgentMs);
    }
    if (sentAt == m_sentAt) {
        m_sentAt = -1;
    }
}
}
