#pragma once

#include "mesh/protocoladapter.h"
#include "net/tcp.h"
#include "upstreamqueue.h"

#include <functional>
#include <memory>
#include <optional>

namespace Yuccagrade::Mesh
{
/// One connection to an upstream. It carries one call at a time and knows which bytes left, so that a call is never sent
/// twice without a decision.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// The present call ended. After it the connection is reusable or closed.
    using DoneHandler = std::function<void(const std::shared_ptr<UpstreamConnection> &, OfferedCall, ReplyMessage, bool connectFailed)>;

    /// Returns null if no connection can be opened.
    static std::shared_ptr<UpstreamConnection> open(EventLoop &loop, const ProtocolAdapter &adapter, const std::string &address, const std::string &sourceIp);

    DoneHandler onDone;
    /// The connection closed while no call ran.
    std::function<void(const std::shared_ptr<UpstreamConnection> &)> onIdleClosed;

    /// Sends a call; the connection must be reusable.
    void send(OfferedCall call);
    /// Ends the present call without a complete answer and closes the connection.
    void abandon(const std::string &reason);
    /// Drops the present call without telling anyone, and closes.
    void close();
    bool isOpen() const
    {
        return m_stream->isOpen();
    }
    const std::optional<OfferedCall> &call() const
    {
        return m_call;
    }
    /// True if a new call may be sent at @p nowMs.
    bool isReusable(double nowMs) const
    {
        return isOpen() && !m_call && !m_tainted && nowMs < m_reusableUntilMs;
    }
    /// True until the first byte of an answer to the present call; then the upstream is alive.
    bool isSilent() const
    {
        return !m_heard;
    }
    bool isConnected() const
    {
        return m_stream->isConnected();
    }
    double sentAtMs() const
    {
        return m_sentAtMs;
    }

private:
    UpstreamConnection(EventLoop &loop, const ProtocolAdapter &adapter, std::shared_ptr<TcpStream> stream);
    void start();
    void read(std::string_view data);
    void closed(bool clean);
    bool finishMessage();
    void finish(ReplyMessage reply, bool connectFailed = false);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    std::shared_ptr<TcpStream> m_stream;
    HttpReader m_reader;
    std::optional<OfferedCall> m_call;
    double m_sentAtMs = 0;
    double m_reusableUntilMs;
    bool m_heard = false;
    bool m_tainted = false; ///< bytes that belong to no call were seen
};
}
