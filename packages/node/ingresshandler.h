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
/// Requests one rate limit token of a team. The callback gets true if the token was granted and false after the quota's maximum wait.
using TokenRequester = std::function<void(const std::string &team, std::function<void(bool)>)>;

/// Handles requests of callers and nested calls of upstreams: authentication, admission, claims, routing, retries and responses.
class IngressHandler
{
public:
    struct Dependencies {
        EventLoop &loop;
        EventLog &log;
        Metrics &metrics;
        ControlPlane &plane;
        UpstreamDispatcher &dispatcher;
        Forwarder &forwarder;
        ClaimAgent &claims;
        RunningCalls &calls;
        TokenRequester requestToken;
    };

    IngressHandler(Dependencies dependencies, const std::string &nodeId, const std::string &domain);

    /// Handles a request on the caller address.
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void stateChanged();
    void viewChanged();
    /// Refuses new root requests; nested calls of running requests are still accepted.
    void drain();
    /// Number of requests that have no response yet.
    std::size_t activeRequestCount() const
    {
        return m_activeRequests.size();
    }

private:
    /// State of one root request or nested call.
    struct Request {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const Manifest> manifest; ///< owns the route specification
        const RouteSpec *route = nullptr;
        std::shared_ptr<RunningCall> parent; ///< set for nested calls
        CallMeta meta;
        TimeMs deadline = 0;
        double receivedMs = 0;
        AttemptBudget budget{0};
        int retriesFromParent = 0; ///< retries taken from the parent call's budget
        std::shared_ptr<ClaimTicket> ticket;
        std::vector<std::string> triedUpstreams;
        std::string upstream; ///< node identifier of the current attempt's upstream, empty between attempts
        int retriesForAttempt = 0; ///< retries passed on with the current attempt
        std::uint64_t localCallId = 0; ///< call identifier of the local dispatcher
        HttpCallId peerCallId = 0; ///< call identifier of the forwarder
        bool mayHaveRun = false; ///< an earlier attempt may have been executed by an upstream
        bool countsInThrottle = false; ///< the result is reported to the entry throttle
        bool done = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    std::optional<Problem> initRootRequest(Request &request);
    std::optional<Problem> authenticate(Request &request) const;
    std::optional<Problem> initNestedCall(Request &request, const std::string &context);
    std::optional<Problem> findRoute(Request &request) const;
    std::optional<Problem> checkRequest(const Request &request) const;
    void setDeadline(Request &request) const;
    void admit(const RequestPtr &request);
    void claim(const RequestPtr &request);
    void onClaimResult(const RequestPtr &request, const std::shared_ptr<ClaimTicket> &ticket);
    void attempt(const RequestPtr &request);
    void dispatch(const RequestPtr &request);
    void onOutcome(const RequestPtr &request, CallOutcome outcome);
    void updateBalancer(const Request &request, const CallOutcome &outcome);
    bool consumeRetry(Request &request, const CallOutcome &outcome);
    void abort(const RequestPtr &request);
    void sendResponse(const RequestPtr &request, HttpResponse response);
    void refuse(const RequestPtr &request, Problem problem);
    void close(const RequestPtr &request, bool complete);
    EntryThrottle &throttle(const Request &request);

    Dependencies m_dependencies;
    std::string m_nodeId;
    std::string m_idPrefix;
    std::uint64_t m_lastId = 0;
    Random m_random;
    RouteTable m_routes;
    UpstreamDirectory m_directory;
    std::map<std::pair<std::string, std::string>, EntryThrottle> m_throttles; ///< keyed by route and team
    std::map<std::string, RetryRatio> m_retryRatios; ///< keyed by route
    std::set<RequestPtr> m_activeRequests;
    bool m_draining = false;
};
}
