#include "httpclient.h"

#include "base/errc.h"
#include "base/eventlog.h"
#include "httpreader.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Yuccagrade
{
namespace
{
constexpr long connectTimeoutMs = 1000;
constexpr long maxIdleConnections = 2048;
constexpr std::size_t maxIdleHandles = 256;
constexpr std::size_t maxHeaderBytes = 65'536;
// Chunk sizes and line ends; extensions of chunks are of no use here.
constexpr std::size_t maxFramingPerByte = 8;
// Kept of a response that does not begin with a status line.
constexpr std::size_t maxShownBytes = 128;

// True if the connection was closed or has bytes to read although no request is under way on it.
bool isStale(curl_socket_t socket)
{
    char byte = 0;
    const auto count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Resets the connection and drops what was received. libcurl, which owns the descriptor, takes it for closed then.
void disconnect(curl_socket_t socket)
{
    sockaddr address{};
    address.sa_family = AF_UNSPEC;
    if (connect(socket, &address, sizeof address) != 0) {
        shutdown(socket, SHUT_RDWR);
    }
}

std::string connectionName(const char *localIp, long localPort, const char *remoteIp, long remotePort)
{
    return std::string(localIp) + ':' + std::to_string(localPort) + '>' + remoteIp + ':' + std::to_string(remotePort);
}

using NameLookup = int (*)(int, sockaddr *, socklen_t *);

bool hasPort(curl_socket_t socket, NameLookup lookup, long port)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    return lookup(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0 && ntohs(address.sin_port) == port;
}

/// The kept connections without a request. libcurl does not look for bytes that arrive on them.
class IdleConnections
{
public:
    explicit IdleConnections(EventLoop &loop)
        : m_loop(loop)
    {
    }
    /// The transfer on the connection has ended.
    void add(CURL *easy);
    /// The connection is reused. Returns false if it must not be.
    bool take(const std::string &name);
    /// Closes a connection for libcurl.
    static int onClose(void *context, curl_socket_t socket);

private:
    EventLoop &m_loop;
    std::unordered_map<std::string, curl_socket_t> m_sockets;
    std::unordered_map<curl_socket_t, std::string> m_names;
};

void IdleConnections::add(CURL *easy)
{
    curl_socket_t socket = CURL_SOCKET_BAD;
    const char *localIp = nullptr;
    const char *remoteIp = nullptr;
    long localPort = 0;
    long remotePort = 0;
    curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &socket);
    curl_easy_getinfo(easy, CURLINFO_LOCAL_IP, &localIp);
    curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &localPort);
    curl_easy_getinfo(easy, CURLINFO_PRIMARY_IP, &remoteIp);
    curl_easy_getinfo(easy, CURLINFO_PRIMARY_PORT, &remotePort);
    // After the end of its connection, a handle may report one that it used earlier and that another transfer uses now.
    if (socket == CURL_SOCKET_BAD || !localIp || !remoteIp || !hasPort(socket, getsockname, localPort) || !hasPort(socket, getpeername, remotePort)) {
        return;
    }
    const std::string name = connectionName(localIp, localPort, remoteIp, remotePort);
    m_sockets[name] = socket;
    m_names[socket] = name;
    m_loop.watch(socket, EventLoop::Readable, [this, socket](int) {
        m_loop.unwatch(socket);
        disconnect(socket);
    });
}

bool IdleConnections::take(const std::string &name)
{
    const auto found = m_sockets.find(name);
    if (found == m_sockets.end()) {
        return true;
    }
    const curl_socket_t socket = found->second;
    m_names.erase(socket);
    m_sockets.erase(found);
    m_loop.unwatch(socket);
    return !isStale(socket);
}

int IdleConnections::onClose(void *context, curl_socket_t socket)
{
    auto &idle = *static_cast<IdleConnections *>(context);
    const auto found = idle.m_names.find(socket);
    if (found != idle.m_names.end()) {
        idle.m_sockets.erase(found->second);
        idle.m_names.erase(found);
    }
    idle.m_loop.unwatch(socket);
    return close(socket);
}

struct Transfer {
    HttpCallId id = 0;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    HttpCall call;
    HttpClient::Callback callback;
    HttpReader reader{HttpReader::Kind::Response};
    std::size_t headerBytes = 0; ///< of all responses, interim ones included
    std::size_t bodyBytes = 0; ///< as received, with the transfer coding
    std::size_t bufferedBytes = 0; ///< counted in the sum of all transfers
    std::size_t fieldCount = 0; ///< without trailer fields
    std::string bytesWithoutHead; ///< the start of a response that libcurl takes for one of HTTP/0.9
    std::array<char, CURL_ERROR_SIZE> errorText{};
    bool tooLarge = false;
    bool sent = false; ///< a request was about to be sent
    bool staleConnection = false; ///< the chosen connection could not be used, and nothing was sent
    TimeMs deadline = 0;
    IdleConnections *idleConnections = nullptr;
    std::function<void(Transfer &)> onBuffered; ///< runs after bytes of the response were read

    bool isComplete() const
    {
        return reader.state() == HttpReader::State::Complete;
    }
    bool isFramingTooLarge() const
    {
        const std::size_t contentBytes = reader.message().body.size();
        return !isComplete() && bodyBytes - contentBytes > maxHeaderBytes + maxFramingPerByte * contentBytes;
    }
    bool read(std::string_view data);
};

// Returns false if the response is unusable, or if it is complete and more bytes follow.
bool Transfer::read(std::string_view data)
{
    while (!data.empty()) {
        const std::size_t used = reader.read(data);
        data.remove_prefix(used);
        if (isComplete() && isInterim(reader.message().status)) {
            reader.take();
        } else if (used == 0) {
            return false;
        }
    }
    const HttpReader::State state = reader.state();
    return state == HttpReader::State::Idle || state == HttpReader::State::Complete || (state == HttpReader::State::Reading && !reader.message().untilClose);
}

// Runs before each request is sent. libcurl resends a request when a reused connection closes before any byte of the
// response. The caller's retry budget would not see that attempt, so the transfer ends instead. It also takes bytes that
// wait on a reused connection for the response to the next request.
int checkBeforeSend(void *context, char *remoteIp, char *localIp, int remotePort, int localPort)
{
    auto &transfer = *static_cast<Transfer *>(context);
    transfer.staleConnection = !transfer.sent && !transfer.idleConnections->take(connectionName(localIp, localPort, remoteIp, remotePort));
    if (transfer.sent || transfer.staleConnection) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.sent = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    if (transfer.tooLarge) {
        return 0;
    }
    if (transfer.headerBytes == 0) {
        transfer.bytesWithoutHead.assign(data, std::min(size * count, maxShownBytes));
        return 0;
    }
    const bool usable = transfer.read({data, size * count});
    transfer.bodyBytes += size * count;
    transfer.tooLarge = transfer.isFramingTooLarge();
    transfer.onBuffered(transfer);
    return usable && !transfer.tooLarge ? size * count : 0;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    transfer.headerBytes += size * count;
    transfer.tooLarge = transfer.tooLarge || transfer.headerBytes > maxHeaderBytes;
    if (transfer.tooLarge) {
        return 0;
    }
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.reader.expectNoBody(transfer.call.method == "HEAD" || status / 100 == 1 || status == 204 || status == 304);
    const bool usable = transfer.read({data, size * count});
    transfer.fieldCount = transfer.reader.message().fields.size();
    transfer.onBuffered(transfer);
    return usable && !transfer.tooLarge ? size * count : 0;
}

HttpResponse toResponse(HttpMessage message, std::size_t fieldCount)
{
    message.fields.resize(fieldCount);
    HttpResponse response{message.status, {}, std::move(message.body)};
    for (auto &[name, value] : message.fields) {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        response.headers[std::move(name)] = std::move(value);
    }
    return response;
}

std::error_code errorOf(CURLcode code, const Transfer &transfer)
{
    if (transfer.tooLarge) {
        return Errc::TooLarge;
    }
    if (!transfer.bytesWithoutHead.empty()) {
        return Errc::Malformed;
    }
    switch (transfer.reader.state()) {
    case HttpReader::State::Complete:
        return transfer.reader.message().status / 100 == 1 ? make_error_code(Errc::Malformed) : std::error_code();
    case HttpReader::State::HeaderTooLarge:
    case HttpReader::State::BodyTooLarge:
        return Errc::TooLarge;
    case HttpReader::State::Malformed:
        return Errc::Malformed;
    default:
        break;
    }
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return Errc::Timeout;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_INTERFACE_FAILED:
        return Errc::ConnectFailed;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_URL_MALFORMAT:
        return Errc::Malformed;
    default:
        return Errc::TransportFailed;
    }
}
}

