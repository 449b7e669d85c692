#pragma once

#include "base/clock.h"
#include "protocol/syncmessages.h"

#include <map>
#include <optional>
#include <string>

namespace Yuccagrade
{
/// Validity of a coordinator lease.
constexpr TimeMs coordinatorLeaseMs = 4'000;

/// Leader side: grants one coordinator lease per domain.
///
/// All decisions use the sending time of the last heartbeat round that a majority answered (@p contactAt), because a
/// leader that was replaced without its knowledge must not grant a lease that overlaps one of its successor.
class CoordinatorLeaseTable
{
public:
    /// @param electedAt time at which the host became leader.
    explicit CoordinatorLeaseTable(TimeMs electedAt);
    /// Grants or renews the lease of the requester's domain. Returns nothing if another process may hold it.
    std::optional<CoordinatorLeaseGrant> grant(const SyncRequest &request, TimeMs contactAt, TimeMs now);
    /// Returns the id of the domain's coordinator, empty if none is known.
    std::string holder(const std::string &domain, TimeMs now) const;
    /// Frees the lease at once if @p id holds it and has handed it back.
    void release(const std::string &domain, const std::string &id, std::uint64_t incarnation);

private:
    struct Lease {
        std::string id;
        std::uint64_t incarnation = 0;
        TimeMs expiry = 0;
    };
    TimeMs m_settledAt; ///< until then leases of the former leader may be valid
    std::map<std::string, Lease> m_leases;
};

/// Holder side. Expiry is counted from the own sending time.
class CoordinatorLeaseHolder
{
public:
    void accept(const CoordinatorLeaseGrant &grant, TimeMs sentAt, TimeMs now);
    TimeMs expiry() const
    {
        return m_expiry;
    }
    bool isHeld(TimeMs now) const
    {
        return now < m_expiry;
    }
    TimeMs leftMs(TimeMs now) const
    {
        return isHeld(now) ? m_expiry - now : 0;
    }
    /// Stops using the lease; a response that is still on its way does not bring it back.
    void release(TimeMs now);

private:
    TimeMs m_expiry = 0;
    TimeMs m_releasedAt = -1;
};
}
