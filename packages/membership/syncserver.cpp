#include "syncserver.h"

#include <utility>

namespace Yuccagrade
{
SyncServer::SyncServer(std::string domain, MemberView &view, ProofHolder &proofs, StateFeed &feed)
    : m_domain(std::move(domain))
    , m_view(view)
    , m_proofs(proofs)
    , m_feed(feed)
{
}

void SyncServer::setLeaderHooks(LeaderHooks hooks)
{
    m_hooks = std::move(hooks);
}

SyncResponse SyncServer::answer(const SyncRequest &request, SyncRole role, const SyncContacts &contacts, TimeMs now)
{
    takeRole(role, now);
    SyncResponse response;
    response.responder = m_view.source();
    response.leaderAddress = contacts.leaderAddress;
    if (!m_view.hear(request.self, request.stateIndex, now)) {
        return response; // a newer process runs under this id
    }
    const std::string reporter = request.self.id + ';' + std::to_string(request.self.incarnation);
    const auto acked = m_view.takeReport(reporter, request.report, now);
    response.ackedReport = acked.value_or(0);
    if (role == SyncRole::Leader) {
        // With a gap in the reports the leader may not know all processes that the sender passed proofs to.
        if (acked) {
            takeConfirmations(request);
        }
        takeLeaderRequest(request, response);
    }
    if (role == SyncRole::Leader || request.self.domain == m_domain) {
        fillContacts(response, request, role, contacts);
    }
    response.proof = m_proofs.issue(m_feed.lastIndex(), now);
    response.state = m_feed.updateSince(request.stateIndex);
    response.view = m_view.changesSince(request.viewSource, request.viewVersion);
    response.view.authoritative = role != SyncRole::Relay;
    return response;
}

std::vector<Member> SyncServer::expire(SyncRole role, TimeMs now)
{
    takeRole(role, now);
    if (role == SyncRole::Relay) {
        m_view.forgetHeard(now);
        return {};
    }
    std::vector<Member> down = m_view.expire(now);
    if (role == SyncRole::Leader && m_hooks.lose) {
        for (const Member &member : down) {
            m_hooks.lose(member);
        }
    }
    return down;
}

void SyncServer::takeRole(SyncRole role, TimeMs now)
{
    if (role != m_role && role != SyncRole::Relay) {
        m_view.adopt(role == SyncRole::Leader ? std::string() : m_domain, now);
    }
    m_role = role;
}

void SyncServer::takeConfirmations(const SyncRequest &request)
{
    if (m_hooks.lose) {
        for (const Member &member : request.report.members) {
            if (!member.up) {
                m_hooks.lose(member);
            }
        }
    }
    if (m_hooks.confirm) {
        m_hooks.confirm({request.self.id, request.self.incarnation, request.stateIndex});
        for (const StateConfirmation &confirmation : request.report.confirmed) {
            m_hooks.confirm(confirmation);
        }
    }
}

void SyncServer::takeLeaderRequest(const SyncRequest &request, SyncResponse &response)
{
    if (m_hooks.lease) {
        response.lease = m_hooks.lease(request);
    }
    if (m_hooks.share) {
        response.share = m_hooks.share(request);
    }
}

void SyncServer::fillContacts(SyncResponse &response, const SyncRequest &request, SyncRole role, const SyncContacts &contacts)
{
    if (role != SyncRole::Leader || !m_hooks.coordinator) {
        response.coordinatorId = contacts.coordinatorId;
        response.coordinatorAddress = contacts.coordinatorAddress;
        return;
    }
    const Member *coordinator = m_view.find(m_hooks.coordinator(request.self.domain));
    if (coordinator) {
        response.coordinatorId = coordinator->id;
        response.coordinatorAddress = coordinator->peerAddress;
    }
}
}
