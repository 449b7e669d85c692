#include "httpserver.h"

#include "base/errc.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

namespace Yuccagrade
{
namespace
{
// libmicrohttpd does not watch suspended connections, so closed ones are looked for at this period.
constexpr TimeMs abortCheckMs = 20;
constexpr int maxBacklog = 1024;
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;

bool parseAddress(const std::string &address, sockaddr_in &out)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    char *end = nullptr;
    const long port = std::strtol(address.c_str() + colon + 1, &end, 10);
    if (*end != '\0' || end == address.c_str() + colon + 1 || port < 0 || port > 65535) {
        return false;
    }
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

std::string toText(const sockaddr_in &address)
{
    char buffer[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address.sin_addr, buffer, sizeof buffer);
    return buffer;
}

std::string lowerCase(const char *text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return result;
}

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &headers = *static_cast<HttpHeaders *>(context);
    headers[lowerCase(name)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &query = *static_cast<std::string *>(context);
    query += (query.empty() ? "" : "&") + std::string(name) + (value ? std::string("=") + value : "");
    return MHD_YES;
}

MHD_Result queueResponse(MHD_Connection *connection, const HttpResponse &response)
{
    MHD_Response *native = MHD_create_response_from_buffer(response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto &[name, value] : response.headers) {
        MHD_add_response_header(native, name.c_str(), value.c_str());
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned int>(response.status), native);
    MHD_destroy_response(native);
    return result;
}

void ignoreLog(void *, const char *, va_list)
{
}

// Leaves the request target encoded: it goes on to the upstream, and an encoded '&' must stay one.
size_t keepEscapes(void *, MHD_Connection *, char *text)
{
    return std::strlen(text);
}
}

struct HttpServerCallbacks {
    static MHD_Result
    handle(void *context, MHD_Connection *connection, const char *url, const char *method, const char *, const char *upload, size_t *uploadSize, void **state);
    static void completed(void *context, MHD_Connection *, void **state, MHD_RequestTerminationCode);
    static HttpExchange *begin(HttpServer &server, MHD_Connection *connection, const char *url, const char *method);
    static MHD_Result dispatch(HttpServer &server, HttpExchange &exchange);
};

HttpExchange *HttpServerCallbacks::begin(HttpServer &server, MHD_Connection *connection, const char *url, const char *method)
{
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_server = &server;
    exchange->m_connection = connection;
    exchange->m_request.method = method;
    exchange->m_request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &exchange->m_request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &exchange->m_request.query);
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info && info->client_addr && info->client_addr->sa_family == AF_INET) {
        exchange->m_request.remoteAddress = toText(*reinterpret_cast<const sockaddr_in *>(info->client_addr));
    }
    exchange->m_self = exchange;
    return exchange.get();
}

