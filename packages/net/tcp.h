#pragma once

#include "eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace Yuccagrade
{
/// A TCP connection on the event loop that tells exactly which bytes were written and when the peer left.
/// Hooks run on the loop, never inside a function of this class. After close() no hook runs.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    /// Takes over a connected descriptor.
    static std::shared_ptr<TcpStream> adopt(EventLoop &loop, int descriptor);
    /// Starts a connection to "ip:port" from @p sourceIp (empty for any). Returns null on a malformed address or if no
    /// descriptor is left.
    static std::shared_ptr<TcpStream> connect(EventLoop &loop, const std::string &address, const std::string &sourceIp);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// Received bytes.
    std::function<void(std::string_view)> onData;
    /// The connection was established.
    std::function<void()> onConnected;
    /// All queued bytes were handed to the system.
    std::function<void()> onDrained;
    /// The peer closed the connection or it broke. @p clean is false for a reset or a time-out. The stream is closed.
    std::function<void(bool clean)> onClosed;

    /// Queues bytes; they are written together at the end of the present event.
    void write(std::string_view data);
    /// Closes at once and drops unsent bytes.
    void close();
    /// Writes what is queued, ends the sending direction and drops what the peer still sends. Closing with unread bytes
    /// would reset the connection and could destroy the answer on its way. A peer that reads slowly gets all of it; one that
    /// reads nothing for 5 s is given up.
    void closeAfterWrites();
    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    bool isConnected() const
    {
        return m_connected;
    }
    /// Bytes that were queued and not yet handed to the system.
    std::size_t unsent() const
    {
        return m_out.size() - m_outOffset;
    }
    /// True while the system takes no more bytes, since the peer has not read those before.
    bool isWriteBlocked() const
    {
        return m_writeBlocked;
    }
    /// Bytes handed to the system since the start.
    std::uint64_t sent() const
    {
        return m_sent;
    }
    /// Limits the bytes that the system queues before their first transmission. More remain in unsent().
    void limitSystemQueue(int bytes);
    /// Stops or resumes reading; while reading is paused a close of the peer is not seen.
    void pauseReading(bool paused);

private:
    TcpStream(EventLoop &loop, int descriptor, bool connected);
    void updateWatch();
    void handle(int readiness);
    void finishConnect();
    void readAll();
    void flush();
    void releaseSent();
    void scheduleLingerCheck();
    void checkLinger();
    void fail(bool clean);

    EventLoop &m_loop;
    int m_descriptor;
    bool m_connected;
    bool m_paused = false;
    bool m_flushPosted = false;
    bool m_lingering = false;
    bool m_writeBlocked = false;
    int m_watched = 0;
    std::string m_out;
    std::size_t m_outOffset = 0;
    std::uint64_t m_sent = 0;
    TimerId m_lingerTimer = 0;
    TimeMs m_lingerProgressAt = 0;
    std::uint64_t m_lingerSent = 0; ///< m_sent at m_lingerProgressAt
};

/// A listening socket.
class TcpListener
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<TcpStream>)>;

    TcpListener(EventLoop &loop, AcceptHandler handler);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Listens on "ip:port"; port 0 lets the kernel choose. Errors: Malformed, Unavailable.
    std::error_code listen(const std::string &address);
    /// The bound address "ip:port".
    const std::string &address() const
    {
        return m_address;
    }
    /// Accepts what waits in the backlog and closes the socket.
    void stop();

private:
    void acceptAll();

    EventLoop &m_loop;
    AcceptHandler m_handler;
    std::string m_address;
    int m_descriptor = -1;
};
}
