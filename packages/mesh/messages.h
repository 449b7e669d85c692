#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Types of the frames between processes of the mesh.
enum class FrameType : std::uint8_t {
    Call = 1,
    Reply,
    Cancel,
    Sync,
    SyncReply,
    ConsensusRequest,
    ConsensusResponse,
    Ping,
    Pong,
    Status,
    TokenRequest,
    TokenGrant,
};
std::string_view frameTypeName(FrameType type);

/// Load of an upstream as measured by the node on its host.
struct LoadReport {
    int busy = 0; ///< running and queued calls
    int limit = 0; ///< calls that may run at once; 0 if unknown
    double offeredLoad = 0; ///< slots that all calls would occupy, refused ones included
    bool makesCalls = true; ///< the upstream called other services recently
    double workTimeFactor = 1; ///< time that work takes on the upstream's host at present, relative to its usual time
    double newCallsPerS = 0; ///< calls per second that were offered to the upstream for the first time
    double declinedShare = 0; ///< recent share of the calls sent to the upstream that it declined
};

/// A call sent by the node on the caller's host to the node on the upstream's host.
struct CallMessage {
    std::uint64_t callId = 0;
    std::string upstreamId; ///< incarnation that the sender chose
    std::string service;
    std::string requestId;
    std::string head; ///< request line and header without the fields that depend on the upstream
    std::string body;
    double timeLeftMs = 0;
    double latencyGoalMs = 0;
    int priority = 0;
    int treePriority = 0; ///< of the caller's request from which the call results, by its route and team; 0 is the highest
    std::uint32_t kind = 0; ///< identifies the route; calls of one kind have similar service times
    bool nested = false; ///< made by an upstream while it serves another call
    bool idempotent = false;
    bool headOnly = false; ///< the response has no body (HEAD)
    bool offeredBefore = false; ///< another upstream's node already counted the call in its offered load
};

/// Outcome of a call at the node on the upstream's host.
enum class CallOutcome : std::uint8_t {
    Answered, ///< the upstream sent a complete response
    NotOffered, ///< refused by the node; nothing was sent to the upstream
    Declined, ///< the upstream reported that it did not execute the call
    MayHaveRun, ///< sent, but no complete response was received
};
std::string_view outcomeName(CallOutcome outcome);

struct ReplyMessage {
    std::uint64_t callId = 0;
    CallOutcome outcome = CallOutcome::MayHaveRun;
    int status = 0; ///< for Answered
    std::string head; ///< for Answered: status line and header fields without those of the connection
    std::string body;
    std::string reason; ///< why the call was not answered
    double serviceMs = 0; ///< smoothed service time of the upstream for calls of this kind; 0 if unknown
    LoadReport load;
};

/// Cancels a call whose caller disconnected.
struct CancelMessage {
    std::uint64_t callId = 0;
};

/// State of an upstream according to its announcements and the checks of the node on its host.
enum class UpstreamState : std::uint8_t { Ready, Draining, Unreachable };
std::string_view upstreamStateName(UpstreamState state);

/// One upstream incarnation.
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string domain;
    std::string peerAddress; ///< of the node on its host
    UpstreamState state = UpstreamState::Ready;
    int slots = 0;
    double warmUpLeftMs = 0; ///< remaining warm-up time after its start
    bool operator==(const UpstreamEntry &) const = default;
};

/// An upstream that announced its drain or departure.
struct DrainedUpstream {
    std::string id;
    TimeMs startedAt = 0; ///< wall clock time
    std::uint64_t sequence = 0; ///< of the announcement of the drain; a later one may end it
    bool isFinal = false; ///< after a departure only a later start ends the drain
    bool operator==(const DrainedUpstream &) const = default;

    /// True if an announcement is no newer than the drain, and so does not end it.
    bool outdates(TimeMs announcedStart, std::uint64_t announcedSequence) const
    {
        return announcedStart != startedAt ? announcedStart < startedAt : isFinal || announcedSequence <= sequence;
    }
    /// True if every announcement that @p other outdates is outdated by this drain too.
    bool covers(const DrainedUpstream &other) const
    {
        return id == other.id && outdates(other.startedAt, other.sequence) && (isFinal || !other.isFinal || startedAt > other.startedAt);
    }
};

/// Sent by a node on its open peer links when the state of its upstream changes.
struct StatusMessage {
    std::vector<UpstreamEntry> upstreams;
    LoadReport load;
};

/// The upstreams in the leader's registry, or their changes since an earlier version.
struct DirectoryMessage {
    std::vector<UpstreamEntry> upstreams;
    std::vector<std::string> removed; ///< ids
};

/// Demand of a team at one node.
struct TeamDemand {
    std::string team;
    double requestsPerS = 0; ///< smoothed requests per second
    double unusedTokens = 0; ///< tokens that were granted and not used yet
    double returnedTokens = 0; ///< granted tokens that the node returns unused
    double receivedTokens = 0; ///< granted tokens that arrived in the present account
    double share = 0; ///< own share of the rate that the node holds
    double shareTokens = 0; ///< tokens taken from the own share since the start of the process
    double offlineTokens = 0; ///< part of shareTokens that was taken since the last contact with a leader
};

