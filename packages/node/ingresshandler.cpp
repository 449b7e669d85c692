#include "ingresshandler.h"

#include "base/secret.h"
#include "config/teamkey.h"
#include "headers.h"

#include <algorithm>
#include <charconv>

namespace Yuccagrade
{
namespace
{
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr TimeMs claimTimeoutMs = 1'000;
constexpr TimeMs retryJitterMs = 5;
constexpr int maxDepth = 64; // the required nesting depth is 22; a much longer chain indicates a call loop
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr int retryAfterS = 1;
constexpr int statusServiceUnavailable = 503;
constexpr int statusServerError = 500;

Problem notRun(int status, Event event, std::string detail, int retryS = 0)
{
    return {status, event, Outcome::NotRun, std::move(detail), retryS};
}

constexpr std::string_view keyPrefix = "ygk_";

// Matches the prefix "ygk_ID." of a key. The key is not looked up, since a key that is not yet replicated to this node must not leak
// either.
bool containsKey(std::string_view text)
{
    const auto isIdCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    for (std::size_t at = text.find(keyPrefix); at != std::string_view::npos; at = text.find(keyPrefix, at + 1)) {
        const std::string_view rest = text.substr(at + keyPrefix.size());
        const auto end = std::find_if_not(rest.begin(), rest.end(), isIdCharacter);
        if (end != rest.begin() && end != rest.end() && *end == '.') {
            return true;
        }
    }
    return false;
}

// A key outside the Authorization header would be forwarded to the upstream, on open routes too.
bool containsKeyOutsideCredentials(const HttpRequest &request)
{
    return containsKey(decodePercent(request.path)) || containsKey(decodePercent(request.query)) || containsKey(request.body)
        || std::any_of(request.headers.begin(), request.headers.end(), [](const auto &header) {
               return header.first != Headers::authorization && containsKey(header.second);
           });
}

std::string bearerKey(const HttpRequest &request)
{
    const std::string &value = request.header(Headers::authorization);
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string();
}

TimeMs requestedTimeoutMs(const HttpRequest &request, const RouteSpec &route)
{
    const std::string &text = request.header(Headers::timeoutMs);
    TimeMs requested = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), requested);
    const bool valid = result.ec == std::errc() && result.ptr == text.data() + text.size() && requested > 0;
    return std::min(valid ? requested : route.timeoutMs, route.timeoutCeilingMs);
}
}

IngressHandler::IngressHandler(Dependencies dependencies, const std::string &nodeId, const std::string &domain)
    : m_dependencies(std::move(dependencies))
    , m_nodeId(nodeId)
    , m_idPrefix(randomToken(6) + '-')
    , m_random(std::hash<std::string>{}(m_idPrefix))
    , m_directory(domain)
{
}

void IngressHandler::stateChanged()
{
    m_routes = RouteTable(m_dependencies.plane.state().manifest());
}

void IngressHandler::viewChanged()
{
    m_directory.update(m_dependencies.plane.view());
}

void IngressHandler::drain()
{
    m_draining = true;
}

void IngressHandler::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->receivedMs = m_dependencies.loop.clock().preciseMs();
    request->meta.method = exchange->request().method;
    request->meta.target = exchange->request().path;
    if (!exchange->request().query.empty()) {
        request->meta.target += '?' + exchange->request().query;
    }
    request->manifest = m_dependencies.plane.state().manifest();
    m_activeRequests.insert(request);
    const std::string &context = exchange->request().header(Headers::context);
    auto problem = context.empty() ? initRootRequest(*request) : initNestedCall(*request, context);
    problem = problem ? problem : checkRequest(*request);
    if (problem) {
        refuse(request, *problem);
        return;
    }
    exchange->onAbort([this, request] {
        abort(request);
    });
    admit(request);
}

std::optional<Problem> IngressHandler::findRoute(Request &request) const
{
    request.route = m_routes.find(request.meta.method, request.exchange->request().path);
    if (!request.route) {
        return notRun(404, Event::RouteUnknown, "no route matches the method and path");
    }
    request.meta.route = request.route->name;
    request.meta.service = request.route->service;
    request.meta.priority = request.route->priority;
    request.meta.idempotent = request.route->idempotent && !request.route->action;
    return std::nullopt;
}

