#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Kinds of frames between own processes.
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

/// How busy an upstream and what it calls are, as the node beside it knows.
struct LoadReport {
    int busy = 0; ///< running and queued calls
    int limit = 0; ///< calls that may run at once; 0 if unknown
    double offered = 0; ///< slots that the offered calls need, refused ones included
    bool makesCalls = true; ///< the upstream called other services lately
};

/// A call from the node beside the caller to the node beside the upstream.
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
    std::uint32_t kind = 0; ///< tells routes apart: calls of one kind take similar times
    bool nested = false; ///< made by an upstream while it serves another call
    bool idempotent = false;
    bool headOnly = false; ///< the response has no body (HEAD)
    bool offeredBefore = false; ///< another upstream's node has counted the call
};

/// What became of a call at the node beside the upstream.
enum class CallOutcome : std::uint8_t {
    Answered, ///< the upstream's complete response
    NotOffered, ///< refused by the node; no byte reached the upstream
    Declined, ///< the upstream said that it did not run the call
    MayHaveRun, ///< sent, and no complete response came
};
std::string_view outcomeName(CallOutcome outcome);

struct ReplyMessage {
    std::uint64_t callId = 0;
    CallOutcome outcome = CallOutcome::MayHaveRun;
    int status = 0; ///< of Answered
    std::string head; ///< status line and header without fields of the connection; of Answered
    std::string body;
    std::string reason; ///< why the call was not answered
    double serviceMs = 0; ///< smoothed time of the upstream for calls of this kind; 0 if unknown
    LoadReport load;
};

/// Ends a call whose caller has left.
struct CancelMessage {
    std::uint64_t callId = 0;
};

/// State of an upstream as announced and seen by the node beside it.
enum class UpstreamState : std::uint8_t { Ready, Draining, Unreachable };
std::string_view upstreamStateName(UpstreamState state);

/// One upstream incarnation.
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string domain;
    std::string peerAddress; ///< of the node beside it
    UpstreamState state = UpstreamState::Ready;
    int slots = 0;
    double coldLeftMs = 0; ///< time for which it is still slow after its start
    bool operator==(const UpstreamEntry &) const = default;
};

/// Sent by a node to its open connections when the state of its upstream changes.
struct StatusMessage {
    std::vector<UpstreamEntry> upstreams;
    LoadReport load;
};

/// The upstreams that the leader knows.
struct DirectoryMessage {
    std::vector<UpstreamEntry> upstreams;
};

/// Requests of a team at one node.
struct TeamDemand {
    std::string team;
    double requestsPerS = 0; ///< smoothed requests per second
    double unusedTokens = 0; ///< tokens granted and not yet used
    double returnedTokens = 0; ///< tokens that the node gives back
};

/// What a node may use of a team's rate.
struct TeamShare {
    std::string team;
    double share = 0; ///< part of the rate that it may use by itself while no leader answers
    double tokens = 0; ///< requests granted in advance
};

/// A node has no token left for a request of a team.
struct TokenRequest {
    std::string team;
    int wanted = 0;
};

struct TokenGrant {
    std::string team;
    int granted = 0;
    double waitMs = 0; ///< time to the next token if none was granted
};

/// How far the requests of a service are refused: 0 admits all, n refuses the n lowest priorities.
struct ServiceLevel {
    std::string service;
    double level = 0;
    double own = 0; ///< level by the need of the service's own slots, without those of the services that it calls

    /// Returns whether the shortage is that of the service itself.
    bool isOwn() const
    {
        return own >= level;
    }
};

/// Report of a process to the leading control host.
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
    std::vector<TeamDemand> demand;
    std::string service; ///< of the upstream on this host
    LoadReport load; ///< of that upstream
    std::vector<std::string> calledServices; ///< that the upstream called lately
    double ownLevel = 0; ///< ServiceLevel::own of the service as last heard
};

struct SyncReplyMessage {
    std::uint64_t sequence = 0; ///< 0 for an update that was not asked for
    bool leads = false;
    std::string leaderAddress; ///< peer address, empty if unknown
    double proofAgeMs = -1; ///< age of the leader's last contact with a majority; negative if not leading
    std::uint64_t configIndex = 0;
    bool hasDocument = false;
    std::string document; ///< compressed
    bool hasDirectory = false;
    bool directoryComplete = false; ///< false while nodes may be missing that have not reported to a new leader
    std::uint64_t directoryVersion = 0;
    std::uint64_t directoryTerm = 0;
    std::string directory; ///< compressed DirectoryMessage; packed once for all nodes
    std::vector<std::string> controlHosts; ///< peer addresses
    std::vector<TeamShare> shares;
    std::vector<ServiceLevel> levels;
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
