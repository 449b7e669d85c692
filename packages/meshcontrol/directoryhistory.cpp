#include "directoryhistory.h"

#include <set>

namespace Yuccagrade::Mesh
{
void DirectoryHistory::record(std::uint64_t version, const std::vector<UpstreamEntry> &upstreams)
{
    m_version = version;
    std::set<std::string> present;
    for (const UpstreamEntry &entry : upstreams) {
        present.insert(entry.id);
        m_removed.erase(entry.id);
        Item &item = m_items[entry.id];
        if (item.changedAt == 0 || item.entry != entry) {
            item = {entry, version};
        }
    }
    for (auto item = m_items.begin(); item != m_items.end();) {
        if (present.contains(item->first)) {
            ++item;
        } else {
            m_removed[item->first] = version;
            item = m_items.erase(item);
        }
    }
}

DirectoryMessage DirectoryHistory::changesSince(std::uint64_t base) const
{
    DirectoryMessage message;
    for (const auto &[id, item] : m_items) {
        if (item.changedAt > base) {
            message.upstreams.push_back(item.entry);
        }
    }
    for (const auto &[id, version] : m_removed) {
        if (base > 0 && version > base) {
            message.removed.push_back(id);
        }
    }
    return message;
}

void DirectoryCursor::report(std::uint64_t version, std::uint64_t term)
{
    m_isComplete = m_isComplete && isAt(version, term);
    m_version = version;
    m_term = term;
}

std::uint64_t DirectoryCursor::advance(std::uint64_t version, std::uint64_t term, bool isComplete)
{
    const std::uint64_t base = m_term == term && m_isComplete == isComplete ? m_version : 0;
    m_version = version;
    m_term = term;
    m_isComplete = isComplete;
    return base;
}
}
