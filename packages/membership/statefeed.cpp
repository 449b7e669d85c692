#include "statefeed.h"

#include <utility>

namespace Yuccagrade
{
StateFeed::StateFeed(std::function<StateSnapshot()> snapshot, std::size_t capacity)
    : m_snapshot(std::move(snapshot))
    , m_capacity(capacity)
{
}

void StateFeed::append(std::uint64_t index, const Json::Value &command)
{
    if (index <= lastIndex()) {
        return;
    }
    if (index != lastIndex() + 1) {
        restart(index - 1);
    }
    m_commands.push_back(command);
    if (m_commands.size() > m_capacity) {
        m_commands.pop_front();
        ++m_base;
    }
}

void StateFeed::restart(std::uint64_t index)
{
    m_commands.clear();
    m_base = index;
}

StateUpdate StateFeed::updateSince(std::uint64_t since) const
{
    StateUpdate update;
    update.since = since;
    if (since >= lastIndex()) {
        return update;
    }
    // An empty process gets a snapshot: it accepts nothing that stops short of the proven index.
    if (since == 0 || since < m_base) {
        StateSnapshot snapshot = m_snapshot();
        update.snapshotIndex = snapshot.index;
        update.snapshot = std::move(snapshot.text);
        return update;
    }
    for (std::uint64_t index = since + 1; index <= lastIndex(); ++index) {
        update.entries.push_back({index, m_commands[index - m_base - 1]});
    }
    return update;
}

StateReceiver::StateReceiver(StateHooks hooks, StateFeed &feed)
    : m_hooks(std::move(hooks))
    , m_feed(feed)
{
}

bool StateReceiver::accept(const StateUpdate &update, std::optional<std::uint64_t> proofIndex)
{
    const std::uint64_t own = m_hooks.index();
    if (update.reaches() <= own) {
        return false;
    }
    if (own == 0 && (!proofIndex || update.reaches() < *proofIndex)) {
        return false;
    }
    if (update.snapshotIndex == 0) {
        return update.since <= own && applyEntries(update.entries);
    }
    if (update.snapshotIndex > own) {
        if (!m_hooks.load(update.snapshot)) {
            return false;
        }
        m_feed.restart(m_hooks.index());
    }
    applyEntries(update.entries);
    return true;
}

bool StateReceiver::applyEntries(const std::vector<StateEntry> &entries)
{
    bool changed = false;
    for (const StateEntry &entry : entries) {
        const std::uint64_t own = m_hooks.index();
        if (entry.index > own + 1) {
            break; // a gap: the missing command must come first
        }
        if (entry.index == own + 1) {
            m_hooks.apply(entry.index, entry.command);
            m_feed.append(entry.index, entry.command);
            changed = true;
        }
    }
    return changed;
}
}
