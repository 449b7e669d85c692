#include "fairqueue.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// As in CoDel: the queue of a team is standing if its oldest request has waited longer than the target for a whole
// interval. Both are well below the longest wait (50 ms), so the order changes before requests expire.
constexpr double standingTargetMs = 5;
constexpr double standingIntervalMs = 20;
// A weight near zero would make the round robin turn many times for one request.
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
    Class &queue = m_classes[static_cast<std::size_t>(request.priority)];
    if (request.depth > 0) {
        queue.nested[request.depth].push_back(std::move(request));
    } else {
        const auto [team, added] = queue.teams.try_emplace(request.team);
        if (added) {
            queue.turns.push_back(request.team);
        }
        team->second.requests.push_back(std::move(request));
    }
    ++queue.size;
    return size() > m_options.maxLength ? std::optional(evict()) : std::nullopt;
}

std::optional<QueuedRequest> FairQueue::pop(double nowMs)
{
    for (Class &queue : m_classes) {
        std::optional<QueuedRequest> request = popNested(queue, nowMs);
        if (!request) {
            request = popTeam(queue, nowMs);
        }
        if (request) {
            --queue.size;
            return request;
        }
    }
    return std::nullopt;
}

bool FairQueue::isLive(const QueuedRequest &request, double nowMs) const
{
    return nowMs < request.deadlineMs && nowMs - request.queuedMs <= m_options.queueMs;
}

std::optional<QueuedRequest> FairQueue::popNested(Class &queue, double nowMs) const
{
    for (auto &[depth, requests] : queue.nested) {
        const auto live = std::find_if(requests.begin(), requests.end(), [&](const QueuedRequest &request) {
            return isLive(request, nowMs);
        });
        if (live != requests.end()) {
            QueuedRequest request = std::move(*live);
            requests.erase(live);
            return request;
        }
    }
    return std::nullopt;
}

// Deficit round robin with a cost of 1 per request and the weight as quantum.
std::optional<QueuedRequest> FairQueue::popTeam(Class &queue, double nowMs)
{
    std::size_t idle = 0; // teams in a row that have only expired requests
    while (idle < queue.turns.size()) {
        const std::string name = queue.turns.front();
        Team &team = queue.teams[name];
        if (team.deficit < 1) {
            team.deficit += weight(name);
        }
        std::optional<QueuedRequest> request;
        if (team.deficit >= 1) {
            request = takeFrom(team, nowMs);
            idle = request ? 0 : idle + 1;
            team.deficit = request ? team.deficit - 1 : 0;
        }
        if (team.requests.empty()) {
            queue.teams.erase(name);
            queue.turns.pop_front();
        } else if (team.deficit < 1) {
            queue.turns.pop_front();
            queue.turns.push_back(name);
        }
        if (request) {
            return request;
        }
    }
    return std::nullopt;
}

bool FairQueue::takesNewest(Team &team, double nowMs)
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

std::optional<QueuedRequest> FairQueue::takeFrom(Team &team, double nowMs)
{
    const auto live = [&](const QueuedRequest &request) {
        return isLive(request, nowMs);
    };
    Requests &requests = team.requests;
    auto found = requests.end();
    if (takesNewest(team, nowMs)) {
        const auto newest = std::find_if(requests.rbegin(), requests.rend(), live);
        found = newest == requests.rend() ? requests.end() : std::prev(newest.base());
    } else {
        found = std::find_if(requests.begin(), requests.end(), live);
    }
    if (found == requests.end()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(*found);
    requests.erase(found);
    return request;
}

// In the lowest class, the team with the most requests for its weight loses its oldest one. Nested calls go last,
// because the work done for their roots would be lost with them.
QueuedRequest FairQueue::evict()
{
    const auto lowest = std::find_if(m_classes.rbegin(), m_classes.rend(), [](const Class &queue) {
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
        requests = &std::prev(lowest->nested.end())->second; // the least deep
    }
    QueuedRequest request = std::move(requests->front());
    requests->pop_front();
    dropEmptyTeams(*lowest);
    return request;
}

std::vector<QueuedRequest> FairQueue::expire(double nowMs)
{
    return removeIf([this, nowMs](const QueuedRequest &request) {
        return !isLive(request, nowMs);
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
    for (Class &queue : m_classes) {
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
    const auto gone = std::stable_partition(requests.begin(), requests.end(), [&filter](const QueuedRequest &request) {
        return !filter(request);
    });
    std::move(gone, requests.end(), std::back_inserter(out));
    requests.erase(gone, requests.end());
}

void FairQueue::dropEmptyTeams(Class &queue)
{
    std::erase_if(queue.turns, [&queue](const std::string &name) {
        return queue.teams[name].requests.empty();
    });
    std::erase_if(queue.teams, [](const auto &entry) {
        return entry.second.requests.empty();
    });
}

std::size_t FairQueue::size() const
{
    std::size_t sum = 0;
    for (const Class &queue : m_classes) {
        sum += queue.size;
    }
    return sum;
}
}
