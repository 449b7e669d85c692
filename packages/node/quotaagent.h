#pragma once

#include "base/metrics.h"
#include "controlplane.h"
#include "quota/quotaclient.h"
#include "quota/quotacoordinator.h"

#include <deque>

namespace Yuccagrade
{
/// Enforces the rate limits of teams on this node: grants tokens to requests from borrowed tokens, and lends tokens to other nodes
/// while this node is the coordinator of its domain.
class QuotaAgent
{
public:
    using Callback = std::function<void(bool)>;

    QuotaAgent(EventLoop &loop, PeerLink &link, Metrics &metrics, ControlPlane &plane, const PeerIdentity &identity);

    void start();
    /// Applies the teams' rate limits of the replicated state.
    void stateChanged();
    /// Updates the list of coordinators of other domains.
    void viewChanged();
    /// Requests one token of @p team. The callback runs immediately, or after at most 20 ms if tokens must be borrowed first.
    void takeToken(const std::string &team, Callback callback);
    /// Returns the quota share to report to the leader.
    std::optional<ShareMessage> share() const;
    void shareGranted(const ShareMessage &grant, TimeMs sentAt);
    /// Returns the quota share to the leader.
    void drain();

private:
    struct WaitingRequest {
        std::string team;
        Callback callback;
        TimeMs deadline = 0;
    };

    struct Coordinator {
        std::string id;
        std::string address;
    };

    void tick();
    void scheduleWaitingTick();
    std::string lenderAddress(TimeMs now) const;
    void requestLoans();
    void requestPeerLoans();
    void onLoans(const BorrowResponse &response, TimeMs sentAt);
    void serveWaiting();
    Json::Value serveBorrow(const Json::Value &parameters);

    EventLoop &m_loop;
    PeerLink &m_link;
    Metrics &m_metrics;
    ControlPlane &m_plane;
    QuotaClient m_client;
    QuotaCoordinator m_coordinator;
    std::deque<WaitingRequest> m_waitingRequests; ///< oldest first; all have the same wait limit
    std::optional<ShareMessage> m_returnedShare; ///< share returned on drain, reported from then on
    std::vector<Coordinator> m_coordinators; ///< of the other domains
    bool m_waitingTickScheduled = false;
    std::map<std::string, TimeMs> m_lenderBackoffUntil; ///< when a lender that did not respond may be used again, by address
};
}
