#include "callbroker.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Sender id of the calls of this host's callers in LocalUpstreams; links to other nodes are numbered from 1.
constexpr std::uint64_t localSender = 0;
// Subtracted from a caller's timeout so that a late response still reaches the caller before it.
constexpr double answerMarginMs = 15;
constexpr double defaultTimeoutMs = 10'000; // for requests without a timeout
// A call is refused to the caller once more than this number of attempts were not offered to an upstream.
constexpr int maxRefusals = 3;
// Attempts of a call that upstreams decline. The retry budget bounds them for all calls together.
constexpr int maxDeclines = 10;
// Fraction of the route's timeout. Upstreams with a higher mean service time for a kind of call exceed the timeout on many
// of these calls.
constexpr double maxServiceTimeShare = 0.6;
// With less time left than this, a retry is unlikely to complete before the deadline.
constexpr double minAttemptMs = 20;
// Retry-After of refused callers: the minimum plus a random part up to the spread.
constexpr double minRetryAfterMs = 200;
constexpr double retryAfterSpreadMs = 400;
constexpr int firstServerError = 500;
// Priorities range from 0 (highest) to 2; larger values are treated as 2.
constexpr int lowestPriority = 2;
constexpr int lowestTreePriority = (lowestPriority + 1) * (lowestPriority + 1) - 1;
// Maximum wait while no upstream is reachable, as a fraction of a nested call's remaining time and of a new request's
// latency goal. A killed process is restarted after about 0.5 s. Nested calls wait longer since a failure would waste the
// work already done for their request.
constexpr double nestedUpstreamWaitShare = 0.8;
constexpr double rootUpstreamWaitShare = 0.1;
constexpr TimeMs upstreamWaitCheckMs = 20;

// Returns nothing for an unknown route.
std::vector<WeightedService> servicesOf(const FleetConfig &config, const std::string &routeName)
{
    const auto found = std::find_if(config.routes.begin(), config.routes.end(), [&routeName](const Route &route) {
        return route.name == routeName;
    });
    return found == config.routes.end() ? std::vector<WeightedService>() : found->services;
}
}

CallBroker::CallBroker(EventLoop &loop,
                       const ProtocolAdapter &adapter,
                       EventLog &log,
                       Metrics &metrics,
                       Identity identity,
                       const FleetLimits &fleetLimits,
                       LocalUpstreams &local,
                       LinkPool &links,
                       Random random)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_log(log)
    , m_metrics(metrics)
    , m_identity(std::move(identity))
    , m_localUpstreams(local)
    , m_links(links)
    , m_random(random)
    , m_directory(m_identity.domain, random)
    , m_admissionControl(random)
    , m_retryBudget(fleetLimits.retryRatio, fleetLimits.retryPerWindow, static_cast<double>(fleetLimits.retryWindowMs))
    , m_teamRateLimiter(static_cast<std::uint32_t>(m_random.below(1ULL << 32U)))
{
    m_directory.onCallsLeaveDomain = [this](const std::string &service, bool begins) {
        m_log.write(Event::CallsLeaveDomain, {{"service", service}, {"change", begins ? "begins" : "ends"}});
    };
}

void CallBroker::setConfig(std::shared_ptr<const FleetConfig> config)
{
    dropChangedWeights(*config);
    m_config = std::move(config);
    m_configAtMs = now();
    std::map<std::string, double> coldRates;
    for (const ServiceSpec &service : m_config->services) {
        if (service.coldRatePerS > 0) {
            coldRates[service.name] = service.coldRatePerS;
        }
    }
    m_directory.setColdRates(std::move(coldRates));
    for (const Denial &denial : m_denials.setConfig(m_config)) {
        m_metrics.count("denials_outdated_total", denial.key.empty() ? "unknown=\"route\"" : "unknown=\"key\"");
        m_log.write(Event::DenialOutdated,
                    {{"request", denial.requestId},
                     {"host", denial.host},
                     {"path", denial.path},
                     {"unknown", denial.key.empty() ? "route" : "key"},
                     {"config", std::to_string(denial.configVersion)},
                     {"known_to", std::to_string(m_config->version)},
                     {"denied_ms_ago", std::to_string(static_cast<int>(m_configAtMs - denial.atMs))}});
    }
    for (const PendingDenial &pending : std::exchange(m_pendingDenials, {})) {
        if (!pending.call->exchange->isFinished()) {
            process(pending.call);
        }
    }
}

