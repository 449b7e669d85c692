#include "portlimits.h"

#include <algorithm>
#include <sys/resource.h>
#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace Yuccagrade::Mesh
{
namespace
{
// A connection may hold this much although it sends little: a header of the default size and its own state.
constexpr std::size_t bytesPerConnection = 16U << 10U;
constexpr std::size_t minCallers = 64;
constexpr std::size_t minSmall = 8;
constexpr std::size_t maxSmall = 256;
// The kernel keeps a table of all possible descriptors below the highest one in use.
constexpr rlim_t maxDescriptors = 65'536;
constexpr TimeMs reportPeriodMs = 1'000;
// Larger blocks are mapped one by one and returned as soon as they are released. A fixed value keeps glibc from raising it.
constexpr int mappedBlockBytes = 128 << 10;
constexpr int maxFreeTopBytes = 256 << 10;
constexpr int maxArenas = 2;
}

PortLimits portLimits(HostRole role, std::size_t descriptors, std::size_t heldBytes)
{
    const std::size_t byMemory = std::max(heldBytes / bytesPerConnection, minCallers);
    PortLimits limits;
    limits.small = std::clamp(descriptors / 32, minSmall, maxSmall);
    if (role == HostRole::Control) {
        // All nodes report to the leader.
        limits.callers = std::min(descriptors / 8, byMemory);
        limits.peers = descriptors / 2;
    } else {
        limits.callers = std::min(descriptors / 8 * 3, byMemory);
        limits.peers = descriptors / 4;
    }
    return limits;
}

std::size_t raiseDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 1'024;
    }
    const rlim_t wanted = std::min(limit.rlim_max, maxDescriptors);
    if (limit.rlim_cur < wanted) {
        const rlimit raised{wanted, limit.rlim_max};
        limit.rlim_cur = ::setrlimit(RLIMIT_NOFILE, &raised) == 0 ? wanted : limit.rlim_cur;
    }
    return static_cast<std::size_t>(std::min(limit.rlim_cur, maxDescriptors));
}

void limitRetainedMemory()
{
#if defined(__GLIBC__)
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, maxFreeTopBytes);
    ::mallopt(M_ARENA_MAX, maxArenas);
#endif
}

ConnectionLimitReport::ConnectionLimitReport(const Clock &clock, EventLog &log, Metrics &metrics)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

void ConnectionLimitReport::closed(const std::string &port, std::size_t limit)
{
    m_metrics.count("connections_closed_total", "port=\"" + port + '"');
    Port &state = m_ports[port];
    ++state.closed;
    const TimeMs now = m_clock.now();
    if (state.reportedAt > 0 && now - state.reportedAt < reportPeriodMs) {
        return;
    }
    m_log.write(Event::ConnectionLimitReached, {{"port", port}, {"limit", std::to_string(limit)}, {"closed", std::to_string(state.closed)}});
    state.reportedAt = now;
    state.closed = 0;
}
}
