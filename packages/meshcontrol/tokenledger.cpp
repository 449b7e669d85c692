#include "tokenledger.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace Yuccagrade::Mesh
{
namespace
{
// Nodes report every 250 ms. A node without a report for this time keeps its share, but is left out of the allocation.
constexpr TimeMs demandValidMs = 1'000;
// Share of a node without demand, as a fraction of an equal share, so that its first requests are not refused.
constexpr double idleShareFraction = 0.15;
constexpr double minDemandPerS = 0.01;
// Time constant of the demand by which shares are allocated. A node often sees less than one request a second of a team.
constexpr double shareTimeConstantS = 4;
// Shares that yield less than this number of tokens within the lease are not allocated.
constexpr double minShareTokens = 0.25;
// A node with a lower demand keeps no token in reserve.
constexpr double minReserveDemandPerS = 0.05;
constexpr double reserveHysteresis = 2;
// A share changes by at least this fraction, and by less only to give up what others need.
constexpr double minShareChange = 0.4;
constexpr double minScarceShareChange = 0.2;
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

TokenLedger::TokenLedger(TimeMs startedAt, TimeMs shareLeaseMs, int formerFleetSize, double reserveTokens)
    : m_startedAt(startedAt)
    , m_leaseMs(shareLeaseMs)
    , m_reserveTokens(reserveTokens)
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
    bucket.level = std::min(usableBurst(*team, bucket), bucket.level + elapsedS * team->ratePerS * (1 - reserved));
    bucket.updatedAt = now;
    return &bucket;
}

// Returns the tokens that the bucket may hold beside those at nodes.
double TokenLedger::usableBurst(const Team &team, const Bucket &bucket) const
{
    const double unused = std::max(0.0, bucket.unused - m_reserveTokens);
    return std::max(1.0, team.burst - unused - bucket.offlineStock);
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

bool TokenLedger::report(const SyncMessage &message, std::uint64_t linkId, TimeMs now)
{
    const auto known = m_nodes.find(message.peerAddress);
    if (known != m_nodes.end() && linkId < known->second.linkId) {
        return true;
    }
    const bool continuesLast =
        known != m_nodes.end() && known->second.account == message.account && known->second.linkId == linkId && known->second.sequence + 1 == message.sequence;
    if (!message.isFullDemand && !continuesLast) {
        return false;
    }
    Node &node = m_nodes[message.peerAddress];
    node.sequence = message.sequence;
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
            account.sentReserve = 0;
        }
    }
    for (const TeamDemand &demand : message.demand) {
        reportTeam(node, isFirst, demand, now);
    }
    if (message.isFullDemand) {
        std::set<std::string_view> reported;
        for (const TeamDemand &demand : message.demand) {
            reported.insert(demand.team);
        }
        for (const auto &[name, account] : node.teams) {
            if (!reported.contains(name)) {
                reportTeam(node, isFirst, {.team = name, .shareTokens = account.lastShareTokens}, now);
            }
        }
    }
    confirmContact(node, message.answeredSequence);
    return true;
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
    const double elapsedS = seconds(now - (m_allocatedAt == 0 ? m_startedAt : m_allocatedAt));
    m_allocatedAt = now;
    for (const std::string &team : teams) {
        allocateTeam(team, elapsedS, now);
    }
}

// Demand that is assumed at every node, so that the first requests at a node out of contact are not refused; none if the share
// would not reach one token within the lease.
double TokenLedger::idleDemand(const std::string &team, double demandPerS, std::size_t nodeCount) const
{
    const Team *limited = limitedTeam(team);
    const auto count = static_cast<double>(nodeCount);
    const double tokens = limited && count > 0 ? limited->ratePerS * seconds(m_leaseMs) * idleShareFraction / count : 0;
    return tokens < 1 ? 0 : demandPerS * idleShareFraction / count;
}

// Returns the accounts of a team at the nodes that report.
std::vector<TokenLedger::TeamAccount *> TokenLedger::presentAccounts(const std::string &team, bool withIdleNodes, TimeMs now)
{
    std::vector<TeamAccount *> result;
    for (auto &[address, node] : m_nodes) {
        const auto found = node.teams.find(team);
        if (now - node.lastReportAt <= demandValidMs && (withIdleNodes || found != node.teams.end())) {
            result.push_back(found != node.teams.end() ? &found->second : &node.teams[team]);
        }
    }
    return result;
}

