#pragma once

#include "coordinatorlease.h"
#include "memberview.h"
#include "proof.h"
#include "statefeed.h"

#include <functional>

namespace Yuccagrade
{
/// Role in which a process answers sync requests.
enum class SyncRole { Relay, Coordinator, Leader };

/// Hooks of the control leader. Empty in the other roles.
struct LeaderHooks {
    std::function<std::optional<CoordinatorLeaseGrant>(const SyncRequest &)> lease;
    std::function<std::optional<ShareMessage>(const SyncRequest &)> share;
    /// Returns the id of the coordinator of a domain, empty if there is none.
    std::function<std::string(const std::string &)> coordinator;
    /// Records that a process has confirmed a state index.
    std::function<void(const StateConfirmation &)> confirm;
    /// Records that a process is no longer reachable.
    std::function<void(const Member &)> lose;
};

/// What the process knows about the leader and its own coordinator.
struct SyncContacts {
    std::string leaderAddress;
    std::string coordinatorId;
    std::string coordinatorAddress;
};

/// Answers sync requests from the view, proofs and state of the process.
class SyncServer
{
public:
    /// @param domain domain of this process; only its coordinator is known to a process that does not lead.
    SyncServer(std::string domain, MemberView &view, ProofHolder &proofs, StateFeed &feed);
    void setLeaderHooks(LeaderHooks hooks);
    SyncResponse answer(const SyncRequest &request, SyncRole role, const SyncContacts &contacts, TimeMs now);
    /// To be called every 100 ms or so. Removes silent members as @p role demands. Returns members that are now down.
    std::vector<Member> expire(SyncRole role, TimeMs now);

private:
    void takeRole(SyncRole role, TimeMs now);
    void takeConfirmations(const SyncRequest &request);
    void takeLeaderRequest(const SyncRequest &request, SyncResponse &response);
    void fillContacts(SyncResponse &response, const SyncRequest &request, SyncRole role, const SyncContacts &contacts);

    std::string m_domain;
    SyncRole m_role = SyncRole::Relay;
    MemberView &m_view;
    ProofHolder &m_proofs;
    StateFeed &m_feed;
    LeaderHooks m_hooks;
};
}
