#include "upstreamchoice.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
// Added to the score of an upstream in another domain. Traffic between domains is expensive, so a call is sent to another
// domain only if its own has no free slot or its upstreams are slow in relation to the latency goal.
constexpr double otherDomainPenalty = 0.6;
// Added to the score of an upstream without a free slot.
constexpr double fullPenalty = 0.6;
// The share of calls sent to another domain grows with its advantage and reaches 1 at this value. With a step instead, all
// nodes of a domain would switch at the same report.
constexpr double otherDomainRange = 0.2;
// Time over which the decisions to leave the domain are averaged, used with old reports: several times the greatest age.
constexpr double leavingAverageMs = 4'000;
// A cold upstream runs at about half its normal speed.
constexpr double coldFactor = 2;
// Upper bound of the ratio of service time to latency goal in the score.
constexpr double maxTimeShare = 2;
constexpr double serviceTimeDecayMs = 4'000;
// Added for an upstream whose service time exceeds the caller's maximum. Larger than the sum of the penalties for another
// domain and for no free slot.
constexpr double tooSlowPenalty = 1.5;
// Random part of the score, so that equal upstreams are chosen alternately.
constexpr double scoreJitter = 0.05;
// The work time of a host changes about every 600 ms; an older figure says little.
constexpr double workTimeValidMs = 600;
// The weight of a report decays within this part of the service time: after a service time the calls in it have ended, and before
// that other nodes have already reacted to the same report. With half a service time, 60 nodes overcorrected: 31% instead of 14%
// of the calls found their upstream full at three quarters of the load with reports up to 300 ms old (upstreamchoicetest).
constexpr double relaxShare = 0.35;
// Bounds and default of the service time in it.
constexpr double minRelaxMs = 50;
constexpr double maxRelaxMs = 1'000;
constexpr double defaultRelaxMs = 200;
// An upstream that serves this part of the mean share or more counts like the others: with half of the calls declined everywhere,
// the measured shares differ by chance by a tenth.
constexpr double servedTolerance = 0.8;
// Upstreams that are compared for a call. More are compared if the reports are new and slots are free: the fastest one is found more
// often, and its slots do not run out before the next report.
constexpr std::size_t usualSamples = 2;
constexpr std::size_t moreSamples = 6;
constexpr double moreSamplesUntilUse = 0.7;
constexpr double moreSamplesRange = 0.3;
constexpr double minSpare = 0.01; // slots; full upstreams differ by speed and score only
// Bounds of the speed relative to the mean: upstreams of a service differ by 0.5 to 1.7, times a work time factor of 2.5.
constexpr double minSpeed = 0.1;
constexpr double maxSpeed = 2;
// Smallest part of its usual share of calls that an unsuitable upstream gets, so that its recovery is noticed.
constexpr double minWeightFactor = 0.02;

double reportWeight(const ChoiceCandidate &candidate, double validMs)
{
    return std::exp(-candidate.reportAgeMs / validMs);
}

double workTimeFactor(const ChoiceCandidate &candidate)
{
    return candidate.workTimeFactor == 1 ? 1 : 1 + (candidate.workTimeFactor - 1) * reportWeight(candidate, workTimeValidMs);
}

// The weight decays with the age of the measurement, so that a slow upstream is tried again.
double serviceTimeWeight(const ChoiceCandidate &candidate)
{
    return candidate.serviceMs > 0 ? std::exp(-candidate.serviceAgeMs / serviceTimeDecayMs) : 0;
}

double loadScore(double busy, const ChoiceCandidate &candidate)
{
    return (busy + 1) / candidate.slots + (busy >= candidate.slots ? fullPenalty : 0);
}

double timeScore(const ChoiceCandidate &candidate, double latencyGoalMs, double maxServiceMs)
{
    if (latencyGoalMs <= 0 || candidate.serviceMs <= 0) {
        return 0;
    }
    const double expectedMs = candidate.serviceMs * workTimeFactor(candidate);
    const double tooSlow = candidate.serviceMs > maxServiceMs ? tooSlowPenalty : 0;
    return (std::min(expectedMs / latencyGoalMs, maxTimeShare) + tooSlow) * serviceTimeWeight(candidate);
}
}

/// The upstreams of the own domain, or those of all other domains.
struct UpstreamChoice::Group {
    bool isOwnDomain = true;
    std::size_t size = 0;
    bool hasFreeSlot = false; ///< according to the reports as received
    double bestScore = std::numeric_limits<double>::max(); ///< according to the reports as received
    // Sums for the means.
    double busy = 0;
    double reportedSlots = 0;
    double reports = 0;
    double reportAgeMs = 0;
    double served = 0;
    double serviceMs = 0;
    double timed = 0;

    void add(const ChoiceCandidate &candidate, double latencyGoalMs, double maxServiceMs)
    {
        ++size;
        const double known = candidate.busy + candidate.ownCalls;
        hasFreeSlot = hasFreeSlot || known < candidate.slots;
        const double load = loadScore(known, candidate) * (candidate.isCold ? coldFactor : 1);
        bestScore = std::min(bestScore, load + timeScore(candidate, latencyGoalMs, maxServiceMs));
        if (std::isfinite(candidate.reportAgeMs)) {
            busy += candidate.busy;
            reportedSlots += candidate.slots;
            reports += 1;
            reportAgeMs += candidate.reportAgeMs;
        }
        served += candidate.servedShare;
        if (candidate.serviceMs > 0) {
            serviceMs += candidate.serviceMs;
            timed += 1;
        }
    }
    double meanUse() const
    {
        return reportedSlots > 0 ? busy / reportedSlots : 0;
    }
    double meanServiceMs() const
    {
        return timed > 0 ? serviceMs / timed : 0;
    }
    double meanServed() const
    {
        return served / static_cast<double>(size);
    }
    double relaxMs() const
    {
        return timed > 0 ? std::clamp(meanServiceMs(), minRelaxMs, maxRelaxMs) : defaultRelaxMs;
    }
    /// Returns the number of upstreams that are compared.
    std::size_t samples(Random &random) const
    {
        const double isNew = reports > 0 ? std::exp(-reportAgeMs / reports / (relaxShare * relaxMs())) : 0;
        const double isIdle = std::clamp((moreSamplesUntilUse - meanUse()) / moreSamplesRange, 0.0, 1.0);
        return random.fraction() < isNew * isIdle ? moreSamples : usualSamples;
    }
    /// Returns 1 if the calls in the reports are probably still running, less if they are older.
    double trust() const
    {
        return reports > 0 ? std::exp(-std::max(0.0, reportAgeMs / reports - relaxMs()) / relaxMs()) : 1;
    }
};

