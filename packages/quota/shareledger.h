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
/// Part of a domain's share that its floor holder keeps without contact.
constexpr double floorPart = 0.25;
constexpr TimeMs floorMs = 600'000;

/// The process that holds a domain's floor, as recorded in the replicated state.
struct FloorRecord {
    std::string holder; ///< empty if the floor was handed back
    double fraction = 0;
    bool operator==(const FloorRecord &) const = default;
};

/// Leader side: grants each domain its fraction of every team's rate and burst.
///
/// Fractions that are granted and may still be in use never exceed 1 in total. As for coordinator leases, decisions use
/// the sending time of the last heartbeat round that a majority answered.
class ShareLedger
{
public:
    explicit ShareLedger(TimeMs electedAt);
    /// Domains that the manifest names.
    void setDomains(const std::vector<std::string> &domains);
    /// Floor holders in the replicated state by domain.
    void setFloors(std::map<std::string, FloorRecord> floors);
    /// Returns the share for the sender of a sync request. @p lease is the coordinator lease in the same response.
    std::optional<ShareMessage> grant(const SyncRequest &request,
                                      const std::optional<CoordinatorLeaseGrant> &lease,
                                      TimeMs contactAt,
                                      TimeMs now);
    /// Returns the floor records to commit now. The same ones are returned until setFloors() shows them.
    std::map<std::string, FloorRecord> proposals(TimeMs now);
    /// Returns the sum of all fractions that may be in use.
    double reserved(TimeMs contactAt) const;

private:
    struct Leased {
        double fraction = 0;
        TimeMs expiry = 0;
        double formerFraction = 0; ///< higher fraction granted before, in use until `formerExpiry`
        TimeMs formerExpiry = 0;
        std::string holder;
    };
    double target() const;
    double leasedInUse(const Leased &leased, TimeMs contactAt) const;
    void grantFloor(const SyncRequest &request, TimeMs contactAt, TimeMs now, ShareMessage &grant);
    void grantLeased(const SyncRequest &request,
                     const CoordinatorLeaseGrant &lease,
                     TimeMs contactAt,
                     TimeMs now,
                     ShareMessage &grant);
    bool isFloorFree(const std::string &domain, TimeMs now) const;

    TimeMs m_electedAt;
    std::set<std::string> m_domains;
    std::map<std::string, FloorRecord> m_floors;
    std::map<std::string, TimeMs> m_floorContact;
    std::map<std::string, double> m_floorReported; ///< fraction that the holder reported to use
    std::set<std::string> m_handedBack; ///< domains whose holder has stopped using its floor
    std::map<std::string, FloorRecord> m_proposed;
    std::map<std::string, Leased> m_leased;
};

/// Holder side: the share in use. Expiry is counted from the own sending time.
class ShareHolder
{
public:
    void accept(const ShareMessage &grant, TimeMs sentAt, TimeMs now);
    /// Returns the fraction of every team's rate and burst that may be used at @p time.
    double fraction(TimeMs time) const;
    /// Returns until when loans may run that are made at @p time; 0 if nothing is held.
    TimeMs end(TimeMs time) const;
    /// Returns the first time after @p time at which the fraction drops, if any.
    std::optional<TimeMs> nextDrop(TimeMs time) const;
    /// Stops using the share for good and returns the report that hands it back.
    ShareMessage handBack();
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
