#include "raftcore.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// The bootstrap happens once, and the hosts may be started minutes apart, so one round of requests per second is enough.
constexpr TimeMs helloPeriodMs = 1000;
}

bool RaftCore::isBootstrapMember() const
{
    const auto &initial = m_identity.initialMembers;
    const auto lowest = std::min_element(initial.begin(), initial.end(), [](const GroupMember &a, const GroupMember &b) {
        return a.id < b.id;
    });
    return lowest != initial.end() && lowest->id == m_identity.id;
}

void RaftCore::tickBootstrap(TimeMs now)
{
    if (!isBootstrapMember() || now < m_helloDueMs) {
        return;
    }
    m_helloDueMs = now + helloPeriodMs;
    m_emptyDiskIds = {{m_identity.id, m_identity.diskId}};
    for (const GroupMember &member : m_identity.initialMembers) {
        if (member.id != m_identity.id) {
            m_pendingActions.requests.push_back({member.id, member.address, HelloRequest{m_identity.id}});
        }
    }
    bootstrapGroup();
}

HelloResponse RaftCore::handleHello(const HelloRequest & /*request*/) const
{
    return {m_identity.diskId, isEmpty()};
}

RaftActions RaftCore::handleHelloResponse(const std::string &peer, const HelloResponse &response, TimeMs now)
{
    if (!isEmpty() || !isBootstrapMember() || !findMember(m_identity.initialMembers, peer)) {
        return takeActions();
    }
    if (!response.empty || response.diskId.empty()) {
        // The group already exists, so this host's disk was lost or is new; it receives the log from the leader.
        m_emptyDiskIds.clear();
    } else {
        m_emptyDiskIds[peer] = response.diskId;
    }
    bootstrapGroup();
    if (!isEmpty()) {
        m_electionDeadlineMs = now;
    }
    return takeActions();
}

// Writes the first group entry if all initial members have reported an empty disk since the round began. A response from a
// host with a non-empty disk clears the round.
void RaftCore::bootstrapGroup()
{
    std::vector<GroupMember> members;
    for (const GroupMember &member : m_identity.initialMembers) {
        const auto found = m_emptyDiskIds.find(member.id);
        if (found == m_emptyDiskIds.end()) {
            return;
        }
        members.push_back({member.id, member.address, found->second, true});
    }
    setHardState(1, {});
    appendLocal(EntryKind::Members, toJsonList(members));
}
}
