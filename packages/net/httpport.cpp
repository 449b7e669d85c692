#include "httpport.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Requests of one connection that are read before the first is answered.
constexpr std::size_t maxPipelined = 32;
// Running requests of a port from which on each connection may have fewer. With fewer running, a limit by the number of connections
// alone would make ordinary clients wait that pipeline a few requests each: idle connections are many.
constexpr std::size_t maxPipelinedOfAll = 256;
// The same for the memory of the running requests: bodies are copied several times on their way to an upstream.
constexpr std::size_t maxPipelinedBytes = 1U << 20U;
// Requests that one connection may begin in a turn of the loop, so that connections with many do not delay the others.
constexpr int requestsPerTurn = 4;
// With more unread response bytes, a client gets no response to further requests.
constexpr std::size_t maxUnsentBeforeNext = 64U << 10U;
// A client sends the header of a request within this time unless it is slow.
constexpr TimeMs slowMs = 500;
constexpr TimeMs checkPeriodMs = 500;
constexpr int continueStatus = 100;
constexpr int unavailableStatus = 503;
// Bytes behind the last request that may be read now; with more, reading pauses.
constexpr std::size_t maxHeldBytes = 16U << 10U;
// Unread response bytes of a client that does not read; more ends the connection.
constexpr std::size_t maxUnsentBytes = 4U << 20U;
// The same for all clients of a port, less than a third of the memory of the smallest process; beyond it the connections with
// most unread bytes are closed.
constexpr std::size_t maxUnsentBytesOfAll = 48U << 20U;

int statusOf(HttpReader::State state)
{
    switch (state) {
    case HttpReader::State::HeaderTooLarge:
        return 431;
    case HttpReader::State::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}
}

std::string responseHead(int status, const std::vector<HttpMessage::Field> &fields)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonPhrase(status)) + "\r\n";
    for (const auto &[name, value] : fields) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    return head;
}

/// One connection of an HttpPort.
class HttpPortConnection : public std::enable_shared_from_this<HttpPortConnection>
{
public:
    HttpPortConnection(HttpPort &port, std::shared_ptr<TcpStream> stream)
        : m_port(port)
        , m_stream(std::move(stream))
        , m_reader(HttpReader::Kind::Request, port.m_limits)
        , m_activeAt(now())
    {
    }

    void start()
    {
        m_stream->onData = [this](std::string_view data) {
            const auto self = shared_from_this();
            if (m_held.empty()) {
                read(data);
            } else {
                hold(data);
            }
        };
        m_stream->onDrained = [this] {
            const auto self = shared_from_this();
            resume();
        };
        m_stream->onClosed = [this](bool) {
            const auto self = shared_from_this();
            gone();
        };
    }

    void answerReady()
    {
        const std::size_t unsentBefore = m_stream->unsent();
        if (m_stream->isWriteBlocked() && unsentBefore > maxUnsentBytes) {
            gone();
            return;
        }
        while (!m_exchanges.empty() && m_exchanges.front()->m_ready) {
            const auto exchange = m_exchanges.front();
            m_exchanges.pop_front();
            --m_port.m_running;
            m_port.m_runningBytes -= exchange->m_requestBytes;
            m_activeAt = now();
            // With later requests already read, only the last response of the connection says that it closes.
            const bool last = m_exchanges.empty() && (exchange->m_close || m_ending || m_port.m_closing);
            m_stream->write(exchange->m_response);
            m_stream->write(last ? "Connection: close\r\n\r\n" : "\r\n");
            if (exchange->m_request.method != "HEAD") {
                m_stream->write(exchange->m_body);
            }
            if (last) {
                m_port.addUnsent(m_stream->unsent() - unsentBefore);
                finish();
                return;
            }
        }
        m_port.addUnsent(m_stream->unsent() - unsentBefore);
        resume();
        if (m_reader.state() == HttpReader::State::Reading) {
            sendContinue();
        }
    }

    void checkTimes(const HttpPortTimes &times)
    {
        if (!m_exchanges.empty()) {
            return;
        }
        // A client that still reads a response is not idle.
        if (m_stream->sent() != m_sentAtCheck) {
            m_sentAtCheck = m_stream->sent();
            m_activeAt = now();
        }
        const TimeMs quiet = now() - m_activeAt;
        if (m_reader.state() == HttpReader::State::Idle ? quiet > times.idleMs : now() - m_startedAt > times.headerMs + times.idleMs) {
            finish();
        }
    }

