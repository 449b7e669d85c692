#pragma once

#include "httpreader.h"
#include "tcp.h"

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade
{
class HttpPort;
class HttpPortConnection;

/// One request at an HttpPort. The handler keeps the shared pointer until it has responded.
class PortExchange
{
public:
    const HttpMessage &request() const
    {
        return m_request;
    }
    /// Sends a response: status line and header lines without length and connection fields, each ended by CRLF.
    /// Later calls and calls after the client left are ignored.
    void respond(std::string head, std::string body, bool closeConnection = false);
    /// True once the response was handed over or the client left.
    bool isFinished() const
    {
        return m_ready || m_gone;
    }
    /// Runs if the client closes the connection before the response.
    std::function<void()> onGone;

private:
    friend class HttpPortConnection;

    HttpMessage m_request;
    std::weak_ptr<HttpPortConnection> m_connection;
    std::size_t m_requestBytes = 0; ///< memory of the request
    std::string m_response; ///< status line and header
    std::string m_body;
    bool m_ready = false;
    bool m_gone = false;
    bool m_close = false;
};

/// Returns a status line and the field lines of a response for PortExchange::respond().
std::string responseHead(int status, const std::vector<HttpMessage::Field> &fields = {});

/// A request that an HttpPort refuses because it could not be read.
struct UnreadableRequest {
    int status = 0; ///< 400, 413, 431, or 503 for want of memory
    const HttpMessage &message; ///< what was read of the request
    std::string_view defect;
    HttpReaderLimits limits; ///< of the connection
    std::uint64_t requestsBefore = 0; ///< requests that were read on the connection before
};

/// Time limits of the connections of an HttpPort.
struct HttpPortTimes {
    TimeMs headerMs = 3'000; ///< from the first byte of a request to its end
    TimeMs idleMs = 15'000; ///< between requests
};

/// An HTTP/1.1 listener that reads pipelined requests while earlier ones run, answers in order, and notices clients that
/// leave while their request runs.
class HttpPort
{
public:
    using Handler = std::function<void(const std::shared_ptr<PortExchange> &)>;
    using UnreadableHandler = std::function<std::string(const UnreadableRequest &)>;

    HttpPort(EventLoop &loop, Handler handler);
    ~HttpPort();
    HttpPort(const HttpPort &) = delete;
    HttpPort &operator=(const HttpPort &) = delete;

    /// Returns the response head for a request that could not be read; a plain one with its status if not set.
    UnreadableHandler onUnreadable;
    /// Returns whether there is memory for another request of this size, which is refused with 503 otherwise; always if not set.
    std::function<bool(std::size_t)> hasMemoryFor;
    /// Called after a connection was closed since the port has too many.
    std::function<void()> onTooManyConnections;

    /// Listens on "ip:port". Errors: Malformed, Unavailable.
    std::error_code listen(const std::string &address);
    const std::string &address() const
    {
        return m_listener.address();
    }
    void setLimits(HttpReaderLimits limits, HttpPortTimes times);
    /// Bounds the connections, including those that end. For a new one beyond it, one is closed that has no request: first
    /// those that have been sending a header for long or have stopped in a body, then idle ones. If all have a request, the new
    /// one is closed.
    void setMaxConnections(std::size_t connections);
    /// From now on each response ends its connection.
    void closeAfterResponses();
    /// Closes the listening socket. Connections close once the requests are answered that have arrived in part or whole.
    void stopListening();
    std::size_t connections() const
    {
        return m_connections.size();
    }
    /// Memory of requests that are being read or answered.
    std::size_t heldRequestBytes() const;
    /// Memory of responses that clients have not read.
    std::size_t unreadResponseBytes() const;
    /// Refuses the largest request that is being read with 503, or reads no more from a connection with larger pipelined requests.
    /// Returns false if there is none.
    bool refuseLargestRequest();
    /// Closes the connection with the largest unread response. Returns false if there is none.
    bool closeLargestUnread();
    /// Requests that were read in part or whole and not answered, and connections whose client has not read all responses.
    std::size_t pending() const;

private:
    friend class HttpPortConnection;
    void accept(std::shared_ptr<TcpStream> stream);
    bool closeOneConnection();
    void forgetEndedStreams();
    std::size_t pipelineDepth() const;
    void checkTimes();
    void addUnsent(std::size_t bytes);
    void boundUnsent();
    void addLastWrites(const std::shared_ptr<TcpStream> &stream);

    EventLoop &m_loop;
    Handler m_handler;
    TcpListener m_listener;
    HttpReaderLimits m_limits;
    HttpPortTimes m_times;
    std::size_t m_running = 0; ///< requests without an answer, of all connections
    std::size_t m_runningBytes = 0; ///< memory of m_running
    std::set<std::shared_ptr<HttpPortConnection>> m_connections;
    TimerId m_timer = 0;
    TimerId m_boundTimer = 0;
    std::vector<std::weak_ptr<TcpStream>> m_lastWrites; ///< streams that close once their responses are sent, oldest first
    std::size_t m_maxConnections = std::numeric_limits<std::size_t>::max();
    std::size_t m_unsentAtMost = 0; ///< upper bound of the unsent bytes of all connections
    bool m_closing = false;
};
}
