#pragma once

#include "base/random.h"
#include "claimlimits.h"
#include "claimtable.h"
#include "protocol/claimmessages.h"

#include <optional>
#include <vector>

namespace Yuccagrade
{
/// How a replica comes to hold its epoch.
enum class ReplicaStart {
    FirstEpoch, ///< the group is new: nothing can have been claimed
    NewEpoch, ///< the group has moved on: copies from two replicas of the former epoch
    Restarted, ///< the process has restarted within the epoch: copies from both other replicas
};

struct ReplicaOptions {
    int group = 0;
    std::int64_t epoch = 0;
    ReplicaStart start = ReplicaStart::Restarted;
    std::int64_t formerEpoch = 0; ///< only for NewEpoch
    TimeMs windowMs = defaultClaimWindowMs;
    std::size_t maxClaims = defaultMaxClaims;
};

/// A copy request and the source it goes to. Sources are numbered from 0: the two other replicas of the epoch in
/// ascending order (Restarted), or the three replicas of the former epoch (NewEpoch).
struct CopySend {
    int source = 0;
    CopyRequest request;
};

/// One of the three replicas of a claim group in one epoch. Claims are in memory only.
class ClaimReplica
{
public:
    ClaimReplica(const ReplicaOptions &options, TimeMs now);

    ClaimAnswer claim(const ClaimRequest &request, TimeMs now);
    /// Gives a claim back. Ignored if the action is held by another token.
    void release(const ClaimRequest &request, TimeMs now);
    /// Serves one page to a copying replica; with `seal` the replica refuses its epoch from now on.
    CopyAnswer copy(const CopyRequest &request, TimeMs now);
    /// The replicated state has a newer epoch: refuse this one.
    void seal();

    /// Call about every 100 ms. Returns the copy requests to send.
    std::vector<CopySend> tick(TimeMs now, Random &random);
    /// Takes a page in. Returns the request for the next page, if there is one.
    std::optional<CopySend> onCopyAnswer(int source, const CopyAnswer &answer, TimeMs now);

    bool isAbstaining() const;
    bool isSealed() const;
    std::size_t claimCount() const;

private:
    struct Source {
        bool done = false;
        std::uint64_t nonce = 0; ///< 0: no copy under way
        std::uint64_t from = 0;
        TimeMs startedAt = 0;
        TimeMs askedAt = 0;
    };

    CopySend requestTo(int source, TimeMs now);
    void dropOldCopies(TimeMs now);
    bool merge(const CopiedClaim &copied, TimeMs now);
    bool mergePage(const CopyAnswer &answer, TimeMs now);

    ReplicaOptions m_options;
    ClaimTable m_claims;
    std::vector<Source> m_sources;
    TimeMs m_startedAt;
    bool m_abstaining;
    bool m_sealed = false;
};
}
