#include "callbroker.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Owner of calls of this host's callers at the local upstream port; links have their own numbers from 1.
constexpr std::uint64_t localOwner = 0;
// Taken off a caller's time, so that the last answer reaches it in time.
constexpr double answerMarginMs = 15;
constexpr double defaultTimeMs = 10'000; // of a request that states none
// Nodes that may refuse a call before the caller is refused.
constexpr int maxRefusals = 3;
// An upstream whose mean time for a kind of call is above this part of the route's limit fails many of them.
constexpr double usableLimitShare = 0.6;
// An attempt with less time than this could not end well.
constexpr double minAttemptMs = 20;
// Range of the time after which a refused caller should come back.
constexpr double minRetryAfterMs = 200;
constexpr double retryAfterSpreadMs = 400;
constexpr double isolatedRetryAfterMs = 1'000;
constexpr int firstServerError = 500;
// A request waits this long for the leader to grant a token, and is checked this often. A leader that sends a new
// configuration to all nodes of a large fleet takes some 60 ms.
constexpr double parkedMaxMs = 150;
constexpr TimeMs parkCheckMs = 20;
// Parts of the time of a nested call and of the goal of a new request that it waits while no upstream is reachable: a
// process that was killed is back after some 0.5 s. Work done for the request of a nested call would be lost.
constexpr double nestedAwaitShare = 0.8;
constexpr double rootAwaitShare = 0.1;
constexpr TimeMs awaitCheckMs = 20;
// After a leader that did not answer, the node's share is used for this time before the leader is asked again.
constexpr double sharesFallbackMs = 500;
}

CallBroker::CallBroker(EventLoop &loop,
                       const ProtocolAdapter &adapter,
                       EventLog &log,
                       Metrics &metrics,
                       Identity identity,
                       const FleetLimits &fleetLimits,
                       UpstreamPort &local,
                       LinkPool &links,
                       Random random)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_log(log)
    , m_metrics(metrics)
    , m_identity(std::move(identity))
    , m_local(local)
    , m_links(links)
    , m_random(random)
    , m_directory(m_identity.domain, random)
    , m_admission(random)
    , m_retryTokens(fleetLimits.retryRatio, fleetLimits.retryPerWindow, static_cast<double>(fleetLimits.retryWindowMs))
{
}

void CallBroker::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
    m_configAtMs = now();
}

void CallBroker::handle(const std::shared_ptr<PortExchange> &exchange)
{
    const HttpMessage &message = exchange->request();
    const CallerRequest request = m_adapter.readRequest(message);
    const auto call = std::make_shared<Call>();
    call->id = ++m_lastCall;
    call->exchange = exchange;
    call->config = m_config;
    call->requestId = request.requestId;
    call->arrivedMs = now();
    if (!m_config) {
        refuse(*call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "no configuration yet");
        return;
    }
    const std::string path = message.target.substr(0, message.target.find('?'));
    if (message.target.empty() || message.target.front() != '/') {
        refuse(*call, 400, -1, Event::MalformedRequest, "target is not a path");
        return;
    }
    call->route = m_config->route(request.host, path);
    if (!call->route) {
        refuse(*call, 404, -1, Event::RouteUnknown, "no route for host and path");
        return;
    }
    const double callerMs = request.timeLeftMs.value_or(defaultTimeMs) - answerMarginMs;
    const auto routeMs = static_cast<double>(call->route->timeoutMs);
    call->endsAtRouteLimit = routeMs < callerMs;
    call->deadlineMs = call->arrivedMs + std::min(callerMs, routeMs);
    if (authorize(*call, request) && admit(*call)) {
        meter(call);
    }
}

// Keys are looked up for each request: a kept connection outlives a withdrawal.
bool CallBroker::authorize(Call &call, const CallerRequest &request)
{
    call.priority = call.route->priority;
    call.kind = static_cast<std::uint32_t>(std::hash<std::string>()(call.route->name));
    call.nested = call.route->open;
    if (call.route->open || call.config->teams.empty()) {
        return true;
    }
    if (!hasProof()) {
        refuse(call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "no fresh configuration for keys");
        return false;
    }
    const Team *team = request.key ? call.config->teamOfKey(*request.key) : nullptr;
    if (!team) {
        refuse(call, 401, -1, Event::KeyUnknown, request.key ? "unknown key" : "no key");
        return false;
    }
    call.team = team->name;
    call.meteredTeam = team;
    call.priority = team->priority.value_or(call.priority);
    return true;
}

