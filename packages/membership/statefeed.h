#pragma once

#include "protocol/syncmessages.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace Yuccagrade
{
/// The applied state as text together with its index.
struct StateSnapshot {
    std::uint64_t index = 0;
    std::string text;
};

/// Keeps recent committed commands for other processes. Every committed index is appended, no-ops as null commands.
class StateFeed
{
public:
    /// @param snapshot returns the present state; @param capacity number of commands to keep.
    explicit StateFeed(std::function<StateSnapshot()> snapshot, std::size_t capacity = 256);
    /// Adds the command of the next index. A gap discards the older commands.
    void append(std::uint64_t index, const Json::Value &command);
    /// The state was replaced by a snapshot at @p index.
    void restart(std::uint64_t index);
    /// Returns what a process at index @p since lacks: entries, or a snapshot if they are no longer kept.
    StateUpdate updateSince(std::uint64_t since) const;
    std::uint64_t lastIndex() const
    {
        return m_base + m_commands.size();
    }

private:
    std::function<StateSnapshot()> m_snapshot;
    std::size_t m_capacity;
    std::uint64_t m_base = 0; ///< index before the first kept command
    std::deque<Json::Value> m_commands;
};

/// Access to the state machine of the process.
struct StateHooks {
    std::function<std::uint64_t()> index;
    std::function<void(std::uint64_t, const Json::Value &)> apply;
    /// Replaces the state. Returns false if the text is malformed; the state is then unchanged.
    std::function<bool(const std::string &)> load;
};

/// Receiver side: decides whether an update is accepted.
class StateReceiver
{
public:
    /// @param feed own feed that passes the state on.
    StateReceiver(StateHooks hooks, StateFeed &feed);
    /// Applies @p update if it leads to a higher index. An empty process also needs @p proofIndex, the lowest index of
    /// its valid proofs, and the update must reach it. Returns whether the state changed.
    bool accept(const StateUpdate &update, std::optional<std::uint64_t> proofIndex);
    std::uint64_t index() const
    {
        return m_hooks.index();
    }

private:
    bool applyEntries(const std::vector<StateEntry> &entries);

    StateHooks m_hooks;
    StateFeed &m_feed;
};
}
