#include "shareledger.h"

#include "base/drift.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Longest validity of a leased part, equal to that of a coordinator lease.
constexpr TimeMs leasedMs = 4'000;
}

ShareLedger::ShareLedger(TimeMs electedAt)
    : m_electedAt(electedAt)
{
}

void ShareLedger::setDomains(const std::vector<std::string> &domains)
{
    m_domains = {domains.begin(), domains.end()};
}

void ShareLedger::setFloors(std::map<std::string, FloorRecord> floors)
{
    for (const auto &[domain, record] : floors) {
        if (record.holder != m_floors[domain].holder) {
            m_handedBack.erase(domain);
            m_floorReported.erase(domain);
        }
    }
    m_floors = std::move(floors);
    std::erase_if(m_proposed, [this](const auto &item) {
        const auto found = m_floors.find(item.first);
        return found != m_floors.end() && found->second == item.second;
    });
}

std::optional<ShareMessage> ShareLedger::grant(const SyncRequest &request, const std::optional<CoordinatorLeaseGrant> &lease, TimeMs contactAt, TimeMs now)
{
    ShareMessage grant;
    grantFloor(request, contactAt, now, grant);
    if (lease && m_domains.count(request.self.domain)) {
        grantLeased(request, *lease, contactAt, now, grant);
    }
    if (grant.floorMs <= 0 && grant.leasedMs <= 0) {
        return std::nullopt;
    }
    return grant;
}

void ShareLedger::grantFloor(const SyncRequest &request, TimeMs contactAt, TimeMs now, ShareMessage &grant)
{
    const std::string &domain = request.self.domain;
    const auto record = m_floors.find(domain);
    if (record == m_floors.end() || record->second.holder != request.self.id || !m_domains.count(domain)) {
        return;
    }
    if (request.share && request.share->handBack) {
        m_handedBack.insert(domain);
    }
    // The floor must not be renewed while a proposal for another holder may still be committed.
    const auto proposed = m_proposed.find(domain);
    const bool proposedElsewhere = proposed != m_proposed.end() && proposed->second.holder != request.self.id;
    if (m_handedBack.count(domain) || proposedElsewhere) {
        return;
    }
    m_floorContact[domain] = now;
    if (request.share && request.share->floorMs > 0) {
        m_floorReported[domain] = request.share->floorFraction;
    }
    grant.floorFraction = std::min(record->second.fraction, floorPart * target());
    grant.floorMs = std::min(contactAt, now) + floorMs - now;
}

void ShareLedger::grantLeased(const SyncRequest &request, const CoordinatorLeaseGrant &lease, TimeMs contactAt, TimeMs now, ShareMessage &grant)
{
    Leased &leased = m_leased[request.self.domain];
    double fraction = (1 - floorPart) * target();
    if (contactAt < m_electedAt + lengthenedByDrift(leasedMs)) {
        // A new leader does not have the fractions of the other domains yet, so it renews at most the reported fraction.
        fraction = request.share && request.share->leasedMs > 0 ? std::min(fraction, request.share->leasedFraction) : 0;
    } else {
        const double others = reserved(contactAt) - leasedInUse(leased, contactAt);
        fraction = std::clamp(1 - others, 0.0, fraction);
    }
    if (fraction < leasedInUse(leased, contactAt)) {
        leased.formerFraction = leasedInUse(leased, contactAt);
        leased.formerExpiry = std::max(leased.expiry, leased.formerExpiry);
    }
    leased.fraction = fraction;
    leased.expiry = now + lease.validMs;
    leased.holder = request.self.id;
    grant.leasedFraction = fraction;
    grant.leasedMs = fraction > 0 ? lease.validMs : 0;
    grant.renewalOnly = lease.renewalOnly;
}

