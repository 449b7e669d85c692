#include "standins.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Yuccagrade::Soak
{
namespace
{
constexpr TimeMs heartbeatMs = 400;
constexpr TimeMs announcementTimeoutMs = 1'000;
constexpr TimeMs nestedTimeoutMs = 1'500;
// After the acknowledgement of a drain new requests may still arrive for this time.
constexpr double drainBoundMs = 2'000;
constexpr TimeMs leaveMs = 2'600;
constexpr int slots = 20;
constexpr std::uint64_t workMs = 25;
constexpr std::uint64_t declinedOneIn = 50;
constexpr std::uint64_t failedOneOf = 4; // one request in four succeeds at a failing server
constexpr std::size_t maxBodyBytes = 3'000;
// While the server breaks the protocol:
constexpr std::uint64_t brokenOneIn = 4;
constexpr std::uint64_t brokenHealthOneIn = 8;
constexpr std::uint64_t declinedOneInWhileBroken = 5;
constexpr std::size_t endlessPieceBytes = 65'536;
// Without a signature; the mesh must not take any of them for a decision of its own or of the server.
constexpr std::array unsignedStatuses{301, 400, 401, 404, 429, 500, 503};
// Statuses that a server gives to requests that have run.
constexpr std::array signedStatuses{400, 404, 500};

const std::string &fieldOf(const HttpMessage &message, std::string_view name)
{
    static const std::string none;
    const std::string *value = message.field(name);
    return value ? *value : none;
}

std::string signatureOf(const std::string &id)
{
    return "s." + id;
}

// A status by which a mesh says that a request is not allowed or malformed.
bool isDenial(int status)
{
    return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
}
}

void Ledger::violation(const std::string &text)
{
    m_violations.push_back(std::to_string(m_loop.clock().now()) + ' ' + text);
}

Ledger::Request &Ledger::sent(const std::string &id, Request request)
{
    request.sentMs = m_loop.clock().preciseMs();
    m_sentMs[request.service].push_back(request.sentMs);
    return m_requests[id] = std::move(request);
}

void Ledger::arrived(const std::string &id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && (++found->second.arrivals > 1 || found->second.repeated)) {
        m_repeatedMs[found->second.service].push_back(m_loop.clock().preciseMs());
    }
}

void Ledger::checkRetryBudget()
{
    for (const auto &[service, repeatedMs] : m_repeatedMs) {
        const std::vector<double> &sentMs = m_sentMs[service];
        const auto sentIn = [&sentMs](double from) {
            return static_cast<double>(std::lower_bound(sentMs.begin(), sentMs.end(), from + retryWindowMs)
                                       - std::lower_bound(sentMs.begin(), sentMs.end(), from));
        };
        for (std::size_t first = 0, last = 0; first < repeatedMs.size(); ++first) {
            const double from = repeatedMs[first];
            while (last < repeatedMs.size() && repeatedMs[last] < from + retryWindowMs) {
                ++last;
            }
            const double requests = std::max({sentIn(from), sentIn(from - retryWindowMs), sentIn(from - retryWindowMs / 2)});
            const auto repeats = static_cast<double>(last - first);
            if (repeats > retryRatio * requests + retryPerWindow) {
                violation(service + " got " + std::to_string(last - first) + " repeated sends for " + std::to_string(requests) + " requests in a window");
                break;
            }
        }
    }
}

void Ledger::runs(const std::string &id, const HttpMessage &message, const std::string &server)
{
    if (onRun) {
        onRun(id);
    }
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        violation(server + " runs a request that nobody sent: " + id);
        return;
    }
    Request &request = found->second;
    ++request.runs;
    if (!request.idempotent && request.runs > 1) {
        violation(server + " runs " + id + " again, which is not idempotent");
    }
    if (!request.idempotent && request.refused) {
        violation(server + " runs " + id + " after it was refused");
    }
    if (message.body != request.body) {
        violation(server + " got another body for " + id);
    }
    if (fieldOf(message, "X-Yuccagrade-Caller-Service") != request.callerService) {
        violation(server + " got a wrong caller service for " + id);
    }
    if (message.field("Authorization") || fieldOf(message, "X-Yuccagrade-Tenant") != (request.key.empty() ? "" : "red")) {
        violation(server + " got the key or a wrong team for " + id);
    }
    if (mayRun && !mayRun(request)) {
        violation(server + " runs " + id + " with key '" + request.key + "', which no configuration in force allows");
    }
    const auto withdrawn = m_withdrawnMs.find(request.key);
    if (withdrawn != m_withdrawnMs.end() && request.sentMs > withdrawn->second + withdrawalMs) {
        violation(server + " runs " + id + " with a withdrawn key");
    }
    const auto dropped = m_droppedMs.find(request.route);
    if (dropped != m_droppedMs.end() && request.sentMs > dropped->second + withdrawalMs) {
        violation(server + " runs " + id + " on a dropped route");
    }
}