    std::size_t pending() const
    {
        return m_exchanges.size() + (m_reader.state() == HttpReader::State::Reading ? 1 : 0) + (m_stream->unsent() > 0 ? 1 : 0);
    }
    std::size_t heldRequestBytes() const
    {
        std::size_t bytes = m_held.capacity() + (m_reader.state() == HttpReader::State::Reading ? m_reader.heldBytes() : 0);
        for (const auto &exchange : m_exchanges) {
            bytes += exchange->m_requestBytes;
        }
        return bytes;
    }
    // Bytes of the request that is being read; 0 if there is none that can be refused.
    std::size_t refusableBytes() const
    {
        return !m_ending && m_reader.state() == HttpReader::State::Reading ? m_reader.heldBytes() : 0;
    }
    // Bytes of requests behind those that may be read now.
    std::size_t pipelinedBytes() const
    {
        return m_held.capacity();
    }
    /// How readily the connection is closed for a new one. Lower ones come first.
    struct ClosingRank {
        int kind = 0; ///< 0 for a slow client, 1 for an idle one, 2 for others
        TimeMs since = 0;
        auto operator<=>(const ClosingRank &) const = default;
    };
    /// Returns nothing if the connection has a request or a response that is being sent.
    std::optional<ClosingRank> closingRank() const
    {
        if (!m_exchanges.empty() || m_stream->unsent() > 0) {
            return {};
        }
        const bool isReading = m_reader.state() == HttpReader::State::Reading;
        const TimeMs since = isReading && !m_reader.headerComplete() ? m_startedAt : m_activeAt;
        if (now() - since > slowMs && (isReading || m_requests == 0)) {
            return ClosingRank{0, since};
        }
        return ClosingRank{isReading || m_requests == 0 ? 2 : 1, since};
    }
    void refuseRequest(int status, std::string_view defect)
    {
        const auto self = shared_from_this(); // the response may end the connection
        const auto exchange = std::make_shared<PortExchange>();
        exchange->m_connection = weak_from_this();
        m_exchanges.push_back(exchange);
        ++m_port.m_running;
        m_ending = true;
        const UnreadableRequest request{status, m_reader.message(), defect, m_reader.limits(), m_requests};
        std::string head = m_port.onUnreadable ? m_port.onUnreadable(request) : responseHead(status);
        m_reader.take(); // releases what was read
        exchange->respond(std::move(head), {}, true);
    }
    void finish()
    {
        m_port.addLastWrites(m_stream);
        m_stream->closeAfterWrites();
        remove();
    }
    // Reads no request after the one that has begun to arrive. The client sends requests behind the last response again.
    void readNoFurtherRequest()
    {
        const auto self = shared_from_this(); // the connection may end
        m_lastRequest = true;
        std::string().swap(m_held);
        if (m_reader.state() != HttpReader::State::Idle) {
            return;
        }
        m_ending = true;
        if (m_exchanges.empty()) {
            finish();
        }
    }

private:
    friend class HttpPort;

    TimeMs now() const
    {
        return m_port.m_loop.clock().now();
    }

    void hold(std::string_view data)
    {
        if (!m_ending) {
            m_held.append(data);
            m_stream->pauseReading(m_held.size() > maxHeldBytes);
        }
    }

    // Reads what was held back, as far as it may be read now.
    void resume()
    {
        if (m_held.empty() || m_ending || mustWait()) {
            return;
        }
        const std::string held = std::exchange(m_held, {});
        read(held);
        if (m_held.empty()) {
            m_stream->pauseReading(false);
        }
    }

