#include "tokenledger.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Yuccagrade::Mesh
{
namespace
{
// Nodes report every 250 ms. A node without a report for this time keeps its share, but is left out of the allocation.
constexpr TimeMs demandValidMs = 1'000;
// Share of a node without demand, as a fraction of an equal share, so that its first requests are not refused.
constexpr double idleShareFraction = 0.15;
constexpr double minDemandPerS = 0.01;
// Tokens granted in advance cover the demand of this time. A node whose demand is below one token requests each one.
constexpr double prefetchS = 0.25;
// Tokens are granted in advance only while the bucket stays above this fraction of the burst; other nodes may need the rest.
constexpr double minPrefetchFill = 0.3;
constexpr std::size_t maxUnconfirmedAnswers = 64;
constexpr double msPerSecond = 1'000;

// The upper half of an account number identifies the process of the node.
std::uint64_t processOf(std::uint64_t account)
{
    return account >> 32U;
}

double seconds(TimeMs ms)
{
    return static_cast<double>(ms) / msPerSecond;
}
}

TokenLedger::TokenLedger(TimeMs startedAt, TimeMs shareLeaseMs, int formerFleetSize)
    : m_startedAt(startedAt)
    , m_leaseMs(shareLeaseMs)
    , m_formerFleetSize(formerFleetSize)
{
}

void TokenLedger::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
}

const Team *TokenLedger::limitedTeam(const std::string &name) const
{
    const Team *team = m_config ? m_config->team(name) : nullptr;
    return team && team->ratePerS > 0 ? team : nullptr;
}

// Fraction of the rate that nodes may still use as shares of the previous leader, because they have not reported yet. What
// restarted nodes had is not known; they count like the missing ones.
double TokenLedger::unknownShare(const Bucket &bucket, TimeMs now) const
{
    const int missing = m_formerFleetSize - m_formerNodes - m_newNodes;
    if (missing <= 0 || now - m_startedAt > m_leaseMs) {
        return 0;
    }
    return std::max(0.0, 1 - bucket.confirmedShares) * missing / (missing + m_newNodes);
}

// Refills the bucket of a team. Returns null for a team without a rate limit.
TokenLedger::Bucket *TokenLedger::refill(const std::string &name, TimeMs now)
{
    const Team *team = limitedTeam(name);
    if (!team) {
        return nullptr;
    }
    Bucket &bucket = m_buckets[name];
    const double elapsedS = seconds(now - (bucket.updatedAt == 0 ? m_startedAt : bucket.updatedAt));
    const double reserved = now - m_startedAt > unreportedMs ? unknownShare(bucket, now) : 0;
    const double capacity = std::max(1.0, team->burst - bucket.unused - bucket.offlineStock);
    bucket.level = std::min(capacity, bucket.level + elapsedS * team->ratePerS * (1 - reserved));
    bucket.updatedAt = now;
    return &bucket;
}

int TokenLedger::fleetSize(TimeMs now) const
{
    const int former = now - m_startedAt > m_leaseMs ? 0 : m_formerFleetSize;
    return std::max(former, static_cast<int>(m_nodes.size()));
}

std::uint64_t TokenLedger::account(const std::string &peerAddress) const
{
    const auto found = m_nodes.find(peerAddress);
    return found == m_nodes.end() ? 0 : found->second.account;
}

void TokenLedger::report(const SyncMessage &message, std::uint64_t linkId, TimeMs now)
{
    Node &node = m_nodes[message.peerAddress];
    if (linkId < node.linkId) {
        return;
    }
    const bool isFirst = node.account == 0;
    const bool hasRestarted = !isFirst && processOf(node.account) != processOf(message.account);
    node.linkId = linkId;
    node.lastReportAt = now;
    if (isFirst) {
        m_formerFleetSize = std::max(m_formerFleetSize, message.fleetSize);
        ++(message.fleetSize > 0 ? m_formerNodes : m_newNodes);
    }
    if (isFirst || hasRestarted) {
        for (auto &[name, account] : node.teams) {
            m_buckets[name].unused -= account.unused;
        }
        node.teams.clear();
        node.answers.clear();
        node.contactAt = now;
    }
    if (node.account != message.account) {
        node.account = message.account;
        // The node drops what belongs to its former account.
        for (auto &[name, account] : node.teams) {
            account.granted = 0;
            account.sentShare = account.heldShare;
        }
    }
    for (const TeamDemand &demand : message.demand) {
        reportTeam(node, isFirst, demand, now);
    }
    confirmContact(node, message.answeredSequence);
}

