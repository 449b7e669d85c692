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

/// Decision on a request: the caller starts it or refuses it as "not run".
struct AdmissionAction {
    bool start = false;
    RefusalReason reason = RefusalReason::None;
    std::uint64_t id = 0;
    double waitedMs = 0;
};
using AdmissionActions = std::vector<AdmissionAction>;

/// Admission control of one upstream: applies the concurrency limit and queues the requests above it. Before it starts a
/// request, the caller checks the key again; if the key is no longer valid, the caller refuses the request and reports the
/// call as cancelled.
class Admission
{
public:
    explicit Admission(const QueueOptions &options = {});

    /// Applies an announcement of the upstream.
    void announce(int slots, int connections);
    void setWeight(const std::string &team, double weight);
    void setQueueMs(double queueMs)
    {
        m_queue.setQueueMs(queueMs);
    }
    /// Adds a request. The returned actions may concern other requests too, as those of the functions below.
    AdmissionActions offer(QueuedRequest request, double nowMs);
    /// Records the end of a started call after @p latencyMs.
    AdmissionActions finished(CallResult result, double latencyMs, double nowMs);
    /// Refuses expired requests and starts queued ones. To be called about every 5 ms.
    AdmissionActions tick(double nowMs);
    /// Removes a queued request that its caller has cancelled. Returns false if it is not queued.
    bool cancel(std::uint64_t id);
    /// Starts draining: refuses all queued requests and all that are offered from now on. Running calls finish.
    AdmissionActions drain(double nowMs);
    /// Ends draining when the upstream announces itself as up again.
    void resume();

    int inFlight() const;
    int limit() const;
    std::size_t queued() const;
    bool isDraining() const;

private:
    AdmissionActions startQueued(double nowMs);

    ConcurrencyLimit m_limit;
    FairQueue m_queue;
    int m_inFlight = 0;
    bool m_draining = false;
};
}