void Ledger::answered(const std::string &id, const std::optional<HttpMessage> &answer)
{
    Request &request = m_requests.at(id);
    if (!answer) {
        return;
    }
    const int status = answer->status;
    if (fieldOf(*answer, "X-Yuccagrade-Request-Id") != id) {
        violation("answer of another request for " + id);
    }
    if (status == 200 && (!answer->field("X-Yuccagrade-Server-Signature") || answer->body != answerBody(id))) {
        violation("success without a whole answer for " + id);
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
        request.refused = true;
        if (!request.idempotent && request.runs > 0) {
            violation("refusal " + std::to_string(status) + " of " + id + ", which has run");
        }
    }
    const bool ofServer = fieldOf(*answer, "X-Yuccagrade-Server-Signature") == signatureOf(id);
    if (isDenial(status) && !ofServer && isAllowed && isAllowed(request)) {
        violation("status " + std::to_string(status) + " for " + id + " of " + request.callerService + " with " + request.key + " on route " + request.route
                  + ", which every configuration allows");
    }
}

void Ledger::keyWithdrawn(const std::string &key)
{
    m_withdrawnMs.emplace(key, m_loop.clock().preciseMs());
}

void Ledger::routeDropped(const std::string &route)
{
    m_droppedMs.emplace(route, m_loop.clock().preciseMs());
}

int Ledger::runsOf(const std::string &id) const
{
    return m_requests.at(id).runs;
}

std::string answerBody(const std::string &id)
{
    return id + '|' + std::string(std::hash<std::string>()(id) % maxBodyBytes, 'a');
}

