#include "balancer.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// The weight of a load report falls linearly to zero over this time, after which it says nothing about the current load.
constexpr double maxReportAgeMs = 1'000;
constexpr TimeMs suspectDurationMs = 1'000;
// The list of upstreams may be older than the drain notice. After this time it includes the drain (two sync periods are 1 s).
constexpr TimeMs drainNoticeMs = 5'000;
// Utilization of the own domain above which the hop to another domain (1 ms) costs less than waiting in the queue.
constexpr double fullUtilization = 0.9;

int nonZeroLimit(int limit)
{
    return std::max(limit, 1);
}
}

Balancer::Balancer(std::string ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

void Balancer::setUpstreams(const std::vector<UpstreamView> &upstreams)
{
    std::map<std::string, Upstream> next;
    for (const UpstreamView &view : upstreams) {
        Upstream upstream;
        const auto known = m_upstreams.find(view.id);
        if (known != m_upstreams.end() && known->second.view.incarnation == view.incarnation) {
            upstream = known->second;
        }
        upstream.view = view;
        if (!upstream.reported) {
            upstream.load.limit = view.limit;
        }
        next.emplace(view.id, std::move(upstream));
    }
    m_upstreams = std::move(next);
}

void Balancer::setDraining(const std::string &id, TimeMs now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.drainingUntil = now + drainNoticeMs;
    }
}

std::optional<std::string> Balancer::pick(TimeMs now, Random &random, const std::vector<std::string> &exclude) const
{
    const Candidates all = candidates(now, exclude);
    Candidates own;
    std::copy_if(all.begin(), all.end(), std::back_inserter(own), [this](const Upstream *upstream) {
        return upstream->view.domain == m_ownDomain;
    });
    const Candidates &from = isOwnDomainFull(own, now) ? all : own;
    if (from.empty()) {
        return std::nullopt;
    }
    if (from.size() == 1) {
        return from.front()->view.id;
    }
    const std::size_t first = random.below(from.size());
    const std::size_t second = (first + 1 + random.below(from.size() - 1)) % from.size();
    return (loadScore(*from[second], now) < loadScore(*from[first], now) ? from[second] : from[first])->view.id;
}

// Upstreams with a recent connection failure are candidates only if there is no other one.
Balancer::Candidates Balancer::candidates(TimeMs now, const std::vector<std::string> &exclude) const
{
    Candidates healthy;
    Candidates suspect;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.view.draining || now < upstream.drainingUntil || std::find(exclude.begin(), exclude.end(), id) != exclude.end()) {
            continue;
        }
        (now < upstream.suspectUntil ? suspect : healthy).push_back(&upstream);
    }
    return healthy.empty() ? suspect : healthy;
}

bool Balancer::isOwnDomainFull(const Candidates &own, TimeMs now) const
{
    double calls = 0;
    double limit = 0;
    for (const Upstream *upstream : own) {
        // The report includes the calls of this node, which must not be counted twice.
        calls += std::max(reportedCalls(*upstream, now), static_cast<double>(upstream->inFlight));
        limit += nonZeroLimit(upstream->load.limit);
    }
    return own.empty() || calls > fullUtilization * limit;
}

double Balancer::reportedCalls(const Upstream &upstream, TimeMs now)
{
    const double age = static_cast<double>(now - upstream.reportedAt);
    return (upstream.load.queued + upstream.load.inFlight) * std::clamp(1 - age / maxReportAgeMs, 0.0, 1.0);
}

double Balancer::loadScore(const Upstream &upstream, TimeMs now)
{
    return (upstream.inFlight + reportedCalls(upstream, now)) / nonZeroLimit(upstream.load.limit);
}

void Balancer::started(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        ++found->second.inFlight;
    }
}

void Balancer::finished(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.inFlight = std::max(0, found->second.inFlight - 1);
    }
}

void Balancer::report(const std::string &id, const LoadReport &load, TimeMs now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || (found->second.reported && load.timestampMs < found->second.load.timestampMs)) {
        return;
    }
    found->second.load = load;
    found->second.reportedAt = now;
    found->second.reported = true;
}

void Balancer::connectFailed(const std::string &id, TimeMs now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.suspectUntil = now + suspectDurationMs;
    }
}
}
