#pragma once

#include "mesh/protocoladapter.h"
#include "net/tcp.h"
#include "upstreamqueue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Memory of all responses that are being read.
struct ResponseMemory {
    std::size_t heldBytes = 0;
    std::function<void()> onGrown; ///< may abandon connections
};

/// A connection to an upstream for one call at a time. It reports whether any bytes of a failed call were sent, which
/// decides if the call may be retried, and does not retry by itself.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// Receives the result of the present call; the connection is then reusable or closed.
    using DoneHandler = std::function<void(const std::shared_ptr<UpstreamConnection> &, OfferedCall, ReplyMessage, bool connectFailed)>;

    /// Returns null if no connection can be opened. @p memory counts the responses of all connections that share it.
    static std::shared_ptr<UpstreamConnection>
    open(EventLoop &loop, const ProtocolAdapter &adapter, ResponseMemory &memory, const std::string &address, const std::string &sourceIp);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    DoneHandler onDone;
    /// Called when the connection was closed between two calls.
    std::function<void(const std::shared_ptr<UpstreamConnection> &)> onIdleClosed;

    /// Called with a response to the present call that lacks the request id, or is no refusal and lacks the signature.
    std::function<void(const HttpMessage &response, const UpstreamAnswer &answer)> onUnsigned;

    /// Called with each response that the upstream gave to the present call, before onDone.
    std::function<void(const UpstreamAnswer &answer)> onAnswer;

    /// Sends a call; the connection must be reusable.
    void send(OfferedCall call);
    /// Ends the present call without a complete answer and closes the connection.
    void abandon(const std::string &reason);
    /// Closes the connection and drops the present call without calling a handler.
    void close();
    bool isOpen() const
    {
        return m_stream->isOpen();
    }
    const std::optional<OfferedCall> &call() const
    {
        return m_call;
    }
    /// Returns true if a new call may be sent at @p nowMs.
    bool isReusable(double nowMs) const
    {
        return isOpen() && !m_call && !m_mustClose && nowMs < m_reusableUntilMs;
    }
    /// As isReusable(), and no call with the same request id was declined on this connection: a late copy of that refusal
    /// could not be told from the response to the new call.
    bool isReusableFor(const std::string &requestId, double nowMs) const;
    /// Returns true until the first byte of the response to the present call.
    bool awaitsFirstByte() const
    {
        return !m_responseStarted;
    }
    bool isConnected() const
    {
        return m_stream->isConnected();
    }
    /// Memory held for the response that is being read.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    /// Bytes of the present call that were not handed to the system.
    std::size_t unsent() const
    {
        return m_stream->unsent();
    }
    /// Bytes of a malformed response to the last call in which the defect was found; empty if there was none.
    const std::string &defectiveBytes() const
    {
        return m_defectiveBytes;
    }
    double sentAtMs() const
    {
        return m_sentAtMs;
    }

private:
    UpstreamConnection(EventLoop &loop, const ProtocolAdapter &adapter, ResponseMemory &memory, std::shared_ptr<TcpStream> stream);
    void start();
    void read(std::string_view data);
    void handleClosed(bool clean);
    bool finishMessage(bool moreBytesFollow);
    bool skipResponse();
    void updateHeldBytes();
    void releaseResponse();
    void finishFailedCall(const std::string &reason);
    void finishCall(ReplyMessage reply, bool connectFailed = false);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    ResponseMemory &m_memory;
    std::shared_ptr<TcpStream> m_stream;
    HttpReader m_reader;
    std::optional<OfferedCall> m_call;
    std::string m_defectiveBytes;
    std::vector<std::size_t> m_declinedCalls; ///< hashes of request ids
    std::uint64_t m_sentBeforeCall = 0; ///< bytes sent on the stream before the present call
    std::uint64_t m_headSentAt = 0; ///< bytes sent on the stream once the head of the present call was sent
    std::size_t m_heldBytes = 0; ///< part of m_memory
    int m_skippedResponses = 0; ///< since the present call was sent
    double m_sentAtMs = 0;
    double m_reusableUntilMs;
    bool m_responseStarted = false;
    bool m_mustClose = false; ///< not reusable, such as after bytes that belong to no call
};
}