// Takes a token of the team, or waits for the leader to grant one.
void CallBroker::meter(const CallPtr &call)
{
    const auto result = call->meteredTeam ? m_meter.tryTake(*call->meteredTeam, now()) : TeamMeter::Result::Taken;
    if (result == TeamMeter::Result::Taken) {
        begin(call);
    } else if (result == TeamMeter::Result::Refused) {
        refuseOverRate(call);
    } else {
        call->parkedMs = now();
        m_parked[call->team].push_back(call);
        if (!m_parkedCheckScheduled) {
            m_parkedCheckScheduled = true;
            m_loop.after(parkCheckMs, [this] {
                expireParked();
            });
        }
    }
}

void CallBroker::refuseOverRate(const CallPtr &call)
{
    refuse(*call, 429, m_meter.retryAfterMs(*call->meteredTeam, now()), Event::TeamOverRate, "team over its rate");
}

void CallBroker::tokensGranted(const TokenGrant &grant)
{
    m_meter.granted(grant, now());
    auto &parked = m_parked[grant.team];
    if (parked.empty()) {
        return;
    }
    const CallPtr call = parked.front();
    parked.pop_front();
    if (call->exchange->isFinished()) {
        return;
    }
    if (grant.granted > 0 && m_meter.tryTake(*call->meteredTeam, now()) == TeamMeter::Result::Taken) {
        begin(call);
    } else {
        refuseOverRate(call);
    }
}

// The leader did not answer: the node's own share decides.
void CallBroker::expireParked()
{
    m_parkedCheckScheduled = false;
    const double at = now();
    bool waiting = false;
    for (auto &[team, parked] : m_parked) {
        while (!parked.empty() && at - parked.front()->parkedMs > parkedMaxMs) {
            m_meter.useShares(at + sharesFallbackMs);
            const CallPtr call = parked.front();
            parked.pop_front();
            if (!call->exchange->isFinished()) {
                meter(call);
            }
        }
        waiting = waiting || !parked.empty();
    }
    if (waiting && !m_parkedCheckScheduled) {
        m_parkedCheckScheduled = true;
        m_loop.after(parkCheckMs, [this] {
            expireParked();
        });
    }
}

bool CallBroker::admit(Call &call)
{
    call.service = pickService(*call.route);
    if (call.nested) {
        m_calledAtMs[call.service] = call.arrivedMs;
        m_lastNestedMs = call.arrivedMs;
        return true;
    }
    if (m_admission.admits(call.service, call.route->priority, call.arrivedMs)) {
        return true;
    }
    refuse(call, 503, retryAfterMs(), Event::RequestShed, "service under pressure");
    return false;
}

std::vector<std::string> CallBroker::calledServices() const
{
    std::vector<std::string> result;
    for (const auto &[service, calledAt] : m_calledAtMs) {
        if (now() - calledAt < calledLatelyMs) {
            result.push_back(service);
        }
    }
    return result;
}

// Smooth weighted choice: the shares hold over short times too.
std::string CallBroker::pickService(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto &credit = m_weightCredit[route.name];
    credit.resize(route.services.size(), 0);
    double sum = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < credit.size(); ++i) {
        credit[i] += route.services[i].weight;
        sum += route.services[i].weight;
        if (credit[i] > credit[best] || route.services[best].weight <= 0) {
            best = i;
        }
    }
    credit[best] -= sum;
    return route.services[best].service;
}

void CallBroker::begin(const CallPtr &call)
{
    call->head = m_adapter.renderCall(call->exchange->request(), {call->team, m_identity.service});
    m_calls[call->id] = call;
    call->exchange->onGone = [this, weak = std::weak_ptr<Call>(call)] {
        if (const auto gone = weak.lock()) {
            callerLeft(gone);
        }
    };
    call->timer = m_loop.after(static_cast<TimeMs>(call->deadlineMs - now()), [this, call] {
        deadline(call);
    });
    m_retryTokens.noteRequest(call->service, call->arrivedMs);
    if (!dispatchOrAwait(call)) {
        call->lastReason = "no upstream can take the call";
        settle(call);
    }
}