struct HttpClient::Impl {
    Impl(EventLoop &eventLoop, std::string ip, std::size_t maxBody, std::size_t maxBuffered)
        : loop(eventLoop)
        , idleConnections(eventLoop)
        , sourceIp(std::move(ip))
        , maxBodyBytes(maxBody)
        , maxBufferedBytes(maxBuffered)
    {
    }

    void prepare(Transfer &transfer);
    void drive(curl_socket_t socket, int mask);
    void expire();
    void collect();
    void count(Transfer &transfer);
    void evict(Transfer &transfer);
    void finish(HttpCallId id, CURLcode code);
    bool startAgain(Transfer &transfer);
    void release(Transfer &transfer);
    HttpResult resultOf(Transfer &transfer, CURLcode code);
    static int onSocket(CURL *, curl_socket_t socket, int what, void *context, void *);
    static int onTimer(CURLM *, long timeoutMs, void *context);

    EventLoop &loop;
    IdleConnections idleConnections;
    std::string sourceIp;
    std::size_t maxBodyBytes;
    std::size_t maxBufferedBytes;
    std::size_t bufferedBytes = 0; ///< of all responses that are being received
    CURLM *multi = nullptr;
    TimerId timer = 0;
    bool kickPosted = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< lets posted calls see that the client is gone
    HttpCallId lastId = 0;
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> transfers;
    std::vector<HttpCallId> evicted; ///< transfers to end after the present call of libcurl
    std::vector<CURL *> idle;
};

