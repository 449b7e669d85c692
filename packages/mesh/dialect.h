#pragma once

#include "fleetconfig.h"
#include "messages.h"

#include "net/httpreader.h"

#include <functional>
#include <optional>
#include <string>

namespace Yuccagrade::Mesh
{
/// What a caller's request says beside method, target and body.
struct CallerRequest {
    std::string requestId; ///< unique for each attempt of the caller
    std::string host;
    std::optional<double> timeLeftMs; ///< how long the caller waits
    std::optional<std::string> key; ///< of its team
};

/// Fields that the layer sets on a call, whatever the caller sent.
struct CallIdentity {
    std::string team; ///< empty without a key
    std::string callerService; ///< service of the host where the call began
};

/// What an upstream's response says beside status and body.
struct UpstreamAnswer {
    std::string requestId; ///< of the call that it answers; empty if not given
    bool hasReceipt = false; ///< bears the upstream's mark of a response that it made
    bool notExecuted = false; ///< the upstream did not run the call and will not
    bool wrongUpstream = false; ///< the call named another incarnation
    std::optional<TimeMs> idleTimeoutMs; ///< how long the upstream keeps the connection
    std::string upstreamId; ///< incarnation that answered a health question
    std::optional<LoadReport> load; ///< running and waiting calls, and slots as the limit
};

/// An upstream tells the node beside it about itself.
struct Announcement {
    enum class Kind { Heartbeat, Departure };
    Kind kind = Kind::Heartbeat;
    std::string id; ///< of this incarnation, but a restart may repeat it
    std::string service;
    std::string address;
    std::string domain;
    int slots = 0;
    bool draining = false;
    std::uint64_t sequence = 0; ///< grows with each heartbeat of an incarnation
    TimeMs startedAt = 0; ///< wall clock; tells incarnations with the same id apart
    double coldLeftMs = 0; ///< how much longer it is slow after its start
};

/// A call of the operators' interface.
struct OperatorCall {
    enum class Kind { Publish, Read, Unknown };
    Kind kind = Kind::Unknown;
    std::uint64_t baseVersion = 0; ///< version that a published configuration builds on
};

/// How the outside world speaks. One platform's adapter provides all hooks.
struct Dialect {
    std::function<CallerRequest(const HttpMessage &request)> readRequest;
    /// Returns request line and header lines of the call to an upstream, without the lines of renderHop(). Bytes between
    /// domains are dear, so the request id is sent once, in the message itself.
    std::function<std::string(const HttpMessage &request, const CallIdentity &identity)> renderCall;
    /// Returns the header lines that name the request, the upstream and the time left.
    std::function<std::string(const std::string &requestId, const std::string &upstreamId, double timeLeftMs)> renderHop;
    /// True for a field of a response that is not passed on to the caller's node.
    std::function<bool(std::string_view name)> isHopField;
    /// Returns the header line that names the request in an answer.
    std::function<std::string(const std::string &requestId)> renderRequestId;
    std::function<UpstreamAnswer(const HttpMessage &response)> readAnswer;
    /// Returns the response head for a refusal by the layer; @p retryAfterMs is negative if waiting does not help.
    std::function<std::string(const std::string &requestId, int status, double retryAfterMs)> renderRefusal;
    /// Reads an announcement. Returns nothing and sets @p error if it names no upstream to use.
    std::function<std::optional<Announcement>(const HttpMessage &request, std::string &error)> readAnnouncement;
    std::function<OperatorCall(const HttpMessage &request)> readOperatorCall;
    /// Parses a published configuration; defects are added to @p findings.
    std::function<void(const std::string &document, FleetConfig &config, Findings &findings)> readDocument;
    std::string readinessPath; ///< GET on the readiness listener
};
}
