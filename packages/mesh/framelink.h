#pragma once

#include "base/deflatestream.h"
#include "messages.h"
#include "net/tcp.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Yuccagrade::Mesh
{
/// A connection between two own processes that carries frames: 4 bytes length (network order), 1 byte kind, payload. A
/// set high bit of the kind marks a compressed payload.
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    static std::shared_ptr<FrameLink> open(std::shared_ptr<TcpStream> stream, const Clock &clock);

    /// A complete frame. Pings are answered by the link itself.
    std::function<void(FrameType, std::string_view)> onFrame;
    /// The connection ended or a frame was malformed; the link sends nothing more.
    std::function<void()> onClosed;

    void send(FrameType type, std::string_view payload);
    /// Compresses small frames from now on; the peer does the same once it gets the first one.
    void startCompressing();
    void close();
    bool isOpen() const
    {
        return m_stream && m_stream->isOpen();
    }
    bool isConnected() const
    {
        return isOpen() && m_stream->isConnected();
    }
    /// True if the link was established once.
    bool wasConnected() const
    {
        return m_wasConnected;
    }
    /// Bytes that wait to be sent.
    std::size_t unsent() const
    {
        return m_stream ? m_stream->unsent() : 0;
    }
    /// Closes the link if the peer, which is expected to answer, was silent for too long; sends a ping before.
    void checkSilence(bool answerExpected);
    /// True if a ping was not answered so far.
    bool isSuspect() const
    {
        return m_pingedAt > 0;
    }

private:
    FrameLink(std::shared_ptr<TcpStream> stream, const Clock &clock);
    void start();
    void connected();
    void read(std::string_view data);
    bool readFrame(unsigned char kind, std::string_view payload);
    void fail();

    std::shared_ptr<TcpStream> m_stream;
    const Clock &m_clock;
    std::unique_ptr<StreamCompressor> m_compressor;
    std::unique_ptr<StreamDecompressor> m_decompressor;
    std::string m_in;
    TimeMs m_heardAt;
    TimeMs m_pingedAt = 0;
    bool m_wasConnected = false;
};

/// Outgoing links by address, opened when they are first used.
class LinkPool
{
public:
    using FrameHandler = std::function<void(const std::string &address, FrameType, std::string_view)>;
    /// @param connected false if the link was never established, so that nothing that was sent on it arrived.
    using ClosedHandler = std::function<void(const std::string &address, bool connected)>;

    LinkPool(EventLoop &loop, std::string sourceIp);
    ~LinkPool();
    LinkPool(const LinkPool &) = delete;
    LinkPool &operator=(const LinkPool &) = delete;

    FrameHandler onFrame;
    /// A link ended; what was sent on it without an answer may have arrived.
    ClosedHandler onClosed;
    /// True if an answer is expected from the process at an address.
    std::function<bool(const std::string &address)> isBusy;
    /// True if frames to an address are to be compressed; without this hook all are.
    std::function<bool(const std::string &address)> isCompressed;

    /// Returns the link to @p address, which may still be connecting; null if it cannot be opened or failed recently.
    FrameLink *link(const std::string &address);
    /// True if the address failed and no link was established since, or if its process does not answer now.
    bool isFailing(const std::string &address) const;

private:
    /// An address that failed; new links to it are tried in the background.
    struct Failure {
        TimeMs retryAt = 0;
        TimeMs pauseMs = 0;
        TimeMs usedAt = 0; ///< last time that somebody wanted a link
    };
    void check();
    void reopen();
    FrameLink *open(const std::string &address);
    void drop(const std::string &address, const FrameLink *link);

    EventLoop &m_loop;
    TimerId m_timer;
    std::string m_sourceIp;
    std::map<std::string, std::shared_ptr<FrameLink>, std::less<>> m_links;
    std::map<std::string, Failure, std::less<>> m_failures;
};
}
