#include "leaderduties.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs periodMs = 500;
// After an election the members report first, so that groups are spread over all domains.
constexpr TimeMs settleMs = 4'000;
// A shorter absence is a restart, after which the replica recovers its claims from the two others.
constexpr TimeMs replaceAfterMs = 30'000;
// The replicas of an epoch must have their copies before the next epoch can copy from them.
constexpr TimeMs minEpochMs = 30'000;
}

LeaderDuties::LeaderDuties(ClusterCore &core)
    : m_core(core)
{
}

void LeaderDuties::tick(LeaderState &leader, TimeMs now)
{
    if (now < m_nextDue) {
        return;
    }
    m_nextDue = now + periodMs;
    noteDown(leader, now);
    noteInForce(leader, now);
    if (m_core.state().manifest()->version == 0 || m_pending > 0) {
        return;
    }
    updateFloors(leader, now);
    if (m_pending == 0 && now - leader.electedAt > settleMs) {
        updateGroups(leader, now);
    }
}

void LeaderDuties::propose(const Command &command)
{
    ++m_pending;
    m_core.propose(toJson(command), [this](std::error_code, const ApplyResult &) {
        --m_pending;
    });
}

void LeaderDuties::updateFloors(LeaderState &leader, TimeMs now)
{
    std::vector<std::string> domains;
    for (const DomainSpec &domain : m_core.state().manifest()->domains) {
        domains.push_back(domain.name);
    }
    std::map<std::string, FloorRecord> floors;
    for (const auto &[domain, holder] : m_core.state().floorHolders()) {
        floors[domain] = {holder.holder, holder.fraction};
    }
    leader.ledger.setDomains(domains);
    leader.ledger.setFloors(std::move(floors));
    const auto proposals = leader.ledger.proposals(now);
    if (proposals.empty()) {
        return;
    }
    const auto &[domain, record] = *proposals.begin();
    const auto known = m_core.state().floorHolders().find(domain);
    const std::uint64_t epoch = known == m_core.state().floorHolders().end() ? 0 : known->second.epoch;
    propose(SetFloorHolder{domain, record.holder, epoch + 1, record.fraction});
}

void LeaderDuties::noteDown(LeaderState &leader, TimeMs now) const
{
    for (const ClaimGroup &group : m_core.state().claimGroups()) {
        for (const ClaimReplicaSpec &replica : group.replicas) {
            if (m_core.view().find(replica.id)) {
                leader.downSince.erase(replica.id);
            } else {
                leader.downSince.try_emplace(replica.id, now);
            }
        }
    }
}

bool LeaderDuties::needsReplacement(const LeaderState &leader, const ClaimReplicaSpec &replica, TimeMs now) const
{
    const Member *member = m_core.view().find(replica.id);
    if (member) {
        return member->draining;
    }
    const auto down = leader.downSince.find(replica.id);
    return down != leader.downSince.end() && now - down->second > replaceAfterMs;
}

// Groups are tied to regions in turn, so that a region that is cut off still has whole groups for its home teams.
std::string LeaderDuties::regionOf(int group) const
{
    std::set<std::string> regions;
    for (const DomainSpec &domain : m_core.state().manifest()->domains) {
        regions.insert(domain.region);
    }
    return *std::next(regions.begin(), group % static_cast<int>(regions.size()));
}

LeaderDuties::Loads LeaderDuties::loads() const
{
    Loads loads;
    for (const ClaimGroup &group : m_core.state().claimGroups()) {
        for (const ClaimReplicaSpec &replica : group.replicas) {
            ++loads[replica.id];
        }
    }
    return loads;
}

// Fills up to three replicas: domains without a replica first, then the region of the group, then the least loaded node.
std::vector<ClaimReplicaSpec> LeaderDuties::choose(const ClaimGroup &group, const std::vector<ClaimReplicaSpec> &kept, Loads &loads) const
{
    std::vector<ClaimReplicaSpec> chosen = kept;
    const std::string region = regionOf(group.number);
    while (chosen.size() < claimReplicaCount) {
        const Member *best = nullptr;
        std::tuple<bool, bool, int, std::string> bestRank;
        for (const Member &member : m_core.view().upMembers()) {
            const bool taken = std::any_of(chosen.begin(), chosen.end(), [&](const ClaimReplicaSpec &replica) {
                return replica.id == member.id;
            });
            if (member.control || member.draining || taken) {
                continue;
            }
            const bool sameDomain = std::any_of(chosen.begin(), chosen.end(), [&](const ClaimReplicaSpec &replica) {
                return replica.domain == member.domain;
            });
            std::tuple rank{member.region != region, sameDomain, loads[member.id], member.id};
            if (!best || rank < bestRank) {
                best = m_core.view().find(member.id);
                bestRank = std::move(rank);
            }
        }
        if (!best) {
            break;
        }
        ++loads[best->id];
        chosen.push_back({best->id, best->domain, best->peerAddress, best->incarnation});
    }
    return chosen;
}

void LeaderDuties::updateGroups(LeaderState &leader, TimeMs now)
{
    Loads counts = loads();
    for (const ClaimGroup &group : m_core.state().claimGroups()) {
        std::vector<ClaimReplicaSpec> kept;
        for (ClaimReplicaSpec replica : group.replicas) {
            if (!needsReplacement(leader, replica, now)) {
                const Member *member = m_core.view().find(replica.id);
                replica.incarnation = member ? member->incarnation : replica.incarnation;
                kept.push_back(replica);
            }
        }
        const bool complete = kept.size() == claimReplicaCount;
        const auto changed = m_changedAt.find(group.number);
        const bool tooSoon = changed != m_changedAt.end() && now - changed->second < minEpochMs;
        if (complete || tooSoon) {
            continue;
        }
        const auto replicas = choose(group, kept, counts);
        if (replicas.size() != claimReplicaCount) {
            continue;
        }
        m_changedAt[group.number] = now;
        m_core.host().log().write(Event::ClaimGroupChanged, {{"group", std::to_string(group.number)}, {"epoch", std::to_string(group.epoch + 1)}});
        propose(SetClaimGroup{group.number, group.epoch + 1, replicas});
    }
}

void LeaderDuties::noteInForce(LeaderState &leader, TimeMs now)
{
    const ClusterState &state = m_core.state();
    const InForce manifest = leader.confirmations.inForce(state.manifestIndex());
    const std::uint64_t version = state.manifest()->version;
    // A new leader learns of the processes only with their syncs, so the count alone is not enough.
    if (version > m_manifestInForce && leader.confirmations.confirmedByAll(now) >= state.manifestIndex()) {
        m_manifestInForce = version;
        m_core.host().log().write(Event::ManifestInForce, {{"version", std::to_string(version)}, {"processes", std::to_string(manifest.known)}});
    }
    for (const KeyRecord &key : state.keys()) {
        if (key.withdrawnIndex == 0 || m_withdrawalsInForce.contains(key.id)) {
            continue;
        }
        if (leader.confirmations.isWithdrawalDone(key.withdrawnIndex, leader.withdrawnAt(key.id), now)) {
            m_withdrawalsInForce.insert(key.id);
            m_core.host().log().write(Event::WithdrawalInForce, {{"key", key.id}});
        }
    }
}
}
