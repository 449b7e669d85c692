#include "entrygate.h"

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
constexpr int maxDepth = 64; // the target is 22; a longer chain is a loop
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr int retryAfterS = 1;
constexpr int statusServiceUnavailable = 503;
constexpr int statusServerError = 500;

Problem notRun(int status, Event event, std::string detail, int retryS = 0)
{
    return {status, event, Outcome::NotRun, std::move(detail), retryS};
}

constexpr std::string_view keyPrefix = "ygk_";

// Recognizes the form ygk_ID. of a key, whatever follows it: a key that this node does not know yet must not leak either.
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

// A key of any team outside the credentials would be passed on to the upstream, on open routes too.
bool containsKeyOutsideCredentials(const HttpRequest &request)
{
    return containsKey(decodePercent(request.path)) || containsKey(decodePercent(request.query)) || containsKey(request.body)
        || std::any_of(request.headers.begin(), request.headers.end(), [](const auto &header) {
               return header.first != Headers::authorization && containsKey(header.second);
           });
}

std::string keyOf(const HttpRequest &request)
{
    const std::string &value = request.header(Headers::authorization);
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string();
}

TimeMs wantedTimeoutMs(const HttpRequest &request, const RouteSpec &route)
{
    const std::string &text = request.header(Headers::timeoutMs);
    TimeMs wanted = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), wanted);
    const bool valid = result.ec == std::errc() && result.ptr == text.data() + text.size() && wanted > 0;
    return std::min(valid ? wanted : route.timeoutMs, route.timeoutCeilingMs);
}
}

EntryGate::EntryGate(Parts parts, const std::string &nodeId, const std::string &domain)
    : m_parts(std::move(parts))
    , m_nodeId(nodeId)
    , m_idPrefix(randomToken(6) + '-')
    , m_random(std::hash<std::string>{}(m_idPrefix))
    , m_directory(domain)
{
}

void EntryGate::stateChanged()
{
    m_routes = RouteTable(m_parts.plane.state().manifest());
}

void EntryGate::viewChanged()
{
    m_directory.update(m_parts.plane.view());
}

void EntryGate::drain()
{
    m_draining = true;
}

void EntryGate::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->receivedMs = m_parts.loop.clock().preciseMs();
    request->meta.method = exchange->request().method;
    request->meta.target = exchange->request().path;
    if (!exchange->request().query.empty()) {
        request->meta.target += '?' + exchange->request().query;
    }
    request->manifest = m_parts.plane.state().manifest();
    m_active.insert(request);
    const std::string &context = exchange->request().header(Headers::context);
    auto problem = context.empty() ? openRoot(*request) : openNested(*request, context);
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

std::optional<Problem> EntryGate::findRoute(Request &request) const
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

std::optional<Problem> EntryGate::openRoot(Request &request)
{
    request.meta.requestId = m_idPrefix + std::to_string(++m_lastId);
    if (m_draining) {
        return notRun(statusServiceUnavailable, Event::RequestRefusedDraining, "this node takes no new work", retryAfterS);
    }
    if (m_parts.plane.state().index() == 0) {
        // A node that has just started knows no routes yet; 404 would tell the caller not to try again.
        return notRun(statusServiceUnavailable, Event::RequestRefusedIsolated, "this node has no configuration yet", retryAfterS);
    }
    if (auto problem = findRoute(request)) {
        return problem;
    }
    if (request.route->internal) {
        return notRun(404, Event::RouteUnknown, "no route matches the method and path");
    }
    if (containsKeyOutsideCredentials(request.exchange->request())) {
        return notRun(400, Event::MalformedRequest, "a key must stand in the Authorization header only");
    }
    setDeadline(request);
    request.budget = AttemptBudget(request.manifest->limits.retries);
    return request.route->open ? std::nullopt : authenticate(request);
}

// The key is checked for every request, so a withdrawn key fails on connections that are already open.
std::optional<Problem> EntryGate::authenticate(Request &request) const
{
    const ClusterState &state = m_parts.plane.state();
    const std::string key = keyOf(request.exchange->request());
    if (key.empty()) {
        return notRun(401, Event::KeyUnknown, "the Authorization header with the team's key is missing");
    }
    if (!m_parts.plane.isFresh() && !request.route->isolatedServe) {
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
        return notRun(403, Event::TeamForbidden, "the route is not open to the team of the key");
    }
    return std::nullopt;
}

// A nested call takes team, priority, deadline and attempts from its parent call.
std::optional<Problem> EntryGate::openNested(Request &request, const std::string &context)
{
    request.parent = m_parts.calls.find(context);
    if (!request.parent) {
        return notRun(403, Event::ContextInvalid, "the call of this context has ended or is unknown");
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
        return notRun(403, Event::TeamForbidden, "the route is not open to the team of the request");
    }
    request.lentByParent = request.parent->budget.lend();
    request.budget = AttemptBudget(request.lentByParent);
    return std::nullopt;
}

