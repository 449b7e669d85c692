#pragma once

#include "admissioncontrol.h"
#include "base/eventlog.h"
#include "base/metrics.h"
#include "denialhistory.h"
#include "directory.h"
#include "localupstreams.h"
#include "mesh/framelink.h"
#include "mesh/meshsettings.h"
#include "mesh/protocoladapter.h"
#include "net/httpport.h"
#include "retrytokens.h"
#include "teamratelimiter.h"

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Yuccagrade::Mesh
{
/// Handles the requests of this host's callers: authorizes and admits a request, selects an upstream, retries where that
/// is safe, and responds to the caller. Attempts are counted only here, not at the nodes of the upstreams.
class CallBroker
{
public:
    struct Identity {
        std::string service; ///< of the upstream on this host, which is the origin of the calls
        std::string domain;
        std::string peerAddress;
    };

    CallBroker(EventLoop &loop,
               const ProtocolAdapter &adapter,
               EventLog &log,
               Metrics &metrics,
               Identity identity,
               const FleetLimits &fleetLimits,
               LocalUpstreams &local,
               LinkPool &links,
               Random random);

    /// Starts processing a caller's request.
    void handle(const std::shared_ptr<PortExchange> &exchange);
    /// Returns the response head for a request that the port could not read.
    std::string refuseUnreadable(const UnreadableRequest &request);
    /// Processes the reply of another node to an attempt.
    void handleReply(const std::string &peerAddress, const ReplyMessage &reply);
    /// Ends the attempts on a closed link to another node. @p connected is false if the link was never established.
    void linkClosed(const std::string &peerAddress, bool connected);
    /// Returns true if a call to @p peerAddress is unanswered.
    bool expectsReply(const std::string &peerAddress) const;
    /// Processes the leader's answer to a request for rate limit tokens.
    void handleTokenGrant(const TokenGrant &grant);

    /// Called when a request waits for confirmConfig().
    std::function<void()> onConfirmationNeeded;

    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Tells that no newer configuration had been accepted at @p asOfMs. Only then are requests denied that arrived until
    /// that time.
    void confirmConfig(double asOfMs);
    /// Accepts keys until @p untilMs; later withdrawals of keys might not have reached this node.
    void setKeysFreshUntil(TimeMs untilMs)
    {
        m_keysFreshUntil = untilMs;
    }
    bool areKeysFresh() const
    {
        return m_loop.clock().now() < m_keysFreshUntil;
    }
    /// Refuses new requests that arrive after @p newRequestsUntilMs, unless they end before the process does, at @p stopAtMs.
    void drain(double newRequestsUntilMs, double stopAtMs)
    {
        m_newRequestsUntilMs = newRequestsUntilMs;
        m_stopAtMs = stopAtMs;
    }
    void setLevels(const std::vector<ServiceLevel> &levels);
    /// Admission level that this host's service needs for its own slots, without those of the services that it calls.
    double ownLevel() const
    {
        return m_admissionControl.ownLevel(m_identity.service, now());
    }
    /// Services to which the upstream of this host recently made nested calls.
    std::vector<std::string> calledServices() const;
    bool makesNestedCalls() const
    {
        return !m_nestedCallMs.empty() && now() - m_lastNestedCallMs < recentCallMs;
    }
    Directory &directory()
    {
        return m_directory;
    }
    TeamRateLimiter &teamRateLimiter()
    {
        return m_teamRateLimiter;
    }
    RetryBudget &retryBudget()
    {
        return m_retryBudget;
    }
    std::size_t pending() const
    {
        return m_calls.size();
    }

private:
    /// Age up to which a nested call counts as recent: a route may change its services, so older calls are ignored.
    static constexpr double recentCallMs = 3'000;
    /// Retry-After of callers that are refused because the node lacks a configuration that is known to be the newest.
    static constexpr double isolatedRetryAfterMs = 1'000;

    /// State of a caller's request until the response.
    struct Call {
        std::uint64_t id = 0;
        std::shared_ptr<PortExchange> exchange;
        std::shared_ptr<const FleetConfig> config; ///< keeps the route alive
        const Route *route = nullptr;
        const Team *rateLimitedTeam = nullptr; ///< null if no rate applies
        AllowedRegions regions; ///< refers to config
        double tokenWaitStartMs = 0; ///< when the call began to wait for a token
        std::string requestId;
        std::string team;
        std::string service;
        std::string head;
        int priority = 0;
        int treePriority = 0; ///< of the caller's request from which a nested call results
        double retryRank = 0; ///< the same for all calls of a tree; see RetryBudget
        std::uint32_t kind = 0; ///< of the route
        bool nested = false;
        double arrivedMs = 0;
        double deadlineMs = 0;
        bool endsAtRouteLimit = false; ///< the route's time limit is shorter than the caller's
        int arrivals = 0; ///< attempts that may have reached an upstream
        int declines = 0; ///< attempts that an upstream declined
        int refusals = 0; ///< attempts that were not offered to an upstream
        bool mayHaveRun = false;
        bool refusedByNode = false; ///< at least one node answered an attempt with a refusal
        double upstreamWaitUntilMs = 0; ///< end of the wait for a reachable upstream; 0 before the first wait
        std::set<std::string> tried; ///< ids of upstreams that get no further attempt
        std::map<std::string, std::string> declinedBy; ///< peer address of the node by id of an upstream that declined the call
        std::string upstreamId; ///< of the present attempt
        std::string peerAddress; ///< of the present attempt; empty for this host
        bool attemptInProgress = false; ///< the present attempt has no reply yet
        double sentMs = 0; ///< of the present attempt
        std::optional<ReplyMessage> lastAnswer; ///< last error response of an upstream, returned to the caller if no retry succeeds
        std::string lastReason;
        TimerId timer = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    /// A request that the present configuration does not allow; refused once that configuration is confirmed.
    struct PendingDenial {
        CallPtr call;
        Denial denial;
        std::string reason;
    };

    void process(const CallPtr &call);
    bool authorize(const CallPtr &call, const CallerRequest &request);
    bool checkRegions(Call &call);
    bool admit(Call &call);
    void rankForRetries(Call &call, const CallerRequest &request);
    /// @p hasWaited is true if the leader did not answer a token request for the call in time.
    void takeTeamToken(const CallPtr &call, bool hasWaited);
    void expireTokenWaits();
    void refuseOverRate(const CallPtr &call);
    void startCall(const CallPtr &call);
    void dropChangedWeights(const FleetConfig &next);
    std::string pickService(const Route &route);
    bool dispatch(const CallPtr &call);
    bool dispatchOrWait(const CallPtr &call);
    void retryWaitingCalls();
    void scheduleWaitingRetry();
    void finishAttempt(const CallPtr &call, ReplyMessage reply);
    bool isRetryable(const Call &call, CallOutcome outcome) const;
    bool takeRetryTokens(const Call &call, CallOutcome outcome);
    void finishCall(const CallPtr &call);
    void handleDeadline(const CallPtr &call);
    void handleCallerDisconnect(const CallPtr &call);
    void cancelAttempt(const Call &call);
    void answerCaller(const CallPtr &call, ReplyMessage reply);
    void refuse(Call &call, int status, double retryAfterMs, Event event, const std::string &reason);
    /// Queues the denial of a request whose route or key is unknown. @p key is empty if the route is.
    void prepareDenial(const CallPtr &call, const CallerRequest &request, const std::string &key, const std::string &reason);
    void deny(PendingDenial pending);
    void requestConfirmation();
    void expirePendingDenials();
    void countRefusal(int status, const std::string &reason);
    void releaseAttempt(const CallPtr &call);
    /// @p retryAfterMs is the value sent to the caller; negative if none was sent.
    void logOutcome(const Call &call, Event event, int status, double retryAfterMs, const std::string &reason);
    double retryAfterMs();
    double now() const
    {
        return m_loop.clock().preciseMs();
    }

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    EventLog &m_log;
    Metrics &m_metrics;
    Identity m_identity;
    LocalUpstreams &m_localUpstreams;
    LinkPool &m_links;
    Random m_random;
    std::shared_ptr<const FleetConfig> m_config;
    TimeMs m_keysFreshUntil = 0;
    double m_configAtMs = 0;
    double m_newRequestsUntilMs = std::numeric_limits<double>::max();
    double m_stopAtMs = std::numeric_limits<double>::max();
    DenialHistory m_denials;
    std::deque<PendingDenial> m_pendingDenials; ///< in the order of arrival
    double m_confirmationRequestedMs = 0;
    bool m_denialCheckScheduled = false;
    Directory m_directory;
    AdmissionControl m_admissionControl;
    RetryBudget m_retryBudget;
    double m_levelsUntilMs = 0; ///< end of the validity of the last levels
    std::set<std::string> m_callersOfShortServices; ///< services that call others whose retry budget does not suffice
    TeamRateLimiter m_teamRateLimiter;
    std::unordered_map<std::uint64_t, CallPtr> m_calls;
    std::map<std::string, std::deque<CallPtr>> m_waitingForToken; ///< calls that wait for a rate limit token, by team
    bool m_tokenWaitCheckScheduled = false;
    std::deque<CallPtr> m_waitingForUpstream; ///< calls for which no upstream is reachable at present
    bool m_waitingRetryScheduled = false;
    std::map<std::string, int> m_callsOfPeer;
    std::map<std::string, std::vector<double>> m_weightCredit; ///< by route name, one for each service
    std::map<std::string, double> m_nestedCallMs; ///< last nested call, by service
    double m_lastNestedCallMs = 0;
    std::uint64_t m_lastCallId = 0;
};
}
