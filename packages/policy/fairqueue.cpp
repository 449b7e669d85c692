#include "fairqueue.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// As in CoDel, a team has a standing queue if the wait of its oldest request exceeds the target for a whole interval.
// Both are well below the longest wait (50 ms), so that the order changes before requests expire.
constexpr double standingTargetMs = 5;
constexpr double standingIntervalMs = 20;
// Bounds the number of rounds that a team needs to collect the deficit for one request.
constexpr double minWeight = 0.01;
}

FairQueue::FairQueue(const QueueOptions &options)
    : m_options(options)
{
}

void FairQueue::setWeight(const std::string &team, double weight)
{
    m_weights[team] = std::max(weight, minWeight);
}

double FairQueue::weight(const std::string &team) const
{
    const auto found = m_weights.find(team);
    return found == m_weights.end() ? 1 : found->second;
}

std::optional<QueuedRequest> FairQueue::push(QueuedRequest request, double nowMs)
{
    request.queuedMs = nowMs;
    PriorityClass &queue = m_classes[static_cast<std::size_t>(request.priority)];
    if (request.depth > 0) {
        queue.nested[request.depth].push_back(std::move(request));
    } else {
        const auto [team, added] = queue.teams.try_emplace(request.team);
        if (added) {
            queue.roundRobin.push_back(request.team);
        }
        team->second.requests.push_back(std::move(request));
    }
    ++queue.size;
    return size() > m_options.maxLength ? std::optional(evict()) : std::nullopt;
}

std::optional<QueuedRequest> FairQueue::pop(double nowMs)
{
    for (PriorityClass &queue : m_classes) {
        std::optional<QueuedRequest> request = popNested(queue, nowMs);
        if (!request) {
            request = popByRoundRobin(queue, nowMs);
        }
        if (request) {
            --queue.size;
            return request;
        }
    }
    return std::nullopt;
}

bool FairQueue::isUnexpired(const QueuedRequest &request, double nowMs) const
{
    return nowMs < request.deadlineMs && nowMs - request.queuedMs <= m_options.queueMs;
}

std::optional<QueuedRequest> FairQueue::popNested(PriorityClass &queue, double nowMs) const
{
    for (auto &[depth, requests] : queue.nested) {
        const auto unexpired = std::find_if(requests.begin(), requests.end(), [&](const QueuedRequest &request) {
            return isUnexpired(request, nowMs);
        });
        if (unexpired != requests.end()) {
            QueuedRequest request = std::move(*unexpired);
            requests.erase(unexpired);
            return request;
        }
    }
    return std::nullopt;
}

// Deficit round robin with a cost of 1 per request and the weight as quantum.
std::optional<QueuedRequest> FairQueue::popByRoundRobin(PriorityClass &queue, double nowMs)
{
    std::size_t skippedTeams = 0; // successive teams without an unexpired request
    while (skippedTeams < queue.roundRobin.size()) {
        const std::string name = queue.roundRobin.front();
        Team &team = queue.teams[name];
        if (team.deficit < 1) {
            team.deficit += weight(name);
        }
        std::optional<QueuedRequest> request;
        if (team.deficit >= 1) {
            request = popFromTeam(team, nowMs);
            skippedTeams = request ? 0 : skippedTeams + 1;
            team.deficit = request ? team.deficit - 1 : 0;
        }
        if (team.requests.empty()) {
            queue.teams.erase(name);
            queue.roundRobin.pop_front();
        } else if (team.deficit < 1) {
            queue.roundRobin.pop_front();
            queue.roundRobin.push_back(name);
        }
        if (request) {
            return request;
        }
    }
    return std::nullopt;
}

bool FairQueue::servesNewestFirst(Team &team, double nowMs)
{
    if (nowMs - team.requests.front().queuedMs <= standingTargetMs) {
        team.standingSince = -1;
        return false;
    }
    if (team.standingSince < 0) {
        team.standingSince = nowMs;
    }
    return nowMs - team.standingSince >= standingIntervalMs;
}