HttpClient::HttpClient(EventLoop &loop, std::string sourceIp, std::size_t maxBodyBytes, std::size_t maxBufferedBytes)
    : m_impl(std::make_unique<Impl>(loop, std::move(sourceIp), maxBodyBytes, maxBufferedBytes))
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialized;
    m_impl->multi = curl_multi_init();
    curl_multi_setopt(m_impl->multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
    curl_multi_setopt(m_impl->multi, CURLMOPT_SOCKETDATA, m_impl.get());
    curl_multi_setopt(m_impl->multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
    curl_multi_setopt(m_impl->multi, CURLMOPT_TIMERDATA, m_impl.get());
    curl_multi_setopt(m_impl->multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    curl_multi_setopt(m_impl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::~HttpClient()
{
    for (const auto &[id, transfer] : m_impl->transfers) {
        curl_multi_remove_handle(m_impl->multi, transfer->easy);
        curl_easy_cleanup(transfer->easy);
        curl_slist_free_all(transfer->headers);
    }
    for (CURL *easy : m_impl->idle) {
        curl_easy_cleanup(easy);
    }
    m_impl->loop.cancel(m_impl->timer);
    curl_multi_cleanup(m_impl->multi);
}

int HttpClient::Impl::onSocket(CURL *, curl_socket_t socket, int what, void *context, void *)
{
    auto &impl = *static_cast<Impl *>(context);
    if (what == CURL_POLL_REMOVE) {
        impl.loop.unwatch(socket);
        return 0;
    }
    const int mask = ((what & CURL_POLL_IN) ? EventLoop::Readable : 0) | ((what & CURL_POLL_OUT) ? EventLoop::Writable : 0);
    impl.loop.watch(socket, mask, [&impl, socket](int ready) {
        impl.drive(socket, ready);
    });
    return 0;
}

int HttpClient::Impl::onTimer(CURLM *, long timeoutMs, void *context)
{
    auto &impl = *static_cast<Impl *>(context);
    impl.loop.cancel(impl.timer);
    impl.timer = 0;
    if (timeoutMs == 0 && !impl.kickPosted) {
        // A new call is started in the same turn of the loop instead of waiting for the next timer check.
        impl.kickPosted = true;
        impl.loop.post([&impl, alive = std::weak_ptr<bool>(impl.alive)] {
            if (!alive.expired()) {
                impl.kickPosted = false;
                impl.expire();
            }
        });
    } else if (timeoutMs > 0) {
        impl.timer = impl.loop.after(timeoutMs, [&impl] {
            impl.timer = 0;
            impl.expire();
        });
    }
    return 0;
}

void HttpClient::Impl::expire()
{
    int running = 0;
    curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
    collect();
}

void HttpClient::Impl::drive(curl_socket_t socket, int mask)
{
    int running = 0;
    const int flags = ((mask & EventLoop::Readable) ? CURL_CSELECT_IN : 0) | ((mask & EventLoop::Writable) ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(multi, socket, flags, &running);
    collect();
}

HttpResult HttpClient::Impl::resultOf(Transfer &transfer, CURLcode code)
{
    HttpResult result;
    // libcurl reports success for some responses that end early: the reader decides whether a response is whole.
    result.error = errorOf(code, transfer);
    long sentBytes = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    result.bytesSent = sentBytes > 0 || transfer.sent;
    result.response.status = 0;
    if (!transfer.bytesWithoutHead.empty()) {
        result.defect = "invalid status line: " + printable(transfer.bytesWithoutHead);
    } else if (transfer.reader.state() == HttpReader::State::Malformed) {
        result.defect = describeDefect(transfer.reader);
    } else if (result.error == Errc::Malformed || result.error == Errc::TransportFailed) {
        result.defect = transfer.errorText.front() != 0 ? transfer.errorText.data() : curl_easy_strerror(code);
    }
    if (transfer.reader.headerComplete()) {
        result.response = toResponse(transfer.reader.take(), transfer.fieldCount);
    }
    return result;
}

void HttpClient::Impl::collect()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        if (std::exchange(transfer->staleConnection, false) && startAgain(*transfer)) {
            continue;
        }
        finish(transfer->id, code);
    }
    for (const HttpCallId id : std::exchange(evicted, {})) {
        finish(id, CURLE_WRITE_ERROR);
    }
}

void HttpClient::Impl::finish(HttpCallId id, CURLcode code)
{
    const auto found = transfers.find(id);
    if (found == transfers.end()) {
        return;
    }
    const auto owned = std::move(found->second);
    transfers.erase(found);
    HttpResult result = resultOf(*owned, code);
    if (code == CURLE_OK) {
        idleConnections.add(owned->easy);
    }
    const auto callback = std::move(owned->callback);
    release(*owned);
    callback(std::move(result));
}

// Bounds the memory of all responses. The largest one ends, so that a faulty server does not take the room of others.
void HttpClient::Impl::count(Transfer &transfer)
{
    const std::size_t size = transfer.headerBytes + transfer.reader.message().body.size();
    bufferedBytes += size - transfer.bufferedBytes;
    transfer.bufferedBytes = size;
    if (bufferedBytes <= maxBufferedBytes) {
        return;
    }
    const auto largest = std::max_element(transfers.begin(), transfers.end(), [](const auto &a, const auto &b) {
        return a.second->bufferedBytes < b.second->bufferedBytes;
    });
    evict(*largest->second);
    if (largest->second.get() != &transfer) {
        evicted.push_back(largest->first);
    }
}

void HttpClient::Impl::evict(Transfer &transfer)
{
    transfer.tooLarge = true;
    transfer.reader.take();
    bufferedBytes -= std::exchange(transfer.bufferedBytes, 0);
}

// Starts a transfer of which nothing was sent on a new connection. Returns false after its deadline.
bool HttpClient::Impl::startAgain(Transfer &transfer)
{
    const TimeMs left = transfer.deadline - loop.clock().now();
    if (left <= 0) {
        return false;
    }
    curl_multi_remove_handle(multi, transfer.easy);
    curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(transfer.easy, CURLOPT_TIMEOUT_MS, static_cast<long>(left));
    curl_multi_add_handle(multi, transfer.easy);
    return true;
}

void HttpClient::Impl::release(Transfer &transfer)
{
    curl_multi_remove_handle(multi, transfer.easy);
    curl_slist_free_all(transfer.headers);
    bufferedBytes -= transfer.bufferedBytes;
    if (idle.size() < maxIdleHandles) {
        curl_easy_reset(transfer.easy);
        idle.push_back(transfer.easy);
    } else {
        curl_easy_cleanup(transfer.easy);
    }
}

void HttpClient::Impl::prepare(Transfer &transfer)
{
    CURL *easy = transfer.easy;
    const HttpCall &call = transfer.call;
    for (const auto &[name, value] : call.headers) {
        // curl drops a header without a value unless it ends with a semicolon.
        std::string line = name;
        line += value.empty() ? ";" : ": ";
        line += value;
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    // Without this, curl waits for "100 Continue" before it sends a larger body.
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call.address + call.target).c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    } else if (call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    // The bytes of a response without a status line are refused in appendBody(), where they are known.
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 1L);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.errorText.data());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
    // A connection per action would otherwise stay open and fill the connection limit of the upstream.
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<TimeMs>(1, call.timeoutMs)));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    if (!sourceIp.empty()) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, ("host!" + sourceIp).c_str());
    }
    // The reader needs the body as received.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &appendHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &IdleConnections::onClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &idleConnections);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &checkBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
}

