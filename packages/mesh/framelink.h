#pragma once

#include "base/deflatestream.h"
#include "framepieces.h"
#include "messages.h"
#include "net/tcp.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// A connection between two processes of the mesh that carries frames: 4 bytes length (network byte order), 1 byte type,
/// payload. The high bit of the type marks a compressed payload, the next one a piece of a large frame: 4 bytes number of the
/// frame, 4 bytes number of its bytes from this piece on, content. Short frames are sent between the pieces of large ones.
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    static std::shared_ptr<FrameLink> open(std::shared_ptr<TcpStream> stream, const Clock &clock);

    /// Called for each complete frame, except for pings and pongs, which the link handles itself.
    std::function<void(FrameType, std::string_view)> onFrame;
    /// Called when the connection ended or a malformed frame was received; the link is closed then.
    std::function<void()> onClosed;

    /// Called with the type and the size of each frame sent, in bytes.
    std::function<void(FrameType, std::size_t)> onSent;

    void send(FrameType type, std::string_view payload);
    /// True if sent frames are compressed, which is so between failure domains and between control hosts.
    bool isCompressing() const
    {
        return m_compressor != nullptr;
    }
    /// Compresses small frames from now on; the peer does the same after it receives the first compressed frame.
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
    /// True if the connection was ever established.
    bool wasConnected() const
    {
        return m_wasConnected;
    }
    /// Returns the number of bytes queued for sending.
    std::size_t unsent() const
    {
        return (m_stream ? m_stream->unsent() : 0) + m_splitter.unsent();
    }
    /// True once a whole frame was read.
    bool hasReceivedFrame() const
    {
        return m_hasReceivedFrame;
    }
    /// Returns the memory held for frames that are being read or sent.
    std::size_t heldBytes() const
    {
        return m_input.size() + (m_stream ? m_stream->unsent() : 0) + m_splitter.heldBytes() + m_assembler.heldBytes();
    }
    /// Sends a ping if a peer that owes an answer has sent nothing for some time, and closes the link if nothing follows.
    void checkLiveness(bool answerExpected);
    /// True while a ping is unanswered.
    bool hasUnansweredPing() const
    {
        return m_pingedAt > 0;
    }

    /// Closes the link as if the connection had ended.
    void fail();

private:
    FrameLink(std::shared_ptr<TcpStream> stream, const Clock &clock);
    void start();
    void connected();
    void sendWhole(FrameType type, std::string_view payload);
    void sendPieces();
    void writeFrame(unsigned char kind, std::string_view prefix, std::string_view content);
    void read(std::string_view data);
    bool readPiece(FrameType type, std::string_view payload);
    void sizeInput();
    bool readFrame(unsigned char kind, std::string_view payload);

    std::shared_ptr<TcpStream> m_stream;
    const Clock &m_clock;
    std::unique_ptr<StreamCompressor> m_compressor;
    std::unique_ptr<StreamDecompressor> m_decompressor;
    std::string m_input;
    FrameSplitter m_splitter;
    FrameAssembler m_assembler;
    TimeMs m_lastReceivedAt;
    std::uint64_t m_sentAtCheck = 0; ///< bytes sent at the last liveness check
    TimeMs m_pingedAt = 0;
    bool m_wasConnected = false;
    bool m_hasReceivedFrame = false;
};

/// Returns the memory held for all @p links.
std::size_t heldByLinks(const std::vector<std::shared_ptr<FrameLink>> &links);
/// Closes the oldest of the accepted @p links, oldest first, that has sent no frame yet. Returns false if there is none.
bool closeSilentLink(const std::vector<std::shared_ptr<FrameLink>> &links);
/// Closes the link that holds most. Returns false if none holds anything.
bool closeLargestLink(const std::vector<std::shared_ptr<FrameLink>> &links);

/// Outgoing links by address, opened on first use and reopened in the background after a failure.
class LinkPool
{
public:
    using FrameHandler = std::function<void(const std::string &address, FrameType, std::string_view)>;
    /// @param connected false if the connection was never established, so that none of the sent frames arrived.
    using ClosedHandler = std::function<void(const std::string &address, bool connected)>;

    LinkPool(EventLoop &loop, std::string sourceIp);
    ~LinkPool();
    LinkPool(const LinkPool &) = delete;
    LinkPool &operator=(const LinkPool &) = delete;

    FrameHandler onFrame;
    /// Called when a link ended; frames that were sent on an established link may have arrived.
    ClosedHandler onClosed;
    /// Called with the type and the size of each frame sent, in bytes, and whether its link compresses.
    std::function<void(FrameType, std::size_t, bool compressed)> onSent;
    /// Returns whether an answer is expected from the process at an address.
    std::function<bool(const std::string &address)> isBusy;
    /// Returns whether frames to an address are to be compressed. If unset, all links compress.
    std::function<bool(const std::string &address)> isCompressed;

    /// Returns the link to @p address, which may still be connecting; null if it cannot be opened or failed recently.
    FrameLink *link(const std::string &address);
    std::vector<std::shared_ptr<FrameLink>> links() const;
    /// True if the link to the address failed and was not established again since, or has an unanswered ping.
    bool isFailing(const std::string &address) const;

private:
    /// State of an address whose link failed; reconnection is attempted in the background.
    struct Failure {
        TimeMs retryAt = 0;
        TimeMs retryDelayMs = 0;
        TimeMs lastRequestedAt = 0; ///< last request for a link
    };
    void check();
    void reopen();
    FrameLink *open(const std::string &address);
    void drop(const std::string &address, const FrameLink *link);

    EventLoop &m_loop;
    TimerId m_timer;
    TimeMs m_checkedAt = 0;
    std::string m_sourceIp;
    std::map<std::string, std::shared_ptr<FrameLink>, std::less<>> m_links;
    std::map<std::string, Failure, std::less<>> m_failures;
};
}
