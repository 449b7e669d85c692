#include "framelink.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <new>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t headerBytes = 5;
constexpr unsigned char compressedFlag = 0x80;
constexpr unsigned char pieceFlag = 0x40;
constexpr std::size_t pieceHeaderBytes = 8;
// Pieces are written while fewer bytes are queued. A short frame waits for these at most.
constexpr std::size_t maxQueuedPieceBytes = 2 * framePieceBytes;
// A short frame also waits for what the system has queued, by default up to several MB.
constexpr int systemQueueBytes = 131'072;
// Larger payloads are not compressed: they are mostly bodies, which are dissimilar, or already compressed.
constexpr std::size_t maxCompressedBytes = 2'048;
// Full reports list all teams of a node.
constexpr std::size_t maxCompressedReportBytes = 32'768;
// Larger frames get their memory at once.
constexpr std::size_t minReservedBytes = 64U << 10U;
// A peer that owes an answer and sends nothing for this time is pinged.
constexpr TimeMs pingAfterMs = 250;
// The link is closed if nothing is received for this time, which leaves TCP time to resend a packet that was lost twice.
constexpr TimeMs responseTimeoutMs = 1'000;
// Time limit for establishing a link: several round trips within a region.
constexpr TimeMs connectTimeoutMs = 400;
constexpr TimeMs checkPeriodMs = 100;
constexpr TimeMs maxCheckDelayMs = 400;
// Delay before reconnecting to a failed address; doubles up to the maximum.
constexpr TimeMs minRetryDelayMs = 100;
constexpr TimeMs maxRetryDelayMs = 200;
// Reconnecting stops if no link to the address was requested for this time.
constexpr TimeMs failureExpiryMs = 10'000;
// The link is closed if more bytes than this are queued for a peer that does not read.
constexpr std::size_t maxUnsentBytes = 32U << 20U;
}

FrameLink::FrameLink(std::shared_ptr<TcpStream> stream, const Clock &clock)
    : m_stream(std::move(stream))
    , m_clock(clock)
    , m_lastReceivedAt(clock.now())
{
}

std::shared_ptr<FrameLink> FrameLink::open(std::shared_ptr<TcpStream> stream, const Clock &clock)
{
    if (!stream) {
        return nullptr;
    }
    std::shared_ptr<FrameLink> link(new FrameLink(std::move(stream), clock));
    link->start();
    return link;
}

void FrameLink::start()
{
    m_stream->onData = [weak = weak_from_this()](std::string_view data) {
        if (const auto self = weak.lock()) {
            self->read(data);
        }
    };
    m_stream->limitSystemQueue(systemQueueBytes);
    m_stream->onDrained = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->sendPieces();
        }
    };
    m_stream->onConnected = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->connected();
        }
    };
    m_stream->onClosed = [weak = weak_from_this()](bool) {
        if (const auto self = weak.lock()) {
            self->fail();
        }
    };
}

void FrameLink::send(FrameType type, std::string_view payload)
{
    if (!isOpen()) {
        return;
    }
    if (m_splitter.mustQueue(type, payload.size())) {
        m_splitter.add(type, payload);
    } else {
        sendWhole(type, payload);
    }
    // Also after a short frame: the stream might never be drained while many of them are sent.
    sendPieces();
}

void FrameLink::sendWhole(FrameType type, std::string_view payload)
{
    const std::size_t maxBytes = type == FrameType::Sync ? maxCompressedReportBytes : maxCompressedBytes;
    const bool compressed = m_compressor && !payload.empty() && payload.size() <= maxBytes;
    const std::string packed = compressed ? m_compressor->add(payload) : std::string();
    const std::string_view content = compressed ? packed : payload;
    writeFrame(static_cast<unsigned char>(type) | (compressed ? compressedFlag : 0), {}, content);
    if (onSent) {
        onSent(type, headerBytes + content.size());
    }
}

void FrameLink::writeFrame(unsigned char kind, std::string_view prefix, std::string_view content)
{
    char header[headerBytes];
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(prefix.size() + content.size()));
    std::memcpy(header, &length, sizeof length);
    header[headerBytes - 1] = static_cast<char>(kind);
    m_stream->write({header, headerBytes});
    if (!prefix.empty()) {
        m_stream->write(prefix);
    }
    m_stream->write(content);
}

void FrameLink::sendPieces()
{
    while (isOpen() && !m_splitter.isEmpty() && m_stream->unsent() < maxQueuedPieceBytes) {
        const FrameSplitter::Piece piece = m_splitter.next();
        if (piece.isWhole) {
            sendWhole(piece.type, piece.content);
            continue;
        }
        const std::uint32_t numbers[] = {htonl(piece.frameId), htonl(static_cast<std::uint32_t>(piece.remaining))};
        char prefix[pieceHeaderBytes];
        std::memcpy(prefix, numbers, sizeof prefix);
        writeFrame(static_cast<unsigned char>(piece.type) | pieceFlag, {prefix, sizeof prefix}, piece.content);
        if (piece.isLast && onSent) {
            const std::size_t pieces = (piece.frameBytes + framePieceBytes - 1) / framePieceBytes;
            onSent(piece.type, piece.frameBytes + pieces * (headerBytes + pieceHeaderBytes));
        }
    }
    m_splitter.releasePiece();
}

