#pragma once

#include "protocol/raftmessages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yuccagrade
{
/// Current term and vote of a host, persisted before any response that depends on them.
struct HardState {
    std::uint64_t term = 0;
    std::string vote; ///< id of the candidate that this host voted for in `term`; empty if none

    bool operator==(const HardState &) const = default;
};

/// Persistent state of a host, as loaded at start.
struct StoredState {
    HardState hardState;
    RaftSnapshot snapshot;
    std::vector<LogEntry> entries; ///< entries after the snapshot's index, without a gap
};

using RaftRequest = std::variant<HelloRequest, VoteRequest, AppendRequest, SnapshotRequest>;

/// A request to send to another control host.
struct OutgoingRequest {
    std::string peer; ///< member id
    std::string address;
    RaftRequest request;
};

/// The current term and its leader, as far as known to this host.
struct Leadership {
    std::uint64_t term = 0;
    std::string leader; ///< empty if unknown
    bool self = false; ///< true if this host is the leader

    bool operator==(const Leadership &) const = default;
};

/// Actions that the owner of a RaftCore must execute in the order of the members. If persisting fails, the owner must
/// discard the remaining actions and the response that belongs to them, and must not use the core again.
struct RaftActions {
    bool persistHardState = false;
    HardState hardState; ///< always the current term and vote
    /// Snapshot to store in place of everything up to its index; `tail` holds all entries after it.
    std::shared_ptr<const RaftSnapshot> snapshot;
    std::vector<LogEntry> tail;
    /// Entries to store; they replace stored entries from the first one's index on.
    std::vector<LogEntry> entries;
    /// True if the owner must replace its state by that of `snapshot` before it applies `committed`.
    bool restoreState = false;
    std::vector<LogEntry> committed; ///< newly committed entries to apply, in the order of the log
    std::optional<Leadership> leadership; ///< set if it has changed
    std::vector<OutgoingRequest> requests;

    bool needsPersisting() const
    {
        return persistHardState || snapshot || !entries.empty();
    }
};

/// A response and the actions that must be executed before it is sent.
template<typename T>
struct RaftResult {
    T response;
    RaftActions actions;
};
}
