#pragma once

#include "base/random.h"
#include "quota/quotaclient.h"
#include "quota/quotacoordinator.h"

#include <deque>
#include <functional>
#include <memory>

namespace Yuccagrade
{
/// Checks that the tokens spent in every window of length t stay within rate x t + burst.
class SpendingCheck
{
public:
    SpendingCheck(double rate, double burst, TimeMs now);
    /// Counts spent tokens and updates the excess.
    void spend(double tokens, TimeMs now);
    /// Changes the rate from now on, and the burst if the new one is higher.
    void allow(double rate, double burst, TimeMs now);
    double excess = 0; ///< highest number of tokens above the bound

private:
    double m_rate;
    double m_burst;
    double m_level = 0; ///< highest of (tokens spent - rate x t) over all windows that end now
    TimeMs m_at;
};

/// Clock of one simulated process. The process does nothing while it is frozen.
struct SimClock {
    double rate = 1;
    TimeMs offset = 0;
    TimeMs frozenUntil = 0;
    TimeMs local(TimeMs now) const
    {
        return offset + static_cast<TimeMs>(static_cast<double>(now) * rate);
    }
};

/// Simulates the coordinators and nodes of several domains that share the rate of one team.
class QuotaCluster
{
public:
    struct Options {
        int domains = 3;
        int nodes = 4; ///< per domain
        double rate = 100;
        double burst = 100;
        double drift = 0; ///< largest relative deviation of a clock rate
        double margin = TokenBucket::defaultClockMargin;
        double loss = 0;
        double duplicates = 0;
        TimeMs maxDelay = 2;
        bool hoard = false; ///< nodes borrow as much as they can and at random times spend all of it at once
        TimeMs step = 1; ///< simulated time per iteration
    };
    QuotaCluster(const Options &options, std::uint64_t seed);

    /// Runs the simulation. @p load returns the expected requests/s of a domain.
    void run(TimeMs duration, const std::function<double(int)> &load);
    /// Replaces the coordinator of a domain by a new process, with @p otherHost on another host with its own clock.
    void restartCoordinator(int domain, bool otherHost);
    void restartNode(std::size_t node);
    void changeLeader();
    void changeLimits(double rate, double burst);
    /// Freezes a random node or coordinator for up to 6 s.
    void freezeRandomProcess();

    Random random;
    TimeMs now = 0;
    std::vector<bool> isolated; ///< domains without contact to the leader and to other domains
    long served = 0;
    long refused = 0;
    double highestFractionSum = 0; ///< highest sum of the fractions in use
    double worstExcess() const;

private:
    struct Coordinator {
        std::string id;
        SimClock clock;
        std::unique_ptr<QuotaCoordinator> quota;
        std::uint64_t applied = 0;
        TimeMs syncAt = 0;
        TimeMs askAt = 0;
    };
    struct Node {
        int domain = 0;
        SimClock clock;
        std::unique_ptr<QuotaClient> client;
        std::deque<TimeMs> waiting; ///< arrival times
        TokenStock hoardedTokens;
        std::string lender;
        TimeMs askAt = 0;
    };
    SimClock randomClock();
    /// Delivers a message by calling @p arrive after a random delay, or drops or duplicates it. -1 is the leader.
    void transmit(int from, int to, const std::function<void()> &arrive);
    void sync(int domain);
    std::optional<CoordinatorLeaseGrant> lease(int domain, const std::string &id);
    void borrow(int domain);
    void tickNode(std::size_t index, double load);
    void serve();
    void tickHoarder(std::size_t index);
    void check();

    Options m_options;
    std::vector<Coordinator> m_coordinators;
    std::vector<Node> m_nodes;
    std::multimap<TimeMs, std::function<void()>> m_events;
    std::unique_ptr<ShareLedger> m_ledger;
    TimeMs m_electedAt = 0;
    std::map<std::string, FloorRecord> m_floors;
    std::map<int, std::pair<std::string, TimeMs>> m_leases; ///< holder and end in real time
    std::vector<TokenLimits> m_limits;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_incarnations = 0;
    std::vector<SpendingCheck> m_checks;
    TimeMs m_nextSpendAt = 0; ///< next time at which the hoarding nodes spend
    TimeMs m_nextCheckAt = 0; ///< time at which a check with the newest limits starts, 0 if none is planned
};
}