std::string renderRequest(const std::string &method, const std::string &target, const std::vector<HttpMessage::Field> &fields, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: a.example\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

CallerConnection::CallerConnection(EventLoop &loop, Ledger &ledger, std::shared_ptr<TcpStream> stream)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_stream(std::move(stream))
{
}

CallerConnection::~CallerConnection()
{
    m_loop.cancel(m_timer);
    if (m_stream) {
        m_stream->close();
    }
}

std::shared_ptr<CallerConnection> CallerConnection::open(EventLoop &loop, const std::string &address, Ledger &ledger)
{
    auto stream = TcpStream::connect(loop, address, {});
    if (!stream) {
        return nullptr;
    }
    std::shared_ptr<CallerConnection> connection(new CallerConnection(loop, ledger, stream));
    stream->onData = [weak = std::weak_ptr(connection)](std::string_view data) {
        if (const auto self = weak.lock()) {
            self->read(data);
        }
    };
    stream->onClosed = [weak = std::weak_ptr(connection)](bool) {
        if (const auto self = weak.lock()) {
            self->m_reusable = false;
            self->finish(std::nullopt);
        }
    };
    return connection;
}

void CallerConnection::send(const std::string &text, TimeMs timeoutMs, Done done)
{
    m_done = std::move(done);
    m_timer = m_loop.after(timeoutMs, [self = shared_from_this()] {
        self->m_timer = 0;
        self->m_reusable = false;
        self->m_stream->close();
        self->finish(std::nullopt);
    });
    m_stream->write(text);
}

void CallerConnection::read(std::string_view data)
{
    if (!m_done) {
        m_ledger.violation("bytes of a node without a request: " + std::string(data.substr(0, 40)));
        m_reusable = false;
        return;
    }
    const std::size_t used = m_reader.read(data);
    if (m_reader.state() == HttpReader::State::Reading) {
        return;
    }
    m_reusable = m_reader.state() == HttpReader::State::Complete && used == data.size();
    if (m_reader.state() != HttpReader::State::Complete) {
        m_ledger.violation("bytes of a node that are no answer: " + std::string(data.substr(0, 40)));
        m_stream->close();
        finish(std::nullopt);
        return;
    }
    HttpMessage message = m_reader.take();
    m_reusable = m_reusable && message.keepAlive;
    if (!m_reusable) {
        m_stream->close();
    }
    finish(std::move(message));
}

void CallerConnection::finish(std::optional<HttpMessage> answer)
{
    m_loop.cancel(m_timer);
    if (const Done done = std::exchange(m_done, nullptr)) {
        const auto self = shared_from_this();
        done(std::move(answer));
    }
}

Server::Server(EventLoop &loop, Ledger &ledger, Plan plan, Random random)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_plan(std::move(plan))
    , m_random(random)
{
    m_timer = m_loop.every(heartbeatMs, [this] {
        announce();
    });
}

Server::~Server()
{
    m_loop.cancel(m_timer);
}

void Server::start()
{
    ++m_incarnation;
    m_id = m_plan.name + '-' + std::to_string(m_incarnation);
    m_startedAt = m_loop.clock().wall();
    m_sequence = 0;
    m_draining = false;
    m_drainAckedMs = 0;
    m_port = std::make_unique<ServerPort>(
        m_loop,
        [this](const Connection &connection, const HttpMessage &message) {
            handle(connection, message);
        },
        [this](std::string_view defect) {
            m_ledger.violation(m_id + " got bytes that are no request: " + std::string(defect));
        });
    if (m_port->listen(m_plan.listenAddress)) {
        m_ledger.violation("the soak cannot listen on " + m_plan.listenAddress);
    }
    announce();
}

void Server::crash()
{
    m_port.reset();
}

void Server::restartPlanned()
{
    m_draining = true;
    announce();
    const std::string leaving = m_id;
    m_loop.after(leaveMs, [this, leaving] {
        if (m_id != leaving || !isRunning()) {
            return;
        }
        crash();
        start();
    });
}

void Server::failMost(TimeMs durationMs)
{
    m_failsUntilMs = m_loop.clock().preciseMs() + static_cast<double>(durationMs);
}

void Server::breakResponses(std::vector<Defect> defects, TimeMs durationMs)
{
    m_defects = std::move(defects);
    m_brokenUntilMs = m_loop.clock().preciseMs() + static_cast<double>(durationMs);
}

std::optional<Defect> Server::drawDefect(std::uint64_t oneIn)
{
    if (m_defects.empty() || m_loop.clock().preciseMs() >= m_brokenUntilMs || m_random.below(oneIn) > 0) {
        return std::nullopt;
    }
    return m_defects.at(m_random.below(m_defects.size()));
}

void Server::announce()
{
    if (!isRunning()) {
        return;
    }
    const auto connection = CallerConnection::open(m_loop, m_plan.announceAddress, m_ledger);
    if (!connection) {
        return;
    }
    m_connections.insert(connection);
    const std::string body = "{\"address\":\"" + m_plan.publicAddress + "\",\"born\":" + std::to_string(m_startedAt) + ",\"info\":{\"service\":\""
        + m_plan.service + "\",\"version\":\"v1\",\"zone\":\"" + m_plan.domain + "\",\"slots\":" + std::to_string(slots) + "},\"status\":{\"state\":\""
        + (m_draining ? "draining" : "ready") + "\",\"sequence\":" + std::to_string(++m_sequence) + ",\"coldRemainingS\":0}}";
    connection->send(renderRequest("POST", "/Instances.Heartbeat/" + m_id, {}, body),
                     announcementTimeoutMs,
                     [this, connection, id = m_id, draining = m_draining](const std::optional<HttpMessage> &answer) {
                         m_connections.erase(connection);
                         if (answer && answer->status == 200 && draining && id == m_id && m_drainAckedMs == 0) {
                             m_drainAckedMs = m_loop.clock().preciseMs();
                         }
                     });
}

void Server::handle(const Connection &connection, const HttpMessage &message)
{
    const std::string id = fieldOf(message, "X-Yuccagrade-Request-Id");
    if (const std::string *target = message.field("X-Yuccagrade-Target-Instance"); target && *target != m_id) {
        connection->respond(responseHead(421, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Server-Signature", signatureOf(id)}}), {});
        return;
    }
    if (id.empty()) {
        answerHealthQuestion(connection);
        return;
    }
    if (m_drainAckedMs > 0 && m_loop.clock().preciseMs() > m_drainAckedMs + drainBoundMs) {
        m_ledger.violation(m_id + " got " + id + " after its drain was acknowledged");
    }
    m_ledger.arrived(id);
    const bool declinesMore = drawDefect(1) == Defect::RepeatedRefusal;
    if (m_random.below(declinesMore ? declinedOneInWhileBroken : declinedOneIn) == 0) {
        connection->refuse(responseHead(503, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Not-Executed", "full"}}));
        return;
    }
    m_ledger.runs(id, message, m_id);
    const auto after = static_cast<TimeMs>(m_random.below(workMs));
    if (m_loop.clock().preciseMs() < m_failsUntilMs && m_random.below(failedOneOf) > 0) {
        m_loop.after(after, [this, connection, id] {
            answer(connection, id, 500);
        });
        return;
    }
    if (m_plan.calls.empty()) {
        m_loop.after(after, [this, connection, id] {
            answer(connection, id, 200);
        });
        return;
    }
    const std::string nested = id + ".n" + std::to_string(++m_nested);
    m_ledger.sent(nested, {.open = true, .callerService = m_plan.service, .service = "deep", .repeated = m_ledger.runsOf(id) > 1});
    const auto outbound = CallerConnection::open(m_loop, m_plan.outboundAddress, m_ledger);
    if (!outbound) {
        answer(connection, id, 500);
        return;
    }
    m_connections.insert(outbound);
    outbound->send(
        renderRequest("GET", m_plan.calls + nested, {{"X-Yuccagrade-Request-Id", nested}, {"X-Yuccagrade-Deadline-Ms", std::to_string(nestedTimeoutMs)}}, {}),
        nestedTimeoutMs,
        [this, outbound, connection, id, nested](const std::optional<HttpMessage> &reply) {
            m_connections.erase(outbound);
            m_ledger.answered(nested, reply);
            answer(connection, id, reply && reply->status == 200 ? 200 : 500);
        });
}

void Server::answer(const Connection &connection, const std::string &id, int status)
{
    if (const auto defect = drawDefect(brokenOneIn); defect && writeBroken(connection, *defect, id)) {
        return;
    }
    connection->respond(responseHead(status, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Server-Signature", signatureOf(id)}}),
                        status == 200 ? answerBody(id) : std::string());
}

void Server::answerHealthQuestion(const Connection &connection)
{
    const auto defect = drawDefect(brokenHealthOneIn);
    if ((defect == Defect::CutHead || defect == Defect::Endless) && writeBroken(connection, *defect, {})) {
        return;
    }
    connection->respond(
        responseHead(m_draining ? 503 : 200, {{"X-Yuccagrade-Instance-Id", m_id}, {"X-Yuccagrade-Server-Load", "0,0," + std::to_string(slots)}}),
        {});
}

bool Server::writeBroken(const Connection &connection, Defect defect, const std::string &id)
{
    switch (defect) {
    case Defect::RepeatedRefusal:
        connection->repeatRefusal();
        return false;
    case Defect::CutHead: {
        const std::string head =
            responseHead(200, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Server-Signature", signatureOf(id)}, {"Content-Length", "3"}});
        connection->breakOff(head.substr(0, 1 + m_random.below(head.size())), m_random.below(2) == 0);
        return true;
    }
    case Defect::Unsigned:
        writeUnsigned(connection, id);
        return true;
    case Defect::Endless:
        writeEndless(connection, id);
        return true;
    }
    return false;
}

void Server::writeUnsigned(const Connection &connection, const std::string &id)
{
    switch (m_random.below(3)) {
    case 0: // without both
        connection->respond(responseHead(unsignedStatuses.at(m_random.below(unsignedStatuses.size()))), {});
        break;
    case 1:
        connection->respond(responseHead(unsignedStatuses.at(m_random.below(unsignedStatuses.size())), {{"X-Yuccagrade-Request-Id", id}}), {});
        break;
    default:
        connection->respond(responseHead(signedStatuses.at(m_random.below(signedStatuses.size())), {{"X-Yuccagrade-Server-Signature", signatureOf(id)}}), {});
    }
}

void Server::writeEndless(const Connection &connection, const std::string &id)
{
    const std::string head = responseHead(200, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Server-Signature", signatureOf(id)}});
    const std::string filler(endlessPieceBytes, 'e');
    switch (m_random.below(3)) {
    case 0: // fields
        connection->writeEndlessly(head, "X-Filler: " + filler.substr(0, 1'000) + "\r\n");
        break;
    case 1: // chunks
        connection->writeEndlessly(head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n");
        break;
    default: // until the connection ends
        connection->writeEndlessly(head + "\r\n", filler);
    }
}
}
