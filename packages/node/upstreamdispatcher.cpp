#include "upstreamdispatcher.h"

#include "base/errc.h"
#include "headers.h"
#include "protocol/jsoncodec.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs admissionTickMs = 5; // runs only while calls are queued
constexpr TimeMs announcementTimeoutMs = 3'000; // three announcement periods
constexpr TimeMs upstreamCheckPeriodMs = 200;
constexpr int statusServiceUnavailable = 503;
constexpr int retryAfterS = 1;

Problem notRun(int status, Event event, std::string detail, int retryS = 0)
{
    return {status, event, Outcome::NotRun, std::move(detail), retryS};
}

// Converts a failed HTTP exchange into a problem. If no byte was sent, the upstream cannot have executed the request.
Problem toProblem(const HttpResult &result)
{
    if (!result.bytesSent) {
        return notRun(statusServiceUnavailable, Event::UpstreamUnavailable, "no connection to the upstream could be established", retryAfterS);
    }
    if (result.error == Errc::Timeout) {
        return {504, Event::DeadlineExceeded, Outcome::MayHaveRun, "the upstream did not respond before the deadline", 0};
    }
    return {502, Event::UpstreamAnswerBroken, Outcome::MayHaveRun, "the upstream's response is incomplete: " + result.error.message(), 0};
}

CallResult toCallResult(const HttpResult &result)
{
    if (result.error == Errc::Timeout) {
        return CallResult::Timeout;
    }
    return result.error || result.response.status == statusServiceUnavailable ? CallResult::Overloaded : CallResult::Ok;
}
}

UpstreamDispatcher::UpstreamDispatcher(EventLoop &loop, HttpClient &client, EventLog &log, Metrics &metrics, ControlPlane &plane, RunningCalls &calls)
    : m_loop(loop)
    , m_client(client)
    , m_log(log)
    , m_metrics(metrics)
    , m_plane(plane)
    , m_runningCalls(calls)
{
}

void UpstreamDispatcher::start()
{
    m_loop.every(upstreamCheckPeriodMs, [this] {
        checkUpstream();
        m_dispatchedActions.expire(m_loop.clock().now());
    });
}

bool UpstreamDispatcher::parseAnnouncement(const std::string &body, UpstreamAnnouncement &announcement) const
{
    Json::Value value;
    std::string state;
    if (!parseJson(body, value)) {
        return false;
    }
    JsonReader reader(value);
    reader.read("service", announcement.service).read("port", announcement.port).read("slots", announcement.slots);
    reader.read("connections", announcement.connections).read("state", state);
    announcement.draining = state == "draining";
    return reader.ok() && (state == "up" || announcement.draining) && announcement.port > 0 && announcement.port < 65536 && announcement.slots > 0
        && announcement.connections > 0;
}

HttpResponse UpstreamDispatcher::announce(const HttpRequest &request)
{
    UpstreamAnnouncement announcement;
    if (!parseAnnouncement(request.body, announcement)) {
        m_log.write(Event::MalformedRequest, {{"path", request.path}});
        return toResponse(notRun(400, Event::MalformedRequest, "expected service, port, slots, connections and state up or draining"));
    }
    m_upstreamIp = request.remoteAddress;
    m_lastAnnouncementAt = m_loop.clock().now();
    if (announcement != m_upstream) {
        setUpstream(announcement);
    }
    return {204, {}, {}};
}

void UpstreamDispatcher::setUpstream(const std::optional<UpstreamAnnouncement> &upstream)
{
    const bool isUp = upstream && !upstream->draining;
    m_upstream = upstream;
    m_plane.setUpstream(upstream);
    const Event event = !upstream ? Event::UpstreamSilent : upstream->draining ? Event::UpstreamDraining : Event::UpstreamAnnounced;
    m_log.write(event, {{"service", upstream ? upstream->service : std::string()}});
    if (isUp) {
        m_admission.announce(upstream->slots, upstream->connections);
    }
    if (isUp && !m_draining) {
        m_admission.resume();
        stateChanged();
    } else {
        applyActions(m_admission.drain(m_loop.clock().preciseMs()));
    }
}

void UpstreamDispatcher::checkUpstream()
{
    if (m_upstream && m_loop.clock().now() - m_lastAnnouncementAt > announcementTimeoutMs) {
        setUpstream(std::nullopt);
    }
}

