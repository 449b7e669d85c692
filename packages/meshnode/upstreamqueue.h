#pragma once

#include "mesh/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Called exactly once with the outcome of an offered call.
using ReplyHandler = std::function<void(ReplyMessage)>;

/// A call at the node beside its upstream.
struct OfferedCall {
    CallMessage message;
    ReplyHandler reply;
    double arrivedMs = 0;
    double deadlineMs = 0; ///< no caller waits for an answer after it
    double startByMs = 0; ///< refused if it could not start by then
    std::uint64_t senderId = 0; ///< tells the senders' call ids apart
};

/// Calls that wait for a slot of an upstream, in the order of their latest start: a new request with a tight goal goes
/// before a nested call that has time. Priorities shift the place by a bounded time, so that none starves.
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
    /// Removes and returns the next call.
    OfferedCall takeNext();
    /// Removes and returns the calls that have to be refused at @p nowMs.
    std::vector<OfferedCall> takeExpired(double nowMs);
    std::vector<OfferedCall> takeAll();
    /// Removes a call; returns false if it is not here.
    bool remove(std::uint64_t senderId, std::uint64_t callId);

private:
    std::multimap<double, OfferedCall> m_calls; ///< by latest start, shifted by priority
};

/// Sets the deadline and the latest start of a call that arrived at @p nowMs.
void setTimeBounds(OfferedCall &call, double nowMs);
}
