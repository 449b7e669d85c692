#include "upstreamconnection.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Maximum idle time before reuse if the upstream states no idle timeout.
constexpr double defaultIdleMs = 4'000;
// Subtracted from the upstream's idle timeout, since it might close the connection while a call is being sent.
constexpr double idleMarginMs = 1'500;
// A connection on which more calls were declined is not reused.
constexpr std::size_t maxDeclinedCalls = 64;
constexpr int firstClientError = 400;
// Limit for the body of one response, a tenth of the memory of the smallest process.
constexpr std::size_t maxResponseBytes = 16U << 20U;
// Interim responses and late responses to earlier calls that may precede the response to a call.
constexpr int maxSkippedResponses = 16;

std::size_t hashOf(const std::string &requestId)
{
    return std::hash<std::string>()(requestId);
}

std::string forwardedHead(const ProtocolAdapter &adapter, const HttpMessage &message)
{
    std::string head = "HTTP/1.1 " + std::to_string(message.status) + ' ' + message.reason + "\r\n";
    for (const auto &[name, value] : message.fields) {
        if (!isConnectionField(name) && !adapter.isHopField(name)) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
    return head;
}
}

UpstreamConnection::UpstreamConnection(EventLoop &loop, const ProtocolAdapter &adapter, ResponseMemory &memory, std::shared_ptr<TcpStream> stream)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_memory(memory)
    , m_stream(std::move(stream))
    , m_reader(HttpReader::Kind::Response, {HttpReaderLimits().maxHeaderBytes, maxResponseBytes})
    , m_reusableUntilMs(std::numeric_limits<double>::max())
{
}

UpstreamConnection::~UpstreamConnection()
{
    m_memory.heldBytes -= m_heldBytes;
}

std::shared_ptr<UpstreamConnection>
UpstreamConnection::open(EventLoop &loop, const ProtocolAdapter &adapter, ResponseMemory &memory, const std::string &address, const std::string &sourceIp)
{
    auto stream = TcpStream::connect(loop, address, sourceIp);
    if (!stream) {
        return nullptr;
    }
    std::shared_ptr<UpstreamConnection> connection(new UpstreamConnection(loop, adapter, memory, std::move(stream)));
    connection->start();
    return connection;
}

void UpstreamConnection::start()
{
    m_stream->onData = [weak = weak_from_this()](std::string_view data) {
        if (const auto self = weak.lock()) {
            self->read(data);
        }
    };
    m_stream->onClosed = [weak = weak_from_this()](bool clean) {
        if (const auto self = weak.lock()) {
            self->handleClosed(clean);
        }
    };
}

bool UpstreamConnection::isReusableFor(const std::string &requestId, double nowMs) const
{
    return isReusable(nowMs) && std::find(m_declinedCalls.begin(), m_declinedCalls.end(), hashOf(requestId)) == m_declinedCalls.end();
}

void UpstreamConnection::send(OfferedCall call)
{
    m_sentAtMs = m_loop.clock().preciseMs();
    m_responseStarted = false;
    m_skippedResponses = 0;
    m_reader.expectNoBody(call.message.headOnly);
    const std::string hop = m_adapter.renderHop(call.message.requestId, call.message.upstreamId, call.deadlineMs - m_sentAtMs) + "\r\n";
    m_sentBeforeCall = m_stream->sent();
    m_headSentAt = m_sentBeforeCall + call.message.head.size() + hop.size();
    m_stream->write(call.message.head);
    m_stream->write(hop);
    m_stream->write(call.message.body);
    m_call = std::move(call);
    std::string().swap(m_call->message.body); // releases its memory, which is not counted while the call runs
}

void UpstreamConnection::read(std::string_view data)
{
    m_responseStarted = true;
    if (m_call && m_stream->sent() < m_headSentAt) {
        abandon("bytes before the call was sent");
        return;
    }
    while (!data.empty() && isOpen()) {
        if (!m_call) {
            m_mustClose = true;
            close();
            if (const auto handler = onIdleClosed) {
                handler(shared_from_this());
            }
            return;
        }
        data.remove_prefix(m_reader.read(data));
        updateHeldBytes();
        if (m_reader.state() == HttpReader::State::Reading || !isOpen()) {
            continue;
        }
        if (m_reader.state() != HttpReader::State::Complete) {
            m_defectiveBytes = m_reader.defectiveBytes();
            abandon("malformed response: " + std::string(m_reader.defect()));
            return;
        }
        if (finishMessage(!data.empty())) {
            return;
        }
    }
}

