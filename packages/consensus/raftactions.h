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
/// Term and vote, which must survive a restart.
struct HardState {
    std::uint64_t term = 0;
    std::string vote; ///< candidate that got this host's vote in the term; empty for none

    bool operator==(const HardState &) const = default;
};

/// What a host's disk holds.
struct StoredState {
    HardState hard;
    RaftSnapshot snapshot;
    std::vector<LogEntry> entries; ///< continue after the snapshot's index
};

using RaftRequest = std::variant<HelloRequest, VoteRequest, AppendRequest, SnapshotRequest>;

/// A request to send to another control host.
struct OutgoingRequest {
    std::string peer; ///< member id
    std::string address;
    RaftRequest request;
};

/// Who leads, as this host knows it.
struct Leadership {
    std::uint64_t term = 0;
    std::string leader; ///< empty if unknown
    bool self = false;

    bool operator==(const Leadership &) const = default;
};

/// What the owner of a core must do, in the order of the members. If a step of persisting fails, the owner must drop
/// the rest and the response that belongs to it, and must not use the core again.
struct RaftActions {
    bool persistHard = false;
    HardState hard; ///< always the current term and vote
    /// Replaces everything stored up to its index; `tail` holds all entries after it.
    std::shared_ptr<const RaftSnapshot> snapshot;
    std::vector<LogEntry> tail;
    /// Entries to store; they replace stored entries from the first one's index on.
    std::vector<LogEntry> entries;
    /// The owner's state must be replaced by the text of `snapshot` before `committed` is applied.
    bool restore = false;
    std::vector<LogEntry> committed;
    std::optional<Leadership> leadership;
    std::vector<OutgoingRequest> requests;

    bool needsPersisting() const
    {
        return persistHard || snapshot || !entries.empty();
    }
};

/// A response and the actions that come before sending it.
template<typename T>
struct RaftResult {
    T response;
    RaftActions actions;
};
}
