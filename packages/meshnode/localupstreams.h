#pragma once

#include "base/eventlog.h"
#include "base/metrics.h"
#include "coldstart.h"
#include "mesh/protocoladapter.h"
#include "requestpacer.h"
#include "upstreamconnection.h"
#include "upstreamfigures.h"
#include "upstreamqueue.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Forwards calls to the upstreams of this host. All calls pass through it: it limits the concurrent calls of each
/// upstream, queues or refuses the others, and tracks the state of the upstreams from announcements and responses.
class LocalUpstreams
{
public:
    struct Identity {
        std::string domain;
        std::string service; ///< of the upstream beside this node
        std::string peerAddress; ///< of this node
        std::string sourceIp;
    };

    LocalUpstreams(EventLoop &loop, const ProtocolAdapter &adapter, EventLog &log, Metrics &metrics, Identity identity);

    /// Called after a state change of an upstream.
    std::function<void()> onStateChanged;
    /// Returns true if the upstream of this host recently made nested calls.
    std::function<bool()> makesCalls;

    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Applies an announcement. Returns false if it is outdated or from another service.
    bool announce(const Announcement &announcement);
    /// Adds an upstream that answered a health probe, unless an upstream is known already. Without @p coldLeftMs the response did not
    /// state the remaining warm-up time.
    void addProbedUpstream(const std::string &id, const std::string &address, int slots, std::optional<double> coldLeftMs = std::nullopt);
    /// Returns true if an upstream in any state is known.
    bool hasUpstreams() const
    {
        return !m_upstreams.empty();
    }
    /// Runs, queues or refuses a call. @p reply is called once, possibly before this function returns.
    void offer(CallMessage message, std::uint64_t senderId, ReplyHandler reply);
    /// Cancels a call whose caller disconnected: removes a queued call and aborts a running one if it is idempotent. The
    /// reply handler of a removed or aborted call is not called.
    void cancel(std::uint64_t senderId, std::uint64_t callId);
    /// Reports the upstreams as draining from now on, because this node shuts down.
    void drain();

    /// Returns the tree priority of a call that an upstream of this host serves at present.
    std::optional<int> treePriorityOf(const std::string &requestId) const;

    std::vector<UpstreamEntry> entries() const;
    /// Returns the drains and departures that the leader has not confirmed as stored.
    std::vector<DrainedUpstream> unstoredDrains() const;
    /// Returns true if a drain or departure of the upstream is not stored yet, so that a restart of this process forgets it.
    bool hasUnstoredDrain(const std::string &id) const;
    /// Returns true once the drains from before the start of this process are known. No call is started before.
    bool knowsStoredDrains() const
    {
        return m_knowsStoredDrains;
    }
    /// Sets the stored drains of this host, those from before the start of this process included. Their upstreams are used again
    /// only after a newer announcement.
    void setStoredDrains(const std::vector<DrainedUpstream> &drained);
    /// Stops the use of the upstreams while the failure domain of this host is evacuated: new and queued calls are refused, and running
    /// ones end. Afterwards the upstreams count as cold until they state otherwise.
    void setEvacuated(bool evacuated);
    /// Updates the smoothed demand with the calls since the previous measurement; to be called before each report to the
    /// leader.
    void measureDemand();
    LoadReport load() const;
    std::size_t pending() const;
    /// Returns the memory of responses that are being read.
    std::size_t heldResponseBytes() const
    {
        return m_responseMemory.heldBytes;
    }
    /// Returns the memory of calls that wait or are being sent.
    std::size_t heldCallBytes() const;
    /// Abandons the largest response that is being read. Returns false if there is none.
    bool abandonLargestResponse();

private:
    struct Upstream {
        Announcement info;
        double lastContactMs = 0; ///< time of the last announcement or response
        double lastAnnouncedMs = 0;
        double announcePeriodMs = 0; ///< longest recent interval between two announcements
        double retryAtMs = 0; ///< earliest time of the next trial call to an unreachable upstream
        std::uint64_t drainSequence = 0; ///< of the first announcement of the present drain
        bool departed = false;
        bool leaving = false; ///< according to its responses
        bool reachable = true;
        bool trialRunning = false;
        int newCalls = 0; ///< calls since the last measurement of demand, without retries
        double demandSlots = 0; ///< smoothed demand in slots
        double newCallsPerS = 0; ///< smoothed
        double serviceMs = 0; ///< smoothed service time
        std::map<std::uint32_t, double> serviceMsOfKind; ///< smoothed service time by kind of call
        WorkTime workTime;
        OutcomeShare declinedShare;
        int active = 0;
        ColdStart coldStart;
        bool wasCold = false; ///< when its rate was last determined
        std::optional<double> namedPerS; ///< rate named in its last response
        RequestPacer pacer;
        UpstreamQueue queue;
        std::list<std::shared_ptr<UpstreamConnection>> connections; ///< most recently used first
    };