void EntryGate::setDeadline(Request &request) const
{
    const TimeMs now = m_parts.loop.clock().now();
    request.deadline = now + wantedTimeoutMs(request.exchange->request(), *request.route);
    if (request.parent) {
        request.deadline = std::min(request.deadline, request.parent->deadline);
    }
}

std::optional<Problem> EntryGate::checkRequest(const Request &request) const
{
    const std::string &key = request.exchange->request().header(Headers::idempotencyKey);
    if (request.route->action && (key.empty() || key.size() > maxIdempotencyKeyBytes)) {
        return notRun(400, Event::IdempotencyKeyMissing, "an action needs an Idempotency-Key of 1 to 255 bytes");
    }
    if (request.deadline <= m_parts.loop.clock().now()) {
        return notRun(504, Event::DeadlineExceeded, "no time is left for the call");
    }
    return std::nullopt;
}

// One throttle per team, so that the refusals that one team causes do not refuse the calls of the others.
EntryThrottle &EntryGate::throttle(const Request &request)
{
    return m_throttles.try_emplace({request.meta.route, request.meta.team}, request.meta.priority).first->second;
}

// Root requests pass the throttle and pay a token; nested calls belong to a request that did both.
void EntryGate::admit(const RequestPtr &request)
{
    if (request->parent) {
        claim(request);
        return;
    }
    if (!throttle(*request).admit(m_parts.loop.clock().now(), m_random)) {
        refuse(request, notRun(statusServiceUnavailable, Event::RequestShed, "the route's services are overloaded", retryAfterS));
        return;
    }
    request->throttled = true;
    if (request->meta.team.empty()) {
        claim(request);
        return;
    }
    m_parts.tokens(request->meta.team, [this, request](bool granted) {
        if (request->done) {
            return;
        }
        if (!granted) {
            request->throttled = false; // says nothing about the services
            refuse(request, notRun(429, Event::TeamOverRate, "the team is over its rate", retryAfterS));
            return;
        }
        claim(request);
    });
}

void EntryGate::claim(const RequestPtr &request)
{
    if (!request->route->action) {
        attempt(request);
        return;
    }
    const TimeMs timeout = std::min(claimTimeoutMs, request->deadline - m_parts.loop.clock().now());
    m_parts.claims.claim(request->meta.team,
                         request->exchange->request().header(Headers::idempotencyKey),
                         std::max<TimeMs>(1, timeout),
                         [this, request](const std::shared_ptr<ClaimTicket> &ticket) {
                             takeClaim(request, ticket);
                         });
}

