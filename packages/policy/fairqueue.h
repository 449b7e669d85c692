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
/// A request that waits for a slot of the upstream.
struct QueuedRequest {
    std::uint64_t id = 0;
    Priority priority = Priority::Normal;
    int depth = 0; ///< 0 for a root request, otherwise the depth of the nested call
    std::string team;
    double deadlineMs = 0; ///< monotonic time
    double queuedMs = 0; ///< set by the queue
};

struct QueueOptions {
    double queueMs = 50; ///< longest wait
    std::size_t maxLength = 1000;
};

/// Queue of one upstream: priority classes; in a class nested calls first, deeper first; then teams by deficit round
/// robin. A team with a standing queue is served newest first.
class FairQueue
{
public:
    explicit FairQueue(const QueueOptions &options = {});

    /// Changes the longest wait; it also applies to requests that wait already.
    void setQueueMs(double queueMs)
    {
        m_options.queueMs = queueMs;
    }
    /// Sets the share of a team; 1 if never set.
    void setWeight(const std::string &team, double weight);
    /// Queues the request. Returns the request that has to go if the queue is full; that may be the new one.
    std::optional<QueuedRequest> push(QueuedRequest request, double nowMs);
    /// Returns the next request that is within its bounds. Requests that are not are left to expire().
    std::optional<QueuedRequest> pop(double nowMs);
    /// Removes and returns all requests that are past their deadline or the longest wait.
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
        double deficit = 0;
        double standingSince = -1; ///< since when the oldest request has waited longer than the target; -1 if it has not
    };
    struct Class {
        std::map<int, Requests, std::greater<>> nested; ///< by depth
        std::map<std::string, Team> teams; ///< only teams with requests
        std::deque<std::string> turns; ///< round robin order of the teams
        std::size_t size = 0;
    };

    double weight(const std::string &team) const;
    bool isLive(const QueuedRequest &request, double nowMs) const;
    std::optional<QueuedRequest> popNested(Class &queue, double nowMs) const;
    std::optional<QueuedRequest> popTeam(Class &queue, double nowMs);
    static bool takesNewest(Team &team, double nowMs);
    std::optional<QueuedRequest> takeFrom(Team &team, double nowMs);
    QueuedRequest evict();
    std::vector<QueuedRequest> removeIf(const Filter &filter);
    static void removeFrom(Requests &requests, const Filter &filter, std::vector<QueuedRequest> &out);
    static void dropEmptyTeams(Class &queue);

    QueueOptions m_options;
    std::map<std::string, double> m_weights;
    std::array<Class, priorityCount> m_classes;
};
}