// Returns false if there is no upstream to wait for either: nodes were reached and refused, or the time to wait is over.
bool CallBroker::dispatchOrAwait(const CallPtr &call)
{
    if (dispatch(call)) {
        return true;
    }
    const double at = now();
    if (call->awaitUntilMs == 0) {
        call->awaitUntilMs =
            at + (call->nested ? (call->deadlineMs - at) * nestedAwaitShare : static_cast<double>(call->route->latencyGoalMs) * rootAwaitShare);
    }
    if (call->refusedByNode || at >= call->awaitUntilMs) {
        return false;
    }
    // A node that was tried may be back by then.
    call->tried.clear();
    m_awaiting.push_back(call);
    scheduleAwaiting();
    return true;
}

void CallBroker::scheduleAwaiting()
{
    if (m_awaitingScheduled) {
        return;
    }
    m_awaitingScheduled = true;
    m_loop.after(awaitCheckMs, [this] {
        m_awaitingScheduled = false;
        retryAwaiting();
    });
}

void CallBroker::retryAwaiting()
{
    for (const CallPtr &call : std::exchange(m_awaiting, {})) {
        if (m_calls.contains(call->id) && !dispatchOrAwait(call)) {
            call->lastReason = "no upstream was reachable in time";
            settle(call);
        }
    }
}

// Sends the call to the best upstream that was not tried. Returns false if there is none.
bool CallBroker::dispatch(const CallPtr &call)
{
    const UpstreamEntry *upstream = m_directory.choose(
        call->service,
        call->kind,
        static_cast<double>(call->route->latencyGoalMs),
        static_cast<double>(call->route->timeoutMs) * usableLimitShare,
        call->tried,
        [this](const std::string &address) {
            return address == m_identity.peerAddress || !m_links.isFailing(address);
        },
        now());
    if (!upstream) {
        return false;
    }
    const bool local = upstream->peerAddress == m_identity.peerAddress;
    FrameLink *link = local ? nullptr : m_links.link(upstream->peerAddress);
    if (!local && !link) {
        call->tried.insert(upstream->id);
        return dispatch(call);
    }
    CallMessage message;
    message.callId = call->id;
    message.upstreamId = upstream->id;
    message.service = call->service;
    message.requestId = call->requestId;
    message.head = call->head;
    message.body = call->exchange->request().body;
    message.timeLeftMs = call->deadlineMs - now();
    message.latencyGoalMs = static_cast<double>(call->route->latencyGoalMs);
    message.priority = call->priority;
    message.kind = call->kind;
    message.nested = call->nested;
    message.idempotent = call->route->repeatability == Repeatability::Idempotent;
    message.headOnly = call->exchange->request().method == "HEAD";
    message.offeredBefore = call->refusals + call->arrivals > 0;
    call->tried.insert(upstream->id);
    call->upstreamId = upstream->id;
    call->peerAddress = local ? std::string() : upstream->peerAddress;
    call->waiting = true;
    call->sentMs = now();
    m_directory.noteSent(call->upstreamId);
    if (local) {
        m_local.offer(std::move(message), localOwner, [this, weak = std::weak_ptr<Call>(call)](ReplyMessage reply) {
            if (const auto current = weak.lock()) {
                conclude(current, std::move(reply));
            }
        });
    } else {
        ++m_callsOfPeer[call->peerAddress];
        link->send(FrameType::Call, encode(message));
    }
    return true;
}

void CallBroker::replied(const std::string &peerAddress, const ReplyMessage &reply)
{
    const auto found = m_calls.find(reply.callId);
    if (found != m_calls.end() && found->second->waiting && found->second->peerAddress == peerAddress) {
        const CallPtr call = found->second;
        conclude(call, reply);
    }
}

