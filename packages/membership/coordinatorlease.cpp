#include "coordinatorlease.h"

#include "base/drift.h"

#include <algorithm>

namespace Yuccagrade
{
CoordinatorLeaseTable::CoordinatorLeaseTable(TimeMs electedAt)
    : m_settledAt(electedAt + lengthenedByDrift(coordinatorLeaseMs))
{
}

std::optional<CoordinatorLeaseGrant> CoordinatorLeaseTable::grant(const SyncRequest &request, TimeMs contactAt, TimeMs now)
{
    const Member &self = request.self;
    const TimeMs end = std::min(contactAt, now) + coordinatorLeaseMs;
    if (!request.wantsLease || self.draining || end <= now) {
        return std::nullopt;
    }
    Lease &lease = m_leases[self.domain];
    const bool same = lease.id == self.id && lease.incarnation == self.incarnation;
    const bool settled = contactAt >= m_settledAt;
    // Before the leases of the former leader have expired, only a process that still holds one may continue.
    const bool continues = request.leaseLeftMs > 0 && (lease.id.empty() || same);
    const bool available = same || contactAt >= lease.expiry;
    if (settled ? !available : !continues) {
        return std::nullopt;
    }
    lease = {self.id, self.incarnation, std::max(end, same ? lease.expiry : 0)};
    return CoordinatorLeaseGrant{end - now, !settled};
}

std::string CoordinatorLeaseTable::holder(const std::string &domain, TimeMs now) const
{
    const auto found = m_leases.find(domain);
    return found != m_leases.end() && now < found->second.expiry ? found->second.id : std::string();
}

void CoordinatorLeaseTable::release(const std::string &domain, const std::string &id, std::uint64_t incarnation)
{
    const auto found = m_leases.find(domain);
    if (found != m_leases.end() && found->second.id == id && found->second.incarnation == incarnation) {
        found->second.expiry = 0;
    }
}

void CoordinatorLeaseHolder::accept(const CoordinatorLeaseGrant &grant, TimeMs sentAt, TimeMs now)
{
    if (sentAt <= m_releasedAt || (grant.renewalOnly && !isHeld(now))) {
        return;
    }
    m_expiry = std::max(m_expiry, sentAt + shortenedByDrift(std::min(grant.validMs, coordinatorLeaseMs)));
}

void CoordinatorLeaseHolder::release(TimeMs now)
{
    m_expiry = 0;
    m_releasedAt = now;
}
}