/// Returns the tokens that a node may accumulate from its own share of a rate.
inline double maxShareTokens(double share, double burst)
{
    return std::max(1.0, share * burst);
}

/// A node's allocation from the rate limit of a team.
struct TeamShare {
    std::string team;
    double share = 0; ///< fraction of the rate that the node may use while no leader responds
    double tokens = 0; ///< tokens granted in advance
    double reserve = 0; ///< unused tokens that the node keeps for times without an answer of the leader
};

/// Sent by a node that has no token left for a request of a team.
struct TokenRequest {
    std::string team;
    int wanted = 0;
    std::uint64_t account = 0; ///< SyncMessage::account
    std::uint64_t sequence = 0; ///< ascending within an account
};

struct TokenGrant {
    std::string team;
    int granted = 0;
    double waitMs = 0; ///< time to the next token if none was granted
    std::uint64_t account = 0; ///< of the request
    std::uint64_t sequence = 0; ///< of the request
};

/// Load shedding level of a service: 0 admits all requests, n refuses the n lowest priorities.
struct ServiceLevel {
    std::string service;
    double level = 0;
    double own = 0; ///< level due to the demand for the service's own slots, without the services that it calls
    bool isShortOfRetries = false; ///< the retry budget of the service does not suffice for the calls that it declines
    bool callsShortOfRetries = false; ///< the same of a service that it calls directly or indirectly

    /// True if the level is due to the service itself and not to a service that it calls.
    bool isOwn() const
    {
        return own >= level;
    }
};

/// Report of a process to the leader of the control hosts.
struct SyncMessage {
    std::uint64_t sequence = 0;
    std::string name;
    std::string peerAddress;
    std::string operatorAddress; ///< of a control host
    std::string diskId; ///< of a control host
    std::uint64_t configIndex = 0; ///< log index of the configuration in force
    std::uint64_t directoryVersion = 0;
    std::uint64_t directoryTerm = 0; ///< term of the leader that issued the directory
    std::vector<UpstreamEntry> upstreams;
    std::vector<DrainedUpstream> drained; ///< on this host, without those that a leader has confirmed
    bool needsDrained = false; ///< the process does not know the drains from before its start
    std::vector<TeamDemand> demand; ///< of the teams whose values changed since the previous report, or of all teams in use
    bool isFullDemand = true; ///< every team that is not in demand has no demand, tokens and share at the node
    std::string service; ///< of the upstream on this host
    LoadReport load; ///< of that upstream
    std::vector<std::string> calledServices; ///< services that the upstream called recently
    double ownLevel = 0; ///< ServiceLevel::own of the service as last received
    std::uint64_t account = 0; ///< token account; the node starts a new one whenever it loses contact with the leader
    std::uint64_t answeredSequence = 0; ///< newest report that a leader answered while no other one could lead
    int fleetSize = 0; ///< SyncReplyMessage::fleetSize as last received; 0 before the first contact
};

/// No other control host can lead while the leader's last contact with a majority is younger than this, in ms.
constexpr TimeMs exclusiveLeadershipMs = 452;

struct SyncReplyMessage {
    std::uint64_t sequence = 0; ///< of the report; 0 for an unsolicited update
    bool leads = false;
    std::string leaderAddress; ///< peer address, empty if unknown
    double majorityContactAgeMs = -1; ///< age of the leader's last contact with a majority; negative if not leading
    std::uint64_t configIndex = 0;
    bool hasDocument = false;
    std::uint64_t documentBase = 0; ///< index of the configuration by which the document is compressed; 0 for none
    std::string document; ///< compressed
    bool hasDirectory = false;
    bool directoryComplete = false; ///< false while nodes may be missing because they have not reported to a new leader yet
    std::uint64_t directoryVersion = 0;
    std::uint64_t directoryBase = 0; ///< version to which the directory contains the changes; 0 if it contains all upstreams
    std::uint64_t directoryTerm = 0;
    std::string directory; ///< compressed DirectoryMessage; compressed once for all nodes
    std::vector<std::string> controlHosts; ///< peer addresses
    std::vector<TeamShare> shares; ///< that changed or contain tokens
    bool hasDrained = false; ///< drained is complete; set for a node that needs it or reported drains
    std::vector<DrainedUpstream> drained; ///< on the host of the node, as stored by a majority of the control hosts
    bool needsFullDemand = false; ///< the leader does not know the report before this one, and ignored the demand
    std::vector<ServiceLevel> levels;
    std::uint64_t account = 0; ///< token account to which the shares and their tokens belong
    int fleetSize = 0; ///< nodes among which the rates are shared
    std::vector<std::string> evacuatedDomains; ///< failure domains to whose upstreams no calls are sent

    /// True if no other control host could lead when the reply was sent, so that its configuration was the newest.
    bool isCurrent() const
    {
        return majorityContactAgeMs >= 0 && majorityContactAgeMs < static_cast<double>(exclusiveLeadershipMs);
    }
};

/// One consensus request or response; the text is JSON.
struct ConsensusMessage {
    std::uint64_t sequence = 0;
    std::string sender;
    std::string method;
    std::string text;
};

/// Encodes a message of this file.
template<typename T>
std::string encode(const T &message);
/// Returns false on malformed input and never throws.
template<typename T>
bool decode(std::string_view text, T &message);
}