// Credits that were earned with other weights would still send requests to a service after its weight became 0.
void CallBroker::dropChangedWeights(const FleetConfig &next)
{
    std::erase_if(m_weightCredit, [this, &next](const auto &entry) {
        return servicesOf(*m_config, entry.first) != servicesOf(next, entry.first);
    });
}

void CallBroker::handle(const std::shared_ptr<PortExchange> &exchange)
{
    const HttpMessage &message = exchange->request();
    const auto call = std::make_shared<Call>();
    call->id = ++m_lastCallId;
    call->exchange = exchange;
    call->requestId = m_adapter.readRequest(message).requestId;
    call->arrivedMs = now();
    if (!m_config) {
        refuse(*call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "no configuration yet");
        return;
    }
    if (message.target.empty() || message.target.front() != '/') {
        refuse(*call, 400, -1, Event::MalformedRequest, "target is not a path");
        return;
    }
    process(call);
}

// Decides on a request by the present configuration.
void CallBroker::process(const CallPtr &call)
{
    const HttpMessage &message = call->exchange->request();
    const CallerRequest request = m_adapter.readRequest(message);
    call->config = m_config;
    call->route = m_config->route(request.host, message.path());
    if (!call->route) {
        prepareDenial(call, request, {}, "no route for host and path");
        return;
    }
    const double callerMs = request.timeLeftMs.value_or(defaultTimeoutMs) - answerMarginMs;
    const auto routeMs = static_cast<double>(call->route->timeoutMs);
    call->endsAtRouteLimit = routeMs < callerMs;
    call->deadlineMs = call->arrivedMs + std::min(callerMs, routeMs);
    // Nested calls belong to requests that the upstream still serves.
    if (!call->route->open && call->arrivedMs > m_newRequestsUntilMs && call->deadlineMs > m_stopAtMs) {
        refuse(*call, 503, retryAfterMs(), Event::RequestRefusedDraining, "process stops");
        return;
    }
    if (authorize(call, request) && checkRegions(*call) && admit(*call)) {
        rankForRetries(*call, request);
        takeTeamToken(call, false);
    }
}

// Nodes rank the calls of a tree alike without coordination, since the rank follows from the id of the tree and the priority
// of its request.
void CallBroker::rankForRetries(Call &call, const CallerRequest &request)
{
    const auto step = [](int priority) {
        return std::clamp(priority, 0, lowestPriority);
    };
    // The priority of the route comes first, as at the entry, and that of the team decides among requests of equal routes.
    call.treePriority = step(call.route->priority) * (lowestPriority + 1) + step(call.priority);
    if (call.nested) {
        call.treePriority = m_localUpstreams.treePriorityOf(request.parentId).value_or(lowestTreePriority);
    }
    constexpr std::size_t steps = 1'024;
    const double fraction = static_cast<double>(std::hash<std::string>()(request.treeId) % steps) / steps;
    call.retryRank = (call.treePriority + fraction) / (lowestTreePriority + 1);
}

// Keys are checked for each request and not once per connection, since a persistent connection may outlast the withdrawal
// of its key. A key that no team holds is refused even if the configuration requires none: it may have been withdrawn.
bool CallBroker::authorize(const CallPtr &pending, const CallerRequest &request)
{
    Call &call = *pending;
    call.priority = call.route->priority;
    call.kind = static_cast<std::uint32_t>(std::hash<std::string>()(call.route->name));
    call.nested = call.route->open;
    if (call.route->open || (!request.key && call.config->allowsNoKey(*call.route))) {
        return true;
    }
    if (!areKeysFresh()) {
        refuse(call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "no fresh configuration for keys");
        return false;
    }
    const Team *team = request.key ? call.config->teamOfKey(*request.key) : nullptr;
    if (!team) {
        prepareDenial(pending, request, request.key.value_or(noKey), request.key ? "unknown key" : "no key");
        return false;
    }
    call.team = team->name;
    call.rateLimitedTeam = team;
    call.priority = team->priority.value_or(call.priority);
    return true;
}