void EntryGate::takeClaim(const RequestPtr &request, const std::shared_ptr<ClaimTicket> &ticket)
{
    if (request->done) {
        if (ticket) {
            m_parts.claims.giveBack(*ticket);
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
        refuse(request, {409, Event::ActionAlreadyClaimed, Outcome::MayHaveRun, "the action was claimed before", 0});
        return;
    }
    refuse(request, notRun(statusServiceUnavailable, Event::ClaimUnavailable, "no majority of claim replicas answered", retryAfterS));
}

void EntryGate::attempt(const RequestPtr &request)
{
    const TimeMs now = m_parts.loop.clock().now();
    if (now >= request->deadline) {
        refuse(request, notRun(504, Event::DeadlineExceeded, "the time ran out before an upstream could start"));
        return;
    }
    Balancer *balancer = m_directory.balancer(request->meta.service);
    const auto chosen = balancer ? balancer->pick(now, m_random, request->tried) : std::nullopt;
    if (!chosen) {
        refuse(request, notRun(statusServiceUnavailable, Event::UpstreamUnavailable, "no upstream of the service is available", retryAfterS));
        return;
    }
    // A process that was frozen since the claim was granted must not act on it.
    if (request->ticket && !request->ticket->claim.mayDispatch(now)) {
        refuse(request, notRun(statusServiceUnavailable, Event::ClaimUnavailable, "the claim is too old to be used", retryAfterS));
        return;
    }
    request->upstream = *chosen;
    request->tried.push_back(*chosen);
    balancer->started(*chosen);
    dispatch(request);
}

void EntryGate::dispatch(const RequestPtr &request)
{
    if (request->tried.size() == 1) {
        m_ratios[request->meta.route].recordFirstAttempt();
    }
    request->meta.remainingMs = request->deadline - m_parts.loop.clock().now();
    request->lentToAttempt = request->budget.lend();
    request->meta.retries = request->lentToAttempt;
    if (request->ticket) {
        request->ticket->claim.dispatched();
    }
    const HttpRequest &incoming = request->exchange->request();
    const auto done = [this, request](CallOutcome outcome) {
        takeOutcome(request, std::move(outcome));
    };
    if (request->upstream == m_nodeId) {
        request->gateCall = m_parts.gate.offer(request->meta, forwardedRequestHeaders(incoming.headers), incoming.body, done);
    } else {
        request->peerCall =
            m_parts.forwarder.send(m_directory.address(request->upstream), request->meta, forwardedRequestHeaders(incoming.headers), incoming.body, done);
    }
}

void EntryGate::updateBalancer(const Request &request, const CallOutcome &outcome)
{
    Balancer *balancer = m_directory.balancer(request.meta.service);
    const TimeMs now = m_parts.loop.clock().now();
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

void EntryGate::takeOutcome(const RequestPtr &request, CallOutcome outcome)
{
    if (request->done) {
        return;
    }
    updateBalancer(*request, outcome);
    request->upstream.clear();
    request->budget.returnUnused(request->lentToAttempt, outcome.unusedRetries);
    const bool ran = !outcome.problem || outcome.problem->outcome == Outcome::MayHaveRun;
    request->mayHaveRun = request->mayHaveRun || (ran && outcome.problem);
    if (request->ticket && !ran) {
        request->ticket->claim.notRun();
    }
    if (mayRetry(*request, outcome)) {
        m_parts.metrics.count("yuccagrade_retries_total");
        m_parts.loop.after(static_cast<TimeMs>(m_random.below(retryJitterMs + 1)), [this, request] {
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
    answer(request, std::move(outcome.response));
}

// Only what certainly did not run, or may run again, is sent again.
bool EntryGate::mayRetry(Request &request, const CallOutcome &outcome)
{
    const bool overloaded = !outcome.problem && outcome.response.status == statusServiceUnavailable;
    if (!outcome.problem && !overloaded) {
        return false;
    }
    const bool notRunYet = outcome.problem && outcome.problem->outcome == Outcome::NotRun;
    const bool worthIt = overloaded || outcome.problem->status >= statusServerError;
    if (!(notRunYet || request.meta.idempotent) || !worthIt || m_parts.loop.clock().now() + retryJitterMs >= request.deadline) {
        return false;
    }
    if (request.budget.left() == 0 || !m_ratios[request.meta.route].takeRetry()) {
        m_parts.log.write(Event::RetryBudgetExhausted, {{"request", request.meta.requestId}});
        return false;
    }
    return request.budget.takeRetry();
}

void EntryGate::abort(const RequestPtr &request)
{
    if (request->done) {
        return;
    }
    m_parts.log.write(Event::CallCancelled, {{"request", request->meta.requestId}});
    if (!request->upstream.empty()) {
        m_directory.balancer(request->meta.service)->finished(request->upstream);
        m_parts.gate.cancel(request->gateCall);
        m_parts.forwarder.cancel(request->peerCall);
    }
    close(request, false);
}

void EntryGate::answer(const RequestPtr &request, HttpResponse response)
{
    const double tookMs = m_parts.loop.clock().preciseMs() - request->receivedMs;
    m_parts.metrics.count("yuccagrade_answers_total", "route=\"" + request->meta.route + "\",team=\"" + request->meta.team + '"');
    m_parts.metrics.sample("yuccagrade_request_ms", tookMs);
    m_parts.log.write(Event::CallServed, {{"request", request->meta.requestId}, {"status", std::to_string(response.status)}});
    const bool complete = response.status < statusServerError;
    request->exchange->respond(std::move(response));
    close(request, complete);
}

void EntryGate::refuse(const RequestPtr &request, Problem problem)
{
    if (request->mayHaveRun) {
        problem.outcome = Outcome::MayHaveRun;
    }
    // A refusal before any attempt says nothing about the load of the services, and costs them nothing.
    request->throttled = request->throttled && !request->tried.empty();
    m_parts.metrics.count("yuccagrade_refused_total", "reason=\"" + std::string(eventInfo(problem.event).name) + '"');
    m_parts.log.write(problem.event,
                      {{"request", request->meta.requestId},
                       {"team", request->meta.team},
                       {"route", request->meta.route},
                       {"key", request->meta.keyId},
                       {"outcome", outcomeName(problem.outcome)}});
    request->exchange->respond(toResponse(problem));
    close(request, problem.status < statusServerError);
}

// Ends the request: returns what is left of its attempts and of a claim that was not used.
void EntryGate::close(const RequestPtr &request, bool complete)
{
    request->done = true;
    if (request->throttled) {
        throttle(*request).finished(complete, m_parts.loop.clock().now());
    }
    if (request->parent) {
        request->parent->budget.returnUnused(request->lentByParent, request->budget.left());
    }
    if (request->ticket) {
        m_parts.claims.giveBack(*request->ticket);
    }
    m_active.erase(request);
}
}
