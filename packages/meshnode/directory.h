#pragma once

#include "base/random.h"
#include "mesh/messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The upstreams of all hosts, as this node knows them, and the choice among them.
class Directory
{
public:
    Directory(std::string domain, Random random);

    /// Replaces the list. What was learned of upstreams that stay is kept.
    void replace(const std::vector<UpstreamEntry> &entries);
    /// Takes the newer state of some upstreams; the others stay.
    void update(const std::vector<UpstreamEntry> &entries);
    /// Returns the upstream of @p service to which a call goes next, or null if none can take it. Upstreams in
    /// @p tried are left out, and so are those whose node is not @p reachable. Upstreams that take longer for calls of
    /// @p kind are used less, as a part of the goal, and hardly above the usable time.
    const UpstreamEntry *choose(std::string_view service,
                                std::uint32_t kind,
                                double latencyGoalMs,
                                double maxServiceMs,
                                const std::set<std::string> &tried,
                                const std::function<bool(const std::string &peerAddress)> &reachable,
                                double nowMs);
    void noteSent(const std::string &upstreamId);
    void noteDone(const std::string &upstreamId);
    /// Takes the time that an upstream needs for calls of a kind.
    void noteServiceTime(const std::string &upstreamId, std::uint32_t kind, double serviceMs, double nowMs);
    /// A call of a kind was given up after @p elapsedMs: the upstream needs at least this time.
    void noteTimeout(const std::string &upstreamId, std::uint32_t kind, double elapsedMs, double nowMs);
    /// Takes the load that came with an answer.
    void noteLoad(const std::string &upstreamId, const LoadReport &load, double nowMs);
    /// False if the nodes that were heard of say that no upstream of @p service calls other services.
    bool makesCalls(std::string_view service) const;
    /// A call could not be sent or got no answer: the upstream is avoided for a while.
    void noteFailure(const std::string &upstreamId, double nowMs);
    /// True if the node at @p peerAddress is known to be in the domain of this node.
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
        double coldUntilMs = 0;
        double avoidUntilMs = 0;
        int failures = 0; ///< in a row
        int outstanding = 0; ///< calls of this node
        int sentSinceLoad = 0; ///< calls that the last report does not contain
    };
    double score(const Upstream &upstream, double nowMs);
    static double serviceTimePenalty(const Upstream &upstream, std::uint32_t kind, double latencyGoalMs, double maxServiceMs, double nowMs);

    std::string m_domain;
    Random m_random;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
};
}
