#pragma once

#include "claimagent.h"
#include "forwarder.h"
#include "policy/entrythrottle.h"
#include "policy/retryratio.h"
#include "routetable.h"
#include "upstreamdirectory.h"

#include <set>

namespace Yuccagrade
{
/// Asks for one token of a team. The callback gets true if one was spent, at the latest after the wait of the quota.
using TokenSource = std::function<void(const std::string &team, std::function<void(bool)>)>;

/// Serves callers and nested calls: authenticates, admits, claims, routes, retries and answers.
class EntryGate
{
public:
    struct Parts {
        EventLoop &loop;
        EventLog &log;
        Metrics &metrics;
        ControlPlane &plane;
        UpstreamGate &gate;
        Forwarder &forwarder;
        ClaimAgent &claims;
        RunningCalls &calls;
        TokenSource tokens;
    };

    EntryGate(Parts parts, const std::string &nodeId, const std::string &domain);

    /// Handles a request on the caller address.
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void stateChanged();
    void viewChanged();
    /// Refuses new root requests; nested calls of running ones go on.
    void drain();
    /// Requests without an answer.
    std::size_t active() const
    {
        return m_active.size();
    }

private:
    /// One request of a caller or of an upstream.
    struct Request {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const Manifest> manifest; ///< keeps the route alive
        const RouteSpec *route = nullptr;
        std::shared_ptr<RunningCall> parent; ///< set for nested calls
        CallMeta meta;
        TimeMs deadline = 0;
        double receivedMs = 0;
        AttemptBudget budget{0};
        int lentByParent = 0;
        std::shared_ptr<ClaimTicket> ticket;
        std::vector<std::string> tried;
        std::string upstream; ///< node of the attempt under way, empty between attempts
        int lentToAttempt = 0;
        std::uint64_t gateCall = 0;
        HttpCallId peerCall = 0;
        bool mayHaveRun = false; ///< an earlier attempt may have run
        bool throttled = false; ///< counted by the entry throttle
        bool done = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    std::optional<Problem> openRoot(Request &request);
    std::optional<Problem> authenticate(Request &request) const;
    std::optional<Problem> openNested(Request &request, const std::string &context);
    std::optional<Problem> findRoute(Request &request) const;
    std::optional<Problem> checkRequest(const Request &request) const;
    void setDeadline(Request &request) const;
    void admit(const RequestPtr &request);
    void claim(const RequestPtr &request);
    void takeClaim(const RequestPtr &request, const std::shared_ptr<ClaimTicket> &ticket);
    void attempt(const RequestPtr &request);
    void dispatch(const RequestPtr &request);
    void takeOutcome(const RequestPtr &request, CallOutcome outcome);
    void updateBalancer(const Request &request, const CallOutcome &outcome);
    bool mayRetry(Request &request, const CallOutcome &outcome);
    void abort(const RequestPtr &request);
    void answer(const RequestPtr &request, HttpResponse response);
    void refuse(const RequestPtr &request, Problem problem);
    void close(const RequestPtr &request, bool complete);
    EntryThrottle &throttle(const Request &request);

    Parts m_parts;
    std::string m_nodeId;
    std::string m_idPrefix;
    std::uint64_t m_lastId = 0;
    Random m_random;
    RouteTable m_routes;
    UpstreamDirectory m_directory;
    std::map<std::pair<std::string, std::string>, EntryThrottle> m_throttles; ///< by route and team
    std::map<std::string, RetryRatio> m_ratios; ///< by route
    std::set<RequestPtr> m_active;
    bool m_draining = false;
};
}
