#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "peerauth.h"
#include "rpcdispatcher.h"

namespace Yuccagrade
{
/// Bytes of the HTTP messages of a PeerLink: headers that it sets, bodies, and an estimate of the other headers.
struct PeerTraffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Sends and serves authenticated JSON-RPC calls between own processes.
class PeerLink
{
public:
    using Callback = std::function<void(std::error_code, const Json::Value &result)>;
    /// Serves one method; @p sender is the verified identity of the caller.
    using Method = std::function<Json::Value(const PeerSender &sender, const Json::Value &parameters)>;

    PeerLink(EventLoop &loop, PeerAuth &auth, HttpClient &client, EventLog &log);

    /// Adds a method that peers may call.
    void serve(const std::string &name, Method method);
    /// Handles a POST to /rpc.
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /// Calls a method of the process at @p address. Errors: those of HttpResult, Unauthenticated, RemoteError.
    void call(const std::string &address, const std::string &method, const Json::Value &parameters, TimeMs timeoutMs, Callback callback);
    /// Returns the bytes of all messages since the start; the data path is not included.
    const PeerTraffic &traffic() const
    {
        return m_traffic;
    }

private:
    EventLoop &m_loop;
    PeerAuth &m_auth;
    HttpClient &m_client;
    EventLog &m_log;
    RpcDispatcher m_dispatcher;
    PeerSender m_sender; ///< sender of the call that the dispatcher runs now
    PeerTraffic m_traffic;
};
}
