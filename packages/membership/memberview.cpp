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
    if (member.incarnation < entry.member.incarnation) {
        return false;
    }
    set(entry, member);
    becomeHeard(entry);
    entry.heardAt = now;
    confirm(entry, {member.id, member.incarnation, stateIndex});
    return true;
}

std::optional<std::uint64_t> MemberView::takeReport(const std::string &reporter, const MemberReport &report, TimeMs now)
{
    Reporter &known = m_reporters[reporter];
    known.heardAt = now;
    if (report.base > known.version) {
        return std::nullopt;
    }
    // An older report that arrives late must not undo a newer one.
    if (report.version >= known.version) {
        takeMembers(reporter, report);
        if (report.base == 0) {
            dropUnlisted(reporter, report);
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

void MemberView::takeMembers(const std::string &reporter, const MemberReport &report)
{
    for (const Member &member : report.members) {
        Entry &entry = m_entries[member.id];
        if (!member.up) {
            if (member.incarnation > entry.member.incarnation) {
                set(entry, member);
            }
            withdraw(entry, reporter);
        } else if (member.incarnation >= entry.member.incarnation) {
            set(entry, member);
            becomeHeard(entry);
            entry.vouchers.insert(reporter);
        }
    }
}

void MemberView::withdraw(Entry &entry, const std::string &reporter)
{
    if (entry.vouchers.erase(reporter) != 0 && !isHeard(entry)) {
        markDown(entry);
        ++m_losses;
    }
}

void MemberView::dropUnlisted(const std::string &reporter, const MemberReport &report)
{
    std::set<std::string> listed;
    for (const Member &member : report.members) {
        listed.insert(member.id);
    }
    for (auto &[id, entry] : m_entries) {
        if (!listed.count(id)) {
            withdraw(entry, reporter);
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
        if (!isHeard(entry) || member.incarnation > entry.member.incarnation) {
            set(entry, member);
        }
    }
    if (!delta.full || !delta.authoritative) {
        return;
    }
    for (auto &[id, entry] : m_entries) {
        if (!isHeard(entry) && !listed.count(id)) {
            markDown(entry);
        }
    }
    trimTombstones();
}

void MemberView::adopt(const std::string &domain, TimeMs now)
{
    m_reporters[formerOwner].heardAt = now;
    for (auto &[id, entry] : m_entries) {
        if (!isHeard(entry) && entry.member.up && (domain.empty() || entry.member.domain == domain)) {
            entry.vouchers.insert(formerOwner);
        }
    }
}

std::vector<Member> MemberView::expire(TimeMs now)
{
    std::vector<Member> down;
    for (auto &[id, entry] : m_entries) {
        if (loseSilent(entry, memberSilentMs, now)) {
            markDown(entry);
            down.push_back(entry.member);
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
        if (loseSilent(entry, relaySilentMs, now)) {
            entry.dropped = true;
            entry.changed = entry.reported = ++m_version;
        }
    }
}

bool MemberView::loseSilent(Entry &entry, TimeMs silentMs, TimeMs now)
{
    const bool hadAny = entry.heardAt || !entry.vouchers.empty();
    if (entry.heardAt && now - *entry.heardAt >= silentMs) {
        entry.heardAt.reset();
    }
    std::erase_if(entry.vouchers, [this, now](const std::string &voucher) {
        const auto reporter = m_reporters.find(voucher);
        return reporter == m_reporters.end() || now - reporter->second.heardAt >= reporterSilentMs;
    });
    const bool lost = hadAny && !entry.heardAt && entry.vouchers.empty();
    m_losses += lost ? 1 : 0;
    return lost;
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
        const bool mine = isHeard(entry) || entry.dropped || !entry.member.up;
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
    const auto rank = [](const Member &item) {
        return std::pair(item.incarnation, item.revision);
    };
    if (rank(member) < rank(entry.member)) {
        return false;
    }
    if (member.incarnation > entry.member.incarnation) {
        entry.stateIndex = 0;
        entry.dropped = false;
        entry.heardAt.reset();
        entry.vouchers.clear();
    }
    if (entry.member != member) {
        entry.member = member;
        entry.changed = entry.reported = ++m_version;
    }
    return true;
}

void MemberView::becomeHeard(Entry &entry)
{
    // A learned member becomes part of the reports, so the reports must list it again.
    if (!isHeard(entry) || !entry.member.up) {
        entry.member.up = true;
        entry.dropped = false;
        entry.changed = entry.reported = ++m_version;
    }
}

void MemberView::confirm(Entry &entry, const StateConfirmation &confirmation)
{
    if (confirmation.incarnation == entry.member.incarnation && confirmation.stateIndex > entry.stateIndex) {
        entry.stateIndex = confirmation.stateIndex;
        entry.reported = ++m_version;
    }
}

bool MemberView::isHeard(const Entry &entry)
{
    return entry.heardAt || entry.vouchers.size() > entry.vouchers.count(formerOwner);
}

void MemberView::markDown(Entry &entry)
{
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
