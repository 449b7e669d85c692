#include "claimreplica.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// Two copies meet every majority of three: both others for a restart, any two of the former epoch for a new one.
constexpr int copiesNeeded = 2;

std::size_t sourceCount(ReplicaStart start)
{
    return start == ReplicaStart::FirstEpoch ? 0 : start == ReplicaStart::NewEpoch ? 3 : 2;
}

// The window by a clock that runs 5% fast.
TimeMs windowWithDrift(TimeMs windowMs)
{
    return windowMs + windowMs / 20;
}
}

ClaimReplica::ClaimReplica(const ReplicaOptions &options, TimeMs now)
    : m_options(options)
    , m_claims(options.maxClaims)
    , m_sources(sourceCount(options.start))
    , m_startedAt(now)
    , m_abstaining(options.start != ReplicaStart::FirstEpoch)
{
}

ClaimAnswer ClaimReplica::claim(const ClaimRequest &request, TimeMs now)
{
    const auto answer = [this](ClaimResult result) {
        return ClaimAnswer{result, m_options.epoch};
    };
    if (m_sealed || request.epoch != m_options.epoch || request.group != m_options.group) {
        return answer(ClaimResult::WrongEpoch);
    }
    if (m_abstaining) {
        return answer(ClaimResult::Abstain);
    }
    const Claim *known = m_claims.find(request.action, now);
    if (known) {
        const bool sameToken = known->token == request.token;
        const bool grantable = known->state() == ClaimMark::Released ? !sameToken : known->state() == ClaimMark::Held && sameToken;
        if (!grantable) {
            return answer(ClaimResult::Refused);
        }
    }
    const bool stored = m_claims.put(request.action, request.token, now + m_options.windowMs, ClaimMark::Held);
    return answer(stored ? ClaimResult::Granted : ClaimResult::Abstain);
}

void ClaimReplica::release(const ClaimRequest &request, TimeMs now)
{
    if (request.epoch != m_options.epoch || request.group != m_options.group) {
        return;
    }
    const Claim *known = m_claims.find(request.action, now);
    if (!known || (known->state() == ClaimMark::Held && known->token == request.token)) {
        m_claims.put(request.action, request.token, now + m_options.windowMs, ClaimMark::Released);
    }
}

CopyAnswer ClaimReplica::copy(const CopyRequest &request, TimeMs now)
{
    CopyAnswer answer{m_options.group, m_options.epoch, request.nonce, request.from, 0, true, m_sealed, {}};
    if (request.epoch != m_options.epoch || request.group != m_options.group) {
        return answer;
    }
    m_sealed = m_sealed || request.seal;
    answer.sealed = m_sealed;
    answer.abstaining = m_abstaining;
    if (!m_abstaining) {
        answer.next = m_claims.page(request.from, copyPageSize, now, answer.claims);
    }
    return answer;
}

void ClaimReplica::seal()
{
    m_sealed = true;
}

std::vector<CopySend> ClaimReplica::tick(TimeMs now, Random &random)
{
    m_claims.expire(now);
    std::vector<CopySend> sends;
    if (now - m_startedAt >= windowWithDrift(m_options.windowMs)) {
        m_abstaining = false;
    }
    const bool holds = m_options.start == ReplicaStart::Restarted && now - m_startedAt < restartHoldMs;
    if (!m_abstaining || holds) {
        return sends;
    }
    dropOldCopies(now);
    for (std::size_t i = 0; i < m_sources.size(); ++i) {
        Source &source = m_sources[i];
        if (source.done || (source.nonce != 0 && now - source.askedAt < copyRetryMs)) {
            continue;
        }
        if (source.nonce == 0) {
            source = Source{false, random.below(UINT64_MAX - 1) + 1, 0, now, now};
        }
        sends.push_back(requestTo(static_cast<int>(i), now));
    }
    return sends;
}

// Forgets copies that are too old to count together with a fresh one.
void ClaimReplica::dropOldCopies(TimeMs now)
{
    for (Source &source : m_sources) {
        if (source.nonce != 0 && now - source.startedAt > maxCopyMs) {
            source = Source{};
        }
    }
}

CopySend ClaimReplica::requestTo(int source, TimeMs now)
{
    Source &asked = m_sources[static_cast<std::size_t>(source)];
    asked.askedAt = now;
    const bool fromFormer = m_options.start == ReplicaStart::NewEpoch;
    const std::int64_t epoch = fromFormer ? m_options.formerEpoch : m_options.epoch;
    return {source, {m_options.group, epoch, fromFormer, asked.nonce, asked.from}};
}

std::optional<CopySend> ClaimReplica::onCopyAnswer(int source, const CopyAnswer &answer, TimeMs now)
{
    if (!m_abstaining || source < 0 || static_cast<std::size_t>(source) >= m_sources.size()) {
        return std::nullopt;
    }
    dropOldCopies(now);
    Source &asked = m_sources[static_cast<std::size_t>(source)];
    if (asked.done || asked.nonce == 0 || answer.nonce != asked.nonce || answer.from != asked.from) {
        return std::nullopt;
    }
    // A replica that restarts must not grant again in an epoch that has ended.
    m_sealed = m_sealed || (answer.sealed && m_options.start == ReplicaStart::Restarted);
    if (answer.abstaining) {
        return std::nullopt; // asked again by tick()
    }
    if (!mergePage(answer, now)) {
        asked = Source{}; // the table is full: an incomplete copy must not end the abstention
        return std::nullopt;
    }
    if (answer.next != 0) {
        asked.from = answer.next;
        return requestTo(source, now);
    }
    asked.done = true;
    const auto done = std::count_if(m_sources.begin(), m_sources.end(), [](const Source &s) {
        return s.done;
    });
    m_abstaining = done < copiesNeeded;
    return std::nullopt;
}

bool ClaimReplica::mergePage(const CopyAnswer &answer, TimeMs now)
{
    return std::all_of(answer.claims.begin(), answer.claims.end(), [this, now](const CopiedClaim &copied) {
        return merge(copied, now);
    });
}

// Two sources may hold one action for different tokens; either may have been dispatched, so neither is granted again.
bool ClaimReplica::merge(const CopiedClaim &copied, TimeMs now)
{
    const Claim *known = m_claims.find(copied.action, now);
    TimeMs expiresAt = now + copied.remainingMs;
    ClaimMark mark = copied.token == Id128{} ? ClaimMark::Blocked : ClaimMark::Held;
    if (known && known->state() == ClaimMark::Released && known->token == copied.token) {
        return true;
    }
    if (known && known->state() != ClaimMark::Released) {
        expiresAt = std::max<TimeMs>(expiresAt, known->expiresAt);
        mark = known->token == copied.token && known->state() == mark ? mark : ClaimMark::Blocked;
    }
    return m_claims.put(copied.action, mark == ClaimMark::Blocked ? Id128{} : copied.token, expiresAt, mark);
}

bool ClaimReplica::isAbstaining() const
{
    return m_abstaining;
}

bool ClaimReplica::isSealed() const
{
    return m_sealed;
}

std::size_t ClaimReplica::claimCount() const
{
    return m_claims.size();
}
}
