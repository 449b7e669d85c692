#include "memberview.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Members that are down are kept to refuse their old incarnations; replaced hosts must not pile up without bound.
constexpr std::size_t maxTombstones = 1'000;
// A relay vouches longer than any proof that it passed on is valid, so that the leader waits for the process.
constexpr TimeMs relaySilentMs = 6'000;
// Stands for the former coordinator or leader after a takeover. Not a valid view identity.
const std::string formerOwner = "(former owner)";
}

MemberView::MemberView(std::string source)
    : m_source(std::move(source))
{
}

bool MemberView::hear(const Member &member, std::uint64_t stateIndex, TimeMs now)
{
    Entry &entry = m_entries[member.id];
    if (!set(entry, member)) {
        return false;
    }
    vouch(entry, m_source, now);
    confirm(entry, {member.id, member.incarnation, stateIndex});
    return true;
}

std::optional<std::uint64_t>
MemberView::takeReport(const std::string &reporter, const MemberReport &report, TimeMs now)
{
    Reporter &known = m_reporters[reporter];
    known.heardAt = now;
    if (report.base > known.version) {
        return std::nullopt;
    }
    // An older report that arrives late must not undo a newer one.
    if (report.version >= known.version) {
        takeMembers(reporter, report, now);
        if (report.base == 0) {
            dropUnlisted(reporter, report, now);
        }
    }
    for (const StateConfirmation &confirmation : report.confirmed) {
        const auto found = m_entries.find(confirmation.id);
        if (found != m_entries.end()) {
            confirm(found->second, confirmation);
        }
    }
    known.version = std::max(known.version, report.version);
    return known.version;
}

void MemberView::takeMembers(const std::string &reporter, const MemberReport &report, TimeMs now)
{
    for (const Member &member : report.members) {
        Entry &entry = m_entries[member.id];
        const bool newer = member.incarnation > entry.member.incarnation;
        if (!member.up) {
            if (newer || entry.voucher == reporter) {
                if (set(entry, member)) {
                    entry.voucher.clear();
                    ++m_losses;
                }
            }
            continue;
        }
        const bool heardHere = entry.voucher == m_source && silentSince(entry, now) < memberSilentMs;
        if ((newer || !heardHere) && set(entry, member)) {
            vouch(entry, reporter, now);
        }
    }
}

void MemberView::dropUnlisted(const std::string &reporter, const MemberReport &report, TimeMs now)
{
    std::set<std::string> listed;
    for (const Member &member : report.members) {
        listed.insert(member.id);
    }
    for (auto &[id, entry] : m_entries) {
        if (entry.voucher == reporter && !listed.count(id)) {
            entry.voucher = m_source; // goes down here unless it is heard within the usual time
            entry.heardAt = now;
        }
    }
}

void MemberView::learn(const ViewDelta &delta)
{
    std::set<std::string> listed;
    for (const Member &member : delta.members) {
        listed.insert(member.id);
        const auto found = m_entries.find(member.id);
        if (found == m_entries.end() && !member.up) {
            continue;
        }
        Entry &entry = m_entries[member.id];
        if (isLearned(entry) || member.incarnation > entry.member.incarnation) {
            set(entry, member);
        }
    }
    if (!delta.full || !delta.authoritative) {
        return;
    }
    for (auto &[id, entry] : m_entries) {
        if (isLearned(entry) && !listed.count(id)) {
            markDown(entry);
        }
    }
    trimTombstones();
}

void MemberView::adopt(const std::string &domain, TimeMs now)
{
    m_reporters[formerOwner].heardAt = now;
    for (auto &[id, entry] : m_entries) {
        if (entry.voucher.empty() && entry.member.up && (domain.empty() || entry.member.domain == domain)) {
            entry.voucher = formerOwner;
        }
    }
}

std::vector<Member> MemberView::expire(TimeMs now)
{
    std::vector<Member> down;
    for (auto &[id, entry] : m_entries) {
        const TimeMs limit = entry.voucher == m_source ? memberSilentMs : reporterSilentMs;
        if (!entry.voucher.empty() && silentSince(entry, now) >= limit) {
            markDown(entry);
            down.push_back(entry.member);
            ++m_losses;
        }
    }
    std::erase_if(m_reporters, [now](const auto &item) {
        return now - item.second.heardAt >= reporterSilentMs;
    });
    trimTombstones();
    return down;
}