// A wait is pointless if no domain belongs to an allowed region.
bool CallBroker::checkRegions(Call &call)
{
    call.regions = AllowedRegions(*call.route, call.rateLimitedTeam);
    if (call.regions.allowsAnyOf(m_directory.regionOfDomain())) {
        return true;
    }
    refuse(call, 503, retryAfterMs(), Event::RegionUnavailable, "no domain in an allowed region");
    return false;
}

bool CallBroker::admit(Call &call)
{
    call.service = pickService(*call.route);
    if (call.nested) {
        m_nestedCallMs[call.service] = call.arrivedMs;
        m_lastNestedCallMs = call.arrivedMs;
        return true;
    }
    if (m_admissionControl.admits(call.service, call.route->priority, call.arrivedMs)) {
        return true;
    }
    refuse(call, 503, retryAfterMs(), Event::RequestShed, "service under pressure");
    return false;
}

void CallBroker::setLevels(const std::vector<ServiceLevel> &levels)
{
    m_admissionControl.setLevels(levels, now());
    std::set<std::string> shortOfRetries;
    m_callersOfShortServices.clear();
    for (const ServiceLevel &level : levels) {
        if (level.isShortOfRetries && !m_directory.makesCalls(level.service)) {
            shortOfRetries.insert(level.service);
        }
        if (level.callsShortOfRetries) {
            m_callersOfShortServices.insert(level.service);
        }
    }
    m_levelsUntilMs = now() + levelValidMs;
    m_retryBudget.setScarce(std::move(shortOfRetries), m_levelsUntilMs);
}

std::vector<std::string> CallBroker::calledServices() const
{
    std::vector<std::string> result;
    for (const auto &[service, calledAt] : m_nestedCallMs) {
        if (now() - calledAt < recentCallMs) {
            result.push_back(service);
        }
    }
    return result;
}

// Smooth weighted round-robin: the weights are also met over short periods.
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
        const double weight = route.services[i].weight;
        credit[i] += weight;
        sum += weight;
        if (weight > 0 && (credit[i] > credit[best] || route.services[best].weight <= 0)) {
            best = i;
        }
    }
    credit[best] -= sum;
    return route.services[best].service;
}

void CallBroker::startCall(const CallPtr &call)
{
    call->head = m_adapter.renderCall(call->exchange->request(), {call->team, m_identity.service});
    m_calls[call->id] = call;
    call->exchange->onGone = [this, weak = std::weak_ptr<Call>(call)] {
        if (const auto gone = weak.lock()) {
            handleCallerDisconnect(gone);
        }
    };
    call->timer = m_loop.after(static_cast<TimeMs>(call->deadlineMs - now()), [this, call] {
        handleDeadline(call);
    });
    m_retryBudget.recordRequest(call->service, call->arrivedMs);
    if (!dispatchOrWait(call)) {
        call->lastReason = "no upstream can take the call";
        finishCall(call);
    }
}

// Dispatches the call, or queues it until an upstream is reachable. Returns false if a node refused the call or the
// maximum wait has elapsed.
bool CallBroker::dispatchOrWait(const CallPtr &call)
{
    if (dispatch(call)) {
        return true;
    }
    const double at = now();
    if (call->upstreamWaitUntilMs == 0) {
        call->upstreamWaitUntilMs =
            at + (call->nested ? (call->deadlineMs - at) * nestedUpstreamWaitShare : static_cast<double>(call->route->latencyGoalMs) * rootUpstreamWaitShare);
    }
    if (call->refusedByNode || at >= call->upstreamWaitUntilMs) {
        return false;
    }
    // Nodes that were tried may be reachable again after the wait.
    call->tried.clear();
    m_waitingForUpstream.push_back(call);
    scheduleWaitingRetry();
    return true;
}

void CallBroker::scheduleWaitingRetry()
{
    if (m_waitingRetryScheduled) {
        return;
    }
    m_waitingRetryScheduled = true;
    m_loop.after(upstreamWaitCheckMs, [this] {
        m_waitingRetryScheduled = false;
        retryWaitingCalls();
    });
}

