#include "directory.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Yuccagrade::Mesh
{
namespace
{
// Added to the score of an upstream in another domain. Traffic between domains is expensive, so a call is sent to another
// domain only if its own has no free slot or its upstreams are slow in relation to the latency goal.
constexpr double otherDomainPenalty = 0.6;
// Added to the score of an upstream without a free slot.
constexpr double fullPenalty = 0.6;
// A cold upstream runs at about half its normal speed.
constexpr double coldFactor = 2;
// Age up to which a load report is used; after it the load is estimated from the calls of this node.
constexpr double loadValidMs = 2'000;
// Upper bound of the ratio of service time to latency goal in the score.
constexpr double maxTimeShare = 2;
constexpr double serviceTimeDecayMs = 4'000;
// Added for an upstream whose service time exceeds the caller's maximum. Larger than the sum of the penalties for another
// domain and for no free slot.
constexpr double tooSlowPenalty = 1.5;
// Random part of the score, so that nodes with the same reports do not all choose the same upstream.
constexpr double scoreJitter = 0.05;
constexpr double avoidMs = 300;
constexpr int maxAvoidSteps = 4;
constexpr int assumedLimit = 8; // for upstreams that state no slots
}

Directory::Directory(std::string domain, Random random)
    : m_domain(std::move(domain))
    , m_random(random)
{
}

void Directory::replace(const std::vector<UpstreamEntry> &entries)
{
    std::map<std::string, Upstream, std::less<>> next;
    for (const UpstreamEntry &entry : entries) {
        const auto known = m_upstreams.find(entry.id);
        Upstream upstream = known == m_upstreams.end() ? Upstream() : known->second;
        upstream.entry = entry;
        upstream.isRemoved = false;
        next.emplace(entry.id, std::move(upstream));
    }
    // Upstreams with outstanding calls are kept as draining, so that recordDone() can update their counts.
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.outstanding > 0 && !next.contains(id)) {
            upstream.entry.state = UpstreamState::Draining;
            upstream.isRemoved = true;
            next.emplace(id, std::move(upstream));
        }
    }
    m_upstreams = std::move(next);
    m_removed.clear();
}

void Directory::change(const std::vector<UpstreamEntry> &entries, const std::vector<std::string> &removed)
{
    for (const UpstreamEntry &entry : entries) {
        m_removed.erase(entry.id);
        Upstream &upstream = m_upstreams[entry.id];
        upstream.entry = entry;
        upstream.isRemoved = false;
    }
    for (const std::string &id : removed) {
        m_removed.insert(id);
        remove(id);
    }
}

// An upstream with outstanding calls is kept as draining, so that recordDone() can update its counts.
void Directory::remove(const std::string &upstreamId)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found == m_upstreams.end()) {
        return;
    }
    if (found->second.outstanding > 0) {
        found->second.entry.state = UpstreamState::Draining;
        found->second.isRemoved = true;
    } else {
        m_upstreams.erase(found);
    }
}

void Directory::update(const std::vector<UpstreamEntry> &entries)
{
    for (const UpstreamEntry &entry : entries) {
        if (!m_removed.contains(entry.id)) {
            m_upstreams[entry.id].entry = entry;
        }
    }
}

bool Directory::isInOwnDomain(const std::string &peerAddress) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
        return item.second.entry.peerAddress == peerAddress && item.second.entry.domain == m_domain;
    });
}

void Directory::setEvacuatedDomains(const std::vector<std::string> &domains)
{
    m_evacuatedDomains = {domains.begin(), domains.end()};
}

double Directory::score(const Upstream &upstream, double nowMs)
{
    const bool fresh = nowMs - upstream.loadAtMs < loadValidMs && upstream.load.limit > 0;
    const double limit = fresh ? upstream.load.limit : std::max(upstream.entry.slots, assumedLimit);
    const double busy = fresh ? upstream.load.busy + upstream.sentSinceLoad : upstream.outstanding;
    double result = (busy + 1) / limit;
    if (busy >= limit) {
        result += fullPenalty;
    }
    if (upstream.entry.warmUpLeftMs > 0) {
        result *= coldFactor;
    }
    if (upstream.entry.domain != m_domain) {
        result += otherDomainPenalty;
    }
    return result + m_random.fraction() * scoreJitter;
}

