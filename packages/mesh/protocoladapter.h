#pragma once

#include "fleetconfig.h"
#include "messages.h"

#include "net/httpreader.h"

#include <functional>
#include <optional>
#include <string>

namespace Yuccagrade::Mesh
{
/// Metadata of a caller's request besides method, target and body.
struct CallerRequest {
    std::string requestId; ///< unique per attempt of the caller
    std::string parentId; ///< of a nested call: id of the request that its caller serves; empty if not known
    std::string treeId; ///< the same for all calls that result from one request of a caller; its own id if not known
    std::string host;
    std::optional<double> timeLeftMs; ///< remaining time for which the caller waits
    std::optional<std::string> key; ///< of its team
};

/// Identity fields that the mesh sets on a call, replacing any sent by the caller.
struct CallIdentity {
    std::string team; ///< empty without a key
    std::string callerService; ///< service of the host on which the call originated
};

/// Metadata of an upstream's response besides status and body.
struct UpstreamAnswer {
    std::string requestId; ///< of the call that it answers; empty if not given
    bool hasSignature = false; ///< has the field by which an upstream signs its own responses
    bool notExecuted = false; ///< the upstream did not execute the call and will not
    bool wrongUpstream = false; ///< the call named another incarnation
    std::optional<TimeMs> idleTimeoutMs; ///< how long the upstream keeps an idle connection
    std::string upstreamId; ///< incarnation that answered a health check
    std::optional<LoadReport> load; ///< busy: running and waiting calls; limit: slots; workTimeFactor: 1 if not given
    std::optional<double> limitPerS; ///< requests per second that the upstream takes from all hosts together
    bool leaving = false; ///< the upstream is about to end
    std::optional<double> coldLeftMs; ///< remaining warm-up time, in the response to a health check
};

/// Announcement of an upstream to the node on its host.
struct Announcement {
    enum class Kind { Heartbeat, Departure };
    Kind kind = Kind::Heartbeat;
    std::string id; ///< of this incarnation; a restarted upstream may reuse it
    std::string service;
    std::string address;
    std::string domain;
    int slots = 0;
    bool draining = false;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of an incarnation
    TimeMs startedAt = 0; ///< wall clock time; distinguishes incarnations with the same id
    double warmUpLeftMs = 0; ///< remaining warm-up time after its start
};

/// A request to the operators' interface.
struct OperatorCall {
    enum class Kind { Publish, Read, StartEvacuation, EndEvacuation, Unknown };
    Kind kind = Kind::Unknown;
    std::uint64_t baseVersion = 0; ///< version that a published configuration replaces
    std::string domain; ///< failure domain of an evacuation
};

/// Translates between a platform's HTTP protocol and the types of the mesh. The adapter of the platform sets all members.
struct ProtocolAdapter {
    std::function<CallerRequest(const HttpMessage &request)> readRequest;
    /// Returns request line and header lines of the call to an upstream, without the lines of renderHop(). The request id
    /// is left out since CallMessage carries it, which saves traffic between failure domains.
    std::function<std::string(const HttpMessage &request, const CallIdentity &identity)> renderCall;
    /// Returns the header lines with the request id, the upstream id and the remaining time.
    std::function<std::string(const std::string &requestId, const std::string &upstreamId, double timeLeftMs)> renderHop;
    /// True for a response field that is not forwarded to the caller's node.
    std::function<bool(std::string_view name)> isHopField;
    /// Returns the header line with the request id of a response.
    std::function<std::string(const std::string &requestId)> renderRequestId;
    std::function<UpstreamAnswer(const HttpMessage &response)> readAnswer;
    /// Returns the response head for a refusal by the mesh; @p retryAfterMs is negative if a retry is pointless.
    std::function<std::string(const std::string &requestId, int status, double retryAfterMs)> renderRefusal;
    /// Parses an announcement. Returns nothing and sets @p error if it is invalid.
    std::function<std::optional<Announcement>(const HttpMessage &request, std::string &error)> readAnnouncement;
    std::function<OperatorCall(const HttpMessage &request)> readOperatorCall;
    /// Parses a published configuration; defects are added to @p findings.
    std::function<void(const std::string &document, FleetConfig &config, Findings &findings)> readDocument;
    /// Returns a published configuration that lets no key in, in a form that says so to nodes of all versions.
    std::function<std::string(const std::string &document)> renderWithoutKeys;
    std::string readinessPath; ///< path of a GET on the readiness listener
};
}
