#pragma once

#include "concurrencylimit.h"
#include "fairqueue.h"

#include <vector>

namespace Yuccagrade
{
enum class RefusalReason {
    None,
    Shed, ///< the queue is full, or the wait was too long
    DeadlineExceeded,
    Draining,
};
inline constexpr std::array<std::string_view, 4> refusalReasonNames{"none", "shed", "deadline-exceeded", "draining"};

/// What the caller does with a request: start it, or refuse it as "not run".
struct AdmissionAction {
    bool start = false;
    RefusalReason reason = RefusalReason::None;
    std::uint64_t id = 0;
    double waitedMs = 0;
};
using AdmissionActions = std::vector<AdmissionAction>;

/// Concurrency limit and queue of one upstream. Before a start the caller checks the key again; if it is no longer
/// valid, it refuses the request and reports the call as cancelled.
class Admission
{
public:
    explicit Admission(const QueueOptions &options = {});

    /// Takes the announcement of the upstream over.
    void announce(int slots, int connections);
    void setWeight(const std::string &team, double weight);
    void setQueueMs(double queueMs)
    {
        m_queue.setQueueMs(queueMs);
    }
    AdmissionActions offer(QueuedRequest request, double nowMs);
    /// A started call has ended after @p latencyMs.
    AdmissionActions finished(CallResult result, double latencyMs, double nowMs);
    /// Call about every 5 ms.
    AdmissionActions tick(double nowMs);
    /// Drops a queued request whose caller has gone. Returns false if it is not queued.
    bool cancel(std::uint64_t id);
    /// From now on nothing starts: refuses what is queued and all that is offered. Running calls finish.
    AdmissionActions drain(double nowMs);
    /// Ends draining, when an upstream announces itself as up again.
    void resume();

    int inFlight() const;
    int limit() const;
    std::size_t queued() const;
    bool isDraining() const;

private:
    AdmissionActions pump(double nowMs);

    ConcurrencyLimit m_limit;
    FairQueue m_queue;
    int m_inFlight = 0;
    bool m_draining = false;
};
}
