#include "directory.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Yuccagrade::Mesh
{
namespace
{
// Added to the score of an upstream in another domain: bytes between domains are dear, so a call leaves its domain only
// if no slot is free there or its upstreams are slow for the goal.
constexpr double otherDomainPenalty = 0.6;
// Added to the score of an upstream without a free slot.
constexpr double fullPenalty = 0.6;
// A cold upstream works at about half its speed.
constexpr double coldFactor = 2;
// A load report says nothing after this time; then only own calls count.
constexpr double loadValidMs = 2'000;
// A time that is this much above the goal counts no further.
constexpr double maxTimeShare = 2;
constexpr double timeFadeMs = 4'000;
// Added for an upstream that is too slow for the limit of a call, above the penalties for distance and load together.
constexpr double unusablePenalty = 1.5;
// Spread of the score, so that nodes with the same reports do not all choose the same upstream.
constexpr double scoreJitter = 0.05;
constexpr double avoidMs = 300;
constexpr int maxAvoidSteps = 4;
constexpr int assumedLimit = 8; // of an upstream that states no slots
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
        next.emplace(entry.id, std::move(upstream));
    }
    // Calls that still run keep their counts until they end.
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.outstanding > 0 && !next.contains(id)) {
            upstream.entry.state = UpstreamState::Draining;
            next.emplace(id, std::move(upstream));
        }
    }
    m_upstreams = std::move(next);
}

void Directory::update(const std::vector<UpstreamEntry> &entries)
{
    for (const UpstreamEntry &entry : entries) {
        m_upstreams[entry.id].entry = entry;
    }
}

bool Directory::isInOwnDomain(const std::string &peerAddress) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
        return item.second.entry.peerAddress == peerAddress && item.second.entry.domain == m_domain;
    });
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

// What was learned fades, so that a slow upstream is tried again.
double Directory::timePenalty(const Upstream &upstream, std::uint32_t kind, double latencyGoalMs, double usableMs, double nowMs)
{
    const auto time = upstream.serviceTimes.find(kind);
    if (time == upstream.serviceTimes.end() || latencyGoalMs <= 0) {
        return 0;
    }
    const double fade = std::exp(-(nowMs - time->second.atMs) / timeFadeMs);
    const double unusable = time->second.ms > usableMs ? unusablePenalty : 0;
    return (std::min(time->second.ms / latencyGoalMs, maxTimeShare) + unusable) * fade;
}

const UpstreamEntry *Directory::choose(std::string_view service,
                                       std::uint32_t kind,
                                       double latencyGoalMs,
                                       double usableMs,
                                       const std::set<std::string> &tried,
                                       const std::function<bool(const std::string &)> &reachable,
                                       double nowMs)
{
    const UpstreamEntry *best = nullptr;
    const UpstreamEntry *fallback = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.entry.service != service || upstream.entry.state == UpstreamState::Draining || tried.contains(id)
            || !reachable(upstream.entry.peerAddress)) {
            continue;
        }
        if (upstream.entry.state == UpstreamState::Unreachable || nowMs < upstream.avoidUntilMs) {
            fallback = &upstream.entry;
            continue;
        }
        const double current = score(upstream, nowMs) + timePenalty(upstream, kind, latencyGoalMs, usableMs, nowMs);
        if (current < bestScore) {
            bestScore = current;
            best = &upstream.entry;
        }
    }
    return best ? best : fallback;
}

void Directory::noteSent(const std::string &upstreamId)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        ++found->second.outstanding;
        ++found->second.sentSinceLoad;
    }
}

void Directory::noteDone(const std::string &upstreamId)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        found->second.outstanding = std::max(0, found->second.outstanding - 1);
    }
}

void Directory::noteServiceTime(const std::string &upstreamId, std::uint32_t kind, double serviceMs, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end() && serviceMs > 0) {
        found->second.serviceTimes[kind] = {serviceMs, nowMs};
    }
}

void Directory::noteTimeout(const std::string &upstreamId, std::uint32_t kind, double elapsedMs, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end() && elapsedMs > found->second.serviceTimes[kind].ms) {
        found->second.serviceTimes[kind] = {elapsedMs, nowMs};
    }
}

void Directory::noteLoad(const std::string &upstreamId, const LoadReport &load, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found == m_upstreams.end()) {
        return;
    }
    Upstream &upstream = found->second;
    upstream.load = load;
    upstream.loadAtMs = nowMs;
    // The report contains nearly all calls that were sent before it.
    upstream.sentSinceLoad = 0;
    upstream.failures = 0;
    upstream.avoidUntilMs = 0;
}

bool Directory::makesCalls(std::string_view service) const
{
    bool heard = false;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.entry.service == service && upstream.loadAtMs > 0) {
            heard = true;
            if (upstream.load.makesCalls) {
                return true;
            }
        }
    }
    return !heard;
}

void Directory::noteFailure(const std::string &upstreamId, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        found->second.failures = std::min(found->second.failures + 1, maxAvoidSteps);
        found->second.avoidUntilMs = nowMs + avoidMs * found->second.failures;
    }
}
}