void CallBroker::linkClosed(const std::string &peerAddress, bool connected)
{
    std::vector<CallPtr> lost;
    for (const auto &[id, call] : m_calls) {
        if (call->waiting && call->peerAddress == peerAddress) {
            lost.push_back(call);
        }
    }
    for (const CallPtr &call : lost) {
        ReplyMessage reply;
        reply.callId = call->id;
        reply.outcome = connected ? CallOutcome::MayHaveRun : CallOutcome::NotOffered;
        reply.reason = connected ? "link to the node of the upstream ended" : "node of the upstream not reached";
        conclude(call, std::move(reply));
    }
}

bool CallBroker::expectsReply(const std::string &peerAddress) const
{
    const auto found = m_callsOfPeer.find(peerAddress);
    return found != m_callsOfPeer.end() && found->second > 0;
}

bool CallBroker::mayRepeat(const Call &call, CallOutcome outcome) const
{
    const bool proven = outcome == CallOutcome::NotOffered || outcome == CallOutcome::Declined;
    return (proven || call.route->repeatability == Repeatability::Idempotent) && call.arrivals < call.route->maxAttempts && call.refusals <= maxRefusals
        && call.deadlineMs - now() > minAttemptMs;
}

// Another send of a call that reached an upstream costs tokens. While services on its way are short of slots, a failure is
// mostly a refused nested call, and a second run would make all nested calls again.
bool CallBroker::payRepeat(const Call &call, CallOutcome outcome)
{
    const double at = now();
    if (outcome == CallOutcome::NotOffered) {
        return true;
    }
    if (outcome == CallOutcome::Answered && m_admission.level(call.service, at) > 0) {
        return false;
    }
    return m_retryTokens.tryTake(call.service, outcome != CallOutcome::Declined && m_directory.makesCalls(call.service), at);
}

void CallBroker::release(const CallPtr &call)
{
    if (!call->waiting) {
        return;
    }
    call->waiting = false;
    m_directory.noteDone(call->upstreamId);
    if (!call->peerAddress.empty() && --m_callsOfPeer[call->peerAddress] <= 0) {
        m_callsOfPeer.erase(call->peerAddress);
    }
}

// An attempt ended: answers the caller or tries another upstream.
void CallBroker::conclude(const CallPtr &call, ReplyMessage reply)
{
    release(call);
    if (!m_calls.contains(call->id)) {
        return;
    }
    const double at = now();
    const bool heard = reply.load.limit > 0 || reply.outcome == CallOutcome::Answered;
    if (heard) {
        m_directory.noteLoad(call->upstreamId, reply.load, at);
        m_directory.noteServiceTime(call->upstreamId, call->kind, reply.serviceMs, at);
    }
    if (!heard || reply.outcome == CallOutcome::MayHaveRun) {
        m_directory.noteFailure(call->upstreamId, at);
    }
    if (reply.outcome == CallOutcome::NotOffered) {
        ++call->refusals;
        call->refusedByNode = call->refusedByNode || heard;
    } else {
        ++call->arrivals;
    }
    if (reply.outcome == CallOutcome::Answered && reply.status < firstServerError) {
        answer(call, std::move(reply));
        return;
    }
    const CallOutcome outcome = reply.outcome;
    call->mayHaveRun = call->mayHaveRun || outcome == CallOutcome::MayHaveRun || outcome == CallOutcome::Answered;
    call->lastReason = reply.reason.empty() ? "upstream failed" : reply.reason;
    if (outcome == CallOutcome::Answered) {
        call->lastAnswer = std::move(reply);
    }
    if (mayRepeat(*call, outcome) && payRepeat(*call, outcome) && dispatchOrAwait(call)) {
        m_log.write(Event::CallRepeated,
                    {{"request", call->requestId},
                     {"service", call->service},
                     {"outcome", std::string(outcomeName(outcome))},
                     {"next", call->waiting ? call->upstreamId : std::string("none reachable")},
                     {"arrivals", std::to_string(call->arrivals)},
                     {"refusals", std::to_string(call->refusals)},
                     {"reason", call->lastReason}});
        m_metrics.count("calls_sent_again_total", "outcome=\"" + std::string(outcomeName(outcome)) + '"');
        return;
    }
    settle(call);
}

