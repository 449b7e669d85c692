#pragma once

#include "admissionlevel.h"
#include "base/eventlog.h"
#include "base/metrics.h"
#include "directory.h"
#include "mesh/framelink.h"
#include "mesh/meshsettings.h"
#include "mesh/protocoladapter.h"
#include "net/httpport.h"
#include "retrytokens.h"
#include "teammeter.h"
#include "upstreamport.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Yuccagrade::Mesh
{
/// The node beside the caller: decides whether a request enters, chooses its upstream, sends it again where that is
/// safe, and answers the caller. It alone counts attempts.
class CallBroker
{
public:
    struct Identity {
        std::string service; ///< of the upstream on this host, where calls begin
        std::string domain;
        std::string peerAddress;
    };

    CallBroker(EventLoop &loop,
               const ProtocolAdapter &adapter,
               EventLog &log,
               Metrics &metrics,
               Identity identity,
               const FleetLimits &fleetLimits,
               UpstreamPort &local,
               LinkPool &links,
               Random random);

    /// Takes a caller's request.
    void handle(const std::shared_ptr<PortExchange> &exchange);
    /// A reply of another node.
    void replied(const std::string &peerAddress, const ReplyMessage &reply);
    /// The link to another node ended, or was never @p connected.
    void linkClosed(const std::string &peerAddress, bool connected);
    bool expectsReply(const std::string &peerAddress) const;
    /// The leader answered a request for tokens.
    void tokensGranted(const TokenGrant &grant);

    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Keys may be trusted until @p untilMs.
    void setProof(TimeMs untilMs)
    {
        m_proofUntil = untilMs;
    }
    bool hasProof() const
    {
        return m_loop.clock().now() < m_proofUntil;
    }
    void setLevels(const std::vector<ServiceLevel> &levels)
    {
        m_admission.setLevels(levels, now());
    }
    /// Level by the need of the own slots of the service of this host.
    double ownLevel() const
    {
        return m_admission.ownLevel(m_identity.service, now());
    }
    /// Services that the upstream of this host called lately while it served other calls.
    std::vector<std::string> calledServices() const;
    bool makesNestedCalls() const
    {
        return !m_calledAtMs.empty() && now() - m_lastNestedMs < calledLatelyMs;
    }
    Directory &directory()
    {
        return m_directory;
    }
    TeamMeter &teamMeter()
    {
        return m_meter;
    }
    RetryTokens &retryTokens()
    {
        return m_retryTokens;
    }
    std::size_t pending() const
    {
        return m_calls.size();
    }

private:
    /// A route may move; services that were called before that say nothing.
    static constexpr double calledLatelyMs = 3'000;

    /// A request of a caller.
    struct Call {
        std::uint64_t id = 0;
        std::shared_ptr<PortExchange> exchange;
        std::shared_ptr<const FleetConfig> config; ///< keeps the route alive
        const Route *route = nullptr;
        const Team *meteredTeam = nullptr; ///< null if no rate applies
        double parkedMs = 0; ///< since when it waits for a token
        std::string requestId;
        std::string team;
        std::string service;
        std::string head;
        int priority = 0;
        std::uint32_t kind = 0; ///< of the route
        bool nested = false;
        double arrivedMs = 0;
        double deadlineMs = 0;
        bool endsAtRouteLimit = false; ///< the route's limit comes before the caller's
        int arrivals = 0; ///< upstreams that got the call
        int refusals = 0; ///< nodes that refused it
        bool mayHaveRun = false;
        bool refusedByNode = false; ///< a node was reached and had no slot
        double awaitUntilMs = 0; ///< without a reachable upstream it is refused then; 0 before the first wait
        std::set<std::string> tried;
        std::string upstreamId; ///< of the present attempt
        std::string peerAddress; ///< of the present attempt; empty for this host
        bool waiting = false; ///< an attempt runs
        double sentMs = 0; ///< of the present attempt
        std::optional<ReplyMessage> lastAnswer; ///< failure of an upstream, kept while another is tried
        std::string lastReason;
        TimerId timer = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    bool authorize(Call &call, const CallerRequest &request);
    bool admit(Call &call);
    void meter(const CallPtr &call);
    void expireParked();
    void refuseOverRate(const CallPtr &call);
    void begin(const CallPtr &call);
    std::string pickService(const Route &route);
    bool dispatch(const CallPtr &call);
    bool dispatchOrAwait(const CallPtr &call);
    void retryAwaiting();
    void scheduleAwaiting();
    void conclude(const CallPtr &call, ReplyMessage reply);
    bool mayRepeat(const Call &call, CallOutcome outcome) const;
    bool payRepeat(const Call &call, CallOutcome outcome);
    void settle(const CallPtr &call);
    void deadline(const CallPtr &call);
    void callerLeft(const CallPtr &call);
    void cancelAttempt(const Call &call);
    void answer(const CallPtr &call, ReplyMessage reply);
    void refuse(Call &call, int status, double retryAfterMs, Event event, const std::string &reason);
    void release(const CallPtr &call);
    /// @p retryAfterMs is what the caller was told; negative if nothing.
    void logEnd(const Call &call, Event event, int status, double retryAfterMs, const std::string &reason);
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
    UpstreamPort &m_local;
    LinkPool &m_links;
    Random m_random;
    std::shared_ptr<const FleetConfig> m_config;
    TimeMs m_proofUntil = 0;
    double m_configAtMs = 0;
    Directory m_directory;
    AdmissionLevel m_admission;
    RetryTokens m_retryTokens;
    TeamMeter m_meter;
    std::unordered_map<std::uint64_t, CallPtr> m_calls;
    std::map<std::string, std::deque<CallPtr>> m_parked; ///< by team: calls that wait for a token
    bool m_parkedCheckScheduled = false;
    std::deque<CallPtr> m_awaiting; ///< calls for which no upstream is reachable at present
    bool m_awaitingScheduled = false;
    std::map<std::string, int> m_callsOfPeer;
    std::map<std::string, std::vector<double>> m_weightCredit; ///< by route name, one for each service
    std::map<std::string, double> m_calledAtMs; ///< last nested call, by service
    double m_lastNestedMs = 0;
    std::uint64_t m_lastCall = 0;
};
}
