#include "forwarder.h"

#include "base/errc.h"
#include "headers.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr auto callPath = "/call";
// The remote node ends the call at the deadline; the extra time lets its error response arrive.
constexpr TimeMs responseGraceMs = 50;

// The MAC covers the metadata and the body length only, since hashing large bodies would exceed the latency budget of a hop.
std::string signedRequestContent(const std::string &meta, const std::string &body)
{
    return meta + '\n' + std::to_string(body.size());
}

std::string signedResponseContent(const HttpResponse &response, const std::string &load, const std::string &retries)
{
    return std::to_string(response.status) + '\n' + load + '\n' + retries + '\n' + std::to_string(response.body.size());
}

// The event header is set only if the response reports a problem of the remote node; it is absent on responses of the upstream.
constexpr auto eventHeader = "yuccagrade-event";
constexpr auto detailHeader = "yuccagrade-detail";

bool readProblem(const HttpResponse &response, Problem &problem)
{
    const std::string &number = response.header(eventHeader);
    const auto &catalogue = eventCatalogue();
    const auto known = std::find_if(catalogue.begin(), catalogue.end(), [&number](const EventInfo &info) {
        return std::to_string(static_cast<int>(info.event)) == number;
    });
    if (known == catalogue.end()) {
        return false;
    }
    const bool notRun = response.header(Headers::outcome) == outcomeName(Outcome::NotRun);
    problem = {response.status, known->event, notRun ? Outcome::NotRun : Outcome::MayHaveRun, response.header(detailHeader), 0};
    problem.retryAfterS = response.header("retry-after").empty() ? 0 : 1;
    return true;
}
}

Forwarder::Forwarder(EventLoop &loop, HttpClient &client, PeerAuth &auth, EventLog &log, UpstreamDispatcher &dispatcher)
    : m_loop(loop)
    , m_client(client)
    , m_auth(auth)
    , m_log(log)
    , m_dispatcher(dispatcher)
{
}

HttpCallId Forwarder::send(const std::string &address, const CallMeta &meta, const HttpHeaders &headers, const std::string &body, CallCallback done)
{
    HttpCall call{"POST", address, callPath, headers, body, meta.remainingMs + responseGraceMs, !meta.idempotent};
    const std::string encoded = encodeCallMeta(meta);
    const std::string header = m_auth.sign(address, signedRequestContent(encoded, body));
    call.headers[Headers::call] = encoded;
    call.headers[Headers::peer] = header;
    m_log.write(Event::CallForwarded, {{"request", meta.requestId}, {"to", address}});
    return m_client.send(std::move(call), [this, address, header, retriesGranted = meta.retries, done = std::move(done)](const HttpResult &result) {
        if (result.error == Errc::Malformed) {
            m_log.write(Event::PeerRejected, {{"reason", "malformed response: " + result.defect}, {"from", address}});
        }
        done(toOutcome(header, result, retriesGranted));
    });
}

void Forwarder::cancel(HttpCallId id)
{
    m_client.cancel(id);
}

CallOutcome Forwarder::toOutcome(const std::string &requestHeader, const HttpResult &result, int grantedRetries)
{
    CallOutcome outcome;
    const HttpResponse &response = result.response;
    if (result.error) {
        const bool timedOut = result.error == Errc::Timeout;
        outcome.connectFailed = !result.bytesSent;
        outcome.problem = Problem{timedOut               ? 504
                                      : result.bytesSent ? 502
                                                         : 503,
                                  timedOut ? Event::DeadlineExceeded : Event::UpstreamUnavailable,
                                  result.bytesSent ? Outcome::MayHaveRun : Outcome::NotRun,
                                  "no response from the upstream's node: " + result.error.message(),
                                  0};
        // A node that did not respond may have used all retries granted with the call.
        outcome.unusedRetries = result.bytesSent ? 0 : grantedRetries;
        return outcome;
    }
    const std::string &load = response.header(Headers::load);
    const std::string &retries = response.header(Headers::retriesLeft);
    if (m_auth.verifyAnswer(requestHeader, response.header(Headers::peerAnswer), signedResponseContent(response, load, retries))) {
        m_log.write(Event::PeerRejected, {{"reason", "call response failed authentication"}});
        outcome.problem = Problem{502, Event::UpstreamAnswerBroken, Outcome::MayHaveRun, "the response of the upstream's node failed authentication", 0};
        return outcome;
    }
    outcome.load = decodeLoad(load);
    outcome.unusedRetries = std::atoi(retries.c_str()); // NOLINT(cert-err34-c): authenticated and bounded by the budget
    Problem problem;
    if (readProblem(response, problem)) {
        outcome.problem = problem;
        return outcome;
    }
    outcome.response = response;
    outcome.response.headers = forwardedResponseHeaders(response.headers);
    return outcome;
}

void Forwarder::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string &encoded = request.header(Headers::call);
    PeerSender sender;
    CallMeta meta;
    if (const auto error = m_auth.verify(request.header(Headers::peer), signedRequestContent(encoded, request.body), sender)) {
        m_log.write(Event::PeerRejected, {{"reason", error.message()}, {"from", request.remoteAddress}});
        exchange->respond({error == Errc::Malformed ? 400 : 401, {}, {}});
        return;
    }
    if (!decodeCallMeta(encoded, meta)) {
        m_log.write(Event::MalformedRequest, {{"path", callPath}});
        sendResponse(exchange, sender.mac, {Problem{400, Event::MalformedRequest, Outcome::NotRun, "malformed call metadata", 0}, {}, {}, 0, false});
        return;
    }
    const std::uint64_t id =
        m_dispatcher.submit(meta, forwardedRequestHeaders(request.headers), request.body, [this, exchange, mac = sender.mac](const CallOutcome &outcome) {
            sendResponse(exchange, mac, outcome);
        });
    exchange->onAbort([this, id] {
        m_dispatcher.cancel(id);
    });
}

void Forwarder::sendResponse(const std::shared_ptr<HttpExchange> &exchange, const std::string &requestMac, const CallOutcome &outcome)
{
    HttpResponse response = outcome.problem ? toResponse(*outcome.problem) : outcome.response;
    const std::string load = outcome.load ? encodeLoad(*outcome.load) : std::string();
    const std::string retries = std::to_string(outcome.unusedRetries);
    if (outcome.problem) {
        response.headers[eventHeader] = std::to_string(static_cast<int>(outcome.problem->event));
        response.headers[detailHeader] = outcome.problem->detail;
    }
    if (!load.empty()) {
        response.headers[Headers::load] = load;
    }
    response.headers[Headers::retriesLeft] = retries;
    response.headers[Headers::peerAnswer] = m_auth.signAnswer(requestMac, signedResponseContent(response, load, retries));
    exchange->respond(std::move(response));
}
}
