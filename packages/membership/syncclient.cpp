#include "syncclient.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Jitter keeps the nodes of a domain from syncing in step after a coordinator change.
constexpr std::uint64_t jitterMs = 100;
// A sync on a network with 3 ms one-way delay needs far less; a longer wait would use up the proof's validity.
constexpr TimeMs requestTimeoutMs = 400;
// A target that failed is tried again after this time; two periods find another peer first.
constexpr TimeMs suspectMs = 1'500;
// A failed attempt is repeated elsewhere without waiting for the period, but not in a busy loop.
constexpr TimeMs retryMs = 50;
}

SyncClient::SyncClient(Member self, std::vector<std::string> seeds, MemberView &view, ProofHolder &proofs, StateReceiver &state, CoordinatorLeaseHolder &lease)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_view(view)
    , m_proofs(proofs)
    , m_state(state)
    , m_lease(lease)
{
}

std::optional<SyncAction> SyncClient::poll(TimeMs now, Random &random)
{
    if (m_sentAt >= 0 && now - m_sentAt >= requestTimeoutMs) {
        failed(now);
    }
    if (m_sentAt >= 0 || now < m_nextDue) {
        return std::nullopt;
    }
    m_nextDue = now + syncPeriodMs - static_cast<TimeMs>(random.below(jitterMs));
    m_target = target(now, random);
    if (m_target.empty()) {
        return std::nullopt;
    }
    m_sentAt = now;
    announceSelf(now);
    if (m_viewLosses != m_view.losses()) {
        m_viewLosses = m_view.losses();
        m_viewVersion = 0;
    }
    return SyncAction{m_target, buildRequest(m_target, now)};
}

void SyncClient::answered(const SyncResponse &response, TimeMs sentAt, TimeMs now)
{
    if (sentAt != m_sentAt) {
        return;
    }
    m_sentAt = -1;
    // A peer without a proof is cut off from the leader; another one may not be.
    if (response.proof) {
        m_suspectUntil.erase(m_target);
    } else {
        m_suspectUntil[m_target] = now + suspectMs;
    }
    m_acked[m_target] = response.ackedReport;
    if (response.proof) {
        m_proofs.accept(*response.proof, sentAt);
    }
    if (response.lease) {
        m_lease.accept(*response.lease, sentAt, now);
    }
    m_state.accept(response.state, m_proofs.lowestIndex(now));
    m_view.learn(response.view);
    m_viewSource = response.view.source;
    m_viewVersion = response.view.version;
    learnContacts(response, now);
}

void SyncClient::failed(TimeMs now)
{
    if (m_sentAt < 0) {
        return;
    }
    m_sentAt = -1;
    m_suspectUntil[m_target] = now + suspectMs;
    m_nextDue = std::min(m_nextDue, now + retryMs);
}

SyncContacts SyncClient::contacts(TimeMs now) const
{
    if (m_lease.isHeld(now)) {
        return {m_leaderAddress, m_self.id, m_self.peerAddress};
    }
    // A relay that has not heard of the coordinator for a lease must not keep an old one alive in others' tables.
    if (now - m_coordinatorSeenAt > coordinatorLeaseMs) {
        return {m_leaderAddress, {}, {}};
    }
    return {m_leaderAddress, m_coordinatorId, m_coordinatorAddress};
}

std::string SyncClient::target(TimeMs now, Random &random)
{
    if (!m_lease.isHeld(now) && m_coordinatorId != m_self.id && isUsable(m_coordinatorAddress, now)) {
        return m_coordinatorAddress;
    }
    if (isUsable(m_leaderAddress, now)) {
        return m_leaderAddress;
    }
    std::string seed = firstUsable(m_seeds, now, random);
    if (!seed.empty()) {
        return seed;
    }
    std::vector<std::string> peers;
    for (const Member &member : m_view.upMembers()) {
        peers.push_back(member.peerAddress);
    }
    std::string peer = firstUsable(peers, now, random);
    if (!peer.empty()) {
        return peer;
    }
    peers.insert(peers.end(), m_seeds.begin(), m_seeds.end());
    std::erase(peers, m_self.peerAddress);
    return peers.empty() ? std::string() : peers[random.below(peers.size())];
}

std::string SyncClient::firstUsable(const std::vector<std::string> &addresses, TimeMs now, Random &random) const
{
    const std::size_t start = random.below(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::string &address = addresses[(start + i) % addresses.size()];
        if (isUsable(address, now)) {
            return address;
        }
    }
    return {};
}

bool SyncClient::isUsable(const std::string &address, TimeMs now) const
{
    if (address.empty() || address == m_self.peerAddress) {
        return false;
    }
    const auto suspect = m_suspectUntil.find(address);
    return suspect == m_suspectUntil.end() || now >= suspect->second;
}

void SyncClient::announceSelf(TimeMs now)
{
    m_announced.revision = m_self.revision;
    if (m_self != m_announced) {
        ++m_self.revision;
        m_announced = m_self;
    }
    m_view.hear(m_self, m_state.index(), now);
}

SyncRequest SyncClient::buildRequest(const std::string &address, TimeMs now) const
{
    SyncRequest request;
    request.self = m_self;
    request.stateIndex = m_state.index();
    request.viewSource = m_viewSource;
    request.viewVersion = m_viewVersion;
    request.wantsLease = !m_self.control && !m_self.draining;
    request.leaseLeftMs = m_lease.leftMs(now);
    const auto acked = m_acked.find(address);
    request.report = m_view.report(acked == m_acked.end() ? 0 : acked->second);
    request.share = m_share;
    return request;
}

void SyncClient::learnContacts(const SyncResponse &response, TimeMs now)
{
    if (!response.leaderAddress.empty()) {
        m_leaderAddress = response.leaderAddress;
    }
    // Relays must not keep a former coordinator alive in each other's tables: what they say is used, not passed on.
    if (response.view.authoritative) {
        m_coordinatorSeenAt = now;
    }
    if (response.view.authoritative || !response.coordinatorId.empty()) {
        m_coordinatorId = response.coordinatorId;
        m_coordinatorAddress = response.coordinatorAddress;
    }
}
}