// Processes a complete message. Returns false if it is not the final response to the present call.
bool UpstreamConnection::finishMessage(bool moreBytesFollow)
{
    HttpMessage message = m_reader.take();
    updateHeldBytes();
    if (isInterim(message.status)) {
        return skipResponse();
    }
    if (message.status / 100 == 1) {
        abandon("protocol switched without a request for it");
        return true;
    }
    const UpstreamAnswer answer = m_adapter.readAnswer(message);
    if (!answer.requestId.empty() && answer.requestId != m_call->message.requestId) {
        // A late response to an earlier call; the response to the present one follows.
        m_mustClose = true;
        return skipResponse();
    }
    const bool refusal = answer.notExecuted || answer.wrongUpstream;
    if (onUnsigned && (answer.requestId.empty() || !(answer.hasSignature || refusal))) {
        onUnsigned(message, answer);
    }
    ReplyMessage reply;
    if (answer.requestId.empty() || (refusal ? message.status < firstClientError : !answer.hasSignature)) {
        reply.outcome = CallOutcome::MayHaveRun;
        reply.reason = answer.requestId.empty() ? "response without request id" : refusal ? "unproven refusal" : "response without receipt";
        m_mustClose = true;
    } else if (refusal) {
        reply.outcome = CallOutcome::Declined;
        reply.reason = answer.wrongUpstream ? "wrong upstream" : "declined by the upstream";
        m_declinedCalls.push_back(hashOf(answer.requestId));
        m_mustClose = m_mustClose || m_declinedCalls.size() > maxDeclinedCalls;
    } else {
        reply.outcome = CallOutcome::Answered;
        reply.status = message.status;
        reply.head = forwardedHead(m_adapter, message);
        reply.body = std::move(message.body);
    }
    if (onAnswer && reply.outcome != CallOutcome::MayHaveRun) {
        onAnswer(answer);
    }
    const double idle = answer.idleTimeoutMs ? std::max(0.0, static_cast<double>(*answer.idleTimeoutMs) - idleMarginMs) : defaultIdleMs;
    m_reusableUntilMs = m_loop.clock().preciseMs() + idle;
    // Bytes after a complete response belong to no call.
    m_mustClose = m_mustClose || moreBytesFollow || !message.keepAlive || message.untilClose || m_stream->unsent() > 0;
    finishCall(std::move(reply));
    return true;
}

// Returns true if the call ended because too many responses were skipped.
bool UpstreamConnection::skipResponse()
{
    if (++m_skippedResponses <= maxSkippedResponses) {
        return false;
    }
    abandon("too many responses before that to the call");
    return true;
}

void UpstreamConnection::updateHeldBytes()
{
    const std::size_t before = m_heldBytes;
    m_heldBytes = m_reader.heldBytes();
    m_memory.heldBytes = m_memory.heldBytes - before + m_heldBytes;
    if (m_heldBytes > before && m_memory.onGrown) {
        m_memory.onGrown();
    }
}

void UpstreamConnection::releaseResponse()
{
    m_reader.take();
    updateHeldBytes();
}

void UpstreamConnection::finishCall(ReplyMessage reply, bool connectFailed)
{
    if (m_mustClose) {
        m_stream->close();
    }
    OfferedCall call = std::move(*m_call);
    m_call.reset();
    reply.callId = call.message.callId;
    if (const auto handler = onDone) {
        handler(shared_from_this(), std::move(call), std::move(reply), connectFailed);
    }
}

void UpstreamConnection::handleClosed(bool clean)
{
    if (!m_call) {
        if (const auto handler = onIdleClosed) {
            handler(shared_from_this());
        }
        return;
    }
    m_mustClose = true;
    if (clean) {
        m_reader.readEnd();
        if (m_reader.state() == HttpReader::State::Complete && finishMessage(false)) {
            return;
        }
    }
    finishFailedCall("connection to the upstream closed");
}

void UpstreamConnection::abandon(const std::string &reason)
{
    m_mustClose = true;
    m_stream->close();
    releaseResponse();
    if (m_call) {
        finishFailedCall(reason);
    }
}

// A call has not run if the stream was closed before any byte of it was sent.
void UpstreamConnection::finishFailedCall(const std::string &reason)
{
    const bool connected = m_stream->sent() > 0;
    const bool left = m_stream->sent() > m_sentBeforeCall;
    ReplyMessage reply;
    reply.outcome = left ? CallOutcome::MayHaveRun : CallOutcome::NotOffered;
    reply.reason = connected ? reason : "no connection to the upstream";
    finishCall(std::move(reply), !connected);
}

void UpstreamConnection::close()
{
    m_call.reset();
    m_stream->close();
    releaseResponse();
}
}
