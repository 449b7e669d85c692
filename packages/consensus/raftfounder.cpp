#include "raftcore.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// Founding happens once, and the hosts may be started minutes apart, so one question per second is enough.
constexpr TimeMs helloPeriodMs = 1000;
}

bool RaftCore::isFounder() const
{
    const auto &initial = m_identity.initialMembers;
    const auto lowest = std::min_element(initial.begin(), initial.end(), [](const GroupMember &a, const GroupMember &b) {
        return a.id < b.id;
    });
    return lowest != initial.end() && lowest->id == m_identity.id;
}

void RaftCore::tickFounder(TimeMs now)
{
    if (!isFounder() || now < m_helloDueMs) {
        return;
    }
    m_helloDueMs = now + helloPeriodMs;
    m_emptyDisks = {{m_identity.id, m_identity.diskId}};
    for (const GroupMember &member : m_identity.initialMembers) {
        if (member.id != m_identity.id) {
            m_out.requests.push_back({member.id, member.address, HelloRequest{m_identity.id}});
        }
    }
    foundGroup();
}

HelloResponse RaftCore::handleHello(const HelloRequest & /*request*/) const
{
    return {m_identity.diskId, isEmpty()};
}

RaftActions RaftCore::handleHelloResponse(const std::string &peer, const HelloResponse &response, TimeMs now)
{
    if (!isEmpty() || !isFounder() || !findMember(m_identity.initialMembers, peer)) {
        return takeActions();
    }
    if (!response.empty || response.diskId.empty()) {
        // The group exists, so this host's disk was lost or is new; the leader will send the log.
        m_emptyDisks.clear();
    } else {
        m_emptyDisks[peer] = response.diskId;
    }
    foundGroup();
    if (!isEmpty()) {
        m_electionDueMs = now;
    }
    return takeActions();
}

// All answers must belong to the same round, and an answer of a non-empty host clears the round.
void RaftCore::foundGroup()
{
    std::vector<GroupMember> members;
    for (const GroupMember &member : m_identity.initialMembers) {
        const auto found = m_emptyDisks.find(member.id);
        if (found == m_emptyDisks.end()) {
            return;
        }
        members.push_back({member.id, member.address, found->second, true});
    }
    setHard(1, {});
    appendOwn(EntryKind::Members, toJsonList(members));
}
}
