#pragma once

#include "base/eventlog.h"
#include "base/metrics.h"
#include "mesh/protocoladapter.h"
#include "upstreamconnection.h"
#include "upstreamqueue.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The only way to the upstreams of this host: decides which calls may run, limits how many run at once, and knows from
/// announcements and answers whether an upstream is there.
class UpstreamPort
{
public:
    struct Identity {
        std::string domain;
        std::string service; ///< of the upstream beside this node
        std::string peerAddress; ///< of this node
        std::string sourceIp;
    };

    UpstreamPort(EventLoop &loop, const ProtocolAdapter &adapter, EventLog &log, Metrics &metrics, Identity identity);

    /// The state of an upstream changed.
    std::function<void()> onStateChanged;
    /// Returns true if the upstream of this host called other services lately.
    std::function<bool()> makesCalls;

    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Takes an announcement. Returns false if it is outdated or not of this host's service.
    bool announce(const Announcement &announcement);
    /// Takes an upstream that answered a health question, unless one has announced itself.
    void found(const std::string &id, const std::string &address, int slots);
    /// True if an upstream is known, whatever its state.
    bool knowsUpstream() const
    {
        return !m_upstreams.empty();
    }
    /// Offers a call. @p reply is called once, perhaps inside this function.
    void offer(CallMessage message, std::uint64_t owner, ReplyHandler reply);
    /// The caller left: a waiting call is dropped, a running one is broken off if it is idempotent. No reply follows.
    void cancel(std::uint64_t owner, std::uint64_t callId);
    /// This node leaves: its upstreams are announced as draining to other nodes.
    void drain();

    std::vector<UpstreamEntry> entries() const;
    /// Measures the demand since the last call of this function; call it with each report to the leader.
    void measureDemand();
    LoadReport load() const;
    std::size_t pending() const;

private:
    struct Upstream {
        Announcement info;
        double heardAtMs = 0; ///< last announcement or answer
        double retryAtMs = 0; ///< earliest next trial of an unreachable upstream
        bool departed = false;
        bool reachable = true;
        bool trialRunning = false;
        int offered = 0; ///< calls since the last measurement
        double offeredSlots = 0; ///< smoothed
        double serviceMs = 0; ///< smoothed time to answer
        std::map<std::uint32_t, double> serviceMsOfKind; ///< the same by kind of call
        int active = 0;
        UpstreamQueue queue;
        std::list<std::shared_ptr<UpstreamConnection>> connections; ///< most recently used first
    };

    double now() const
    {
        return m_loop.clock().preciseMs();
    }
    int limitOf(const Upstream &upstream) const;
    bool mayStart(const Upstream &upstream) const;
    UpstreamState stateOf(const Upstream &upstream) const;
    std::string refusalReason(const Upstream *upstream, const CallMessage &message) const;
    void refuse(const OfferedCall &call, const std::string &reason);
    void start(const std::string &id, Upstream &upstream, OfferedCall call);
    std::shared_ptr<UpstreamConnection> connectionFor(const std::string &id, Upstream &upstream);
    void finished(const std::string &id, const std::shared_ptr<UpstreamConnection> &connection, OfferedCall call, ReplyMessage reply, bool connectFailed);
    void startWaiting(const std::string &id, Upstream &upstream);
    static void noteElapsed(Upstream &upstream, std::uint32_t kind, double elapsedMs);
    void setReachable(const std::string &id, Upstream &upstream, bool reachable, const std::string &reason);
    void scheduleSweep();
    void sweep();
    void sweepUpstream(const std::string &id, Upstream &upstream);
    void deliver(const OfferedCall &call, ReplyMessage reply);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    EventLog &m_log;
    Metrics &m_metrics;
    Identity m_identity;
    std::shared_ptr<const FleetConfig> m_config;
    std::map<std::string, Upstream> m_upstreams;
    double m_measuredMs = 0;
    bool m_draining = false;
    bool m_sweepScheduled = false;
};
}