    double now() const
    {
        return m_loop.clock().preciseMs();
    }
    bool announceDeparture(const Announcement &announcement);
    /// Returns true if the upstream drained earlier, such as before the start of this process, and the announcement is not
    /// newer than that.
    bool isFormerlyDrained(const Announcement &announcement) const;
    void recordFormerDrain(const DrainedUpstream &drained);
    void endFormerDrain(const Announcement &announcement);
    static std::optional<DrainedUpstream> drainOf(const std::string &id, const Upstream &upstream);
    bool isStored(const DrainedUpstream &drained) const;
    int limitOf(const Upstream &upstream) const;
    /// Requests per second that a cold upstream of the service tolerates; 0 for no limit.
    double coldRatePerS(const Upstream &upstream) const;
    /// Sets the rate of the upstream to the lower one of its named rate and of that of a cold upstream.
    void updateRate(const std::string &id, Upstream &upstream);
    void assumeCold(const std::string &id, Upstream &upstream, ColdStart::Cause cause);
    /// Slots that the upstream can use at its present rate.
    int usableSlots(const Upstream &upstream) const;
    bool mayStart(const Upstream &upstream) const;
    /// Returns true if the present rate of the upstream does not let the call start in time.
    bool exceedsRate(const Upstream &upstream, const OfferedCall &call) const;
    void applyAnswer(const std::string &id, const UpstreamAnswer &answer);
    UpstreamState stateOf(const Upstream &upstream) const;
    std::string refusalReason(const Upstream *upstream, const CallMessage &message) const;
    void refuse(const OfferedCall &call, const std::string &reason);
    void start(const std::string &id, Upstream &upstream, OfferedCall call);
    std::shared_ptr<UpstreamConnection> connectionFor(const std::string &id, Upstream &upstream, const std::string &requestId);
    void handleCallDone(const std::string &id, const std::shared_ptr<UpstreamConnection> &connection, OfferedCall call, ReplyMessage reply, bool connectFailed);
    void boundResponses();
    void startQueuedCalls(const std::string &id, Upstream &upstream);
    static void recordCancelledCall(Upstream &upstream, std::uint32_t kind, double elapsedMs);
    void setReachable(const std::string &id, Upstream &upstream, bool reachable, const std::string &reason);
    void scheduleSweep();
    void sweep();
    void sweepUpstream(const std::string &id, Upstream &upstream, bool isLate);
    /// Returns the time without an announcement or response after which an upstream is marked unreachable.
    static double maxSilenceMs(const Upstream &upstream);
    void deliver(const OfferedCall &call, ReplyMessage reply);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    EventLog &m_log;
    Metrics &m_metrics;
    Identity m_identity;
    std::shared_ptr<const FleetConfig> m_config;
    ResponseMemory m_responseMemory;
    std::map<std::string, Upstream> m_upstreams;
    std::unordered_map<std::string, int> m_treePriorities; ///< by request id of the calls that are being served
    std::map<std::string, DrainedUpstream> m_formerlyDrained; ///< that are not in m_upstreams, or announced nothing newer; by id
    std::vector<DrainedUpstream> m_storedDrains; ///< by the control hosts
    bool m_knowsStoredDrains = false;
    double m_demandMeasuredMs = 0;
    bool m_draining = false;
    bool m_evacuated = false;
    double m_sweepDueMs = 0;
    bool m_sweepScheduled = false;
};
}
