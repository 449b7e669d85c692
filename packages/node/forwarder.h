#pragma once

#include "calloutcome.h"
#include "protocol/peerauth.h"
#include "upstreamgate.h"

namespace Yuccagrade
{
/// Carries calls between nodes: sends them to the node of an upstream and serves those of other nodes.
class Forwarder
{
public:
    Forwarder(EventLoop &loop, HttpClient &client, PeerAuth &auth, EventLog &log, UpstreamGate &gate);

    /// Sends a call to the node at @p address. The callback runs once, unless the call is cancelled.
    HttpCallId send(const std::string &address, const CallMeta &meta, const HttpHeaders &headers, const std::string &body, CallCallback done);
    void cancel(HttpCallId id);
    /// Handles a POST to /call of another node.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    CallOutcome outcomeOf(const std::string &requestHeader, const HttpResult &result, int lentRetries);
    void answer(const std::shared_ptr<HttpExchange> &exchange, const std::string &requestMac, const CallOutcome &outcome);

    EventLoop &m_loop;
    HttpClient &m_client;
    PeerAuth &m_auth;
    EventLog &m_log;
    UpstreamGate &m_gate;
};
}
