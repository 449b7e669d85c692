#pragma once

#include "base/eventlog.h"
#include "base/metrics.h"
#include "meshsettings.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Yuccagrade::Mesh
{
/// Connections that the ports of a process accept. Load: clients that open many connections and send slowly, stop halfway or
/// send nothing. The sum stays below the descriptors of the process; the rest is for its own connections and files.
struct PortLimits {
    std::size_t callers = 0; ///< callers at a node, operators at a control host
    std::size_t small = 0; ///< each port without large requests: readiness, announcements, metrics
    std::size_t peers = 0; ///< links of other processes
};

/// Returns the limits of a process that may open @p descriptors and hold @p heldBytes for its peers.
PortLimits portLimits(HostRole role, std::size_t descriptors, std::size_t heldBytes);

/// Largest body at the ports for announcements, readiness and metrics. An announcement is far smaller, and the others have none.
inline constexpr std::size_t maxSmallBodyBytes = 64U << 10U;

/// Raises the limit of open descriptors to what the system allows this process, and returns it.
std::size_t raiseDescriptorLimit();
/// Makes the allocator return released memory to the system, which counts it otherwise as used by this process.
void limitRetainedMemory();

/// Reports connections that were closed because a port had too many: each in a metric, and at most one event per second and port.
class ConnectionLimitReport
{
public:
    ConnectionLimitReport(const Clock &clock, EventLog &log, Metrics &metrics);
    void closed(const std::string &port, std::size_t limit);

private:
    struct Port {
        TimeMs reportedAt = 0; ///< 0 before the first event
        std::size_t closed = 0; ///< since then
    };

    const Clock &m_clock;
    EventLog &m_log;
    Metrics &m_metrics;
    std::map<std::string, Port> m_ports;
};
}
