#pragma once

#include "base/clock.h"
#include "jsoncodec.h"

#include <optional>

namespace Yuccagrade
{
/// What an upstream announced to the node on its host.
struct UpstreamAnnouncement {
    std::string service;
    int port = 0;
    int slots = 0;
    int connections = 0;
    bool draining = false;

    bool operator==(const UpstreamAnnouncement &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, UpstreamAnnouncement &out);
};

/// One process of the system as others see it.
struct Member {
    std::string id;
    std::uint64_t incarnation = 0; ///< start time of the process in ms
    std::uint64_t revision = 0; ///< counts the changes of this description within the incarnation
    std::string domain;
    std::string region;
    std::string peerAddress; ///< advertised address for control messages and data calls
    std::string operatorAddress; ///< control hosts only
    std::string sources; ///< of its program (BuildInfo::sources); empty for a program that does not tell
    bool control = false;
    bool coordinator = false; ///< holds the coordinator lease of its domain
    bool draining = false;
    bool up = true; ///< false in a delta: remove the member
    std::optional<UpstreamAnnouncement> upstream;

    bool operator==(const Member &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, Member &out);
};

/// The state index that one process has applied.
struct StateConfirmation {
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t stateIndex = 0;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, StateConfirmation &out);
};

/// Members that the sender hears directly or through reporters, as changes since a version of its own view.
struct MemberReport {
    std::uint64_t base = 0; ///< version that the receiver acknowledged; 0 if the report is complete
    std::uint64_t version = 0;
    std::vector<Member> members;
    std::vector<StateConfirmation> confirmed;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, MemberReport &out);
};

/// Freshness proof in a message: no state above `index` was committed when the validity started.
struct FreshnessProof {
    std::uint64_t index = 0;
    TimeMs remainingMs = 0;

    bool operator==(const FreshnessProof &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, FreshnessProof &out);
};

/// One committed command of the replicated state. A null command only advances the index.
struct StateEntry {
    std::uint64_t index = 0;
    Json::Value command;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, StateEntry &out);
};

/// Missing state: a snapshot, or the entries that follow `since`.
struct StateUpdate {
    std::uint64_t since = 0;
    std::uint64_t snapshotIndex = 0; ///< 0 if there is no snapshot
    std::string snapshot;
    std::vector<StateEntry> entries;

    /// Returns the index that is reached by applying the update, 0 if it is empty.
    std::uint64_t reaches() const;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, StateUpdate &out);
};

/// Changes of a view since a version.
struct ViewDelta {
    std::string source; ///< identity of the view that counts the versions
    std::uint64_t version = 0;
    bool full = false; ///< true if all members that are up are listed
    bool authoritative = false; ///< the sender leads or coordinates; what a plain relay knows may be outdated
    std::vector<Member> members;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ViewDelta &out);
};

/// Coordinator lease for the requester.
struct CoordinatorLeaseGrant {
    TimeMs validMs = 0; ///< counts from the sending time of the request
    bool renewalOnly = false; ///< valid only if the requester still holds its former lease

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CoordinatorLeaseGrant &out);
};

/// A part of every team's rate and burst that a process holds or is granted for its domain.
struct ShareMessage {
    double floorFraction = 0;
    TimeMs floorMs = 0; ///< remaining validity
    double leasedFraction = 0;
    TimeMs leasedMs = 0; ///< remaining validity
    bool renewalOnly = false; ///< grants only: valid only for a part that is still held
    std::uint64_t confirmedIndex = 0; ///< grants only: state index that every known process has confirmed
    bool handBack = false; ///< reports only: the requester has stopped using its share

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ShareMessage &out);
};

/// Request of method `sync`.
struct SyncRequest {
    Member self;
    std::uint64_t stateIndex = 0;
    std::string viewSource;
    std::uint64_t viewVersion = 0;
    bool wantsLease = false; ///< the sender is ready to coordinate its domain
    TimeMs leaseLeftMs = 0; ///< validity of the coordinator lease that the sender holds
    MemberReport report;
    std::optional<ShareMessage> share;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, SyncRequest &out);
};

/// Response of method `sync`.
struct SyncResponse {
    std::string responder; ///< view identity of the responder
    std::string leaderAddress; ///< empty if unknown
    std::string coordinatorId; ///< coordinator of the requester's domain; empty if unknown
    std::string coordinatorAddress;
    std::uint64_t ackedReport = 0; ///< version of the requester's report that is now known here
    std::optional<CoordinatorLeaseGrant> lease;
    std::optional<FreshnessProof> proof;
    StateUpdate state;
    ViewDelta view;
    std::optional<ShareMessage> share;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, SyncResponse &out);
};
}
