#pragma once

#include "eventloop.h"
#include "http.h"

#include <memory>
#include <system_error>

struct MHD_Connection;
struct MHD_Daemon;

namespace Yuccagrade
{
class HttpServer;

/// One request and its response. The handler keeps the shared pointer until it has responded.
class HttpExchange
{
public:
    const HttpRequest &request() const
    {
        return m_request;
    }
    /// Sends the response. Later calls and calls after the client left are ignored.
    void respond(HttpResponse response);
    /// True once the response was handed over or the client left.
    bool finished() const
    {
        return m_responded || m_aborted;
    }
    /// Sets a hook that runs if the client closes the connection before the response.
    void onAbort(std::function<void()> hook)
    {
        m_abortHook = std::move(hook);
    }

private:
    friend class HttpServer;
    friend struct HttpServerCallbacks;

    HttpRequest m_request;
    HttpResponse m_response;
    HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr;
    std::function<void()> m_abortHook;
    std::shared_ptr<HttpExchange> m_self; ///< kept while the connection refers to this object
    bool m_dispatched = false;
    bool m_suspended = false;
    bool m_responded = false;
    bool m_aborted = false;
    bool m_tooLarge = false;
};

/// Limits of one listener.
struct HttpServerLimits {
    std::size_t maxBodyBytes = 8'388'608;
    std::size_t maxHeaderBytes = 32'768; ///< a longer header is answered with 431 or the connection is closed
    unsigned int idleTimeoutS = 60;
    unsigned int maxConnections = 4096;
};

/// An HTTP/1.1 listener on the event loop.
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    HttpServer(EventLoop &loop, Handler handler, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens on "ip:port"; port 0 lets the kernel choose. Errors: Malformed, Unavailable.
    std::error_code listen(const std::string &address);
    /// The bound address "ip:port".
    const std::string &address() const
    {
        return m_address;
    }
    /// Number of requests without a response.
    std::size_t pending() const
    {
        return m_pending;
    }
    /// From now on each response ends its connection, so that clients move to other processes.
    void closeAfterResponses()
    {
        m_closing = true;
    }
    /// Closes the listening socket; open connections go on.
    void stopListening();
    /// Number of open connections.
    unsigned int connections() const;

private:
    friend class HttpExchange;
    friend struct HttpServerCallbacks;

    void serve();
    void scheduleServe();
    void acceptBacklog(int listening);
    void scheduleAbortCheck();
    void detectAborts();

    EventLoop &m_loop;
    Handler m_handler;
    HttpServerLimits m_limits;
    std::string m_address;
    MHD_Daemon *m_daemon = nullptr;
    int m_epoll = -1;
    bool m_quiesced = false;
    bool m_serveScheduled = false;
    bool m_closing = false;
    TimerId m_timer = 0;
    TimerId m_abortTimer = 0;
    std::size_t m_pending = 0;
    std::map<HttpExchange *, int> m_suspended; ///< suspended exchanges with the descriptor of their connection
};
}