void TokenLedger::allocateTeam(const std::string &team, double elapsedS, TimeMs now)
{
    const double idle = idleDemand(team, 1, m_nodes.size());
    const std::vector<TeamAccount *> present = presentAccounts(team, idle > 0, now);
    double bound = 0; // to all nodes
    for (const auto &[address, node] : m_nodes) {
        const auto found = node.teams.find(team);
        bound += found == node.teams.end() ? 0 : found->second.boundShare();
    }
    const double free = 1 - unknownShare(m_buckets[team], now) - bound; // not bound to any node
    double available = free; // to the nodes that are present
    double demand = 0;
    const double weight = 1 - std::exp(-elapsedS / shareTimeConstantS);
    for (TeamAccount *account : present) {
        account->meanDemandPerS += (account->demandPerS - account->meanDemandPerS) * weight;
        available += account->boundShare();
        demand += account->meanDemandPerS;
    }
    const double idlePerNode = idleDemand(team, demand, m_nodes.size());
    const double total = demand + idlePerNode * static_cast<double>(present.size());
    if (total < minDemandPerS) {
        return;
    }
    allocateReserve(present);
    const Team *limited = limitedTeam(team);
    const double minShare = limited ? minShareTokens / (limited->ratePerS * seconds(m_leaseMs)) : 0;
    const auto target = [&](const TeamAccount &account) {
        const double share = std::max(0.0, available) * (account.meanDemandPerS + idlePerNode) / total;
        return share < minShare ? 0 : share;
    };
    // Only one change at a time is on its way to a node, so that boundShare() covers it.
    const auto mayChange = [](const TeamAccount &account) {
        return account.heldShare == account.sentShare;
    };
    double wanted = 0;
    for (const TeamAccount *account : present) {
        const double change = target(*account) - account->sentShare;
        wanted += mayChange(*account) && change > minShareChange * account->sentShare ? change : 0;
    }
    const double scale = wanted > 0 ? std::clamp(free / wanted, 0.0, 1.0) : 0;
    // Small changes of the demand leave the shares as they are, since every change is a message to the node and back. Nodes
    // above their share give up more if others wait for it.
    const double minReduction = scale < 1 ? minScarceShareChange : minShareChange;
    for (TeamAccount *account : present) {
        const double change = target(*account) - account->sentShare;
        if (!mayChange(*account)) {
            continue;
        }
        if (change > minShareChange * account->sentShare) {
            account->sentShare += change * scale;
        } else if (-change > minReduction * account->sentShare) {
            account->sentShare += change;
        }
    }
}

// One token for each node, in the order of the demand; nodes that have one keep it against a demand up to twice their own.
void TokenLedger::allocateReserve(std::vector<TeamAccount *> accounts) const
{
    const auto rank = [](const TeamAccount *account) {
        return account->meanDemandPerS * (account->reserve > 0 ? reserveHysteresis : 1);
    };
    std::sort(accounts.begin(), accounts.end(), [&rank](const TeamAccount *a, const TeamAccount *b) {
        return rank(a) > rank(b);
    });
    double left = m_reserveTokens;
    for (TeamAccount *account : accounts) {
        account->reserve = left >= 1 && account->meanDemandPerS > minReserveDemandPerS ? 1 : 0;
        left -= account->reserve;
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
        TeamShare share{name, account.sentShare, 0, account.reserve};
        const double wanted = std::floor(std::max(account.demandPerS * prefetchS, account.reserve) - account.unused);
        Bucket *bucket = wanted > 0 ? refill(name, now) : nullptr;
        if (bucket && bucket->level - wanted > limitedTeam(name)->burst * minPrefetchFill) {
            bucket->level -= wanted;
            bucket->unused += wanted;
            account.unused += wanted;
            account.granted += wanted;
            share.tokens = wanted;
        }
        if (share.tokens > 0 || account.sentShare != account.heldShare || account.sentReserve != account.reserve) {
            account.sentReserve = account.reserve;
            result.push_back(share);
        }
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
