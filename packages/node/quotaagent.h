#pragma once

#include "base/metrics.h"
#include "controlplane.h"
#include "quota/quotaclient.h"
#include "quota/quotacoordinator.h"

#include <deque>

namespace Yuccagrade
{
/// The node's part in quota: pays requests from a stock of tokens, and lends as the coordinator of its domain.
class QuotaAgent
{
public:
    using Callback = std::function<void(bool)>;

    QuotaAgent(EventLoop &loop, PeerLink &link, Metrics &metrics, ControlPlane &plane, const PeerIdentity &identity);

    void start();
    /// Takes over the teams' limits from the replicated state.
    void stateChanged();
    /// Takes over the coordinators of the other domains.
    void viewChanged();
    /// Takes one token of @p team. The callback runs at once, or after at most 20 ms if an urgent borrow is needed.
    void take(const std::string &team, Callback callback);
    /// Share to report to the leader.
    std::optional<ShareMessage> share() const;
    void shareGranted(const ShareMessage &grant, TimeMs sentAt);
    /// Hands the share back.
    void drain();

private:
    struct Waiting {
        std::string team;
        Callback callback;
        TimeMs deadline = 0;
    };

    struct Coordinator {
        std::string id;
        std::string address;
    };

    void tick();
    void tickWaiting();
    std::string lenderAddress(TimeMs now) const;
    void ask();
    void askPeers();
    void takeLoans(const BorrowResponse &response, TimeMs sentAt);
    void payWaiting();
    Json::Value serveBorrow(const Json::Value &parameters);

    EventLoop &m_loop;
    PeerLink &m_link;
    Metrics &m_metrics;
    ControlPlane &m_plane;
    QuotaClient m_client;
    QuotaCoordinator m_desk;
    std::deque<Waiting> m_waiting; ///< oldest first; all wait equally long
    std::optional<ShareMessage> m_handedBack;
    std::vector<Coordinator> m_coordinators; ///< of the other domains
    bool m_waitingTimer = false;
    std::map<std::string, TimeMs> m_avoidUntil; ///< lenders that did not answer, by address
};
}