// Runs the handler; if it did not respond at once, the connection waits without using the loop.
MHD_Result HttpServerCallbacks::dispatch(HttpServer &server, HttpExchange &exchange)
{
    exchange.m_dispatched = true;
    ++server.m_pending;
    if (exchange.m_tooLarge) {
        exchange.respond({statusTooLarge, {}, {}});
    } else if (exchange.m_request.path.empty() || exchange.m_request.path[0] != '/') {
        exchange.respond({statusBadRequest, {}, {}}); // the library passes some malformed request lines on
    } else {
        server.m_handler(exchange.m_self);
    }
    if (exchange.m_responded) {
        return queueResponse(exchange.m_connection, exchange.m_response);
    }
    exchange.m_suspended = true;
    const auto *info = MHD_get_connection_info(exchange.m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    server.m_suspended[&exchange] = info ? info->connect_fd : -1;
    MHD_suspend_connection(exchange.m_connection);
    server.scheduleAbortCheck();
    return MHD_YES;
}

MHD_Result HttpServerCallbacks::handle(void *context,
                                       MHD_Connection *connection,
                                       const char *url,
                                       const char *method,
                                       const char *,
                                       const char *upload,
                                       size_t *uploadSize,
                                       void **state)
{
    auto &server = *static_cast<HttpServer *>(context);
    auto *exchange = static_cast<HttpExchange *>(*state);
    if (!exchange) {
        *state = begin(server, connection, url, method);
        return MHD_YES;
    }
    if (*uploadSize > 0) {
        if (exchange->m_request.body.size() + *uploadSize > server.m_limits.maxBodyBytes) {
            exchange->m_tooLarge = true;
        } else {
            exchange->m_request.body.append(upload, *uploadSize);
        }
        *uploadSize = 0;
        return MHD_YES;
    }
    if (!exchange->m_dispatched) {
        return dispatch(server, *exchange);
    }
    if (exchange->m_aborted && !exchange->m_responded) {
        return MHD_NO;
    }
    return exchange->m_responded ? queueResponse(connection, exchange->m_response) : MHD_YES;
}

void HttpServerCallbacks::completed(void *context, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    auto &server = *static_cast<HttpServer *>(context);
    auto *exchange = static_cast<HttpExchange *>(*state);
    if (!exchange) {
        return;
    }
    *state = nullptr;
    server.m_suspended.erase(exchange);
    if (exchange->m_dispatched && !exchange->m_responded && !exchange->m_aborted) {
        exchange->m_aborted = true;
        --server.m_pending;
        if (exchange->m_abortHook) {
            exchange->m_abortHook();
        }
    }
    exchange->m_connection = nullptr;
    exchange->m_server = nullptr;
    exchange->m_abortHook = nullptr;
    const auto last = std::move(exchange->m_self);
}

void HttpExchange::respond(HttpResponse response)
{
    if (finished() || !m_server) {
        return;
    }
    m_response = std::move(response);
    if (m_server->m_closing) {
        m_response.headers["connection"] = "close";
    }
    m_responded = true;
    m_abortHook = nullptr;
    --m_server->m_pending;
    if (m_suspended) {
        m_suspended = false;
        m_server->m_suspended.erase(this);
        MHD_resume_connection(m_connection);
        m_server->scheduleServe();
    }
}

HttpServer::HttpServer(EventLoop &loop, Handler handler, HttpServerLimits limits)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_limits(limits)
{
}

HttpServer::~HttpServer()
{
    if (!m_daemon) {
        return;
    }
    m_loop.cancel(m_timer);
    m_loop.cancel(m_abortTimer);
    m_loop.unwatch(m_epoll);
    const auto suspended = m_suspended;
    for (const auto &[exchange, descriptor] : suspended) {
        exchange->m_aborted = true;
        MHD_resume_connection(exchange->m_connection);
    }
    MHD_stop_daemon(m_daemon);
}

std::error_code HttpServer::listen(const std::string &address)
{
    sockaddr_in socketAddress{};
    if (!parseAddress(address, socketAddress)) {
        return Errc::Malformed;
    }
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
                                ntohs(socketAddress.sin_port),
                                nullptr,
                                nullptr,
                                &HttpServerCallbacks::handle,
                                this,
                                MHD_OPTION_EXTERNAL_LOGGER,
                                &ignoreLog,
                                nullptr,
                                MHD_OPTION_UNESCAPE_CALLBACK,
                                &keepEscapes,
                                nullptr,
                                MHD_OPTION_SOCK_ADDR,
                                &socketAddress,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &HttpServerCallbacks::completed,
                                this,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                m_limits.maxHeaderBytes,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                m_limits.idleTimeoutS,
                                MHD_OPTION_CONNECTION_LIMIT,
                                m_limits.maxConnections,
                                MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                1U,
                                MHD_OPTION_END);
    if (!m_daemon) {
        return Errc::Unavailable;
    }
    const int listening = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    socklen_t size = sizeof socketAddress;
    getsockname(listening, reinterpret_cast<sockaddr *>(&socketAddress), &size);
    m_address = toText(socketAddress) + ':' + std::to_string(ntohs(socketAddress.sin_port));
    m_epoll = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_loop.watch(m_epoll, EventLoop::Readable, [this](int) {
        serve();
    });
    return {};
}

// Takes the connections that wait in the backlog; closing the socket would reset them with their requests.
void HttpServer::acceptBacklog(int listening)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    for (int i = 0; i < maxBacklog; ++i) {
        const int connection = accept4(listening, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0 || MHD_add_connection(m_daemon, connection, reinterpret_cast<sockaddr *>(&address), size) != MHD_YES) {
            return;
        }
        size = sizeof address;
    }
}

void HttpServer::stopListening()
{
    if (m_daemon && !m_quiesced) {
        m_quiesced = true;
        const int listening = MHD_quiesce_daemon(m_daemon);
        acceptBacklog(listening);
        close(listening);
        scheduleServe();
    }
}

unsigned int HttpServer::connections() const
{
    const auto *info = m_daemon ? MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS) : nullptr;
    return info ? info->num_connections : 0;
}

// Runs the library until it has nothing to do, then arms a timer for its time limits.
void HttpServer::serve()
{
    m_serveScheduled = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    m_loop.cancel(m_timer);
    m_timer = 0;
    if (MHD_get_timeout(m_daemon, &timeout) != MHD_YES) {
        return;
    }
    if (timeout == 0) {
        scheduleServe();
    } else {
        m_timer = m_loop.after(static_cast<TimeMs>(timeout), [this] {
            serve();
        });
    }
}

void HttpServer::scheduleServe()
{
    if (!m_serveScheduled) {
        m_serveScheduled = true;
        m_loop.post([this] {
            if (m_serveScheduled) {
                serve();
            }
        });
    }
}

void HttpServer::scheduleAbortCheck()
{
    if (m_abortTimer != 0 || m_suspended.empty()) {
        return;
    }
    m_abortTimer = m_loop.after(abortCheckMs, [this] {
        m_abortTimer = 0;
        detectAborts();
        scheduleAbortCheck();
    });
}

// Finds suspended connections that the client has closed, so that cancelled work can stop early.
void HttpServer::detectAborts()
{
    std::vector<HttpExchange *> closed;
    for (const auto &[exchange, descriptor] : m_suspended) {
        char byte = 0;
        const auto count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            closed.push_back(exchange);
        }
    }
    for (HttpExchange *exchange : closed) {
        if (m_suspended.erase(exchange) == 0) {
            continue; // an abort hook of another exchange has ended this one
        }
        const auto keepAlive = exchange->m_self;
        exchange->m_aborted = true;
        exchange->m_suspended = false;
        --m_pending;
        if (const auto hook = std::exchange(exchange->m_abortHook, nullptr)) {
            hook();
        }
        MHD_resume_connection(exchange->m_connection);
        scheduleServe();
    }
}
}