void FrameLink::startCompressing()
{
    if (!m_compressor) {
        m_compressor = std::make_unique<StreamCompressor>();
    }
}

void FrameLink::connected()
{
    m_wasConnected = true;
    m_lastReceivedAt = m_clock.now();
}

void FrameLink::read(std::string_view data)
{
    m_lastReceivedAt = m_clock.now();
    m_pingedAt = 0;
    m_input.append(data);
    std::size_t offset = 0;
    while (isOpen() && m_input.size() - offset >= headerBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, m_input.data() + offset, sizeof length);
        length = ntohl(length);
        if (length > maxFrameBytes) {
            fail();
            return;
        }
        if (m_input.size() - offset < headerBytes + length) {
            break;
        }
        const auto kind = static_cast<unsigned char>(m_input[offset + headerBytes - 1]);
        const std::string_view payload(m_input.data() + offset + headerBytes, length);
        offset += headerBytes + length;
        m_hasReceivedFrame = true;
        if (!readFrame(kind, payload)) {
            fail();
            return;
        }
    }
    m_input.erase(0, offset);
    sizeInput();
}

// A large frame gets all of its memory at once: a growing string needs the old and the new memory while it moves. The system
// provides only the pages that are written.
void FrameLink::sizeInput()
{
    if (m_input.size() < minReservedBytes) {
        if (m_input.capacity() > 2 * minReservedBytes) {
            m_input.shrink_to_fit();
        }
        return;
    }
    std::uint32_t length = 0;
    std::memcpy(&length, m_input.data(), sizeof length);
    try {
        m_input.reserve(headerBytes + ntohl(length));
    } catch (const std::bad_alloc &) {
        // A system that grants no memory beyond its own may refuse it; the frame then grows step by step.
    }
}

// Returns false if the piece is malformed.
bool FrameLink::readPiece(FrameType type, std::string_view payload)
{
    if (payload.size() < pieceHeaderBytes) {
        return false;
    }
    std::uint32_t numbers[2];
    std::memcpy(numbers, payload.data(), sizeof numbers);
    std::optional<std::string> whole;
    if (!m_assembler.add(type, ntohl(numbers[0]), ntohl(numbers[1]), payload.substr(pieceHeaderBytes), whole)) {
        return false;
    }
    return !whole || readFrame(static_cast<unsigned char>(type), *whole);
}

// Returns false if the frame is malformed.
bool FrameLink::readFrame(unsigned char kind, std::string_view payload)
{
    if (kind & pieceFlag) {
        return readPiece(static_cast<FrameType>(kind & ~pieceFlag), payload);
    }
    const auto type = static_cast<FrameType>(kind & ~compressedFlag);
    std::string content;
    if (kind & compressedFlag) {
        if (!m_decompressor) {
            m_decompressor = std::make_unique<StreamDecompressor>();
            startCompressing();
        }
        if (!m_decompressor->add(payload, maxFrameBytes, content)) {
            return false;
        }
        payload = content;
    }
    if (type == FrameType::Ping) {
        send(FrameType::Pong, {});
    } else if (type != FrameType::Pong) {
        if (const auto hook = onFrame) {
            hook(type, payload);
        }
    }
    return true;
}

void FrameLink::checkLiveness(bool answerExpected)
{
    const TimeMs now = m_clock.now();
    // A peer that still reads a large frame reads the ping behind it later.
    if (isConnected() && unsent() > 0 && m_stream->sent() != m_sentAtCheck) {
        m_lastReceivedAt = now;
    }
    m_sentAtCheck = m_stream->sent();
    // A ping stays pending after the calls for which it was sent have ended: their time limits may be shorter than the time
    // after which a dead link is detected.
    if (!answerExpected && m_pingedAt == 0) {
        m_lastReceivedAt = now;
        return;
    }
    if (now - m_lastReceivedAt > (isConnected() ? responseTimeoutMs : connectTimeoutMs) || unsent() > maxUnsentBytes) {
        fail();
    } else if (m_pingedAt == 0 && now - m_lastReceivedAt > pingAfterMs && isConnected()) {
        m_pingedAt = now;
        send(FrameType::Ping, {});
    }
}

void FrameLink::close()
{
    onFrame = nullptr;
    onClosed = nullptr;
    if (m_stream) {
        m_stream->close();
    }
    m_splitter.clear();
    m_assembler.clear();
}

