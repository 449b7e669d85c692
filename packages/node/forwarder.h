#pragma once

#include "calloutcome.h"
#include "protocol/peerauth.h"
#include "upstreamdispatcher.h"

namespace Yuccagrade
{
/// Forwards calls between nodes: sends calls to the node on the upstream's host and handles the calls received from other nodes.
class Forwarder
{
public:
    Forwarder(EventLoop &loop, HttpClient &client, PeerAuth &auth, EventLog &log, UpstreamDispatcher &dispatcher);

    /// Sends a call to the node at @p address. The callback runs once, unless the call is cancelled.
    HttpCallId send(const std::string &address, const CallMeta &meta, const HttpHeaders &headers, const std::string &body, CallCallback done);
    void cancel(HttpCallId id);
    /// Handles a POST request to /call from another node.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    CallOutcome toOutcome(const std::string &requestHeader, const HttpResult &result, int grantedRetries);
    void sendResponse(const std::shared_ptr<HttpExchange> &exchange, const std::string &requestMac, const CallOutcome &outcome);

    EventLoop &m_loop;
    HttpClient &m_client;
    PeerAuth &m_auth;
    EventLog &m_log;
    UpstreamDispatcher &m_dispatcher;
};
}
