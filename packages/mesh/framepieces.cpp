#include "framepieces.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t maxMediumBytes = 1U << 20U;
// Sum of the frames of one class in transfer, without the largest of them.
constexpr std::size_t maxFurtherBytes = 8U << 20U;

/// Frames of one sequence arrive in the order in which they were sent.
enum class Sequence { None, Reports, LeaderReplies, ConsensusRequests, ConsensusResponses, Status };

Sequence sequenceOf(FrameType type)
{
    switch (type) {
    case FrameType::Sync:
    case FrameType::TokenRequest:
        return Sequence::Reports;
    case FrameType::SyncReply:
    case FrameType::TokenGrant:
        return Sequence::LeaderReplies;
    case FrameType::ConsensusRequest:
        return Sequence::ConsensusRequests;
    case FrameType::ConsensusResponse:
        return Sequence::ConsensusResponses;
    case FrameType::Status:
        return Sequence::Status;
    case FrameType::Call:
    case FrameType::Reply:
    case FrameType::Cancel:
    case FrameType::Ping:
    case FrameType::Pong:
        return Sequence::None;
    }
    return Sequence::None;
}

bool mustFollow(FrameType later, FrameType earlier)
{
    // A cancellation that arrives before its call would have no effect.
    if (later == FrameType::Cancel) {
        return earlier == FrameType::Call;
    }
    const Sequence sequence = sequenceOf(later);
    return sequence != Sequence::None && sequence == sequenceOf(earlier);
}
}

std::size_t TransferBudget::classOf(std::size_t bytes)
{
    return bytes <= maxMediumBytes ? 0 : 1;
}

bool TransferBudget::fits(std::size_t bytes) const
{
    const Class &current = m_classes.at(classOf(bytes));
    const std::size_t largest = std::max(bytes, current.sizes.empty() ? 0 : current.sizes.rbegin()->first);
    return current.sum + bytes - largest <= maxFurtherBytes;
}

void TransferBudget::add(std::size_t bytes)
{
    Class &current = m_classes.at(classOf(bytes));
    ++current.sizes[bytes];
    current.sum += bytes;
}

void TransferBudget::remove(std::size_t bytes)
{
    Class &current = m_classes.at(classOf(bytes));
    const auto found = current.sizes.find(bytes);
    if (found != current.sizes.end()) {
        current.sum -= bytes;
        if (--found->second == 0) {
            current.sizes.erase(found);
        }
    }
}

bool FrameSplitter::isBlocked(FrameType type) const
{
    const auto isEarlier = [type](const Frame &frame) {
        return mustFollow(type, frame.type);
    };
    return std::any_of(m_started.begin(), m_started.end(), isEarlier) || std::any_of(m_waiting.begin(), m_waiting.end(), isEarlier);
}

bool FrameSplitter::mustQueue(FrameType type, std::size_t payloadBytes) const
{
    return payloadBytes > framePieceBytes || (!isEmpty() && isBlocked(type));
}

void FrameSplitter::add(FrameType type, std::string_view payload)
{
    m_waiting.push_back({.type = type, .id = ++m_lastId, .payload = std::string(payload)});
    m_unsent += payload.size();
    m_heldBytes += payload.size();
    startWaiting();
}

// A frame that does not fit holds up later ones of its size class, so that it starts eventually.
void FrameSplitter::startWaiting()
{
    std::deque<Frame> rest;
    std::array<bool, 2> isClassFull{};
    for (Frame &frame : std::exchange(m_waiting, {})) {
        const std::size_t bytes = frame.payload.size();
        bool &isFull = isClassFull.at(TransferBudget::classOf(bytes));
        const auto isEarlier = [&frame](const Frame &other) {
            return mustFollow(frame.type, other.type);
        };
        isFull = isFull || !m_budget.fits(bytes);
        if (isFull || std::any_of(m_started.begin(), m_started.end(), isEarlier) || std::any_of(rest.begin(), rest.end(), isEarlier)) {
            rest.push_back(std::move(frame));
        } else {
            m_budget.add(bytes);
            m_started.push_back(std::move(frame));
        }
    }
    m_waiting = std::move(rest);
}

FrameSplitter::Piece FrameSplitter::next()
{
    Frame frame = std::move(m_started.front());
    m_started.pop_front();
    const std::size_t frameBytes = frame.payload.size();
    Piece piece{.type = frame.type,
                .isWhole = frameBytes <= framePieceBytes,
                .frameId = frame.id,
                .remaining = frameBytes - frame.offset,
                .frameBytes = frameBytes};
    const std::size_t bytes = std::min(piece.remaining, framePieceBytes);
    const std::size_t offset = frame.offset;
    piece.isLast = bytes == piece.remaining;
    frame.offset += bytes;
    m_unsent -= bytes;
    if (piece.isLast) {
        m_lastPayload = std::move(frame.payload);
        m_heldBytes -= frameBytes;
        m_budget.remove(frameBytes);
        piece.content = std::string_view(m_lastPayload).substr(offset, bytes);
        startWaiting();
    } else {
        m_started.push_back(std::move(frame));
        piece.content = std::string_view(m_started.back().payload).substr(offset, bytes);
    }
    return piece;
}

void FrameSplitter::clear()
{
    m_budget = {};
    m_started.clear();
    m_waiting.clear();
    releasePiece();
    m_unsent = 0;
    m_heldBytes = 0;
}

bool FrameAssembler::add(FrameType type, std::uint32_t frameId, std::size_t remaining, std::string_view content, std::optional<std::string> &payload)
{
    if (content.empty() || content.size() > framePieceBytes || content.size() > remaining) {
        return false;
    }
    auto found = m_frames.find(frameId);
    if (found == m_frames.end()) {
        if (remaining > maxFrameBytes || !m_budget.fits(remaining)) {
            return false;
        }
        m_budget.add(remaining);
        found = m_frames.emplace(frameId, Frame{.type = type, .totalBytes = remaining}).first;
        found->second.payload.reserve(remaining);
    }
    Frame &frame = found->second;
    if (frame.type != type || frame.totalBytes - frame.payload.size() != remaining) {
        return false;
    }
    frame.payload.append(content);
    m_heldBytes += content.size();
    if (content.size() == remaining) {
        m_heldBytes -= frame.totalBytes;
        m_budget.remove(frame.totalBytes);
        payload = std::move(frame.payload);
        m_frames.erase(found);
    }
    return true;
}

void FrameAssembler::clear()
{
    m_budget = {};
    m_frames.clear();
    m_heldBytes = 0;
}
}
