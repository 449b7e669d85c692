#include "memoryguard.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs checkPeriodMs = 50;
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
}

MemoryGuard::~MemoryGuard()
{
    m_loop.cancel(m_timer);
}

void MemoryGuard::add(MemoryUse use)
{
    m_uses.push_back(std::move(use));
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
        if (sum <= m_limitBytes) {
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
