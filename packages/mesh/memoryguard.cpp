#include "memoryguard.h"

#include <algorithm>
#include <utility>
#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs checkPeriodMs = 50;
// A check runs each time this part of the limit was received. The memory of a header of short fields is up to 16 times its size.
constexpr std::size_t checksPerLimit = 64;
// Released memory is returned to the system once this part of the limit was released.
constexpr std::size_t trimsPerLimit = 8;
constexpr TimeMs trimPeriodMs = 250;
}

MemoryGuard::MemoryGuard(EventLoop &loop, EventLog &log, Metrics &metrics, std::size_t limitBytes)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_limitBytes(limitBytes)
    , m_timer(loop.every(checkPeriodMs, [this] {
        check();
    }))
{
    loop.onReceived(std::max<std::size_t>(limitBytes / checksPerLimit, 1), [this] {
        check();
    });
}

MemoryGuard::~MemoryGuard()
{
    m_loop.cancel(m_timer);
    m_loop.onReceived(0, nullptr);
}

void MemoryGuard::add(MemoryUse use)
{
    m_uses.push_back(std::move(use));
}

void MemoryGuard::addPort(HttpPort &port, const std::string &requestsName, const std::string &responsesName)
{
    add({requestsName,
         [&port] {
             return port.heldRequestBytes();
         },
         [&port] {
             return port.refuseLargestRequest();
         }});
    add({responsesName,
         [&port] {
             return port.unreadResponseBytes();
         },
         [&port] {
             return port.closeLargestUnread();
         }});
    port.hasMemoryFor = [this](std::size_t bytes) {
        return hasRoomFor(bytes);
    };
}

std::size_t MemoryGuard::heldBytes() const
{
    std::size_t sum = 0;
    for (const MemoryUse &use : m_uses) {
        sum += use.heldBytes();
    }
    return sum;
}

bool MemoryGuard::hasRoomFor(std::size_t bytes)
{
    // The sum of the last check may include parts of the request, so only a sum below the limit decides.
    if (m_heldAtCheck + m_acceptedSinceCheck + bytes > m_limitBytes && heldBytes() > m_limitBytes) {
        m_metrics.count("requests_refused_for_memory_total");
        return false;
    }
    m_acceptedSinceCheck += bytes;
    return true;
}

// The allocator keeps small blocks, such as those of header fields, and the system counts them as used.
void MemoryGuard::releaseToSystem(std::size_t heldNow)
{
    m_peakSinceTrim = std::max(m_peakSinceTrim, heldNow);
    const TimeMs now = m_loop.clock().now();
    if (m_peakSinceTrim - heldNow < m_limitBytes / trimsPerLimit || now - m_trimmedAt < trimPeriodMs) {
        return;
    }
    m_peakSinceTrim = heldNow;
    m_trimmedAt = now;
#if defined(__GLIBC__)
    ::malloc_trim(0);
#endif
}

void MemoryGuard::check()
{
    bool released = true;
    while (released) {
        std::size_t sum = 0;
        std::vector<std::pair<std::size_t, const MemoryUse *>> bySize;
        for (const MemoryUse &use : m_uses) {
            bySize.emplace_back(use.heldBytes(), &use);
            sum += bySize.back().first;
        }
        m_heldAtCheck = sum;
        m_acceptedSinceCheck = 0;
        m_peakSinceTrim = std::max(m_peakSinceTrim, sum);
        if (sum <= m_limitBytes) {
            releaseToSystem(sum);
            return;
        }
        std::sort(bySize.begin(), bySize.end(), [](const auto &a, const auto &b) {
            return a.first > b.first;
        });
        const auto use = std::find_if(bySize.begin(), bySize.end(), [](const auto &entry) {
            return entry.first > 0 && entry.second->releaseLargest && entry.second->releaseLargest();
        });
        released = use != bySize.end();
        if (released) {
            m_metrics.count("memory_released_total", "use=\"" + use->second->name + '"');
            m_log.write(Event::MemoryLimitReached,
                        {{"use", use->second->name},
                         {"held_bytes", std::to_string(use->first)},
                         {"held_bytes_in_all", std::to_string(sum)},
                         {"limit_bytes", std::to_string(m_limitBytes)}});
        }
    }
}

void MemoryGuard::updateMetrics()
{
    for (const MemoryUse &use : m_uses) {
        m_metrics.gauge("held_bytes", static_cast<double>(use.heldBytes()), "use=\"" + use.name + '"');
    }
}
}