void TokenLedger::reportTeam(Node &node, bool isFirst, const TeamDemand &demand, TimeMs now)
{
    Bucket *bucket = refill(demand.team, now);
    const bool isNew = !node.teams.contains(demand.team);
    TeamAccount &account = node.teams[demand.team];
    Bucket &total = m_buckets[demand.team];
    total.unused -= account.unused;
    account.demandPerS = demand.requestsPerS;
    account.unused = demand.unusedTokens + std::max(0.0, account.granted - demand.receivedTokens);
    account.heldShare = demand.share;
    account.lastShareTokens = demand.shareTokens;
    total.unused += account.unused;
    if (isNew) {
        account.sentShare = demand.share;
        account.confirmedShareTokens = demand.shareTokens;
        account.debitedShareTokens = demand.shareTokens;
    }
    if (isFirst) {
        total.confirmedShares += demand.share;
    }
    if (!bucket) {
        return;
    }
    bucket->level += demand.returnedTokens;
    if (isFirst) {
        bucket->level -= firstDebit(demand, *bucket, limitedTeam(demand.team)->ratePerS, now);
    }
    if (demand.shareTokens > account.debitedShareTokens) {
        bucket->level -= demand.shareTokens - account.debitedShareTokens;
        account.debitedShareTokens = demand.shareTokens;
    }
}

// Tokens that a node took from its share since the start of the term, before its first report. Those that it took earlier
// belong to the previous leader.
double TokenLedger::firstDebit(const TeamDemand &demand, const Bucket &bucket, double ratePerS, TimeMs now) const
{
    const double accrued = demand.share * ratePerS * seconds(now - m_startedAt);
    const double reserved = unknownShare(bucket, now) > 0 ? std::max(0.0, accrued - demand.share * ratePerS * seconds(unreportedMs)) : 0;
    return std::max(0.0, std::min(demand.offlineTokens, accrued) - reserved);
}

// A node takes tokens from its share at most at its rate since the last answer that it received.
void TokenLedger::confirmContact(Node &node, std::uint64_t answeredSequence)
{
    bool isConfirmed = false;
    while (!node.answers.empty() && node.answers.front().first <= answeredSequence) {
        isConfirmed = isConfirmed || node.answers.front().first == answeredSequence;
        node.contactAt = node.answers.front().second;
        node.answers.pop_front();
    }
    if (isConfirmed) {
        for (auto &[name, account] : node.teams) {
            account.confirmedShareTokens = account.lastShareTokens;
            account.debitedShareTokens = account.lastShareTokens;
        }
    }
}

void TokenLedger::advance(TimeMs now)
{
    for (auto &[name, bucket] : m_buckets) {
        refill(name, now);
        bucket.offlineStock = 0;
    }
    for (auto entry = m_nodes.begin(); entry != m_nodes.end();) {
        Node &node = entry->second;
        const TimeMs silence = now - node.contactAt;
        if (silence > unreportedMs) {
            debitOffline(node, silence);
        }
        // An answer that is still on its way extends the lease of the node, so the last one counts, confirmed or not.
        if (now - node.lastReportAt > m_leaseMs) {
            for (auto &[name, account] : node.teams) {
                m_buckets[name].unused -= account.unused;
            }
            entry = m_nodes.erase(entry);
        } else {
            ++entry;
        }
    }
}

