#pragma once

#include "base/random.h"
#include "coordinatorlease.h"
#include "memberview.h"
#include "proof.h"
#include "statefeed.h"
#include "syncserver.h"

#include <map>
#include <set>

namespace Yuccagrade
{
constexpr TimeMs syncPeriodMs = 500;

/// A sync request to send.
struct SyncAction {
    std::string address;
    SyncRequest request;
};

/// Decides when and with whom a process syncs, builds the requests and takes in the responses.
class SyncClient
{
public:
    /// @param self description of this process; @param seeds peer addresses from the settings.
    SyncClient(Member self, std::vector<std::string> seeds, MemberView &view, ProofHolder &proofs, StateReceiver &state, CoordinatorLeaseHolder &lease);

    /// Returns the request to send now, if one is due. At most one request is under way.
    std::optional<SyncAction> poll(TimeMs now, Random &random);
    /// Takes the response to the last request. Ignores it if that request was given up.
    void answered(const SyncResponse &response, TimeMs sentAt, TimeMs now);
    /// The last request failed; its target is avoided for a while and the next one is tried at once.
    void failed(TimeMs now);

    /// Description of this process; changes are part of the next request.
    Member &self()
    {
        return m_self;
    }
    /// Share to report to the leader.
    void setShare(const std::optional<ShareMessage> &share)
    {
        m_share = share;
    }
    SyncContacts contacts(TimeMs now) const;
    /// Role in which this process answers, unless it is the leader.
    SyncRole role(TimeMs now) const
    {
        return m_lease.isHeld(now) ? SyncRole::Coordinator : SyncRole::Relay;
    }

private:
    std::string target(TimeMs now, Random &random);
    std::string firstUsable(const std::vector<std::string> &addresses, TimeMs now, Random &random) const;
    bool isUsable(const std::string &address, TimeMs now) const;
    void announceSelf(TimeMs now);
    SyncRequest buildRequest(const std::string &address, TimeMs now) const;
    void learnContacts(const SyncResponse &response, TimeMs now);

    Member m_self;
    Member m_announced; ///< description in the last request
    std::vector<std::string> m_seeds;
    MemberView &m_view;
    ProofHolder &m_proofs;
    StateReceiver &m_state;
    CoordinatorLeaseHolder &m_lease;
    std::optional<ShareMessage> m_share;

    TimeMs m_nextDue = 0;
    TimeMs m_sentAt = -1; ///< sending time of the request under way, -1 if none
    std::string m_target;
    std::map<std::string, TimeMs> m_suspectUntil;
    std::string m_leaderAddress;
    std::string m_coordinatorId;
    std::string m_coordinatorAddress;
    TimeMs m_coordinatorSeenAt = 0;
    std::string m_viewSource;
    std::uint64_t m_viewVersion = 0;
    std::uint64_t m_viewLosses = 0; ///< losses of the view when the request under way was built
    std::map<std::string, std::uint64_t> m_acked; ///< acknowledged report version by address
};
}