std::optional<Problem> IngressHandler::initRootRequest(Request &request)
{
    request.meta.requestId = m_idPrefix + std::to_string(++m_lastId);
    if (m_draining) {
        return notRun(statusServiceUnavailable, Event::RequestRefusedDraining, "this node is draining", retryAfterS);
    }
    if (m_dependencies.plane.state().index() == 0) {
        // A node without configuration has no routes yet; a 404 response would stop the caller from retrying.
        return notRun(statusServiceUnavailable, Event::RequestRefusedIsolated, "this node has no configuration yet", retryAfterS);
    }
    if (auto problem = findRoute(request)) {
        return problem;
    }
    if (request.route->internal) {
        return notRun(404, Event::RouteUnknown, "no route matches the method and path");
    }
    if (containsKeyOutsideCredentials(request.exchange->request())) {
        return notRun(400, Event::MalformedRequest, "keys are accepted in the Authorization header only");
    }
    setDeadline(request);
    request.budget = AttemptBudget(request.manifest->limits.retries);
    return request.route->open ? std::nullopt : authenticate(request);
}

// The key is checked on every request, so that a withdrawn key is also rejected on established connections.
std::optional<Problem> IngressHandler::authenticate(Request &request) const
{
    const ClusterState &state = m_dependencies.plane.state();
    const std::string key = bearerKey(request.exchange->request());
    if (key.empty()) {
        return notRun(401, Event::KeyUnknown, "the Authorization header with the team's key is missing");
    }
    if (!m_dependencies.plane.isFresh() && !request.route->isolatedServe) {
        return notRun(statusServiceUnavailable, Event::RequestRefusedIsolated, "the node cannot confirm that the key is valid", retryAfterS);
    }
    const auto team = state.teamOfKey(key);
    if (!team) {
        return notRun(401, Event::KeyUnknown, "the key is unknown or withdrawn");
    }
    TeamKey parsed;
    parseTeamKey(key, parsed);
    request.meta.team = *team;
    request.meta.keyId = parsed.id;
    if (!request.route->allows(*team)) {
        return notRun(403, Event::TeamForbidden, "the team of the key may not use this route");
    }
    return std::nullopt;
}

// A nested call inherits team, priority, deadline and retry budget from its parent call.
std::optional<Problem> IngressHandler::initNestedCall(Request &request, const std::string &context)
{
    request.parent = m_dependencies.calls.find(context);
    if (!request.parent) {
        return notRun(403, Event::ContextInvalid, "the call context is unknown or has ended");
    }
    const RunningCall &parent = *request.parent;
    request.meta.requestId = parent.meta.requestId;
    request.meta.team = parent.meta.team;
    request.meta.depth = parent.meta.depth + 1;
    if (request.meta.depth > maxDepth) {
        return notRun(508, Event::RequestShed, "the call chain is too deep");
    }
    if (auto problem = findRoute(request)) {
        return problem;
    }
    request.meta.priority = parent.meta.priority;
    setDeadline(request);
    if (!request.route->open && !request.route->allows(request.meta.team)) {
        return notRun(403, Event::TeamForbidden, "the team of the request may not use this route");
    }
    request.retriesFromParent = request.parent->budget.lend();
    request.budget = AttemptBudget(request.retriesFromParent);
    return std::nullopt;
}

void IngressHandler::setDeadline(Request &request) const
{
    const TimeMs now = m_dependencies.loop.clock().now();
    request.deadline = now + requestedTimeoutMs(request.exchange->request(), *request.route);
    if (request.parent) {
        request.deadline = std::min(request.deadline, request.parent->deadline);
    }
}

std::optional<Problem> IngressHandler::checkRequest(const Request &request) const
{
    const std::string &key = request.exchange->request().header(Headers::idempotencyKey);
    if (request.route->action && (key.empty() || key.size() > maxIdempotencyKeyBytes)) {
        return notRun(400, Event::IdempotencyKeyMissing, "an action needs an Idempotency-Key of 1 to 255 bytes");
    }
    if (request.deadline <= m_dependencies.loop.clock().now()) {
        return notRun(504, Event::DeadlineExceeded, "the deadline of the call has passed");
    }
    return std::nullopt;
}

// Throttles are kept per route and team, so that refusals caused by one team's load do not throttle the calls of other teams.
EntryThrottle &IngressHandler::throttle(const Request &request)
{
    return m_throttles.try_emplace({request.meta.route, request.meta.team}, request.meta.priority).first->second;
}

// Only root requests pass the throttle and consume a rate limit token; a nested call is covered by its root request.
void IngressHandler::admit(const RequestPtr &request)
{
    if (request->parent) {
        claim(request);
        return;
    }
    if (!throttle(*request).admit(m_dependencies.loop.clock().now(), m_random)) {
        refuse(request, notRun(statusServiceUnavailable, Event::RequestShed, "the route's services are overloaded", retryAfterS));
        return;
    }
    request->countsInThrottle = true;
    if (request->meta.team.empty()) {
        claim(request);
        return;
    }
    m_dependencies.requestToken(request->meta.team, [this, request](bool granted) {
        if (request->done) {
            return;
        }
        if (!granted) {
            request->countsInThrottle = false; // a rate limit refusal does not indicate overload of the services
            refuse(request, notRun(429, Event::TeamOverRate, "the team exceeds its rate limit", retryAfterS));
            return;
        }
        claim(request);
    });
}

