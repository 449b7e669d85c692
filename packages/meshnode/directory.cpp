#include "directory.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Age up to which a load report is used; after it the load is estimated from the calls of this node.
constexpr double loadValidMs = 2'000;
// Decay of the share of declined calls in a report, so that an upstream that is avoided for it is tried again.
constexpr double declinedDecayMs = 4'000;
// Shares of the calls that leave the domain at which this is reported as begun and ended.
constexpr double leavingBeginsAt = 0.2;
constexpr double leavingEndsAt = 0.02;
constexpr double avoidMs = 300;
constexpr int maxAvoidSteps = 4;
constexpr int assumedLimit = 8; // for upstreams that state no slots
constexpr double assumedServiceMs = 100; // of calls of an unknown kind
constexpr double msPerSecond = 1'000;
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

void Directory::setColdRates(std::map<std::string, double> ratePerS)
{
    m_coldRates = std::move(ratePerS);
}

void Directory::setEvacuatedDomains(const std::vector<std::string> &domains)
{
    m_evacuatedDomains = {domains.begin(), domains.end()};
}

ChoiceCandidate Directory::candidate(const Upstream &upstream, std::uint32_t kind, double nowMs) const
{
    ChoiceCandidate result;
    const double age = nowMs - upstream.loadAtMs;
    if (age < loadValidMs && upstream.load.limit > 0) {
        result.slots = upstream.load.limit;
        result.busy = upstream.load.busy;
        // Without those that have ended since.
        result.ownCalls = std::min(upstream.sentSinceLoad, upstream.outstanding);
        result.reportAgeMs = age;
        result.workTimeFactor = upstream.load.workTimeFactor;
    } else {
        result.slots = std::max(upstream.entry.slots, assumedLimit);
        result.ownCalls = upstream.outstanding;
    }
    if (const auto time = upstream.serviceTimes.find(kind); time != upstream.serviceTimes.end()) {
        result.serviceMs = time->second.ms;
        result.serviceAgeMs = nowMs - time->second.atMs;
    }
    const auto coldRate = m_coldRates.find(upstream.entry.service);
    if (upstream.entry.warmUpLeftMs > 0 && coldRate != m_coldRates.end()) {
        // Its node refuses calls beyond the rate, however many slots are free.
        result.slots = std::clamp(coldRate->second * (result.serviceMs > 0 ? result.serviceMs : assumedServiceMs) / msPerSecond, 1.0, result.slots);
    }
    const double declined = upstream.load.declinedShare > 0 ? upstream.load.declinedShare * std::exp(-age / declinedDecayMs) : 0;
    result.servedShare = (1 - declined) * (1 - upstream.failedShare.value(nowMs));
    result.isCold = upstream.entry.warmUpLeftMs > 0;
    result.isOwnDomain = upstream.entry.domain == m_domain;
    return result;
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
    const UpstreamEntry *fallback = nullptr;
    m_candidates.clear();
    m_candidateEntries.clear();
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
        m_candidates.push_back(candidate(upstream, kind, nowMs));
        m_candidateEntries.push_back(&upstream.entry);
    }
    if (m_candidates.empty()) {
        m_choiceReason = ChoiceReason::LastResort;
        return fallback;
    }
    auto leaving = m_leaving.find(service);
    if (leaving == m_leaving.end()) {
        leaving = m_leaving.emplace(std::string(service), UpstreamChoice::Leaving()).first;
    }
    const UpstreamChoice::Result result = m_choice.choose(m_candidates, latencyGoalMs, maxServiceMs, leaving->second, nowMs, m_random);
    m_choiceReason = result.reason;
    reportLeaving(leaving->first, leaving->second);
    return m_candidateEntries[result.index];
}

void Directory::reportLeaving(const std::string &service, UpstreamChoice::Leaving &leaving) const
{
    const bool leaves = leaving.share > (leaving.isReported ? leavingEndsAt : leavingBeginsAt);
    if (leaves != leaving.isReported) {
        leaving.isReported = leaves;
        if (onCallsLeaveDomain) {
            onCallsLeaveDomain(service, leaves);
        }
    }
}

std::map<std::string, double> Directory::loadRatios(double nowMs) const
{
    struct Use {
        double busiest = 0;
        double sum = 0;
        double count = 0;
    };
    std::map<std::string, Use> services;
    for (const auto &[id, upstream] : m_upstreams) {
        if (nowMs - upstream.loadAtMs < loadValidMs && upstream.load.limit > 0) {
            const double share = static_cast<double>(upstream.load.busy) / upstream.load.limit;
            Use &use = services[upstream.entry.service];
            use.busiest = std::max(use.busiest, share);
            use.sum += share;
            use.count += 1;
        }
    }
    std::map<std::string, double> result;
    for (const auto &[service, use] : services) {
        result[service] = use.sum > 0 ? use.busiest * use.count / use.sum : 1;
    }
    return result;
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

void Directory::recordAnswer(const std::string &upstreamId, bool hasFailed, double nowMs)
{
    const auto found = m_upstreams.find(upstreamId);
    if (found != m_upstreams.end()) {
        found->second.failedShare.record(hasFailed, nowMs);
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
