#include "confirmation.h"

#include "base/drift.h"
#include "proof.h"

#include <algorithm>
#include <optional>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs proofEndMs = lengthenedByDrift(proofValidMs);
}

ConfirmationTracker::ConfirmationTracker(TimeMs electedAt)
    : m_electedAt(electedAt)
{
}

void ConfirmationTracker::confirm(const std::string &id, std::uint64_t incarnation, std::uint64_t index)
{
    Process &process = m_processes[id];
    if (incarnation < process.incarnation) {
        return;
    }
    if (incarnation > process.incarnation) {
        process = {incarnation, 0, -1};
    }
    process.index = std::max(process.index, index);
    process.lostAt = -1;
}

void ConfirmationTracker::lose(const std::string &id, std::uint64_t incarnation, TimeMs now)
{
    // A process that was lost before it became known here may hold a proof all the same.
    Process &process = m_processes[id];
    if (incarnation > process.incarnation) {
        process = {incarnation, 0, -1};
    }
    if (incarnation == process.incarnation && process.lostAt < 0) {
        process.lostAt = now;
    }
}

InForce ConfirmationTracker::inForce(std::uint64_t index) const
{
    InForce result;
    for (const auto &[id, process] : m_processes) {
        if (process.lostAt >= 0) {
            continue;
        }
        ++result.known;
        result.confirmed += process.index >= index ? 1 : 0;
    }
    return result;
}

bool ConfirmationTracker::isWithdrawalDone(std::uint64_t index, TimeMs committedAt, TimeMs now)
{
    if (now >= committedAt + proofEndMs) {
        return true;
    }
    // A process that a new leader does not know yet may still use a proof of the former leader.
    if (now < m_electedAt + proofEndMs) {
        return false;
    }
    forgetLost(now);
    return std::all_of(m_processes.begin(), m_processes.end(), [index](const auto &item) {
        return item.second.index >= index;
    });
}

std::uint64_t ConfirmationTracker::confirmedByAll(TimeMs now)
{
    if (now < m_electedAt + proofEndMs) {
        return 0;
    }
    forgetLost(now);
    std::optional<std::uint64_t> lowest;
    for (const auto &[id, process] : m_processes) {
        lowest = std::min(lowest.value_or(process.index), process.index);
    }
    return lowest.value_or(0);
}

// A process that is gone counts while it may hold a proof that was issued before.
void ConfirmationTracker::forgetLost(TimeMs now)
{
    std::erase_if(m_processes, [now](const auto &item) {
        return item.second.lostAt >= 0 && now >= item.second.lostAt + proofEndMs;
    });
}
}