void IngressHandler::claim(const RequestPtr &request)
{
    if (!request->route->action) {
        attempt(request);
        return;
    }
    const TimeMs timeout = std::min(claimTimeoutMs, request->deadline - m_dependencies.loop.clock().now());
    m_dependencies.claims.claim(request->meta.team,
                                request->exchange->request().header(Headers::idempotencyKey),
                                std::max<TimeMs>(1, timeout),
                                [this, request](const std::shared_ptr<ClaimTicket> &ticket) {
                                    onClaimResult(request, ticket);
                                });
}

void IngressHandler::onClaimResult(const RequestPtr &request, const std::shared_ptr<ClaimTicket> &ticket)
{
    if (request->done) {
        if (ticket) {
            m_dependencies.claims.releaseUnused(*ticket);
        }
        return;
    }
    if (ticket && ticket->claim.state() == ClaimState::Granted) {
        request->ticket = ticket;
        request->meta.actionHash = ticket->claim.request().action.toText();
        request->meta.actionToken = ticket->claim.request().token.toText();
        attempt(request);
        return;
    }
    if (ticket && ticket->claim.state() == ClaimState::Refused) {
        refuse(request, {409, Event::ActionAlreadyClaimed, Outcome::MayHaveRun, "the action was already claimed", 0});
        return;
    }
    refuse(request, notRun(statusServiceUnavailable, Event::ClaimUnavailable, "no majority of claim replicas answered", retryAfterS));
}

void IngressHandler::attempt(const RequestPtr &request)
{
    const TimeMs now = m_dependencies.loop.clock().now();
    if (now >= request->deadline) {
        refuse(request, notRun(504, Event::DeadlineExceeded, "the deadline passed before the call was sent to an upstream"));
        return;
    }
    Balancer *balancer = m_directory.balancer(request->meta.service);
    const auto chosen = balancer ? balancer->pick(now, m_random, request->triedUpstreams) : std::nullopt;
    if (!chosen) {
        refuse(request, notRun(statusServiceUnavailable, Event::UpstreamUnavailable, "no upstream of the service is available", retryAfterS));
        return;
    }
    // A process that was suspended after the claim was granted may hold an expired claim and must not dispatch the action.
    if (request->ticket && !request->ticket->claim.mayDispatch(now)) {
        refuse(request, notRun(statusServiceUnavailable, Event::ClaimUnavailable, "the claim has expired", retryAfterS));
        return;
    }
    request->upstream = *chosen;
    request->triedUpstreams.push_back(*chosen);
    balancer->started(*chosen);
    dispatch(request);
}

void IngressHandler::dispatch(const RequestPtr &request)
{
    if (request->triedUpstreams.size() == 1) {
        m_retryRatios[request->meta.route].recordFirstAttempt();
    }
    request->meta.remainingMs = request->deadline - m_dependencies.loop.clock().now();
    request->retriesForAttempt = request->budget.lend();
    request->meta.retries = request->retriesForAttempt;
    if (request->ticket) {
        request->ticket->claim.dispatched();
    }
    const HttpRequest &incoming = request->exchange->request();
    const auto done = [this, request](CallOutcome outcome) {
        onOutcome(request, std::move(outcome));
    };
    if (request->upstream == m_nodeId) {
        request->localCallId = m_dependencies.dispatcher.submit(request->meta, forwardedRequestHeaders(incoming.headers), incoming.body, done);
    } else {
        request->peerCallId = m_dependencies.forwarder.send(m_directory.address(request->upstream),
                                                            request->meta,
                                                            forwardedRequestHeaders(incoming.headers),
                                                            incoming.body,
                                                            done);
    }
}

void IngressHandler::updateBalancer(const Request &request, const CallOutcome &outcome)
{
    Balancer *balancer = m_directory.balancer(request.meta.service);
    const TimeMs now = m_dependencies.loop.clock().now();
    balancer->finished(request.upstream);
    if (outcome.load) {
        balancer->report(request.upstream, *outcome.load, now);
    }
    if (outcome.connectFailed) {
        balancer->connectFailed(request.upstream, now);
    }
    if (outcome.problem && outcome.problem->event == Event::RequestRefusedDraining) {
        balancer->setDraining(request.upstream, now);
    }
}