    // True if the next request has to wait: for an answer, for the client to read, or for the next turn of the loop.
    bool mustWait()
    {
        if (m_exchanges.size() >= m_port.pipelineDepth() || m_stream->unsent() > maxUnsentBeforeNext) {
            return true;
        }
        if (m_turn != m_port.m_loop.turn()) {
            m_turn = m_port.m_loop.turn();
            m_requestsOfTurn = 0;
        }
        if (m_requestsOfTurn < requestsPerTurn) {
            return false;
        }
        if (!m_resumePosted) {
            m_resumePosted = true;
            m_port.m_loop.post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_resumePosted = false;
                    self->resume();
                }
            });
        }
        return true;
    }

    void read(std::string_view data)
    {
        while (!data.empty() && !m_ending && m_stream->isOpen()) {
            if (m_reader.state() == HttpReader::State::Idle && mustWait()) {
                hold(data);
                return;
            }
            const bool wasIdle = m_reader.state() == HttpReader::State::Idle;
            if (wasIdle) {
                m_reader.setLimits(m_port.m_limits);
            }
            data.remove_prefix(m_reader.read(data));
            if (m_reader.state() == HttpReader::State::Idle) {
                continue;
            }
            m_activeAt = now();
            if (wasIdle) {
                m_startedAt = m_activeAt;
                m_continued = false;
            }
            if (m_reader.state() == HttpReader::State::Reading) {
                sendContinue();
            } else {
                accept();
            }
        }
    }

    // Sends the interim response that a client with "Expect: 100-continue" waits for, behind the responses due before.
    void sendContinue()
    {
        if (m_continued || !m_exchanges.empty() || m_ending || !m_reader.headerComplete() || !m_reader.message().body.empty()) {
            return;
        }
        const std::string *expected = m_reader.message().field("Expect");
        if (expected && equalFieldNames(*expected, "100-continue")) {
            m_continued = true;
            m_stream->write(responseHead(continueStatus) + "\r\n");
        }
    }

    void accept()
    {
        if (m_reader.state() != HttpReader::State::Complete) {
            refuseRequest(statusOf(m_reader.state()), m_reader.defect());
            return;
        }
        const std::size_t bytes = m_reader.heldBytes();
        if (m_port.hasMemoryFor && !m_port.hasMemoryFor(bytes)) {
            refuseRequest(unavailableStatus, "no memory");
            return;
        }
        const auto exchange = std::make_shared<PortExchange>();
        exchange->m_connection = weak_from_this();
        m_exchanges.push_back(exchange);
        ++m_port.m_running;
        ++m_requests;
        ++m_requestsOfTurn;
        exchange->m_request = m_reader.take();
        exchange->m_requestBytes = bytes;
        m_port.m_runningBytes += bytes;
        m_ending = m_lastRequest || !exchange->m_request.keepAlive;
        m_port.m_handler(exchange);
    }

    void gone()
    {
        m_stream->close();
        const auto exchanges = std::exchange(m_exchanges, {});
        m_port.m_running -= exchanges.size();
        for (const auto &exchange : exchanges) {
            m_port.m_runningBytes -= exchange->m_requestBytes;
        }
        remove();
        for (const auto &exchange : exchanges) {
            if (!exchange->m_ready) {
                exchange->m_gone = true;
                if (const auto hook = exchange->onGone) {
                    hook();
                }
            }
        }
    }

    void remove()
    {
        m_ending = true;
        m_port.m_connections.erase(shared_from_this());
    }

    HttpPort &m_port;
    std::shared_ptr<TcpStream> m_stream;
    HttpReader m_reader;
    std::deque<std::shared_ptr<PortExchange>> m_exchanges;
    std::string m_held; ///< bytes behind the last request that may be read now
    std::uint64_t m_requests = 0; ///< that were read whole
    std::uint64_t m_turn = 0; ///< of the loop in which m_requestsOfTurn were begun
    int m_requestsOfTurn = 0;
    bool m_resumePosted = false;
    TimeMs m_activeAt;
    std::uint64_t m_sentAtCheck = 0; ///< bytes sent at the last check of the idle time
    TimeMs m_startedAt = 0; ///< first byte of the request that is being read
    bool m_lastRequest = false; ///< the request that is being read is the last one
    bool m_continued = false; ///< 100 (Continue) was sent for the request that is being read
    bool m_ending = false; ///< no further request is read
};

void PortExchange::respond(std::string head, std::string body, bool closeConnection)
{
    if (isFinished()) {
        return;
    }
    m_ready = true;
    m_close = closeConnection;
    m_response = std::move(head) + "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_body = std::move(body);
    if (const auto connection = m_connection.lock()) {
        connection->answerReady();
    }
}

HttpPort::HttpPort(EventLoop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, [this](std::shared_ptr<TcpStream> stream) {
        accept(std::move(stream));
    })
{
    m_timer = loop.every(checkPeriodMs, [this] {
        checkTimes();
    });
}

HttpPort::~HttpPort()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_boundTimer);
    for (const auto &connection : std::exchange(m_connections, {})) {
        connection->m_stream->close();
    }
}

std::error_code HttpPort::listen(const std::string &address)
{
    return m_listener.listen(address);
}

void HttpPort::setLimits(HttpReaderLimits limits, HttpPortTimes times)
{
    m_limits = limits;
    m_times = times;
}

void HttpPort::setMaxConnections(std::size_t connections)
{
    m_maxConnections = connections;
}

void HttpPort::accept(std::shared_ptr<TcpStream> stream)
{
    forgetEndedStreams();
    if (m_connections.size() + m_lastWrites.size() >= m_maxConnections) {
        const bool closedOne = closeOneConnection();
        if (!closedOne) {
            stream->close();
        }
        if (onTooManyConnections) {
            onTooManyConnections();
        }
        if (!closedOne) {
            return;
        }
    }
    const auto connection = std::make_shared<HttpPortConnection>(*this, std::move(stream));
    m_connections.insert(connection);
    connection->start();
}