std::map<std::string, FloorRecord> ShareLedger::proposals(TimeMs now)
{
    double free = 1 - reserved(now - leasedMs);
    for (const std::string &domain : m_domains) {
        const auto leased = m_leased.find(domain);
        if (m_proposed.count(domain) || leased == m_leased.end() || leased->second.holder.empty()) {
            continue;
        }
        const FloorRecord record = m_floors[domain];
        const double fraction = std::clamp(free + record.fraction, 0.0, floorPart * target());
        if (isFloorFree(domain, now) && fraction > 0) {
            m_proposed[domain] = {leased->second.holder, fraction};
            free -= std::max(0.0, fraction - record.fraction);
        } else if (m_floorReported.count(domain) && m_floorReported[domain] <= fraction && fraction < record.fraction) {
            m_proposed[domain] = {record.holder, fraction}; // the holder has confirmed the lower fraction
        }
    }
    for (const auto &[domain, record] : m_floors) {
        if (!m_domains.count(domain) && record.fraction > 0 && isFloorFree(domain, now)) {
            m_proposed[domain] = {};
        }
    }
    return m_proposed;
}

double ShareLedger::reserved(TimeMs contactAt) const
{
    double sum = 0;
    for (const auto &[domain, record] : m_floors) {
        const auto proposed = m_proposed.find(domain);
        sum += proposed == m_proposed.end() ? record.fraction : std::max(record.fraction, proposed->second.fraction);
    }
    for (const auto &[domain, record] : m_proposed) {
        sum += m_floors.count(domain) ? 0 : record.fraction;
    }
    for (const auto &[domain, leased] : m_leased) {
        sum += leasedInUse(leased, contactAt);
    }
    return sum;
}

double ShareLedger::target() const
{
    return m_domains.empty() ? 0 : 1.0 / static_cast<double>(m_domains.size());
}

double ShareLedger::leasedInUse(const Leased &leased, TimeMs contactAt) const
{
    return std::max(contactAt < leased.expiry ? leased.fraction : 0, contactAt < leased.formerExpiry ? leased.formerFraction : 0);
}

bool ShareLedger::isFloorFree(const std::string &domain, TimeMs now) const
{
    const auto record = m_floors.find(domain);
    if (record == m_floors.end() || record->second.holder.empty() || m_handedBack.count(domain)) {
        return true;
    }
    const auto contact = m_floorContact.find(domain);
    return now >= (contact == m_floorContact.end() ? m_electedAt : contact->second) + lengthenedByDrift(floorMs);
}

void ShareHolder::accept(const ShareMessage &grant, TimeMs sentAt, TimeMs now)
{
    if (m_handedBack) {
        return;
    }
    if (grant.floorMs > 0) {
        m_floor = {grant.floorFraction, sentAt + shortenedByDrift(std::min(grant.floorMs, floorMs))};
    }
    if (grant.leasedMs > 0 && !(grant.renewalOnly && now >= m_leased.expiry)) {
        m_leased = {grant.leasedFraction, sentAt + shortenedByDrift(std::min(grant.leasedMs, leasedMs))};
    }
}

double ShareHolder::fraction(TimeMs time) const
{
    return (time < m_floor.expiry ? m_floor.fraction : 0) + (time < m_leased.expiry ? m_leased.fraction : 0);
}

TimeMs ShareHolder::end(TimeMs time) const
{
    return nextDrop(time).value_or(0);
}

std::optional<TimeMs> ShareHolder::nextDrop(TimeMs time) const
{
    std::optional<TimeMs> next;
    for (const Part &part : {m_floor, m_leased}) {
        if (part.expiry > time) {
            next = std::min(next.value_or(part.expiry), part.expiry);
        }
    }
    return next;
}

ShareMessage ShareHolder::handBack()
{
    m_floor = {};
    m_leased = {};
    m_handedBack = true;
    ShareMessage message;
    message.handBack = true;
    return message;
}

ShareMessage ShareHolder::report(TimeMs now) const
{
    ShareMessage message;
    message.floorFraction = m_floor.fraction;
    message.floorMs = std::max<TimeMs>(0, m_floor.expiry - now);
    message.leasedFraction = m_leased.fraction;
    message.leasedMs = std::max<TimeMs>(0, m_leased.expiry - now);
    message.handBack = m_handedBack;
    return message;
}
}
