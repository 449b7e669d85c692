#pragma once

#include "base/random.h"
#include "policy/admission.h"

#include <cmath>
#include <map>
#include <set>

namespace Yuccagrade
{
/// An upstream with a number of slots behind an Admission, driven by Poisson arrivals in virtual time.
struct UpstreamModel {
    struct Source {
        std::string team;
        Priority priority = Priority::Normal;
        double perMs = 1;
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
    std::uint64_t nextId = 0;

    UpstreamModel(std::uint64_t seed, const QueueOptions &options = {})
        : random(seed)
        , admission(options)
    {
        admission.announce(slots, 1000);
    }

    double exponential(double perMs)
    {
        return -std::log(1 - random.fraction()) / perMs;
    }

    void apply(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            const auto request = waiting.extract(action.id).mapped();
            Count &count = counts[request.team];
            longestWait = std::max(longestWait, now - request.queuedMs);
            if (action.start) {
                ++count.started;
                const double busy = std::max(1.0, static_cast<double>(running.size() + 1) / slots);
                running.emplace(now + serviceMs * busy * (0.8 + 0.4 * random.fraction()), now);
                continue;
            }
            ++count.refused;
            for (const auto &[id, other] : waiting) {
                const bool bulk = request.priority == Priority::Critical && other.priority == Priority::Bulk;
                criticalShedBeforeBulk = criticalShedBeforeBulk || (bulk && now - request.queuedMs < 50);
            }
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
            arrivals.emplace(now + exponential(source.perMs), &source);
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
                arrivals.emplace(now + exponential(source->perMs), source);
                offer(*source);
            }
        }
    }
};
}
