#pragma once

#include "base/random.h"
#include "mesh/allowedregions.h"
#include "mesh/messages.h"
#include "upstreamchoice.h"
#include "upstreamfigures.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The upstreams of all hosts, with the state, load and service times known to this node, and the load balancing among
/// them.
class Directory
{
public:
    Directory(std::string domain, Random random);

    /// Called when a considerable share of the calls for a service begins to leave the own domain because of the load there, and
    /// when it ends.
    std::function<void(const std::string &service, bool begins)> onCallsLeaveDomain;

    void setRegions(RegionOfDomain regionOfDomain)
    {
        m_regionOfDomain = std::move(regionOfDomain);
    }
    const RegionOfDomain &regionOfDomain() const
    {
        return m_regionOfDomain;
    }
    /// Replaces the list. Measurements of upstreams that remain in it are kept.
    void replace(const std::vector<UpstreamEntry> &entries);
    /// Applies changes of the leader's directory: adds or updates some upstreams and removes others.
    void change(const std::vector<UpstreamEntry> &entries, const std::vector<std::string> &removed);
    /// Adds or updates upstreams as reported by their own node. Ignores upstreams that the leader has removed since: the
    /// report may have been on its way.
    void update(const std::vector<UpstreamEntry> &entries);
    /// Returns the upstream of @p service for a call, or null if there is none. Excludes upstreams in @p tried and those
    /// whose node is not @p reachable or whose domain is in no region of @p regions. UpstreamChoice decides among the others;
    /// those that cannot be reached or failed recently are the last resort.
    const UpstreamEntry *choose(std::string_view service,
                                std::uint32_t kind,
                                double latencyGoalMs,
                                double maxServiceMs,
                                const std::set<std::string> &tried,
                                const std::function<bool(const std::string &peerAddress)> &reachable,
                                double nowMs,
                                const AllowedRegions &regions = {});
    /// Sets the requests per second that cold upstreams of a service take, for services that limit them.
    void setColdRates(std::map<std::string, double> ratePerS);
    /// Sets the failure domains to whose upstreams no calls are sent.
    void setEvacuatedDomains(const std::vector<std::string> &domains);
    /// Returns why the latest call of choose() returned its upstream.
    ChoiceReason choiceReason() const
    {
        return m_choiceReason;
    }
    /// Returns for each service the highest utilization of an upstream, relative to the mean, according to the recent reports.
    std::map<std::string, double> loadRatios(double nowMs) const;
    /// Counts a call that was sent to an upstream.
    void recordSent(const std::string &upstreamId);
    /// Counts the end of a call that was sent to an upstream.
    void recordDone(const std::string &upstreamId);
    /// Sets the service time of an upstream for calls of a kind.
    void recordServiceTime(const std::string &upstreamId, std::uint32_t kind, double serviceMs, double nowMs);
    /// Raises the service time for calls of a kind to at least @p elapsedMs, after which a call timed out.
    void recordTimeout(const std::string &upstreamId, std::uint32_t kind, double elapsedMs, double nowMs);
    /// Counts a response of an upstream, by whether it was an error of the upstream.
    void recordAnswer(const std::string &upstreamId, bool hasFailed, double nowMs);
    /// Sets the load that a reply reported, and ends the avoidance after failures.
    void recordLoad(const std::string &upstreamId, const LoadReport &load, double nowMs);
    /// Returns false if load reports of @p service exist and none says that its upstreams make nested calls.
    bool makesCalls(std::string_view service) const;
    /// Avoids an upstream for a time that grows with consecutive failures, after a call was not sent or got no response.
    void recordFailure(const std::string &upstreamId, double nowMs);
    /// Returns true if the node at @p peerAddress is known to be in the domain of this node.
    bool isInOwnDomain(const std::string &peerAddress) const;
    std::size_t size() const
    {
        return m_upstreams.size();
    }

private:
    struct ServiceTime {
        double ms = 0;
        double atMs = 0;
    };
    struct Upstream {
        UpstreamEntry entry;
        std::map<std::uint32_t, ServiceTime> serviceTimes; ///< by kind of call
        LoadReport load;
        double loadAtMs = 0;
        OutcomeShare failedShare; ///< of the responses to this node
        double avoidUntilMs = 0;
        int failures = 0; ///< consecutive
        int outstanding = 0; ///< calls of this node without a reply
        int sentSinceLoad = 0; ///< calls since the last load report
        bool isRemoved = false; ///< kept until its last outstanding call ends
    };
    void remove(const std::string &upstreamId);
    void reportLeaving(const std::string &service, UpstreamChoice::Leaving &leaving) const;
    ChoiceCandidate candidate(const Upstream &upstream, std::uint32_t kind, double nowMs) const;

    std::string m_domain;
    RegionOfDomain m_regionOfDomain;
    Random m_random;
    UpstreamChoice m_choice;
    std::map<std::string, UpstreamChoice::Leaving, std::less<>> m_leaving; ///< by service
    ChoiceReason m_choiceReason = ChoiceReason::LastResort;
    // Of the current choice; kept to avoid allocations.
    std::vector<ChoiceCandidate> m_candidates;
    std::vector<const UpstreamEntry *> m_candidateEntries;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    std::map<std::string, double> m_coldRates; ///< requests per second by service
    std::set<std::string> m_evacuatedDomains;
    std::set<std::string> m_removed; ///< ids removed by the leader since the last whole directory
};
}