void CallBroker::retryWaitingCalls()
{
    for (const CallPtr &call : std::exchange(m_waitingForUpstream, {})) {
        if (m_calls.contains(call->id) && !dispatchOrWait(call)) {
            call->lastReason = "no upstream was reachable in time";
            finishCall(call);
        }
    }
}

// Sends the call to the best upstream that was not tried yet. Once it was sent to the permitted number of upstreams, those
// that declined it are tried again: they did not execute it. Returns false if there is none.
bool CallBroker::dispatch(const CallPtr &call)
{
    const bool repeatsDeclined = call->arrivals >= call->route->maxAttempts;
    const UpstreamEntry *upstream = m_directory.choose(
        call->service,
        call->kind,
        static_cast<double>(call->route->latencyGoalMs),
        static_cast<double>(call->route->timeoutMs) * maxServiceTimeShare,
        call->tried,
        [this, &call, repeatsDeclined](const std::string &address) {
            const bool permitted = !repeatsDeclined || std::any_of(call->declinedBy.begin(), call->declinedBy.end(), [&address](const auto &declined) {
                return declined.second == address;
            });
            return permitted && (address == m_identity.peerAddress || !m_links.isFailing(address));
        },
        now(),
        call->regions);
    if (!upstream) {
        return false;
    }
    if (repeatsDeclined && !call->declinedBy.contains(upstream->id)) {
        call->tried.insert(upstream->id); // a later incarnation on the same host
        return dispatch(call);
    }
    m_metrics.count("upstream_choices_total", "reason=\"" + std::string(choiceReasonNames[static_cast<std::size_t>(m_directory.choiceReason())]) + '"');
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
    message.treePriority = call->treePriority;
    message.kind = call->kind;
    message.nested = call->nested;
    message.idempotent = call->route->repeatability == Repeatability::Idempotent;
    message.headOnly = call->exchange->request().method == "HEAD";
    message.offeredBefore = call->refusals + call->arrivals > 0;
    call->tried.insert(upstream->id);
    call->upstreamId = upstream->id;
    call->peerAddress = local ? std::string() : upstream->peerAddress;
    call->attemptInProgress = true;
    call->sentMs = now();
    m_directory.recordSent(call->upstreamId);
    if (local) {
        m_localUpstreams.offer(std::move(message), localSender, [this, weak = std::weak_ptr<Call>(call)](ReplyMessage reply) {
            if (const auto current = weak.lock()) {
                finishAttempt(current, std::move(reply));
            }
        });
    } else {
        ++m_callsOfPeer[call->peerAddress];
        link->send(FrameType::Call, encode(message));
    }
    return true;
}

void CallBroker::handleReply(const std::string &peerAddress, const ReplyMessage &reply)
{
    const auto found = m_calls.find(reply.callId);
    if (found == m_calls.end() || !found->second->attemptInProgress || found->second->peerAddress != peerAddress) {
        return;
    }
    const CallPtr call = found->second;
    // A node of an earlier version passes on a broken answer of its upstream.
    const std::string_view defect = reply.outcome == CallOutcome::Answered ? defectOfResponse(reply.status, reply.head, reply.body) : std::string_view();
    if (defect.empty()) {
        finishAttempt(call, reply);
        return;
    }
    m_log.write(Event::UpstreamAnswerBroken,
                {{"request", call->requestId},
                 {"upstream", call->upstreamId},
                 {"node", peerAddress},
                 {"reason", std::string(defect)},
                 {"received", "status " + std::to_string(reply.status)}});
    ReplyMessage broken;
    broken.callId = reply.callId;
    broken.outcome = CallOutcome::MayHaveRun;
    broken.reason = "broken reply of another node";
    broken.load = reply.load;
    finishAttempt(call, std::move(broken));
}

void CallBroker::linkClosed(const std::string &peerAddress, bool connected)
{
    std::vector<CallPtr> lost;
    for (const auto &[id, call] : m_calls) {
        if (call->attemptInProgress && call->peerAddress == peerAddress) {
            lost.push_back(call);
        }
    }
    for (const CallPtr &call : lost) {
        ReplyMessage reply;
        reply.callId = call->id;
        reply.outcome = connected ? CallOutcome::MayHaveRun : CallOutcome::NotOffered;
        reply.reason = connected ? "link to the node of the upstream ended" : "node of the upstream not reached";
        finishAttempt(call, std::move(reply));
    }
}

