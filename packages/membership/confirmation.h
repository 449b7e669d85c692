#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace Yuccagrade
{
/// How many processes have applied an index.
struct InForce {
    int confirmed = 0;
    int known = 0;
};

/// Leader side: knows which processes have confirmed which state index.
class ConfirmationTracker
{
public:
    /// @param electedAt time at which the host became leader; it does not know all processes at once.
    explicit ConfirmationTracker(TimeMs electedAt);
    /// Records that a process has applied @p index. A lower index or incarnation changes nothing.
    void confirm(const std::string &id, std::uint64_t incarnation, std::uint64_t index);
    /// The process is no longer reachable. It still counts while it may hold a valid proof.
    void lose(const std::string &id, std::uint64_t incarnation, TimeMs now);
    /// Returns how many reachable processes have confirmed @p index.
    InForce inForce(std::uint64_t index) const;
    /// True if no process accepts state before @p index any more: all processes have confirmed it, or every proof that
    /// was issued before the commit at @p committedAt has expired.
    bool isWithdrawalDone(std::uint64_t index, TimeMs committedAt, TimeMs now);
    /// Returns the highest index that every process which may hold a valid proof has confirmed; 0 if not known yet.
    std::uint64_t confirmedByAll(TimeMs now);

private:
    struct Process {
        std::uint64_t incarnation = 0;
        std::uint64_t index = 0;
        TimeMs lostAt = -1;
    };
    void forgetLost(TimeMs now);

    TimeMs m_electedAt;
    std::map<std::string, Process> m_processes;
};
}