void UpstreamDispatcher::stateChanged()
{
    const auto manifest = m_plane.state().manifest();
    for (const TeamSpec &team : manifest->teams) {
        m_admission.setWeight(team.name, team.weight);
    }
    const ServiceSpec *service = m_upstream ? manifest->service(m_upstream->service) : nullptr;
    if (service) {
        m_admission.setQueueMs(static_cast<double>(service->queueMs));
    }
}

void UpstreamDispatcher::drain()
{
    m_draining = true;
    applyActions(m_admission.drain(m_loop.clock().preciseMs()));
}

LoadReport UpstreamDispatcher::load() const
{
    return {m_loop.clock().now(), static_cast<int>(m_admission.queued()), m_admission.inFlight(), m_admission.limit()};
}

std::uint64_t UpstreamDispatcher::submit(const CallMeta &meta, HttpHeaders headers, std::string body, CallCallback done)
{
    const std::uint64_t id = ++m_lastId;
    const double now = m_loop.clock().preciseMs();
    const TimeMs deadline = m_loop.clock().now() + meta.remainingMs;
    m_calls.emplace(id, Call{meta, std::move(headers), std::move(body), std::move(done), deadline, 0, 0, nullptr});
    if (!m_upstream || m_upstream->service != meta.service) {
        refuse(id, notRun(statusServiceUnavailable, Event::UpstreamUnavailable, "no upstream of the service is on this host", retryAfterS));
        return id;
    }
    QueuedRequest request;
    request.id = id;
    request.priority = meta.priority;
    request.depth = meta.depth;
    request.team = meta.team;
    request.deadlineMs = now + static_cast<double>(meta.remainingMs);
    applyActions(m_admission.offer(std::move(request), now));
    scheduleQueueTick();
    return id;
}

void UpstreamDispatcher::cancel(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    m_log.write(Event::CallCancelled, {{"request", found->second.meta.requestId}});
    m_metrics.count("yuccagrade_calls_cancelled_total");
    if (!found->second.running) {
        m_admission.cancel(id);
        m_calls.erase(found);
        return;
    }
    m_client.cancel(found->second.http);
    found->second.done = nullptr;
    endCall(id, {}, CallResult::Cancelled);
}

// Expires queued calls. The timer is rescheduled only while calls are queued.
void UpstreamDispatcher::scheduleQueueTick()
{
    if (m_queueTickScheduled || m_admission.queued() == 0) {
        return;
    }
    m_queueTickScheduled = true;
    m_loop.after(admissionTickMs, [this] {
        m_queueTickScheduled = false;
        applyActions(m_admission.tick(m_loop.clock().preciseMs()));
        scheduleQueueTick();
    });
}

void UpstreamDispatcher::applyActions(const AdmissionActions &actions)
{
    for (const AdmissionAction &action : actions) {
        m_metrics.sample("yuccagrade_queue_ms", action.waitedMs);
        if (action.start) {
            startCall(action.id);
        } else {
            refuse(action.id, refusalProblem(action.reason));
        }
    }
}

Problem UpstreamDispatcher::refusalProblem(RefusalReason reason) const
{
    switch (reason) {
    case RefusalReason::Draining:
        return notRun(statusServiceUnavailable, Event::RequestRefusedDraining, "the upstream is draining", retryAfterS);
    case RefusalReason::DeadlineExceeded:
        return notRun(504, Event::DeadlineExceeded, "the deadline passed while the call was queued", 0);
    default:
        return notRun(statusServiceUnavailable, Event::RequestShed, "the upstream is at its concurrency limit", retryAfterS);
    }
}

// Repeats the key check at dispatch, so that a call that was queued before its key was withdrawn is not executed.
std::optional<Problem> UpstreamDispatcher::recheckKey(const CallMeta &meta) const
{
    if (meta.keyId.empty()) {
        return std::nullopt;
    }
    const RouteSpec *route = m_plane.state().manifest()->route(meta.route);
    if (!m_plane.isFresh() && !(route && route->isolatedServe)) {
        return notRun(statusServiceUnavailable, Event::RequestRefusedIsolated, "the node cannot confirm that the key is valid", retryAfterS);
    }
    if (m_plane.state().teamOfKeyId(meta.keyId) != meta.team) {
        return notRun(401, Event::KeyUnknown, "the key is unknown or withdrawn");
    }
    return std::nullopt;
}

