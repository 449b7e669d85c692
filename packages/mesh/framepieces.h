#pragma once

#include "messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Yuccagrade::Mesh
{
/// Larger payloads are sent in pieces of this size: 32 KiB take 2.6 ms on a link of 100 Mbit/s.
constexpr std::size_t framePieceBytes = 32'768;
/// Above the size of the largest call with body and header.
constexpr std::size_t maxFrameBytes = 80U << 20U;

/// Limits the sizes of the frames of a link that are in transfer at the same time, and so the memory of the receiver. Both
/// ends apply the same limits. Frames up to 1 MiB and larger ones are limited separately, so that neither wait for the other.
class TransferBudget
{
public:
    /// True if a frame of @p bytes may start.
    bool fits(std::size_t bytes) const;
    void add(std::size_t bytes);
    void remove(std::size_t bytes);
    /// Returns the index of the size class of a frame.
    static std::size_t classOf(std::size_t bytes);

private:
    struct Class {
        std::map<std::size_t, int> sizes; ///< number of frames by size
        std::size_t sum = 0;
    };

    std::array<Class, 2> m_classes;
};

/// Outgoing frames of a link that are too large to be sent at once. Load that it handles: responses of many MB on links that
/// also carry short calls. The frames are sent in turns, one piece each. Frames that must keep their order are queued behind
/// an earlier large frame of their kind.
class FrameSplitter
{
public:
    /// A piece of a frame, or a whole small frame that was queued to keep the order.
    struct Piece {
        FrameType type = FrameType::Call;
        bool isWhole = false;
        bool isLast = false;
        std::uint32_t frameId = 0;
        std::size_t remaining = 0; ///< bytes of the frame from this piece on
        std::size_t frameBytes = 0;
        std::string_view content; ///< valid until the next call of a function that is not const
    };

    /// True if a frame has to be queued here and cannot be sent at once.
    bool mustQueue(FrameType type, std::size_t payloadBytes) const;
    void add(FrameType type, std::string_view payload);
    bool isEmpty() const
    {
        return m_started.empty() && m_waiting.empty();
    }
    /// Returns the next piece; isEmpty() must be false.
    Piece next();
    /// Returns the number of bytes that were not returned by next() yet.
    std::size_t unsent() const
    {
        return m_unsent;
    }
    /// Releases the memory of the last piece, whose content is then no longer valid.
    void releasePiece()
    {
        std::string().swap(m_lastPayload); // an assignment keeps the memory
    }
    /// Returns the memory held for the queued frames.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    void clear();

private:
    struct Frame {
        FrameType type = FrameType::Call;
        std::uint32_t id = 0;
        std::size_t offset = 0;
        std::string payload;
    };
    bool isBlocked(FrameType type) const;
    void startWaiting();

    TransferBudget m_budget; ///< of m_started
    std::deque<Frame> m_started; ///< the next piece is taken from the first one
    std::deque<Frame> m_waiting; ///< in the order of arrival
    std::string m_lastPayload; ///< of the frame that next() completed
    std::uint32_t m_lastId = 0;
    std::size_t m_unsent = 0;
    std::size_t m_heldBytes = 0;
};

/// Joins the pieces that are received on a link.
class FrameAssembler
{
public:
    /// Adds a piece. Sets @p payload to the whole payload after the last one. Returns false if the piece is malformed or the
    /// peer exceeds the budget.
    bool add(FrameType type, std::uint32_t frameId, std::size_t remaining, std::string_view content, std::optional<std::string> &payload);
    /// Returns the number of bytes received of incomplete frames.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    void clear();

private:
    struct Frame {
        FrameType type = FrameType::Call;
        std::size_t totalBytes = 0;
        std::string payload;
    };

    TransferBudget m_budget;
    std::map<std::uint32_t, Frame> m_frames;
    std::size_t m_heldBytes = 0;
};
}
