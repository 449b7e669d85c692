#pragma once

#include "base/clock.h"
#include "protocol/syncmessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// A process that has not been heard from for this time is down.
constexpr TimeMs memberSilentMs = 3'000;
/// A silent reporter vouches for its members this long: detection, a new coordinator lease and two sync periods.
constexpr TimeMs reporterSilentMs = 10'000;

/// The members that one process knows, with versioned changes.
///
/// Members come from three sources: heard directly, vouched for by a reporter (a coordinator or relay that syncs with
/// this process) and learned from the responses of this process's own syncs. What is heard here wins over what is
/// learned. A lower incarnation, or revision within one, never replaces a higher one.
class MemberView
{
public:
    /// @param source identity of this view; it must differ after a restart.
    explicit MemberView(std::string source);

    /// A member has sent a message. Returns false if its incarnation is outdated.
    bool hear(const Member &member, std::uint64_t stateIndex, TimeMs now);
    /// Takes a report of the view @p reporter. Returns the version of that view that is now known, or nothing if
    /// changes are missing before the report.
    std::optional<std::uint64_t> takeReport(const std::string &reporter, const MemberReport &report, TimeMs now);
    /// Takes a response's view.
    void learn(const ViewDelta &delta);
    /// Takes over the duty to mark learned members down: those of @p domain, or of all domains if it is empty.
    void adopt(const std::string &domain, TimeMs now);
    /// Marks members down that nobody vouches for any more. Returns them.
    std::vector<Member> expire(TimeMs now);
    /// Forgets whom this process heard without marking anybody down, as a relay does.
    void forgetHeard(TimeMs now);
    /// Counts members that are no longer heard here. Learned changes were ignored until then, so the learner needs a
    /// full view after each change of this number.
    std::uint64_t losses() const
    {
        return m_losses;
    }

    /// Returns the changes since @p version of view @p source, or all members if that is not known.
    ViewDelta changesSince(const std::string &source, std::uint64_t version) const;
    /// Returns the members heard here or vouched for, as changes since @p base.
    MemberReport report(std::uint64_t base) const;

    /// Returns the member if it is up.
    const Member *find(const std::string &id) const;
    std::vector<Member> upMembers() const;
    /// Returns the state index that the member has confirmed here, 0 if unknown.
    std::uint64_t confirmedIndex(const std::string &id) const;
    const std::string &source() const
    {
        return m_source;
    }
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Entry {
        Member member;
        std::uint64_t stateIndex = 0;
        std::optional<TimeMs> heardAt; ///< last message to this process
        std::set<std::string> vouchers; ///< reporters that list the member
        std::uint64_t changed = 0; ///< version of the last change of `member`
        std::uint64_t reported = 0; ///< version of the last change of anything that a report contains
        bool dropped = false; ///< was heard here once; a report withdraws it
    };
    struct Reporter {
        TimeMs heardAt = 0;
        std::uint64_t version = 0;
    };
    bool set(Entry &entry, const Member &member);
    void becomeHeard(Entry &entry);
    void confirm(Entry &entry, const StateConfirmation &confirmation);
    void takeMembers(const std::string &reporter, const MemberReport &report);
    bool loseSilent(Entry &entry, TimeMs silentMs, TimeMs now);
    static bool isHeard(const Entry &entry);
    void withdraw(Entry &entry, const std::string &reporter);
    void dropUnlisted(const std::string &reporter, const MemberReport &report);
    void markDown(Entry &entry);
    void trimTombstones();

    std::string m_source;
    std::uint64_t m_version = 0;
    std::uint64_t m_losses = 0;
    std::uint64_t m_trimmed = 0; ///< highest version of a removed tombstone
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Reporter> m_reporters;
};
}