void TokenLedger::debitOffline(Node &node, TimeMs silence)
{
    for (auto &[name, account] : node.teams) {
        const Team *team = limitedTeam(name);
        if (!team || account.boundShare() <= 0) {
            continue;
        }
        Bucket &bucket = m_buckets[name];
        const double ratePerS = account.boundShare() * team->ratePerS;
        const double taken = account.confirmedShareTokens + ratePerS * seconds(silence - unreportedMs);
        if (taken > account.debitedShareTokens) {
            bucket.level -= taken - account.debitedShareTokens;
            account.debitedShareTokens = taken;
        }
        bucket.offlineStock += std::min(ratePerS * seconds(silence), maxShareTokens(account.boundShare(), team->burst));
    }
}

void TokenLedger::allocateShares(TimeMs now)
{
    std::set<std::string> teams;
    for (const auto &[address, node] : m_nodes) {
        for (const auto &[team, account] : node.teams) {
            teams.insert(team);
        }
    }
    for (const std::string &team : teams) {
        allocateTeam(team, now);
    }
}

void TokenLedger::allocateTeam(const std::string &team, TimeMs now)
{
    std::vector<TeamAccount *> present;
    double free = 1 - unknownShare(m_buckets[team], now); // not bound to any node
    double available = free; // to the nodes that are present
    double demand = 0;
    for (auto &[address, node] : m_nodes) {
        TeamAccount &account = node.teams[team];
        free -= account.boundShare();
        if (now - node.lastReportAt > demandValidMs) {
            available -= account.boundShare();
        } else {
            demand += account.demandPerS;
            present.push_back(&account);
        }
    }
    const auto count = static_cast<double>(present.size());
    const double idle = count > 0 ? std::max(minDemandPerS, demand * idleShareFraction / count) : 0;
    const auto target = [&](const TeamAccount &account) {
        return std::max(0.0, available) * (account.demandPerS + idle) / (demand + idle * count);
    };
    double wanted = 0;
    for (TeamAccount *account : present) {
        // Only one change at a time is on its way to a node, so that boundShare() covers it.
        if (account->heldShare == account->sentShare) {
            wanted += std::max(0.0, target(*account) - account->sentShare);
        }
    }
    const double scale = wanted > 0 ? std::clamp(free / wanted, 0.0, 1.0) : 0;
    for (TeamAccount *account : present) {
        if (account->heldShare == account->sentShare) {
            const double change = target(*account) - account->sentShare;
            account->sentShare += change > 0 ? change * scale : change;
        }
    }
}

std::vector<TeamShare> TokenLedger::shares(const std::string &peerAddress, std::uint64_t sequence, TimeMs now)
{
    std::vector<TeamShare> result;
    const auto found = m_nodes.find(peerAddress);
    if (found == m_nodes.end()) {
        return result;
    }
    Node &node = found->second;
    if (sequence > 0) {
        node.answers.emplace_back(sequence, now);
        if (node.answers.size() > maxUnconfirmedAnswers) {
            node.answers.pop_front();
        }
    }
    for (auto &[name, account] : node.teams) {
        TeamShare share{name, account.sentShare, 0};
        Bucket *bucket = refill(name, now);
        const double wanted = std::floor(account.demandPerS * prefetchS - account.unused);
        if (bucket && wanted > 0 && bucket->level - wanted > limitedTeam(name)->burst * minPrefetchFill) {
            bucket->level -= wanted;
            bucket->unused += wanted;
            account.unused += wanted;
            account.granted += wanted;
            share.tokens = wanted;
        }
        result.push_back(share);
    }
    return result;
}

std::optional<TokenGrant> TokenLedger::grant(const std::string &peerAddress, const TokenRequest &request, TimeMs now)
{
    TokenGrant grant{request.team, request.wanted, 0, request.account, request.sequence};
    const auto found = m_nodes.find(peerAddress);
    if (found == m_nodes.end() || found->second.account != request.account) {
        return std::nullopt;
    }
    if (Bucket *bucket = refill(request.team, now)) {
        grant.granted = std::clamp(static_cast<int>(std::floor(bucket->level)), 0, request.wanted);
        bucket->level -= grant.granted;
        found->second.teams[request.team].granted += grant.granted;
        if (grant.granted == 0) {
            grant.waitMs = (1 - bucket->level) * msPerSecond / limitedTeam(request.team)->ratePerS;
        }
    }
    return grant;
}
}
