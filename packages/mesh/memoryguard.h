#pragma once

#include "base/eventlog.h"
#include "base/metrics.h"
#include "net/eventloop.h"
#include "net/httpport.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Memory that a process holds for one kind of peer.
struct MemoryUse {
    std::string name;
    std::function<std::size_t()> heldBytes;
    /// Gives up the largest part. Returns false if nothing can be given up; null if the use only counts.
    std::function<bool()> releaseLargest;
};

/// Keeps the sum of all that a process holds for its peers below a limit. Bounds of single uses do not: a process whose
/// callers, upstreams and peers all misbehave at once would hold their sum.
class MemoryGuard
{
public:
    MemoryGuard(EventLoop &loop, EventLog &log, Metrics &metrics, std::size_t limitBytes);
    ~MemoryGuard();
    MemoryGuard(const MemoryGuard &) = delete;
    MemoryGuard &operator=(const MemoryGuard &) = delete;

    void add(MemoryUse use);
    /// Adds the requests and the unread responses of a port, which gets to know whether there is memory for a request.
    void addPort(HttpPort &port, const std::string &requestsName, const std::string &responsesName);
    /// Returns whether a request of this size, which is read already, fits in the limit.
    bool hasRoomFor(std::size_t bytes);
    /// Gives up the largest parts of the largest uses until their sum is below the limit. Runs by itself, periodically and each
    /// time a part of the limit was received.
    void check();
    /// Writes the gauges of all uses, in bytes.
    void updateMetrics();

private:
    std::size_t heldBytes() const;
    void releaseToSystem(std::size_t heldNow);

    EventLoop &m_loop;
    EventLog &m_log;
    Metrics &m_metrics;
    std::size_t m_limitBytes;
    std::vector<MemoryUse> m_uses;
    std::size_t m_heldAtCheck = 0;
    std::size_t m_acceptedSinceCheck = 0; ///< by hasRoomFor()
    std::size_t m_peakSinceTrim = 0;
    TimeMs m_trimmedAt = 0;
    TimerId m_timer;
};
}
