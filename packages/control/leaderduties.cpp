#include "leaderduties.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs taskPeriodMs = 500;
// Time after an election before claim groups are changed. By then all members have reported, so that replicas are spread
// over all domains.
constexpr TimeMs electionSettleMs = 4'000;
// Downtime after which a replica is replaced. A shorter one is a restart, after which the replica recovers its claims from the
// two other replicas.
constexpr TimeMs replicaReplacementDelayMs = 30'000;
// Minimum time between two epochs of a claim group. The replicas of an epoch must have received their copies before those of
// the next epoch can copy from them.
constexpr TimeMs minEpochDurationMs = 30'000;
}

LeaderDuties::LeaderDuties(ClusterCore &core)
    : m_core(core)
{
}

void LeaderDuties::tick(LeaderState &leader, TimeMs now)
{
    if (now < m_nextRunMs) {
        return;
    }
    m_nextRunMs = now + taskPeriodMs;
    updateDownSince(leader, now);
    logInForce(leader, now);
    if (m_core.state().manifest()->version == 0 || m_pendingProposals > 0) {
        return;
    }
    updateFloors(leader, now);
    if (m_pendingProposals == 0 && now - leader.electedAt > electionSettleMs) {
        updateGroups(leader, now);
    }
}

void LeaderDuties::propose(const Command &command)
{
    ++m_pendingProposals;
    m_core.propose(toJson(command), [this](std::error_code, const ApplyResult &) {
        --m_pendingProposals;
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
    const auto currentHolder = m_core.state().floorHolders().find(domain);
    const std::uint64_t epoch = currentHolder == m_core.state().floorHolders().end() ? 0 : currentHolder->second.epoch;
    propose(SetFloorHolder{domain, record.holder, epoch + 1, record.fraction});
}

void LeaderDuties::updateDownSince(LeaderState &leader, TimeMs now) const
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
    return down != leader.downSince.end() && now - down->second > replicaReplacementDelayMs;
}

// Assigns claim groups to regions in round-robin order, so that an isolated region still has complete groups for its home
// teams.
std::string LeaderDuties::groupRegion(int group) const
{
    std::set<std::string> regions;
    for (const DomainSpec &domain : m_core.state().manifest()->domains) {
        regions.insert(domain.region);
    }
    return *std::next(regions.begin(), group % static_cast<int>(regions.size()));
}

LeaderDuties::ReplicaCounts LeaderDuties::replicaCounts() const
{
    ReplicaCounts replicaCounts;
    for (const ClaimGroup &group : m_core.state().claimGroups()) {
        for (const ClaimReplicaSpec &replica : group.replicas) {
            ++replicaCounts[replica.id];
        }
    }
    return replicaCounts;
}

// Adds replicas until the group is complete. Prefers nodes in the region of the group, then in a domain without a replica,
// then with the fewest replicas.
std::vector<ClaimReplicaSpec>
LeaderDuties::chooseReplicas(const ClaimGroup &group, const std::vector<ClaimReplicaSpec> &kept, ReplicaCounts &replicaCounts) const
{
    std::vector<ClaimReplicaSpec> chosen = kept;
    const std::string region = groupRegion(group.number);
    while (chosen.size() < claimReplicaCount) {
        const Member *bestCandidate = nullptr;
        std::tuple<bool, bool, int, std::string> bestRank;
        for (const Member &member : m_core.view().upMembers()) {
            const bool alreadyChosen = std::any_of(chosen.begin(), chosen.end(), [&](const ClaimReplicaSpec &replica) {
                return replica.id == member.id;
            });
            if (member.control || member.draining || alreadyChosen) {
                continue;
            }
            const bool sameDomain = std::any_of(chosen.begin(), chosen.end(), [&](const ClaimReplicaSpec &replica) {
                return replica.domain == member.domain;
            });
            std::tuple rank{member.region != region, sameDomain, replicaCounts[member.id], member.id};
            if (!bestCandidate || rank < bestRank) {
                bestCandidate = m_core.view().find(member.id);
                bestRank = std::move(rank);
            }
        }
        if (!bestCandidate) {
            break;
        }
        ++replicaCounts[bestCandidate->id];
        chosen.push_back({bestCandidate->id, bestCandidate->domain, bestCandidate->peerAddress, bestCandidate->incarnation});
    }
    return chosen;
}

void LeaderDuties::updateGroups(LeaderState &leader, TimeMs now)
{
    ReplicaCounts counts = replicaCounts();
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
        const auto changed = m_groupChangedMs.find(group.number);
        const bool tooSoon = changed != m_groupChangedMs.end() && now - changed->second < minEpochDurationMs;
        if (complete || tooSoon) {
            continue;
        }
        const auto replicas = chooseReplicas(group, kept, counts);
        if (replicas.size() != claimReplicaCount) {
            continue;
        }
        m_groupChangedMs[group.number] = now;
        m_core.host().log().write(Event::ClaimGroupChanged, {{"group", std::to_string(group.number)}, {"epoch", std::to_string(group.epoch + 1)}});
        propose(SetClaimGroup{group.number, group.epoch + 1, replicas});
    }
}

void LeaderDuties::logInForce(LeaderState &leader, TimeMs now)
{
    const ClusterState &state = m_core.state();
    const InForce manifest = leader.confirmations.inForce(state.manifestIndex());
    const std::uint64_t version = state.manifest()->version;
    // A new leader does not have all processes in its list before their first sync, so comparing the counts is not enough.
    if (version > m_loggedManifestVersion && leader.confirmations.confirmedByAll(now) >= state.manifestIndex()) {
        m_loggedManifestVersion = version;
        m_core.host().log().write(Event::ManifestInForce, {{"version", std::to_string(version)}, {"processes", std::to_string(manifest.known)}});
    }
    for (const KeyRecord &key : state.keys()) {
        if (key.withdrawnIndex == 0 || m_loggedWithdrawals.contains(key.id)) {
            continue;
        }
        if (leader.confirmations.isWithdrawalDone(key.withdrawnIndex, leader.withdrawnAt(key.id), now)) {
            m_loggedWithdrawals.insert(key.id);
            m_core.host().log().write(Event::WithdrawalInForce, {{"key", key.id}});
        }
    }
}
}