bool CallBroker::expectsReply(const std::string &peerAddress) const
{
    const auto found = m_callsOfPeer.find(peerAddress);
    return found != m_callsOfPeer.end() && found->second > 0;
}

bool CallBroker::isRetryable(const Call &call, CallOutcome outcome) const
{
    const bool proven = outcome == CallOutcome::NotOffered || outcome == CallOutcome::Declined;
    const bool mayBeSent = call.arrivals < call.route->maxAttempts || (!call.declinedBy.empty() && call.arrivals - call.declines < call.route->maxAttempts);
    return (proven || call.route->repeatability == Repeatability::Idempotent) && mayBeSent && call.declines < maxDeclines && call.refusals <= maxRefusals
        && call.deadlineMs - now() > minAttemptMs;
}

// A retry of a call that reached an upstream takes tokens of the retry budget. While the service's admission level is above
// 0 or a service below it is short of retries, error responses are not retried: most are caused by a refused nested call, and a
// retry would repeat all nested calls.
bool CallBroker::takeRetryTokens(const Call &call, CallOutcome outcome)
{
    const double at = now();
    if (outcome == CallOutcome::NotOffered) {
        return true;
    }
    if (outcome == CallOutcome::Answered
        && (m_admissionControl.level(call.service, at) > 0 || (at < m_levelsUntilMs && m_callersOfShortServices.contains(call.service)))) {
        return false;
    }
    return m_retryBudget.tryTake(call.service, outcome != CallOutcome::Declined && m_directory.makesCalls(call.service), at, call.retryRank);
}

void CallBroker::releaseAttempt(const CallPtr &call)
{
    if (!call->attemptInProgress) {
        return;
    }
    call->attemptInProgress = false;
    m_directory.recordDone(call->upstreamId);
    if (!call->peerAddress.empty() && --m_callsOfPeer[call->peerAddress] <= 0) {
        m_callsOfPeer.erase(call->peerAddress);
    }
}

// Responds to the caller, or retries at another upstream.
void CallBroker::finishAttempt(const CallPtr &call, ReplyMessage reply)
{
    releaseAttempt(call);
    if (!m_calls.contains(call->id)) {
        return;
    }
    const double at = now();
    const bool nodeReplied = reply.load.limit > 0 || reply.outcome == CallOutcome::Answered;
    if (nodeReplied) {
        m_directory.recordLoad(call->upstreamId, reply.load, at);
        m_directory.recordServiceTime(call->upstreamId, call->kind, reply.serviceMs, at);
    }
    if (reply.outcome == CallOutcome::Answered) {
        m_directory.recordAnswer(call->upstreamId, reply.status >= firstServerError, at);
    }
    if (!nodeReplied || reply.outcome == CallOutcome::MayHaveRun) {
        m_directory.recordFailure(call->upstreamId, at);
    }
    if (reply.outcome == CallOutcome::NotOffered) {
        ++call->refusals;
        call->refusedByNode = call->refusedByNode || nodeReplied;
    } else {
        ++call->arrivals;
    }
    if (reply.outcome == CallOutcome::Declined) {
        ++call->declines;
        call->declinedBy[call->upstreamId] = call->peerAddress.empty() ? m_identity.peerAddress : call->peerAddress;
        if (call->arrivals >= call->route->maxAttempts) {
            // No further upstream is permitted, so those that declined the call are tried again.
            for (const auto &[id, address] : call->declinedBy) {
                call->tried.erase(id);
            }
        }
    }
    if (reply.outcome == CallOutcome::Answered && reply.status < firstServerError) {
        answerCaller(call, std::move(reply));
        return;
    }
    const CallOutcome outcome = reply.outcome;
    call->mayHaveRun = call->mayHaveRun || outcome == CallOutcome::MayHaveRun || outcome == CallOutcome::Answered;
    call->lastReason = reply.reason.empty() ? "upstream failed" : reply.reason;
    if (outcome == CallOutcome::Answered) {
        call->lastAnswer = std::move(reply);
    }
    if (isRetryable(*call, outcome) && takeRetryTokens(*call, outcome) && dispatchOrWait(call)) {
        m_log.write(Event::CallRepeated,
                    {{"request", call->requestId},
                     {"service", call->service},
                     {"outcome", std::string(outcomeName(outcome))},
                     {"next", call->attemptInProgress ? call->upstreamId : std::string("none reachable")},
                     {"arrivals", std::to_string(call->arrivals)},
                     {"refusals", std::to_string(call->refusals)},
                     {"reason", call->lastReason}});
        m_metrics.count("calls_sent_again_total", "outcome=\"" + std::string(outcomeName(outcome)) + '"');
        return;
    }
    finishCall(call);
}

