#pragma once

#include "base/metrics.h"
#include "calloutcome.h"
#include "claims/dispatchedactions.h"
#include "controlplane.h"
#include "policy/admission.h"
#include "runningcalls.h"

#include <unordered_map>

namespace Yuccagrade
{
/// Dispatches calls to the upstream on this host: queues calls above its concurrency limit and sends each action at most once.
class UpstreamDispatcher
{
public:
    UpstreamDispatcher(EventLoop &loop, HttpClient &client, EventLog &log, Metrics &metrics, ControlPlane &plane, RunningCalls &calls);

    void start();
    /// Serves POST /yuccagrade/announce.
    HttpResponse announce(const HttpRequest &request);
    /// Submits a call for admission. The callback runs once, unless the call is cancelled. Returns an identifier for cancel().
    std::uint64_t submit(const CallMeta &meta, HttpHeaders headers, std::string body, CallCallback done);
    /// Cancels a call whose caller disconnected: removes it from the queue or closes its connection to the upstream.
    void cancel(std::uint64_t id);
    /// Applies the team weights and the queue bound of the current manifest.
    void stateChanged();
    /// Refuses all new calls; running ones finish.
    void drain();
    LoadReport load() const;
    /// Number of queued and running calls.
    std::size_t activeCallCount() const
    {
        return m_calls.size();
    }
    const std::optional<UpstreamAnnouncement> &upstream() const
    {
        return m_upstream;
    }

private:
    struct Call {
        CallMeta meta;
        HttpHeaders headers;
        std::string body;
        CallCallback done;
        TimeMs deadline = 0;
        double startedMs = 0;
        HttpCallId http = 0;
        std::shared_ptr<RunningCall> running; ///< set when the call is sent to the upstream
        std::string address = {}; ///< of the upstream, once the call was sent
    };

    bool parseAnnouncement(const std::string &body, UpstreamAnnouncement &announcement) const;
    void setUpstream(const std::optional<UpstreamAnnouncement> &upstream);
    void checkUpstream();
    void scheduleQueueTick();
    void applyActions(const AdmissionActions &actions);
    void startCall(std::uint64_t id);
    std::optional<Problem> recheckKey(const CallMeta &meta) const;
    std::optional<Problem> recordAction(const CallMeta &meta);
    void sendToUpstream(std::uint64_t id, Call &call);
    void onUpstreamResult(std::uint64_t id, const HttpResult &result);
    void endCall(std::uint64_t id, CallOutcome outcome, CallResult result);
    void refuse(std::uint64_t id, const Problem &problem);
    Problem refusalProblem(RefusalReason reason) const;

    EventLoop &m_loop;
    HttpClient &m_client;
    EventLog &m_log;
    Metrics &m_metrics;
    ControlPlane &m_plane;
    RunningCalls &m_runningCalls;
    Admission m_admission;
    DispatchedActions m_dispatchedActions;
    std::optional<UpstreamAnnouncement> m_upstream;
    std::string m_upstreamIp;
    TimeMs m_lastAnnouncementAt = 0;
    bool m_draining = false;
    bool m_queueTickScheduled = false;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Call> m_calls;
};
}
