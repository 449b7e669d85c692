#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Load of an upstream, as its node reports it with each response.
struct LoadReport {
    TimeMs timestampMs = 0; ///< monotonic time of the reporting node; an older report does not replace a newer one
    int queued = 0;
    int inFlight = 0;
    int limit = 1;
};

/// An upstream of one service, as listed in the upstream directory of this node.
struct UpstreamView {
    std::string id;
    std::string domain;
    std::int64_t incarnation = 0;
    int limit = 1; ///< used until the first report
    bool draining = false;
};

/// Chooses the upstream of a call by the power of two random choices. Other failure domains are used only if the own one is
/// full or has no candidate.
class Balancer
{
public:
    explicit Balancer(std::string ownDomain);

    /// Replaces the list of upstreams. Upstreams with an unchanged incarnation keep their in-flight counts and load reports.
    void setUpstreams(const std::vector<UpstreamView> &upstreams);
    /// Handles a drain notice of the upstream itself: it gets no calls for 5 s; then the list of upstreams decides.
    void setDraining(const std::string &id, TimeMs now);
    /// Returns the id of the chosen upstream, empty if there is none. @p exclude holds the upstreams tried before.
    std::optional<std::string> pick(TimeMs now, Random &random, const std::vector<std::string> &exclude = {}) const;
    void started(const std::string &id);
    void finished(const std::string &id);
    void report(const std::string &id, const LoadReport &load, TimeMs now);
    /// Handles a failed connection attempt: the upstream is avoided for 1 s.
    void connectFailed(const std::string &id, TimeMs now);

private:
    struct Upstream {
        UpstreamView view;
        int inFlight = 0; ///< calls of this node only
        LoadReport load;
        TimeMs reportedAt = 0;
        bool reported = false;
        TimeMs suspectUntil = 0;
        TimeMs drainingUntil = 0;
    };
    using Candidates = std::vector<const Upstream *>;

    Candidates candidates(TimeMs now, const std::vector<std::string> &exclude) const;
    bool isOwnDomainFull(const Candidates &own, TimeMs now) const;
    static double reportedCalls(const Upstream &upstream, TimeMs now);
    static double loadScore(const Upstream &upstream, TimeMs now);

    std::string m_ownDomain;
    std::map<std::string, Upstream> m_upstreams;
};
}
