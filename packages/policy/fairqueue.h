#pragma once

#include "base/priority.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// A request that waits for a free slot of the upstream.
struct QueuedRequest {
    std::uint64_t id = 0;
    Priority priority = Priority::Normal;
    int depth = 0; ///< 0 for a root request, otherwise the nesting depth of the call
    std::string team;
    double deadlineMs = 0; ///< monotonic time
    double queuedMs = 0; ///< monotonic time of queueing, set by the queue
};

struct QueueOptions {
    double queueMs = 50; ///< longest wait of a request
    std::size_t maxLength = 1000;
};

/// Request queue of one upstream. Priority classes are served in strict order. Within a class, nested calls are served
/// before root requests, the deepest first; root requests are shared among the teams by weighted deficit round robin. The
/// requests of a team are served in FIFO order, and in LIFO order while the team has a standing queue.
class FairQueue
{
public:
    explicit FairQueue(const QueueOptions &options = {});

    /// Changes the longest wait, also for requests that are already queued.
    void setQueueMs(double queueMs)
    {
        m_options.queueMs = queueMs;
    }
    /// Sets the round robin weight of a team; the default is 1.
    void setWeight(const std::string &team, double weight);
    /// Queues the request. If the queue is full, removes and returns one request, which may be the new one.
    std::optional<QueuedRequest> push(QueuedRequest request, double nowMs);
    /// Removes and returns the next request that has not expired. Expired requests stay queued until expire().
    std::optional<QueuedRequest> pop(double nowMs);
    /// Removes and returns the expired requests: those past their deadline or the longest wait.
    std::vector<QueuedRequest> expire(double nowMs);
    /// Removes and returns all requests.
    std::vector<QueuedRequest> clear();
    /// Removes a request. Returns false if it is not queued.
    bool cancel(std::uint64_t id);
    std::size_t size() const;

private:
    using Requests = std::deque<QueuedRequest>;
    using Filter = std::function<bool(const QueuedRequest &)>;
    struct Team {
        Requests requests; ///< oldest first
        double deficit = 0; ///< requests that the team may still send in its turn
        double standingSince = -1; ///< time since which the oldest request exceeds the target wait; -1 if it does not
    };
    struct PriorityClass {
        std::map<int, Requests, std::greater<>> nested; ///< by depth, the deepest first
        std::map<std::string, Team> teams; ///< only teams with requests
        std::deque<std::string> roundRobin; ///< teams in round robin order
        std::size_t size = 0;
    };

    double weight(const std::string &team) const;
    bool isUnexpired(const QueuedRequest &request, double nowMs) const;
    std::optional<QueuedRequest> popNested(PriorityClass &queue, double nowMs) const;
    std::optional<QueuedRequest> popByRoundRobin(PriorityClass &queue, double nowMs);
    static bool servesNewestFirst(Team &team, double nowMs);
    std::optional<QueuedRequest> popFromTeam(Team &team, double nowMs);
    QueuedRequest evict();
    std::vector<QueuedRequest> removeIf(const Filter &filter);
    static void removeFrom(Requests &requests, const Filter &filter, std::vector<QueuedRequest> &out);
    static void dropEmptyTeams(PriorityClass &queue);

    QueueOptions m_options;
    std::map<std::string, double> m_weights;
    std::array<PriorityClass, priorityCount> m_classes;
};
}