void IngressHandler::onOutcome(const RequestPtr &request, CallOutcome outcome)
{
    if (request->done) {
        return;
    }
    updateBalancer(*request, outcome);
    request->upstream.clear();
    request->budget.returnUnused(request->retriesForAttempt, outcome.unusedRetries);
    const bool mayHaveExecuted = !outcome.problem || outcome.problem->outcome == Outcome::MayHaveRun;
    request->mayHaveRun = request->mayHaveRun || mayHaveExecuted;
    if (request->ticket && !mayHaveExecuted) {
        request->ticket->claim.notRun();
    }
    if (consumeRetry(*request, outcome)) {
        m_dependencies.metrics.count("yuccagrade_retries_total");
        m_dependencies.loop.after(static_cast<TimeMs>(m_random.below(retryJitterMs + 1)), [this, request] {
            if (!request->done) {
                attempt(request);
            }
        });
        return;
    }
    if (outcome.problem) {
        refuse(request, *outcome.problem);
        return;
    }
    sendResponse(request, std::move(outcome.response));
}

// Decides whether to retry and takes the retry from the budgets. Only calls that were certainly not executed or are idempotent are
// retried.
bool IngressHandler::consumeRetry(Request &request, const CallOutcome &outcome)
{
    const bool overloaded = !outcome.problem && outcome.response.status == statusServiceUnavailable;
    if (!outcome.problem && !overloaded) {
        return false;
    }
    const bool certainlyNotRun = outcome.problem && outcome.problem->outcome == Outcome::NotRun;
    const bool retryable = overloaded || outcome.problem->status >= statusServerError;
    if (!(certainlyNotRun || request.meta.idempotent) || !retryable || m_dependencies.loop.clock().now() + retryJitterMs >= request.deadline) {
        return false;
    }
    if (request.budget.left() == 0 || !m_retryRatios[request.meta.route].takeRetry()) {
        m_dependencies.log.write(Event::RetryBudgetExhausted, {{"request", request.meta.requestId}});
        return false;
    }
    return request.budget.takeRetry();
}

void IngressHandler::abort(const RequestPtr &request)
{
    if (request->done) {
        return;
    }
    m_dependencies.log.write(Event::CallCancelled, {{"request", request->meta.requestId}});
    if (!request->upstream.empty()) {
        m_directory.balancer(request->meta.service)->finished(request->upstream);
        m_dependencies.dispatcher.cancel(request->localCallId);
        m_dependencies.forwarder.cancel(request->peerCallId);
    }
    close(request, false);
}

void IngressHandler::sendResponse(const RequestPtr &request, HttpResponse response)
{
    const double tookMs = m_dependencies.loop.clock().preciseMs() - request->receivedMs;
    m_dependencies.metrics.count("yuccagrade_answers_total", "route=\"" + request->meta.route + "\",team=\"" + request->meta.team + '"');
    m_dependencies.metrics.sample("yuccagrade_request_ms", tookMs);
    m_dependencies.log.write(Event::CallServed, {{"request", request->meta.requestId}, {"status", std::to_string(response.status)}});
    const bool complete = response.status < statusServerError;
    request->exchange->respond(std::move(response));
    close(request, complete);
}

void IngressHandler::refuse(const RequestPtr &request, Problem problem)
{
    if (request->mayHaveRun) {
        problem.outcome = Outcome::MayHaveRun;
    }
    // A refusal before the first attempt neither indicates overload of the services nor puts load on them.
    request->countsInThrottle = request->countsInThrottle && !request->triedUpstreams.empty();
    m_dependencies.metrics.count("yuccagrade_refused_total", "reason=\"" + std::string(eventInfo(problem.event).name) + '"');
    m_dependencies.log.write(problem.event,
                             {{"request", request->meta.requestId},
                              {"team", request->meta.team},
                              {"route", request->meta.route},
                              {"key", request->meta.keyId},
                              {"outcome", outcomeName(problem.outcome)}});
    request->exchange->respond(toResponse(problem));
    close(request, problem.status < statusServerError);
}

// Ends the request: returns unused retries to the parent call and releases an unused claim.
void IngressHandler::close(const RequestPtr &request, bool complete)
{
    request->done = true;
    if (request->countsInThrottle) {
        throttle(*request).finished(complete, m_dependencies.loop.clock().now());
    }
    if (request->parent) {
        request->parent->budget.returnUnused(request->retriesFromParent, request->budget.left());
    }
    if (request->ticket) {
        m_dependencies.claims.releaseUnused(*request->ticket);
    }
    m_activeRequests.erase(request);
}
}