// Closes the connection that can best be given up. Returns false if there is none.
bool HttpPort::closeOneConnection()
{
    const auto answered = std::find_if(m_lastWrites.begin(), m_lastWrites.end(), [](const auto &entry) {
        const auto stream = entry.lock();
        return stream && stream->unsent() == 0;
    });
    if (answered != m_lastWrites.end()) {
        answered->lock()->close();
        m_lastWrites.erase(answered);
        return true;
    }
    std::shared_ptr<HttpPortConnection> first;
    std::optional<HttpPortConnection::ClosingRank> lowest;
    for (const auto &connection : m_connections) {
        const auto rank = connection->closingRank();
        if (rank && (!lowest || *rank < *lowest)) {
            first = connection;
            lowest = rank;
        }
    }
    if (first) {
        first->gone();
    }
    return first != nullptr;
}

std::size_t HttpPort::pipelineDepth() const
{
    if (m_running < maxPipelinedOfAll && m_runningBytes < maxPipelinedBytes) {
        return maxPipelined;
    }
    return std::clamp<std::size_t>(maxPipelinedOfAll / std::max<std::size_t>(m_connections.size(), 1), 1, maxPipelined);
}

void HttpPort::closeAfterResponses()
{
    m_closing = true;
}

void HttpPort::stopListening()
{
    m_listener.stop();
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->readNoFurtherRequest();
    }
}

std::size_t HttpPort::pending() const
{
    std::size_t count = 0;
    for (const auto &connection : m_connections) {
        count += connection->pending();
    }
    return count + static_cast<std::size_t>(std::count_if(m_lastWrites.begin(), m_lastWrites.end(), [](const auto &entry) {
               const auto stream = entry.lock();
               return stream && stream->unsent() > 0;
           }));
}

void HttpPort::addLastWrites(const std::shared_ptr<TcpStream> &stream)
{
    forgetEndedStreams();
    m_lastWrites.push_back(stream);
}

void HttpPort::forgetEndedStreams()
{
    std::erase_if(m_lastWrites, [](const auto &entry) {
        const auto stream = entry.lock();
        return !stream || !stream->isOpen();
    });
}

void HttpPort::checkTimes()
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->checkTimes(m_times);
    }
}

std::size_t HttpPort::heldRequestBytes() const
{
    std::size_t sum = 0;
    for (const auto &connection : m_connections) {
        sum += connection->heldRequestBytes();
    }
    return sum;
}

std::size_t HttpPort::unreadResponseBytes() const
{
    std::size_t sum = 0;
    for (const auto &connection : m_connections) {
        sum += connection->m_stream->unsent();
    }
    for (const auto &entry : m_lastWrites) {
        const auto stream = entry.lock();
        sum += stream ? stream->unsent() : 0;
    }
    return sum;
}

bool HttpPort::refuseLargestRequest()
{
    const auto pipelining = std::max_element(m_connections.begin(), m_connections.end(), [](const auto &a, const auto &b) {
        return a->pipelinedBytes() < b->pipelinedBytes();
    });
    const auto largest = std::max_element(m_connections.begin(), m_connections.end(), [](const auto &a, const auto &b) {
        return a->refusableBytes() < b->refusableBytes();
    });
    if (largest == m_connections.end() || ((*largest)->refusableBytes() == 0 && (*pipelining)->pipelinedBytes() <= maxHeldBytes)) {
        return false;
    }
    if ((*pipelining)->pipelinedBytes() > (*largest)->refusableBytes()) {
        (*pipelining)->readNoFurtherRequest();
        return true;
    }
    (*largest)->refuseRequest(unavailableStatus, "no memory");
    return true;
}

bool HttpPort::closeLargestUnread()
{
    std::shared_ptr<HttpPortConnection> largest;
    for (const auto &connection : m_connections) {
        if (connection->m_stream->unsent() > (largest ? largest->m_stream->unsent() : 0)) {
            largest = connection;
        }
    }
    std::shared_ptr<TcpStream> closing;
    for (const auto &entry : m_lastWrites) {
        const auto stream = entry.lock();
        if (stream && stream->unsent() > (closing ? closing->unsent() : largest ? largest->m_stream->unsent() : 0)) {
            closing = stream;
        }
    }
    if (closing) {
        closing->close();
    } else if (largest) {
        largest->gone();
    }
    return closing || largest;
}

// Adding up the unsent bytes of all connections is put off until their sum can have passed the limit.
void HttpPort::addUnsent(std::size_t bytes)
{
    m_unsentAtMost += bytes;
    if (m_unsentAtMost > maxUnsentBytesOfAll && m_boundTimer == 0) {
        m_boundTimer = m_loop.after(0, [this] {
            m_boundTimer = 0;
            boundUnsent();
        });
    }
}

void HttpPort::boundUnsent()
{
    m_unsentAtMost = unreadResponseBytes();
    while (m_unsentAtMost > maxUnsentBytesOfAll && closeLargestUnread()) {
        m_unsentAtMost = unreadResponseBytes();
    }
}
}