HttpCallId HttpClient::send(HttpCall call, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++m_impl->lastId;
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    transfer->onBuffered = [impl = m_impl.get()](Transfer &buffered) {
        impl->count(buffered);
    };
    transfer->idleConnections = &m_impl->idleConnections;
    transfer->deadline = m_impl->loop.clock().now() + transfer->call.timeoutMs;
    transfer->reader.setLimits({maxHeaderBytes, m_impl->maxBodyBytes});
    if (m_impl->idle.empty()) {
        transfer->easy = curl_easy_init();
    } else {
        transfer->easy = m_impl->idle.back();
        m_impl->idle.pop_back();
    }
    m_impl->prepare(*transfer);
    const HttpCallId id = transfer->id;
    CURL *easy = transfer->easy;
    m_impl->transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(m_impl->multi, easy);
    return id;
}

void HttpClient::cancel(HttpCallId id)
{
    const auto found = m_impl->transfers.find(id);
    if (found != m_impl->transfers.end()) {
        auto owned = std::move(found->second);
        m_impl->transfers.erase(found);
        m_impl->release(*owned);
    }
}

std::size_t HttpClient::bufferedBytes() const
{
    return m_impl->bufferedBytes;
}

std::size_t HttpClient::pending() const
{
    return m_impl->transfers.size();
}
}
