#include "tcp.h"

#include "base/errc.h"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t readChunkBytes = 65'536;
// One busy connection may not keep the others waiting.
constexpr int maxReadsPerEvent = 4;
// Sent bytes at the start of the queue are released from this number on, and a larger empty queue is freed.
constexpr std::size_t minReleasedBytes = 65'536;
constexpr int backlogLength = 1024;
// A peer that got a last answer may take this long to close its side.
constexpr TimeMs lingerMs = 1'000;
// A peer that still reads its last answer makes progress within this time.
constexpr TimeMs lingerStallMs = 5'000;
constexpr TimeMs lingerCheckMs = 250;

void setOption(int descriptor, int level, int name, int value)
{
    ::setsockopt(descriptor, level, name, &value, sizeof value);
}

bool parseAddress(const std::string &address, ACE_INET_Addr &out)
{
    return address.find(':') != std::string::npos && out.set(address.c_str()) == 0;
}
}

TcpStream::TcpStream(EventLoop &loop, int descriptor, bool connected)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_connected(connected)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
}

TcpStream::~TcpStream()
{
    close();
}

std::shared_ptr<TcpStream> TcpStream::adopt(EventLoop &loop, int descriptor)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, descriptor, true));
    stream->updateWatch();
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const std::string &address, const std::string &sourceIp)
{
    ACE_INET_Addr target;
    if (!parseAddress(address, target)) {
        return nullptr;
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    if (!sourceIp.empty()) {
        ACE_INET_Addr source(static_cast<unsigned short>(0), sourceIp.c_str());
        if (::bind(descriptor, static_cast<sockaddr *>(source.get_addr()), static_cast<socklen_t>(source.get_size())) != 0) {
            ::close(descriptor);
            return nullptr;
        }
    }
    const int status = ::connect(descriptor, static_cast<sockaddr *>(target.get_addr()), static_cast<socklen_t>(target.get_size()));
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, descriptor, false));
    if (status != 0 && errno != EINPROGRESS) {
        loop.post([stream] {
            stream->fail(false);
        });
        return stream;
    }
    stream->updateWatch();
    return stream;
}

void TcpStream::updateWatch()
{
    if (m_descriptor < 0) {
        return;
    }
    int mask = m_paused ? 0 : EventLoop::Readable;
    if (!m_connected || m_writeBlocked) {
        mask |= EventLoop::Writable;
    }
    if (mask == m_watched) {
        return;
    }
    m_watched = mask;
    m_loop.watch(m_descriptor, mask, [weak = weak_from_this()](int readiness) {
        if (const auto self = weak.lock()) {
            self->handle(readiness);
        }
    });
}

void TcpStream::handle(int readiness)
{
    if (!m_connected) {
        finishConnect();
        return;
    }
    if (readiness & EventLoop::Writable) {
        m_writeBlocked = false;
        flush();
    }
    if (isOpen() && m_paused && (readiness & EventLoop::Readable) && !(m_watched & EventLoop::Readable)) {
        // The connection broke: nothing else is reported while reading is paused, and it would be in every turn.
        fail(false);
    } else if (isOpen() && (readiness & EventLoop::Readable)) {
        readAll();
    }
    updateWatch();
}

void TcpStream::finishConnect()
{
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        fail(false);
        return;
    }
    m_connected = true;
    if (const auto hook = onConnected) {
        hook();
    }
    flush();
    updateWatch();
}

void TcpStream::readAll()
{
    static std::array<char, readChunkBytes> buffer;
    for (int i = 0; i < maxReadsPerEvent && isOpen() && !m_paused; ++i) {
        const ssize_t got = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (got > 0) {
            if (m_lingering) {
                continue;
            }
            if (const auto hook = onData) {
                hook({buffer.data(), static_cast<std::size_t>(got)});
            }
            m_loop.countReceived(static_cast<std::size_t>(got));
            if (static_cast<std::size_t>(got) < buffer.size()) {
                return;
            }
        } else if (got == 0) {
            fail(true);
            return;
        } else {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                fail(false);
            }
            return;
        }
    }
}

void TcpStream::write(std::string_view data)
{
    if (!isOpen() || m_lingering) {
        return;
    }
    m_out.append(data);
    if (m_flushPosted) {
        return;
    }
    m_flushPosted = true;
    m_loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_flushPosted = false;
            self->flush();
            self->updateWatch();
        }
    });
}