void MemberView::forgetHeard(TimeMs now)
{
    for (auto &[id, entry] : m_entries) {
        const TimeMs limit = entry.voucher == m_source ? relaySilentMs : reporterSilentMs;
        if (!entry.voucher.empty() && silentSince(entry, now) >= limit) {
            entry.voucher.clear();
            entry.dropped = true;
            entry.changed = entry.reported = ++m_version;
            ++m_losses;
        }
    }
}

ViewDelta MemberView::changesSince(const std::string &source, std::uint64_t version) const
{
    ViewDelta delta;
    delta.source = m_source;
    delta.version = m_version;
    delta.full = source != m_source || version > m_version || version < m_trimmed || version == 0;
    for (const auto &[id, entry] : m_entries) {
        if (delta.full ? entry.member.up : entry.changed > version) {
            delta.members.push_back(entry.member);
        }
    }
    return delta;
}

MemberReport MemberView::report(std::uint64_t base) const
{
    MemberReport report;
    report.base = base <= m_version ? base : 0;
    report.version = m_version;
    for (const auto &[id, entry] : m_entries) {
        const bool mine = !isLearned(entry) || entry.dropped || !entry.member.up;
        if (!mine || entry.reported <= report.base) {
            continue;
        }
        if (entry.changed > report.base) {
            report.members.push_back(entry.member);
            report.members.back().up = entry.member.up && !entry.dropped;
        }
        if (entry.member.up && !entry.dropped) {
            report.confirmed.push_back({id, entry.member.incarnation, entry.stateIndex});
        }
    }
    return report;
}

const Member *MemberView::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.member.up ? &found->second.member : nullptr;
}

std::vector<Member> MemberView::upMembers() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.up) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::uint64_t MemberView::confirmedIndex(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? 0 : found->second.stateIndex;
}

bool MemberView::set(Entry &entry, const Member &member)
{
    if (member.incarnation < entry.member.incarnation) {
        return false;
    }
    if (member.incarnation > entry.member.incarnation) {
        entry.stateIndex = 0;
        entry.dropped = false;
        entry.voucher.clear();
    }
    Member merged = member;
    // A process never leaves draining within one incarnation; an outdated view must not bring it back.
    merged.draining = member.draining || (member.incarnation == entry.member.incarnation && entry.member.draining);
    if (entry.member != merged) {
        entry.member = merged;
        entry.changed = entry.reported = ++m_version;
    }
    return true;
}

void MemberView::vouch(Entry &entry, const std::string &voucher, TimeMs now)
{
    // A learned member becomes part of the reports, so the reports must list it again.
    if (isLearned(entry)) {
        entry.changed = entry.reported = ++m_version;
        entry.dropped = false;
    }
    entry.voucher = voucher;
    entry.heardAt = now;
}

void MemberView::confirm(Entry &entry, const StateConfirmation &confirmation)
{
    if (confirmation.incarnation == entry.member.incarnation && confirmation.stateIndex > entry.stateIndex) {
        entry.stateIndex = confirmation.stateIndex;
        entry.reported = ++m_version;
    }
}

TimeMs MemberView::silentSince(const Entry &entry, TimeMs now) const
{
    if (entry.voucher == m_source) {
        return now - entry.heardAt;
    }
    const auto reporter = m_reporters.find(entry.voucher);
    return reporter == m_reporters.end() ? reporterSilentMs : now - reporter->second.heardAt;
}

bool MemberView::isLearned(const Entry &entry) const
{
    return entry.voucher.empty() || entry.voucher == formerOwner;
}

void MemberView::markDown(Entry &entry)
{
    entry.voucher.clear();
    if (entry.member.up) {
        entry.member.up = false;
        entry.changed = entry.reported = ++m_version;
    }
}

void MemberView::trimTombstones()
{
    std::vector<std::pair<std::uint64_t, std::string>> down;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.member.up) {
            down.emplace_back(entry.changed, id);
        }
    }
    if (down.size() <= maxTombstones) {
        return;
    }
    std::sort(down.begin(), down.end());
    down.resize(down.size() - maxTombstones);
    for (const auto &[version, id] : down) {
        m_trimmed = std::max(m_trimmed, version);
        m_entries.erase(id);
    }
}
}