void UpstreamChoice::rate(const std::vector<ChoiceCandidate> &candidates, const Group &group, double latencyGoalMs, double maxServiceMs, Random &random)
{
    m_rated.clear();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const ChoiceCandidate &candidate = candidates[i];
        if (candidate.isOwnDomain != group.isOwnDomain) {
            continue;
        }
        const double trust = reportWeight(candidate, relaxShare * group.relaxMs());
        const double mean = std::min(group.meanUse(), 1.0) * candidate.slots;
        const double busy = mean + (candidate.busy - mean) * trust + candidate.ownCalls;
        // Rounded, since the estimate approaches the slots but does not reach them.
        const bool full = std::round(busy) >= candidate.slots;
        const double timeWeight = serviceTimeWeight(candidate);
        const double usualSpeed = timeWeight > 0 ? 1 + (group.meanServiceMs() / candidate.serviceMs - 1) * timeWeight : 1;
        const double speed = std::clamp(usualSpeed / workTimeFactor(candidate), minSpeed, maxSpeed) / (candidate.isCold ? coldFactor : 1);
        // Squared, so that an upstream that declines or fails more than the others gets clearly fewer calls.
        const double served = group.meanServed() > 0 ? std::min(1.0, candidate.servedShare / (group.meanServed() * servedTolerance)) : 1;
        const double tooSlow = candidate.serviceMs > maxServiceMs ? timeWeight : 0;
        const double suited = std::max(minWeightFactor, served * served * (1 - tooSlow));
        const double spare = std::max(candidate.slots - busy, 0.0);
        // The square of the speed: in proportion to the speed alone, the slow upstreams got so many calls that the median latency of a
        // fleet with speeds of 0.7 to 1.7 nearly doubled. Higher powers overload the fast ones before new reports arrive.
        const double weight = std::max(spare, minSpare) * speed * speed * suited;
        // An unequal share of declined calls counts in the score like a utilization, because such an upstream looks idle.
        const double score = loadScore(busy, candidate) + timeScore(candidate, latencyGoalMs, maxServiceMs) + (1 - served) + random.fraction() * scoreJitter;
        m_rated.push_back({i, weight, score, full});
    }
    // A queue is worse than a slow upstream: full ones are used only if there are no others.
    if (std::any_of(m_rated.begin(), m_rated.end(), [](const Rated &rated) {
            return !rated.isFull;
        })) {
        std::erase_if(m_rated, [](const Rated &rated) {
            return rated.isFull;
        });
    }
}

// Returns the best of the upstreams that are drawn by weight, without the same one twice.
std::size_t UpstreamChoice::pick(std::size_t samples, Random &random)
{
    double total = 0;
    for (const Rated &rated : m_rated) {
        total += rated.weight;
    }
    const Rated *best = nullptr;
    for (std::size_t i = 0; i < std::min(samples, m_rated.size()); ++i) {
        double left = random.fraction() * total;
        Rated *drawn = nullptr;
        for (Rated &rated : m_rated) {
            if (rated.weight > 0) {
                drawn = &rated;
                left -= rated.weight;
                if (left < 0) {
                    break;
                }
            }
        }
        total -= drawn->weight;
        drawn->weight = 0;
        if (!best || drawn->score < best->score) {
            best = drawn;
        }
    }
    return best->index;
}

UpstreamChoice::Result UpstreamChoice::choose(const std::vector<ChoiceCandidate> &candidates,
                                              double latencyGoalMs,
                                              double maxServiceMs,
                                              Leaving &leaving,
                                              double nowMs,
                                              Random &random)
{
    Group own;
    Group others;
    others.isOwnDomain = false;
    for (const ChoiceCandidate &candidate : candidates) {
        (candidate.isOwnDomain ? own : others).add(candidate, latencyGoalMs, maxServiceMs);
    }
    bool leaves = own.size == 0;
    if (own.size > 0 && others.size > 0) {
        // Taken from the reports as received: the estimates approach the mean of the domain and would let calls leave earlier.
        const double advantage = own.bestScore - others.bestScore - otherDomainPenalty;
        double share = std::clamp(advantage / otherDomainRange, 0.0, 1.0);
        if (own.hasFreeSlot != others.hasFreeSlot) {
            share = others.hasFreeSlot ? 1 : 0;
        }
        leaving.share += (share - leaving.share) * (1 - std::exp(-(nowMs - leaving.atMs) / leavingAverageMs));
        leaving.atMs = nowMs;
        // All nodes of the domain know the same old reports. If all followed them, the calls would move to and fro between domains.
        leaves = random.fraction() < leaving.share + (share - leaving.share) * own.trust();
    }
    const Group &group = leaves ? others : own;
    rate(candidates, group, latencyGoalMs, maxServiceMs, random);
    return {pick(group.samples(random), random), leaves ? ChoiceReason::OtherDomain : ChoiceReason::OwnDomain};
}
}