void FrameLink::fail()
{
    const auto self = shared_from_this();
    const auto hook = onClosed;
    close();
    if (hook) {
        hook();
    }
}

std::size_t heldByLinks(const std::vector<std::shared_ptr<FrameLink>> &links)
{
    std::size_t sum = 0;
    for (const auto &link : links) {
        sum += link->heldBytes();
    }
    return sum;
}

bool closeSilentLink(const std::vector<std::shared_ptr<FrameLink>> &links)
{
    const auto silent = std::find_if(links.begin(), links.end(), [](const auto &link) {
        return !link->hasReceivedFrame();
    });
    if (silent == links.end()) {
        return false;
    }
    (*silent)->fail();
    return true;
}

bool closeLargestLink(const std::vector<std::shared_ptr<FrameLink>> &links)
{
    const auto largest = std::max_element(links.begin(), links.end(), [](const auto &a, const auto &b) {
        return a->heldBytes() < b->heldBytes();
    });
    if (largest == links.end() || (*largest)->heldBytes() == 0) {
        return false;
    }
    (*largest)->fail();
    return true;
}

LinkPool::LinkPool(EventLoop &loop, std::string sourceIp)
    : m_loop(loop)
    , m_timer(loop.every(checkPeriodMs,
                         [this] {
                             check();
                         }))
    , m_sourceIp(std::move(sourceIp))
{
}

LinkPool::~LinkPool()
{
    m_loop.cancel(m_timer);
    for (const auto &[address, link] : m_links) {
        link->close();
    }
}

FrameLink *LinkPool::link(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        return found->second.get();
    }
    const auto failure = m_failures.find(address);
    if (failure != m_failures.end()) {
        failure->second.lastRequestedAt = m_loop.clock().now();
        return nullptr;
    }
    return open(address);
}

FrameLink *LinkPool::open(const std::string &address)
{
    const auto link = FrameLink::open(TcpStream::connect(m_loop, address, m_sourceIp), m_loop.clock());
    if (!link) {
        return nullptr;
    }
    link->onFrame = [this, address](FrameType type, std::string_view payload) {
        onFrame(address, type, payload);
    };
    link->onClosed = [this, address, raw = link.get()] {
        drop(address, raw);
    };
    if (!isCompressed || isCompressed(address)) {
        link->startCompressing();
    }
    link->onSent = [this, raw = link.get()](FrameType type, std::size_t bytes) {
        if (onSent) {
            onSent(type, bytes, raw->isCompressing());
        }
    };
    m_links[address] = link;
    return link.get();
}

bool LinkPool::isFailing(const std::string &address) const
{
    const auto link = m_links.find(address);
    return m_failures.contains(address) || (link != m_links.end() && link->second->hasUnansweredPing());
}

void LinkPool::drop(const std::string &address, const FrameLink *link)
{
    const auto found = m_links.find(address);
    if (found == m_links.end() || found->second.get() != link) {
        return;
    }
    const auto kept = found->second;
    m_links.erase(found);
    const TimeMs now = m_loop.clock().now();
    Failure &failure = m_failures[address];
    failure.lastRequestedAt = failure.lastRequestedAt == 0 ? now : failure.lastRequestedAt;
    failure.retryDelayMs = std::clamp(failure.retryDelayMs * 2, minRetryDelayMs, maxRetryDelayMs);
    failure.retryAt = now + failure.retryDelayMs;
    onClosed(address, kept->wasConnected());
}

// Reconnects to failed addresses, so that no call has to test whether an address is reachable again.
void LinkPool::reopen()
{
    const TimeMs now = m_loop.clock().now();
    std::erase_if(m_failures, [now](const auto &entry) {
        return now - entry.second.lastRequestedAt > failureExpiryMs;
    });
    for (auto &[address, failure] : m_failures) {
        if (now >= failure.retryAt && !m_links.contains(address)) {
            open(address);
        }
    }
    for (const auto &[address, link] : m_links) {
        if (link->isConnected()) {
            m_failures.erase(address);
        }
    }
}

std::vector<std::shared_ptr<FrameLink>> LinkPool::links() const
{
    std::vector<std::shared_ptr<FrameLink>> result;
    for (const auto &[address, link] : m_links) {
        result.push_back(link);
    }
    return result;
}

void LinkPool::check()
{
    // After a late turn of the loop, answers may wait in the sockets: the silence is this process's own.
    const TimeMs now = m_loop.clock().now();
    const bool isLate = m_checkedAt > 0 && now - m_checkedAt > maxCheckDelayMs;
    m_checkedAt = now;
    if (isLate) {
        return;
    }
    const auto links = m_links;
    for (const auto &[address, link] : links) {
        link->checkLiveness(isBusy(address) || !link->isConnected());
    }
    reopen();
}
}