std::optional<Problem> UpstreamDispatcher::recordAction(const CallMeta &meta)
{
    if (meta.actionHash.empty()) {
        return std::nullopt;
    }
    Id128 action;
    Id128 token;
    if (!Id128::fromText(meta.actionHash, action) || !Id128::fromText(meta.actionToken, token)) {
        return notRun(400, Event::MalformedRequest, "malformed action hash or claim token");
    }
    if (!m_dispatchedActions.add(action, token, m_loop.clock().now())) {
        return Problem{409, Event::ActionAlreadyClaimed, Outcome::MayHaveRun, "the action was already sent to the upstream", 0};
    }
    return std::nullopt;
}

// Called when the call has been admitted. Repeats the checks whose result may have changed in the queue, then sends the call.
void UpstreamDispatcher::startCall(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    auto problem = recheckKey(call.meta);
    problem = problem ? problem : recordAction(call.meta);
    if (problem) {
        CallOutcome outcome;
        outcome.problem = problem;
        endCall(id, std::move(outcome), CallResult::Cancelled);
        return;
    }
    sendToUpstream(id, call);
}

void UpstreamDispatcher::sendToUpstream(std::uint64_t id, Call &call)
{
    const TimeMs remaining = std::max<TimeMs>(1, call.deadline - m_loop.clock().now());
    call.startedMs = m_loop.clock().preciseMs();
    call.running = m_runningCalls.begin(call.meta, call.deadline);
    HttpCall http;
    http.method = call.meta.method;
    http.address = m_upstreamIp + ':' + std::to_string(m_upstream ? m_upstream->port : 0);
    http.target = call.meta.target;
    call.address = http.address;
    http.headers = std::move(call.headers);
    http.headers[Headers::context] = call.running->contextId;
    http.headers[Headers::timeoutMs] = std::to_string(remaining);
    http.body = std::move(call.body);
    http.timeoutMs = remaining;
    http.freshConnection = !call.meta.idempotent;
    m_log.write(Event::CallForwarded, {{"request", call.meta.requestId}, {"to", http.address}});
    call.http = m_client.send(std::move(http), [this, id](const HttpResult &result) {
        onUpstreamResult(id, result);
    });
}

void UpstreamDispatcher::onUpstreamResult(std::uint64_t id, const HttpResult &result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const CallMeta &meta = found->second.meta;
    CallOutcome outcome;
    if (result.error) {
        outcome.problem = toProblem(result);
        m_log.write(outcome.problem->event,
                    {{"request", meta.requestId},
                     {"team", meta.team},
                     {"from", found->second.address},
                     {"reason", result.error.message()},
                     {"received", result.defect}});
    } else {
        outcome.response = result.response;
        outcome.response.headers = forwardedResponseHeaders(result.response.headers);
    }
    Id128 action;
    Id128 token;
    if (!result.bytesSent && Id128::fromText(meta.actionHash, action) && Id128::fromText(meta.actionToken, token)) {
        m_dispatchedActions.notRun(action, token, m_loop.clock().now());
    }
    endCall(id, std::move(outcome), toCallResult(result));
}

// Ends an admitted call, releases its slot and starts queued calls that fit into the limit.
void UpstreamDispatcher::endCall(std::uint64_t id, CallOutcome outcome, CallResult result)
{
    const auto found = m_calls.find(id);
    Call call = std::move(found->second);
    m_calls.erase(found);
    const double now = m_loop.clock().preciseMs();
    const double latency = call.startedMs > 0 ? now - call.startedMs : 0;
    outcome.unusedRetries = call.running ? call.running->budget.left() : call.meta.retries;
    if (call.running) {
        m_runningCalls.end(*call.running);
        m_metrics.sample("yuccagrade_upstream_ms", latency);
    }
    const AdmissionActions next = m_admission.finished(result, latency, now);
    outcome.load = load();
    if (call.done) {
        call.done(std::move(outcome));
    }
    applyActions(next);
}

void UpstreamDispatcher::refuse(std::uint64_t id, const Problem &problem)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    m_metrics.count("yuccagrade_refused_total", "reason=\"" + std::string(eventInfo(problem.event).name) + '"');
    m_log.write(problem.event, {{"request", call.meta.requestId}, {"team", call.meta.team}, {"route", call.meta.route}});
    CallOutcome outcome;
    outcome.problem = problem;
    outcome.unusedRetries = call.meta.retries;
    outcome.load = load();
    call.done(std::move(outcome));
}
}
