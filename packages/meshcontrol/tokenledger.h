#pragma once

#include "mesh/fleetconfig.h"
#include "mesh/meshsettings.h"
#include "mesh/messages.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Yuccagrade::Mesh
{
/// The leader's accounts of the teams' rate limits. It grants tokens from one bucket for each team, and gives every node a
/// share of the rate for times without an answer of the leader. Tokens that nodes take from their shares are debited to the
/// bucket: as reported, and for a node out of contact in advance. Unused tokens at nodes count against the burst, except for a
/// reserve that the nodes with the most demand keep for times without an answer.
///
/// In any window, all nodes together take at most burst + reserve + rate x (window + unreportedMs) tokens; docs/PLATFORM.md
/// names the exceptions. Each term starts with an empty ledger and empty buckets.
class TokenLedger
{
public:
    /// Time without contact after which the share of a node is debited in advance: two report periods and their delays.
    static constexpr TimeMs unreportedMs = 600;

    /// @param startedAt start of the term; tokens that accrued earlier belong to previous leaders.
    /// @param formerFleetSize fleetSize() of the previous leader, 0 if unknown.
    /// @param reserveTokens tokens of each team that may lie unused at nodes beside a full bucket.
    TokenLedger(TimeMs startedAt, TimeMs shareLeaseMs, int formerFleetSize = 0, double reserveTokens = 0);

    void setConfig(std::shared_ptr<const FleetConfig> config);
    /// Processes the report that a node sent on the link @p linkId. Links are numbered in the order in which they were
    /// accepted; reports of a node on earlier links are ignored. Returns false and ignores the report if it contains changes
    /// since a report that the ledger has not received; the node then has to report its full demand.
    bool report(const SyncMessage &message, std::uint64_t linkId, TimeMs now);
    /// Returns the shares of a node that differ from those it holds, and grants tokens in advance for its expected demand until
    /// the next report. @p sequence is that of the report to be answered, 0 for an update.
    std::vector<TeamShare> shares(const std::string &peerAddress, std::uint64_t sequence, TimeMs now);
    /// Grants as many of the requested tokens as are available. Returns nothing if the account of the request is unknown.
    std::optional<TokenGrant> grant(const std::string &peerAddress, const TokenRequest &request, TimeMs now);
    /// Divides each team's rate among the nodes in proportion to their demand. A share grows only by what other nodes have
    /// confirmed to have given up, so the sum of the shares in use never exceeds the rate.
    void allocateShares(TimeMs now);
    /// Debits the shares of nodes out of contact, and removes nodes whose lease has run out. To be called every 50 ms.
    void advance(TimeMs now);
    /// Returns the present account of a node, 0 if it is unknown.
    std::uint64_t account(const std::string &peerAddress) const;
    /// Returns the number of nodes that may hold a share, those of earlier terms included.
    int fleetSize(TimeMs now) const;

private:
    /// A team's tokens and share at one node.
    struct TeamAccount {
        double demandPerS = 0;
        double meanDemandPerS = 0; ///< averaged over several seconds, for the allocation of shares
        double heldShare = 0; ///< as reported
        double sentShare = 0; ///< last value sent to the node
        double reserve = 0; ///< unused tokens that the node is to keep
        double sentReserve = 0; ///< last value sent in the present account
        double unused = 0; ///< granted tokens at the node or on their way to it, as of its last report or granted in advance since
        double granted = 0; ///< in the present account
        double confirmedShareTokens = 0; ///< TeamDemand::shareTokens at the last confirmed contact
        double lastShareTokens = 0; ///< TeamDemand::shareTokens of the newest report
        double debitedShareTokens = 0; ///< TeamDemand::shareTokens up to which the bucket was debited

        double boundShare() const
        {
            return std::max(heldShare, sentShare);
        }
    };
    struct Node {
        TimeMs lastReportAt = 0;
        TimeMs contactAt = 0; ///< time of the newest answer that the node is known to have received
        std::uint64_t account = 0;
        std::uint64_t sequence = 0; ///< of the last report
        std::uint64_t linkId = 0;
        std::deque<std::pair<std::uint64_t, TimeMs>> answers; ///< sequence and time, not yet confirmed
        std::map<std::string, TeamAccount> teams;
    };
    struct Bucket {
        double level = 0;
        TimeMs updatedAt = 0;
        double unused = 0; ///< sum over all nodes
        double offlineStock = 0; ///< what nodes out of contact may hold of their shares
        double confirmedShares = 0; ///< sum of the shares that nodes held at their first report
    };

    const Team *limitedTeam(const std::string &name) const;
    Bucket *refill(const std::string &name, TimeMs now);
    void reportTeam(Node &node, bool isFirst, const TeamDemand &demand, TimeMs now);
    double firstDebit(const TeamDemand &demand, const Bucket &bucket, double ratePerS, TimeMs now) const;
    void debitOffline(Node &node, TimeMs silence);
    void allocateTeam(const std::string &team, double elapsedS, TimeMs now);
    void allocateReserve(std::vector<TeamAccount *> accounts) const;
    double usableBurst(const Team &team, const Bucket &bucket) const;
    std::vector<TeamAccount *> presentAccounts(const std::string &team, bool withIdleNodes, TimeMs now);
    double idleDemand(const std::string &team, double demandPerS, std::size_t nodeCount) const;
    void confirmContact(Node &node, std::uint64_t answeredSequence);
    double unknownShare(const Bucket &bucket, TimeMs now) const;

    TimeMs m_startedAt;
    TimeMs m_allocatedAt = 0;
    TimeMs m_leaseMs;
    double m_reserveTokens;
    std::shared_ptr<const FleetConfig> m_config;
    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, Bucket> m_buckets; ///< by team
    int m_formerFleetSize; ///< of the previous term
    int m_formerNodes = 0; ///< of them, those that have reported
    int m_newNodes = 0; ///< nodes that had no contact with a previous leader
};
}
