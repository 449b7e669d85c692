#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Load of an upstream as its node reports it with each response.
struct LoadReport {
    TimeMs stamp = 0; ///< monotonic time of the reporting node; an older report does not replace a newer one
    int queued = 0;
    int inFlight = 0;
    int limit = 1;
};

/// An upstream of one service as the node's view shows it.
struct UpstreamView {
    std::string id;
    std::string domain;
    std::int64_t incarnation = 0;
    int limit = 1; ///< used until the first report
    bool draining = false;
};

/// Chooses the upstream of a call: power of two choices, own failure domain first.
class Balancer
{
public:
    explicit Balancer(std::string ownDomain);

    /// Replaces the view. Own in-flight counts and reports of known incarnations are kept.
    void setUpstreams(const std::vector<UpstreamView> &upstreams);
    /// The upstream has said that it is draining: it gets no call for 5 s, and then the view decides.
    void setDraining(const std::string &id, TimeMs now);
    /// Returns the id of the chosen upstream, empty if none is left. @p exclude names upstreams tried before.
    std::optional<std::string> pick(TimeMs now, Random &random, const std::vector<std::string> &exclude = {}) const;
    void started(const std::string &id);
    void finished(const std::string &id);
    void report(const std::string &id, const LoadReport &load, TimeMs now);
    /// No connection could be opened: the upstream is avoided for 1 s.
    void connectFailed(const std::string &id, TimeMs now);

private:
    struct Upstream {
        UpstreamView view;
        int inFlight = 0; ///< calls of this node
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
    static double score(const Upstream &upstream, TimeMs now);

    std::string m_ownDomain;
    std::map<std::string, Upstream> m_upstreams;
};
}