// No further attempt is made.
void CallBroker::settle(const CallPtr &call)
{
    if (call->lastAnswer) {
        answer(call, std::move(*call->lastAnswer));
    } else if (call->mayHaveRun) {
        refuse(*call, 502, -1, Event::UpstreamAnswerBroken, call->lastReason);
    } else {
        refuse(*call, 503, retryAfterMs(), Event::UpstreamUnavailable, call->lastReason);
    }
}

void CallBroker::deadline(const CallPtr &call)
{
    call->timer = 0;
    if (call->waiting) {
        m_directory.noteTimeout(call->upstreamId, call->kind, now() - call->sentMs, now());
        cancelAttempt(*call);
        release(call);
        refuse(*call, 504, -1, Event::DeadlineExceeded, call->endsAtRouteLimit ? "time limit of the route" : "time of the caller");
        return;
    }
    settle(call);
}

void CallBroker::callerLeft(const CallPtr &call)
{
    cancelAttempt(*call);
    release(call);
    m_loop.cancel(call->timer);
    m_calls.erase(call->id);
    m_metrics.count("calls_cancelled_total");
    logEnd(*call, Event::CallCancelled, 0, -1, "caller left");
}

void CallBroker::cancelAttempt(const Call &call)
{
    if (!call.waiting) {
        return;
    }
    if (call.peerAddress.empty()) {
        m_local.cancel(localOwner, call.id);
    } else if (FrameLink *link = m_links.link(call.peerAddress)) {
        link->send(FrameType::Cancel, encode(CancelMessage{call.id}));
    }
}

void CallBroker::answer(const CallPtr &call, ReplyMessage reply)
{
    m_loop.cancel(call->timer);
    m_calls.erase(call->id);
    const double took = now() - call->arrivedMs;
    m_metrics.count("calls_answered_total", "route=\"" + call->route->name + "\",class=\"" + std::to_string(reply.status / 100) + "xx\"");
    m_metrics.sample("call_ms", took, "service=\"" + call->service + '"');
    logEnd(*call, reply.status < firstServerError ? Event::CallServed : Event::UpstreamFailed, reply.status, -1, "upstream answered");
    call->exchange->respond(reply.head + m_adapter.renderRequestId(call->requestId), std::move(reply.body));
}

double CallBroker::retryAfterMs()
{
    return minRetryAfterMs + m_random.fraction() * retryAfterSpreadMs;
}

void CallBroker::refuse(Call &call, int status, double retryAfterMs, Event event, const std::string &reason)
{
    m_loop.cancel(call.timer);
    m_calls.erase(call.id);
    m_metrics.count("calls_refused_total", "status=\"" + std::to_string(status) + "\",reason=\"" + reason + '"');
    logEnd(call, event, status, retryAfterMs, reason);
    call.exchange->respond(m_adapter.renderRefusal(call.requestId, status, retryAfterMs), {});
}

void CallBroker::logEnd(const Call &call, Event event, int status, double retryAfterMs, const std::string &reason)
{
    if (!m_log.isWritten(event)) {
        return;
    }
    const double at = now();
    m_log.write(event,
                {{"request", call.requestId},
                 {"route", call.route ? call.route->name : std::string()},
                 {"team", call.team},
                 {"service", call.service},
                 {"upstream", call.upstreamId},
                 {"node", call.peerAddress},
                 {"arrivals", std::to_string(call.arrivals)},
                 {"refusals", std::to_string(call.refusals)},
                 {"took_ms", std::to_string(static_cast<int>(at - call.arrivedMs))},
                 {"config", call.config ? std::to_string(call.config->version) : std::string()},
                 {"config_ms_ago", std::to_string(static_cast<int>(at - m_configAtMs))},
                 {"level", std::to_string(m_admission.level(call.service, at))},
                 {"level_ms_ago", std::to_string(static_cast<int>(m_admission.ageMs(at)))},
                 {"proof_left_ms", std::to_string(m_proofUntil - m_loop.clock().now())},
                 {"retry_after_ms", std::to_string(static_cast<int>(retryAfterMs))},
                 {"status", std::to_string(status)},
                 {"reason", reason}});
}
}
