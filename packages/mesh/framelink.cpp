#include "framelink.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t headerBytes = 5;
constexpr unsigned char compressedFlag = 0x80;
// Larger frames are mostly bodies, which do not resemble each other, or compressed already.
constexpr std::size_t maxCompressedBytes = 2'048;
// Larger than the largest body of a call and its header.
constexpr std::size_t maxFrameBytes = 80U << 20U;
// A process that was asked and says nothing for this time is pinged ...
constexpr TimeMs pingAfterMs = 250;
// ... and given up after this time; a packet lost twice is repeated within it.
constexpr TimeMs silentAfterMs = 1'000;
// Time to establish a link: some round trips within a region.
constexpr TimeMs connectTimeoutMs = 400;
constexpr TimeMs checkPeriodMs = 100;
// Pause before an address that failed is tried again; it doubles up to the limit.
constexpr TimeMs minReconnectMs = 100;
constexpr TimeMs maxReconnectMs = 200;
// An address that nobody wanted for this time is no longer tried.
constexpr TimeMs forgetFailureMs = 10'000;
// Memory for frames that a peer does not take.
constexpr std::size_t maxUnsentBytes = 32U << 20U;
}

FrameLink::FrameLink(std::shared_ptr<TcpStream> stream, const Clock &clock)
    : m_stream(std::move(stream))
    , m_clock(clock)
    , m_heardAt(clock.now())
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
    const bool compressed = m_compressor && !payload.empty() && payload.size() <= maxCompressedBytes;
    const std::string packed = compressed ? m_compressor->add(payload) : std::string();
    const std::string_view content = compressed ? packed : payload;
    char header[headerBytes];
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(content.size()));
    std::memcpy(header, &length, sizeof length);
    header[headerBytes - 1] = static_cast<char>(static_cast<unsigned char>(type) | (compressed ? compressedFlag : 0));
    m_stream->write({header, headerBytes});
    m_stream->write(content);
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
    m_heardAt = m_clock.now();
}

void FrameLink::read(std::string_view data)
{
    m_heardAt = m_clock.now();
    m_pingedAt = 0;
    m_in.append(data);
    std::size_t offset = 0;
    while (isOpen() && m_in.size() - offset >= headerBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, m_in.data() + offset, sizeof length);
        length = ntohl(length);
        if (length > maxFrameBytes) {
            fail();
            return;
        }
        if (m_in.size() - offset < headerBytes + length) {
            break;
        }
        const auto kind = static_cast<unsigned char>(m_in[offset + headerBytes - 1]);
        const std::string_view payload(m_in.data() + offset + headerBytes, length);
        offset += headerBytes + length;
        if (!readFrame(kind, payload)) {
            fail();
            return;
        }
    }
    m_in.erase(0, offset);
}

// Returns false if the frame is malformed.
bool FrameLink::readFrame(unsigned char kind, std::string_view payload)
{
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

void FrameLink::checkSilence(bool answerExpected)
{
    const TimeMs now = m_clock.now();
    // An open ping outlives the calls that it was sent for: they end at their own time limits, which may be shorter than
    // the time that tells a dead link.
    if (!answerExpected && m_pingedAt == 0) {
        m_heardAt = now;
        return;
    }
    if (now - m_heardAt > (isConnected() ? silentAfterMs : connectTimeoutMs) || unsent() > maxUnsentBytes) {
        fail();
    } else if (m_pingedAt == 0 && now - m_heardAt > pingAfterMs && isConnected()) {
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
        failure->second.usedAt = m_loop.clock().now();
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
    m_links[address] = link;
    return link.get();
}

bool LinkPool::isFailing(const std::string &address) const
{
    const auto link = m_links.find(address);
    return m_failures.contains(address) || (link != m_links.end() && link->second->isSuspect());
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
    failure.usedAt = failure.usedAt == 0 ? now : failure.usedAt;
    failure.pauseMs = std::clamp(failure.pauseMs * 2, minReconnectMs, maxReconnectMs);
    failure.retryAt = now + failure.pauseMs;
    onClosed(address, kept->wasConnected());
}

// Calls are not used to find out whether a failed address is back.
void LinkPool::reopen()
{
    const TimeMs now = m_loop.clock().now();
    std::erase_if(m_failures, [now](const auto &entry) {
        return now - entry.second.usedAt > forgetFailureMs;
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

void LinkPool::check()
{
    const auto links = m_links;
    for (const auto &[address, link] : links) {
        link->checkSilence(isBusy(address) || !link->isConnected());
    }
    reopen();
}
}
