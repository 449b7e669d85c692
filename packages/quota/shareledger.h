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
/// Part of a domain's share that its floor holder may use without contact to the leader.
constexpr double floorPart = 0.25;
/// Validity of the floor since the last contact.
constexpr TimeMs floorMs = 600'000;

/// Holder and size of a domain's floor, as recorded in the replicated state.
struct FloorRecord {
    std::string holder; ///< empty if the floor was handed back
    double fraction = 0;
    bool operator==(const FloorRecord &) const = default;
};

/// Leader side of the quota: grants each domain its fraction of every team's rate and burst.
///
/// The granted fractions that may still be in use never exceed 1 in total. As for coordinator leases, decisions are based on
/// the sending time of the last heartbeat round that a majority answered (`contactAt`).
class ShareLedger
{
public:
    explicit ShareLedger(TimeMs electedAt);
    /// Sets the domains listed in the manifest.
    void setDomains(const std::vector<std::string> &domains);
    /// Sets the floor records of the replicated state, by domain.
    void setFloors(std::map<std::string, FloorRecord> floors);
    /// Returns the share for the sender of a sync request. @p lease is the coordinator lease granted in the same response.
    std::optional<ShareMessage> grant(const SyncRequest &request, const std::optional<CoordinatorLeaseGrant> &lease, TimeMs contactAt, TimeMs now);
    /// Returns the floor records to commit. A record is returned until setFloors() contains it.
    std::map<std::string, FloorRecord> proposals(TimeMs now);
    /// Returns the sum of all fractions that may still be in use.
    double reserved(TimeMs contactAt) const;

private:
    struct Leased {
        double fraction = 0;
        TimeMs expiry = 0;
        double formerFraction = 0; ///< higher fraction granted earlier, in use until `formerExpiry`
        TimeMs formerExpiry = 0;
        std::string holder;
    };
    double target() const;
    double leasedInUse(const Leased &leased, TimeMs contactAt) const;
    void grantFloor(const SyncRequest &request, TimeMs contactAt, TimeMs now, ShareMessage &grant);
    void grantLeased(const SyncRequest &request, const CoordinatorLeaseGrant &lease, TimeMs contactAt, TimeMs now, ShareMessage &grant);
    bool isFloorFree(const std::string &domain, TimeMs now) const;

    TimeMs m_electedAt;
    std::set<std::string> m_domains;
    std::map<std::string, FloorRecord> m_floors;
    std::map<std::string, TimeMs> m_floorContact;
    std::map<std::string, double> m_floorReported; ///< fraction in use according to the holder
    std::set<std::string> m_handedBack; ///< domains whose holder has given up its floor
    std::map<std::string, FloorRecord> m_proposed;
    std::map<std::string, Leased> m_leased;
};

/// Holder side of the share. Expiry is counted from the local time at which the sync request was sent.
class ShareHolder
{
public:
    /// Applies a grant from the response to a sync request that was sent at @p sentAt. Ignored after handBack().
    void accept(const ShareMessage &grant, TimeMs sentAt, TimeMs now);
    /// Returns the fraction of every team's rate and burst that may be used at @p time.
    double fraction(TimeMs time) const;
    /// Returns the latest expiry of a loan made at @p time: the next drop of the fraction; 0 if nothing is held.
    TimeMs end(TimeMs time) const;
    /// Returns the first time after @p time at which the fraction drops, if any.
    std::optional<TimeMs> nextDrop(TimeMs time) const;
    /// Gives up the share permanently and returns the report that tells the leader.
    ShareMessage handBack();
    /// Returns the share in use, for a sync request.
    ShareMessage report(TimeMs now) const;

private:
    struct Part {
        double fraction = 0;
        TimeMs expiry = 0;
    };
    Part m_floor;
    Part m_leased;
    bool m_handedBack = false;
};
}
