#include "framelink.h"

#include <arpa/inet.h>
#include <cstring>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t headerBytes = 5;
// Larger than the largest body of a call and its header.
constexpr std::size_t maxFrameBytes = 80U << 20U;
// A process that was asked and says nothing for this time is pinged ...
constexpr TimeMs pingAfterMs = 500;
// ... and given up after this time; a packet lost twice is repeated within it.
constexpr TimeMs silentAfterMs = 1'600;
constexpr TimeMs checkPeriodMs = 200;
// Pause before an address that failed is tried again.
constexpr TimeMs reconnectMs = 300;
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
    char header[headerBytes];
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
    std::memcpy(header, &length, sizeof length);
    header[headerBytes - 1] = static_cast<char>(type);
    m_stream->write({header, headerBytes});
    m_stream->write(payload);
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
        const auto type = static_cast<FrameType>(m_in[offset + headerBytes - 1]);
        const std::string_view payload(m_in.data() + offset + headerBytes, length);
        offset += headerBytes + length;
        if (type == FrameType::Ping) {
            send(FrameType::Pong, {});
        } else if (type != FrameType::Pong) {
            if (const auto hook = onFrame) {
                hook(type, payload);
            }
        }
    }
    m_in.erase(0, offset);
}

void FrameLink::checkSilence(bool answerExpected)
{
    const TimeMs now = m_clock.now();
    if (!answerExpected) {
        m_heardAt = now;
        m_pingedAt = 0;
        return;
    }
    if (now - m_heardAt > silentAfterMs || unsent() > maxUnsentBytes) {
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
    , m_sourceIp(std::move(sourceIp))
{
    loop.every(checkPeriodMs, [this] {
        check();
    });
}

FrameLink *LinkPool::link(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        return found->second.get();
    }
    if (isFailing(address)) {
        return nullptr;
    }
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
    m_links[address] = link;
    return link.get();
}

bool LinkPool::isFailing(const std::string &address) const
{
    const auto found = m_retryAt.find(address);
    return found != m_retryAt.end() && m_loop.clock().now() < found->second;
}

void LinkPool::drop(const std::string &address, const FrameLink *link)
{
    const auto found = m_links.find(address);
    if (found == m_links.end() || found->second.get() != link) {
        return;
    }
    const auto kept = found->second;
    m_links.erase(found);
    m_retryAt[address] = m_loop.clock().now() + reconnectMs;
    onClosed(address);
}

void LinkPool::close(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        const auto kept = found->second;
        kept->close();
        drop(address, kept.get());
    }
}

void LinkPool::check()
{
    const auto links = m_links;
    for (const auto &[address, link] : links) {
        link->checkSilence(isBusy(address) || !link->isConnected());
    }
}
}
