#pragma once

#include "base/random.h"
#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace Yuccagrade
{
/// Simulates an upstream with a fixed number of slots behind an Admission, with Poisson arrivals in virtual time.
struct UpstreamModel {
    struct Source {
        std::string team;
        Priority priority = Priority::Normal;
        double ratePerMs = 1;
        int depth = 0;
    };
    struct Count {
        int offered = 0;
        int started = 0;
        int refused = 0;
    };

    Random random;
    Admission admission;
    int slots = 40;
    double serviceMs = 2;
    double now = 0;
    std::vector<Source> sources;
    std::map<std::string, Count> counts; ///< by team
    std::map<std::uint64_t, QueuedRequest> waiting;
    std::multimap<double, double> running; ///< end -> start
    double longestWait = 0;
    std::size_t longestQueue = 0;
    bool criticalShedBeforeBulk = false;
    bool bulkStartedBeforeCritical = false;
    std::uint64_t nextId = 0;

    UpstreamModel(std::uint64_t seed, const QueueOptions &options = {})
        : random(seed)
        , admission(options)
    {
        admission.announce(slots, 1000);
    }

    double exponential(double ratePerMs)
    {
        return -std::log(1 - random.fraction()) / ratePerMs;
    }

    // Returns true if a request of this priority is queued and has not exceeded the longest wait.
    bool isWaiting(Priority priority) const
    {
        return std::any_of(waiting.begin(), waiting.end(), [&](const auto &entry) {
            return entry.second.priority == priority && now - entry.second.queuedMs <= 50;
        });
    }

    void apply(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            const auto request = waiting.extract(action.id).mapped();
            Count &count = counts[request.team];
            longestWait = std::max(longestWait, now - request.queuedMs);
            if (action.start) {
                ++count.started;
                bulkStartedBeforeCritical = bulkStartedBeforeCritical || (request.priority == Priority::Bulk && isWaiting(Priority::Critical));
                const double busy = std::max(1.0, static_cast<double>(running.size() + 1) / slots);
                running.emplace(now + serviceMs * busy * (0.8 + 0.4 * random.fraction()), now);
                continue;
            }
            ++count.refused;
            // A critical request that has reached the longest wait may be refused while bulk requests are queued.
            const bool beforeLongestWait = request.priority == Priority::Critical && now - request.queuedMs < 50;
            criticalShedBeforeBulk = criticalShedBeforeBulk || (beforeLongestWait && isWaiting(Priority::Bulk));
        }
    }

    void offer(const Source &source)
    {
        QueuedRequest request{++nextId, source.priority, source.depth, source.team, now + 1000, now};
        ++counts[source.team].offered;
        waiting.emplace(request.id, request);
        apply(admission.offer(request, now));
        longestQueue = std::max(longestQueue, admission.queued());
    }

    void run(double durationMs)
    {
        const double end = now + durationMs;
        std::multimap<double, const Source *> arrivals;
        for (const Source &source : sources) {
            arrivals.emplace(now + exponential(source.ratePerMs), &source);
        }
        double tick = now;
        while (now < end) {
            const double nextEnd = running.empty() ? 1e18 : running.begin()->first;
            const double nextArrival = arrivals.empty() ? 1e18 : arrivals.begin()->first;
            now = std::min({nextEnd, nextArrival, tick});
            if (now == tick) {
                apply(admission.tick(now));
                tick += 1;
            } else if (now == nextEnd) {
                const double start = running.extract(running.begin()).mapped();
                apply(admission.finished(CallResult::Ok, now - start, now));
            } else {
                const Source *source = arrivals.extract(arrivals.begin()).mapped();
                arrivals.emplace(now + exponential(source->ratePerMs), source);
                offer(*source);
            }
        }
    }
};
}