// Responds to the caller after the last attempt.
void CallBroker::finishCall(const CallPtr &call)
{
    if (call->lastAnswer) {
        answerCaller(call, std::move(*call->lastAnswer));
    } else if (call->mayHaveRun) {
        refuse(*call, 502, -1, Event::UpstreamAnswerBroken, call->lastReason);
    } else {
        refuse(*call, 503, retryAfterMs(), call->regions.allowsAll() ? Event::UpstreamUnavailable : Event::RegionUnavailable, call->lastReason);
    }
}

void CallBroker::handleDeadline(const CallPtr &call)
{
    call->timer = 0;
    if (call->attemptInProgress) {
        m_directory.recordTimeout(call->upstreamId, call->kind, now() - call->sentMs, now());
        cancelAttempt(*call);
        releaseAttempt(call);
        refuse(*call, 504, -1, Event::DeadlineExceeded, call->endsAtRouteLimit ? "time limit of the route" : "time of the caller");
        return;
    }
    finishCall(call);
}

void CallBroker::handleCallerDisconnect(const CallPtr &call)
{
    cancelAttempt(*call);
    releaseAttempt(call);
    m_loop.cancel(call->timer);
    m_calls.erase(call->id);
    m_metrics.count("calls_cancelled_total");
    logOutcome(*call, Event::CallCancelled, 0, -1, "caller disconnected");
}

void CallBroker::cancelAttempt(const Call &call)
{
    if (!call.attemptInProgress) {
        return;
    }
    if (call.peerAddress.empty()) {
        m_localUpstreams.cancel(localSender, call.id);
    } else if (FrameLink *link = m_links.link(call.peerAddress)) {
        link->send(FrameType::Cancel, encode(CancelMessage{call.id}));
    }
}

void CallBroker::answerCaller(const CallPtr &call, ReplyMessage reply)
{
    m_loop.cancel(call->timer);
    m_calls.erase(call->id);
    const double took = now() - call->arrivedMs;
    m_metrics.count("calls_answered_total", "route=\"" + call->route->name + "\",class=\"" + std::to_string(reply.status / 100) + "xx\"");
    m_metrics.sample("call_ms", took, "service=\"" + call->service + '"');
    logOutcome(*call, reply.status < firstServerError ? Event::CallServed : Event::UpstreamFailed, reply.status, -1, "upstream answered");
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
    countRefusal(status, reason);
    logOutcome(call, event, status, retryAfterMs, reason);
    call.exchange->respond(m_adapter.renderRefusal(call.requestId, status, retryAfterMs), {});
}

void CallBroker::countRefusal(int status, const std::string &reason)
{
    m_metrics.count("calls_refused_total", "status=\"" + std::to_string(status) + "\",reason=\"" + reason + '"');
}

void CallBroker::logOutcome(const Call &call, Event event, int status, double retryAfterMs, const std::string &reason)
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
                 {"level", std::to_string(m_admissionControl.level(call.service, at))},
                 {"level_ms_ago", std::to_string(static_cast<int>(m_admissionControl.ageMs(at)))},
                 {"proof_left_ms", std::to_string(m_keysFreshUntil - m_loop.clock().now())},
                 {"retry_after_ms", std::to_string(static_cast<int>(retryAfterMs))},
                 {"status", std::to_string(status)},
                 {"reason", reason}});
}
}
