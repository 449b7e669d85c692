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
/// Guards the upstream on this host: admits calls within its limit and hands each one over at most once.
class UpstreamGate
{
public:
    UpstreamGate(EventLoop &loop, HttpClient &client, EventLog &log, Metrics &metrics, ControlPlane &plane, RunningCalls &calls);

    void start();
    /// Serves POST /yuccagrade/announce.
    HttpResponse announce(const HttpRequest &request);
    /// Offers a call. The callback runs once, unless the call is cancelled. Returns an identifier for cancel().
    std::uint64_t offer(const CallMeta &meta, HttpHeaders headers, std::string body, CallCallback done);
    /// The caller has gone: drops the call from the queue or closes its connection to the upstream.
    void cancel(std::uint64_t id);
    /// Takes over weights and queue bounds of the manifest.
    void stateChanged();
    /// Refuses all new calls; running ones finish.
    void drain();
    LoadReport load() const;
    /// Calls that wait or run.
    std::size_t active() const
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
        std::shared_ptr<RunningCall> running; ///< set once the call is handed to the upstream
    };

    bool takeAnnouncement(const std::string &body, UpstreamAnnouncement &announcement) const;
    void setUpstream(const std::optional<UpstreamAnnouncement> &upstream);
    void watchUpstream();
    void tickQueue();
    void carryOut(const AdmissionActions &actions);
    void startCall(std::uint64_t id);
    std::optional<Problem> recheck(const CallMeta &meta) const;
    std::optional<Problem> recordAction(const CallMeta &meta);
    void sendToUpstream(std::uint64_t id, Call &call);
    void finish(std::uint64_t id, const HttpResult &result);
    void complete(std::uint64_t id, CallOutcome outcome, CallResult result);
    void refuse(std::uint64_t id, const Problem &problem);
    Problem refusal(RefusalReason reason) const;

    EventLoop &m_loop;
    HttpClient &m_client;
    EventLog &m_log;
    Metrics &m_metrics;
    ControlPlane &m_plane;
    RunningCalls &m_running;
    Admission m_admission;
    DispatchedActions m_dispatched;
    std::optional<UpstreamAnnouncement> m_upstream;
    std::string m_upstreamIp;
    TimeMs m_heardAt = 0;
    bool m_draining = false;
    bool m_queueTimer = false;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Call> m_calls;
};
}