void TcpStream::flush()
{
    if (!m_connected || !isOpen() || m_writeBlocked) {
        return;
    }
    while (unsent() > 0) {
        const ssize_t put = ::send(m_descriptor, m_out.data() + m_outOffset, unsent(), MSG_NOSIGNAL);
        if (put < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                m_writeBlocked = true;
                releaseSent();
            } else if (errno != EINTR) {
                fail(false);
            }
            return;
        }
        m_outOffset += static_cast<std::size_t>(put);
        m_sent += static_cast<std::uint64_t>(put);
    }
    releaseSent();
    if (m_lingering) {
        ::shutdown(m_descriptor, SHUT_WR);
    } else if (const auto hook = onDrained) {
        hook();
    }
}

// Moves the unsent bytes to the start once they are the smaller part, which bounds the cost of moving.
void TcpStream::releaseSent()
{
    if (unsent() == 0) {
        m_outOffset = 0;
        m_out.clear();
        if (m_out.capacity() > minReleasedBytes) {
            m_out.shrink_to_fit();
        }
    } else if (m_outOffset >= minReleasedBytes && m_outOffset >= unsent()) {
        m_out.erase(0, m_outOffset);
        m_outOffset = 0;
    }
}

void TcpStream::fail(bool clean)
{
    const auto hook = onClosed;
    const auto self = shared_from_this();
    close();
    if (hook) {
        hook(clean);
    }
}

void TcpStream::close()
{
    if (m_descriptor < 0) {
        return;
    }
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_connected = false;
    m_out.clear();
    m_outOffset = 0;
    m_loop.cancel(m_lingerTimer);
    onData = nullptr;
    onConnected = nullptr;
    onDrained = nullptr;
    onClosed = nullptr;
}

void TcpStream::closeAfterWrites()
{
    if (!isOpen() || m_lingering) {
        return;
    }
    m_lingering = true;
    m_paused = false;
    onData = nullptr;
    onDrained = nullptr;
    onClosed = nullptr;
    m_lingerProgressAt = m_loop.clock().now();
    m_lingerSent = m_sent;
    scheduleLingerCheck();
    flush();
    updateWatch();
}

// The timer keeps the stream alive until the peer has closed.
void TcpStream::scheduleLingerCheck()
{
    m_lingerTimer = m_loop.after(lingerCheckMs, [self = shared_from_this()] {
        self->checkLinger();
    });
}

void TcpStream::checkLinger()
{
    const TimeMs now = m_loop.clock().now();
    if (m_sent != m_lingerSent) {
        m_lingerSent = m_sent;
        m_lingerProgressAt = now;
    }
    if (now - m_lingerProgressAt >= (unsent() > 0 ? lingerStallMs : lingerMs)) {
        close();
        return;
    }
    scheduleLingerCheck();
}

void TcpStream::limitSystemQueue(int bytes)
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

void TcpStream::pauseReading(bool paused)
{
    m_paused = paused;
    updateWatch();
}

TcpListener::TcpListener(EventLoop &loop, AcceptHandler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
}

TcpListener::~TcpListener()
{
    if (m_descriptor >= 0) {
        m_loop.unwatch(m_descriptor);
        ::close(m_descriptor);
    }
}

std::error_code TcpListener::listen(const std::string &address)
{
    ACE_INET_Addr local;
    if (!parseAddress(address, local)) {
        return Errc::Malformed;
    }
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        return Errc::Unavailable;
    }
    setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(m_descriptor, static_cast<sockaddr *>(local.get_addr()), static_cast<socklen_t>(local.get_size())) != 0
        || ::listen(m_descriptor, backlogLength) != 0) {
        return Errc::Unavailable;
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    m_address = address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(bound.sin_port));
    m_loop.watch(m_descriptor, EventLoop::Readable, [this](int) {
        acceptAll();
    });
    return {};
}

void TcpListener::acceptAll()
{
    while (m_descriptor >= 0) {
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        m_handler(TcpStream::adopt(m_loop, accepted));
    }
}

void TcpListener::stop()
{
    if (m_descriptor < 0) {
        return;
    }
    acceptAll();
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
}
}
