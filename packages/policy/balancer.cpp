#include "balancer.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// A report says nothing about the load a second later; its weight falls to zero over this time.
constexpr double reportAgeMs = 1'000;
constexpr TimeMs suspectMs = 1'000;
// A view may be older than the upstream's own word. After this time it shows the drain (two sync periods are 1 s).
constexpr TimeMs drainingMs = 5'000;
// Above this load of the own domain, the extra hop to another domain (1 ms) costs less than the queue here.
constexpr double fullShare = 0.9;

int limitOf(int limit)
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
        found->second.drainingUntil = now + drainingMs;
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
    return (score(*from[second], now) < score(*from[first], now) ? from[second] : from[first])->view.id;
}

// Suspect upstreams are used only if there is no other one.
Balancer::Candidates Balancer::candidates(TimeMs now, const std::vector<std::string> &exclude) const
{
    Candidates sound;
    Candidates suspect;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.view.draining || now < upstream.drainingUntil || std::find(exclude.begin(), exclude.end(), id) != exclude.end()) {
            continue;
        }
        (now < upstream.suspectUntil ? suspect : sound).push_back(&upstream);
    }
    return sound.empty() ? suspect : sound;
}

bool Balancer::isOwnDomainFull(const Candidates &own, TimeMs now) const
{
    double calls = 0;
    double limit = 0;
    for (const Upstream *upstream : own) {
        // The report counts the calls of this node too; they must not count twice here.
        calls += std::max(reportedCalls(*upstream, now), static_cast<double>(upstream->inFlight));
        limit += limitOf(upstream->load.limit);
    }
    return own.empty() || calls > fullShare * limit;
}

double Balancer::reportedCalls(const Upstream &upstream, TimeMs now)
{
    const double age = static_cast<double>(now - upstream.reportedAt);
    return (upstream.load.queued + upstream.load.inFlight) * std::clamp(1 - age / reportAgeMs, 0.0, 1.0);
}

double Balancer::score(const Upstream &upstream, TimeMs now)
{
    return (upstream.inFlight + reportedCalls(upstream, now)) / limitOf(upstream.load.limit);
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
    if (found == m_upstreams.end() || (found->second.reported && load.stamp < found->second.load.stamp)) {
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
        found->second.suspectUntil = now + suspectMs;
    }
}
}
