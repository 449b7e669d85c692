#pragma once

#include "mesh/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Receives the outcome of an offered call.
using ReplyHandler = std::function<void(ReplyMessage)>;

/// A call at the node of its upstream, with its time bounds.
struct OfferedCall {
    CallMessage message;
    ReplyHandler reply;
    double arrivedMs = 0;
    double deadlineMs = 0; ///< the caller accepts no response after it
    double startByMs = 0; ///< latest start; the call is refused after it
    std::uint64_t senderId = 0; ///< call ids are unique only within one sender
};

/// Calls that wait for a slot of an upstream, ordered by latest start: a new request with a short latency goal precedes a
/// nested call with enough time. Lower priorities add a bounded time to the latest start, which prevents starvation.
class UpstreamQueue
{
public:
    void add(OfferedCall call);
    bool empty() const
    {
        return m_calls.empty();
    }
    std::size_t size() const
    {
        return m_calls.size();
    }
    /// Returns the memory of the bodies of all queued calls.
    std::size_t bodyBytes() const;
    /// Removes and returns the next call.
    OfferedCall takeNext();
    /// Removes and returns the calls whose latest start is not after @p nowMs.
    std::vector<OfferedCall> takeExpired(double nowMs);
    std::vector<OfferedCall> takeAll();
    /// Removes a call; returns false if it is not queued.
    bool remove(std::uint64_t senderId, std::uint64_t callId);

private:
    std::multimap<double, OfferedCall> m_calls; ///< by latest start, shifted by priority
};

/// Sets the deadline and the latest start of a call that arrived at @p nowMs.
void setTimeBounds(OfferedCall &call, double nowMs);
}