std::optional<QueuedRequest> FairQueue::popFromTeam(Team &team, double nowMs)
{
    const auto unexpired = [&](const QueuedRequest &request) {
        return isUnexpired(request, nowMs);
    };
    Requests &requests = team.requests;
    auto found = requests.end();
    if (servesNewestFirst(team, nowMs)) {
        const auto newest = std::find_if(requests.rbegin(), requests.rend(), unexpired);
        found = newest == requests.rend() ? requests.end() : std::prev(newest.base());
    } else {
        found = std::find_if(requests.begin(), requests.end(), unexpired);
    }
    if (found == requests.end()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(*found);
    requests.erase(found);
    return request;
}

// Evicts from the lowest non-empty class, from the team with the most requests relative to its weight, the oldest request.
// Nested calls are evicted only if the class holds nothing else, because the work already done for their root requests
// would be lost with them.
QueuedRequest FairQueue::evict()
{
    const auto lowest = std::find_if(m_classes.rbegin(), m_classes.rend(), [](const PriorityClass &queue) {
        return queue.size > 0;
    });
    --lowest->size;
    const auto load = [this](const auto &entry) {
        return static_cast<double>(entry.second.requests.size()) / weight(entry.first);
    };
    const auto team = std::max_element(lowest->teams.begin(), lowest->teams.end(), [&](const auto &a, const auto &b) {
        return load(a) < load(b);
    });
    Requests *requests = nullptr;
    if (team != lowest->teams.end()) {
        requests = &team->second.requests;
    } else {
        std::erase_if(lowest->nested, [](const auto &entry) {
            return entry.second.empty();
        });
        requests = &std::prev(lowest->nested.end())->second; // the smallest depth
    }
    QueuedRequest request = std::move(requests->front());
    requests->pop_front();
    dropEmptyTeams(*lowest);
    return request;
}

std::vector<QueuedRequest> FairQueue::expire(double nowMs)
{
    return removeIf([this, nowMs](const QueuedRequest &request) {
        return !isUnexpired(request, nowMs);
    });
}

std::vector<QueuedRequest> FairQueue::clear()
{
    return removeIf([](const QueuedRequest &) {
        return true;
    });
}

bool FairQueue::cancel(std::uint64_t id)
{
    const auto removed = removeIf([id](const QueuedRequest &request) {
        return request.id == id;
    });
    return !removed.empty();
}

std::vector<QueuedRequest> FairQueue::removeIf(const Filter &filter)
{
    std::vector<QueuedRequest> removed;
    for (PriorityClass &queue : m_classes) {
        const std::size_t before = removed.size();
        for (auto &[depth, requests] : queue.nested) {
            removeFrom(requests, filter, removed);
        }
        std::erase_if(queue.nested, [](const auto &entry) {
            return entry.second.empty();
        });
        for (auto &[name, team] : queue.teams) {
            removeFrom(team.requests, filter, removed);
        }
        if (removed.size() > before) {
            dropEmptyTeams(queue);
        }
        queue.size -= removed.size() - before;
    }
    return removed;
}

void FairQueue::removeFrom(Requests &requests, const Filter &filter, std::vector<QueuedRequest> &out)
{
    const auto firstRemoved = std::stable_partition(requests.begin(), requests.end(), [&filter](const QueuedRequest &request) {
        return !filter(request);
    });
    std::move(firstRemoved, requests.end(), std::back_inserter(out));
    requests.erase(firstRemoved, requests.end());
}

void FairQueue::dropEmptyTeams(PriorityClass &queue)
{
    std::erase_if(queue.roundRobin, [&queue](const std::string &name) {
        return queue.teams[name].requests.empty();
    });
    std::erase_if(queue.teams, [](const auto &entry) {
        return entry.second.requests.empty();
    });
}

std::size_t FairQueue::size() const
{
    std::size_t sum = 0;
    for (const PriorityClass &queue : m_classes) {
        sum += queue.size;
    }
    return sum;
}
}
