#pragma once

#include "eventloop.h"
#include "http.h"

#include <memory>
#include <system_error>

namespace Yuccagrade
{
/// A request to send.
struct HttpCall {
    std::string method = "GET";
    std::string address; ///< "ip:port"
    std::string target; ///< path with query
    HttpHeaders headers;
    std::string body;
    TimeMs timeoutMs = 1000;
    /// Opens a new connection. Needed for requests that must not be sent twice: libcurl resends a request when a reused
    /// connection closes before any byte of the response.
    bool freshConnection = false;
};

/// The outcome of an HttpCall.
struct HttpResult {
    /// Timeout, ConnectFailed, TransportFailed (also for a response that ends early or has no length), TooLarge, Malformed
    std::error_code error;
    std::string defect; ///< of a malformed response, with the bytes in question unless libcurl refused it
    bool bytesSent = false; ///< false only if no byte of the request left this process
    HttpResponse response;
};

using HttpCallId = std::uint64_t;

/// Sends HTTP requests on the event loop over reused connections.
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// @param sourceIp IP number for outgoing connections, empty for any.
    /// @param maxBufferedBytes limit of all responses being received; beyond it the call with the largest one ends with TooLarge.
    explicit HttpClient(EventLoop &loop, std::string sourceIp = {}, std::size_t maxBodyBytes = 8'388'608, std::size_t maxBufferedBytes = 134'217'728);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. The callback runs later on the loop, never inside this function.
    HttpCallId send(HttpCall call, Callback callback);
    /// Ends a call without its callback and closes its connection.
    void cancel(HttpCallId id);
    std::size_t pending() const;
    /// Bytes of all responses that are being received.
    std::size_t bufferedBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
