#include "upstreamqueue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Added to the latest start of a new request for each step of lower priority.
constexpr double priorityStepMs = 20;
constexpr int maxPriorityStep = 10;
// Fraction of the latency goal that a new request may wait. It is below an eighth, the latest time for a refusal.
constexpr double rootWaitShare = 0.08;
// Fraction of its remaining time that a nested call may wait. It is higher, since refusing the call would waste the work
// already done for its admitted request.
constexpr double nestedWaitShare = 0.35;
constexpr double minWaitMs = 10; // also for new requests that were already offered to another upstream
}

void setTimeBounds(OfferedCall &call, double nowMs)
{
    const CallMessage &message = call.message;
    double wait = message.nested ? message.timeLeftMs * nestedWaitShare : std::min(message.latencyGoalMs, message.timeLeftMs) * rootWaitShare;
    if (message.offeredBefore && !message.nested) {
        wait = 0;
    }
    call.arrivedMs = nowMs;
    call.deadlineMs = nowMs + message.timeLeftMs;
    call.startByMs = nowMs + std::max(wait, minWaitMs);
}

void UpstreamQueue::add(OfferedCall call)
{
    const int step = call.message.nested ? 0 : std::clamp(call.message.priority, 0, maxPriorityStep);
    const double sortKey = call.startByMs + step * priorityStepMs;
    m_calls.emplace(sortKey, std::move(call));
}

OfferedCall UpstreamQueue::takeNext()
{
    OfferedCall call = std::move(m_calls.begin()->second);
    m_calls.erase(m_calls.begin());
    return call;
}

std::vector<OfferedCall> UpstreamQueue::takeExpired(double nowMs)
{
    std::vector<OfferedCall> expired;
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        if (entry->second.startByMs <= nowMs) {
            expired.push_back(std::move(entry->second));
            entry = m_calls.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

std::vector<OfferedCall> UpstreamQueue::takeAll()
{
    std::vector<OfferedCall> all;
    for (auto &[sortKey, call] : std::exchange(m_calls, {})) {
        all.push_back(std::move(call));
    }
    return all;
}

std::size_t UpstreamQueue::bodyBytes() const
{
    return std::accumulate(m_calls.begin(), m_calls.end(), std::size_t(0), [](std::size_t sum, const auto &entry) {
        return sum + entry.second.message.body.size();
    });
}

bool UpstreamQueue::remove(std::uint64_t senderId, std::uint64_t callId)
{
    for (auto entry = m_calls.begin(); entry != m_calls.end(); ++entry) {
        if (entry->second.senderId == senderId && entry->second.message.callId == callId) {
            m_calls.erase(entry);
            return true;
        }
    }
    return false;
}
}
