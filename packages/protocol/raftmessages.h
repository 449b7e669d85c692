#pragma once

#include "jsoncodec.h"

#include "base/clock.h"

#include <cstdint>
#include <json/json.h>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// A control host as the group's log names it.
struct GroupMember {
    std::string id;
    std::string address; ///< advertised peer address
    std::string diskId; ///< disk whose votes and acknowledgements count; empty for a learner
    bool voter = false;

    bool operator==(const GroupMember &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, GroupMember &out);
};

/// What a log entry holds.
enum class EntryKind { Noop, Command, Members };

/// One entry of the replicated log.
struct LogEntry {
    std::uint64_t index = 0; ///< from 1
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Noop;
    Json::Value data; ///< the owner's command, or the list of all group members

    bool operator==(const LogEntry &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, LogEntry &out);
};

/// Method raft.hello: asks a host whether it holds any consensus state.
struct HelloRequest {
    std::string from;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, HelloRequest &out);
};

struct HelloResponse {
    std::string diskId;
    bool empty = false; ///< no term, vote, entry or snapshot was ever stored on this disk

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, HelloResponse &out);
};

/// Method raft.vote.
struct VoteRequest {
    std::uint64_t term = 0; ///< term of the election that is asked about
    std::string candidate;
    std::string voterDisk; ///< disk id of the receiver in the candidate's group
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, VoteRequest &out);
};

struct VoteResponse {
    std::uint64_t term = 0; ///< term of the responder
    std::uint64_t requestTerm = 0; ///< copied from the request
    bool preVote = false; ///< copied from the request
    bool granted = false;
    std::string diskId; ///< disk of the responder

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, VoteResponse &out);
};

/// Method raft.append; without entries it is a heartbeat.
struct AppendRequest {
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t prevIndex = 0;
    std::uint64_t prevTerm = 0;
    std::vector<LogEntry> entries;
    std::uint64_t commit = 0;
    TimeMs sentMs = 0; ///< leader's monotonic clock at sending

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, AppendRequest &out);
};

/// Response to raft.append and raft.snapshot.
struct AppendResponse {
    std::uint64_t term = 0;
    bool success = false;
    std::uint64_t match = 0; ///< success: last index known to equal the leader's; failure: index to continue after
    TimeMs sentMs = 0; ///< copied from the request
    std::string diskId; ///< disk of the responder

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, AppendResponse &out);
};

/// State up to an index, in the owner's own text form.
struct RaftSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0; ///< term of the entry at index
    std::vector<GroupMember> members; ///< group at index
    std::string state;

    bool operator==(const RaftSnapshot &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, RaftSnapshot &out);
};

/// Method raft.snapshot.
struct SnapshotRequest {
    std::uint64_t term = 0;
    std::string leader;
    RaftSnapshot snapshot;
    TimeMs sentMs = 0;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, SnapshotRequest &out);
};
}