// The penalty decays with the age of the measurement, so that a slow upstream is tried again.
double Directory::serviceTimePenalty(const Upstream &upstream, std::uint32_t kind, double latencyGoalMs, double maxServiceMs, double nowMs)
{
    const auto time = upstream.serviceTimes.find(kind);
    if (time == upstream.serviceTimes.end() || latencyGoalMs <= 0) {
        return 0;
    }
    const double decay = std::exp(-(nowMs - time->second.atMs) / serviceTimeDecayMs);
    const double tooSlow = time->second.ms > maxServiceMs ? tooSlowPenalty : 0;
    return (std::min(time->second.ms / latencyGoalMs, maxTimeShare) + tooSlow) * decay;
}

const UpstreamEntry *Directory::choose(std::string_view service,
                                       std::uint32_t kind,
                                       double latencyGoalMs,
                                       double maxServiceMs,
                                       const std::set<std::string> &tried,
                                       const std::function<bool(const std::string &)> &reachable,
                                       double nowMs,
                                       const AllowedRegions &regions)
{
    const UpstreamEntry *best = nullptr;
    const UpstreamEntry *fallback = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.entry.service != service || upstream.entry.state == UpstreamState::Draining || tried.contains(id)
            || m_evacuatedDomains.contains(upstream.entry.domain) || !reachable(upstream.entry.peerAddress)
            || !regions.allowsDomain(upstream.entry.domain, m_regionOfDomain)) {
            continue;
        }
        if (upstream.entry.state == UpstreamState::Unreachable || nowMs < upstream.avoidUntilMs) {
            fallback = &upstream.entry;
            continue;
        }
        const double current = score(upstream, nowMs) + serviceTimePenalty(upstream, kind, latencyGoalMs, maxServiceMs, nowMs);
        if (current < bestScore) {
            bestScore = current;
            best = &upstream.entry;
        }
    }
    return best ? best : fallback;
}

void Directory::recordSent(const std::string &upstreamId)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        ++found->second.outstanding;
        ++found->second.sentSinceLoad;
    }
}

void Directory::recordDone(const std::string &upstreamId)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        found->second.outstanding = std::max(0, found->second.outstanding - 1);
        if (found->second.isRemoved && found->second.outstanding == 0) {
            m_upstreams.erase(found);
        }
    }
}

void Directory::recordServiceTime(const std::string &upstreamId, std::uint32_t kind, double serviceMs, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end() && serviceMs > 0) {
        found->second.serviceTimes[kind] = {serviceMs, nowMs};
    }
}

void Directory::recordTimeout(const std::string &upstreamId, std::uint32_t kind, double elapsedMs, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end() && elapsedMs > found->second.serviceTimes[kind].ms) {
        found->second.serviceTimes[kind] = {elapsedMs, nowMs};
    }
}

void Directory::recordLoad(const std::string &upstreamId, const LoadReport &load, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found == m_upstreams.end()) {
        return;
    }
    Upstream &upstream = found->second;
    upstream.load = load;
    upstream.loadAtMs = nowMs;
    // The report includes nearly all calls that were sent before it.
    upstream.sentSinceLoad = 0;
    upstream.failures = 0;
    upstream.avoidUntilMs = 0;
}

bool Directory::makesCalls(std::string_view service) const
{
    bool reported = false;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.entry.service == service && upstream.loadAtMs > 0) {
            reported = true;
            if (upstream.load.makesCalls) {
                return true;
            }
        }
    }
    return !reported;
}

void Directory::recordFailure(const std::string &upstreamId, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        found->second.failures = std::min(found->second.failures + 1, maxAvoidSteps);
        found->second.avoidUntilMs = nowMs + avoidMs * found->second.failures;
    }
}
}
