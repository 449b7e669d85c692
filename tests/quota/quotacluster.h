#pragma once

#include "base/random.h"
#include "quota/quotaclient.h"
#include "quota/quotadesk.h"

#include <deque>
#include <functional>
#include <memory>

namespace Yuccagrade
{
/// Checks that what is spent in every window stays within rate x t + burst.
class SpendingCheck
{
public:
    SpendingCheck(double rate, double burst, TimeMs now);
    void spend(double tokens, TimeMs now);
    void allow(double rate, double burst, TimeMs now);
    double excess = 0; ///< highest amount above the bound

private:
    double m_rate;
    double m_burst;
    double m_level = 0; ///< worst window that ends now
    TimeMs m_at;
};

/// Clock of one simulated process.
struct SimClock {
    double rate = 1;
    TimeMs offset = 0;
    TimeMs frozenUntil = 0;
    TimeMs local(TimeMs now) const
    {
        return offset + static_cast<TimeMs>(static_cast<double>(now) * rate);
    }
};

/// Simulates the coordinators and nodes of several domains that share one team's rate.
class QuotaCluster
{
public:
    struct Options {
        int domains = 3;
        int nodes = 4; ///< per domain
        double rate = 100;
        double burst = 100;
        double drift = 0; ///< largest deviation of a clock
        double margin = TokenBucket::defaultClockMargin;
        double loss = 0;
        double duplicates = 0;
        TimeMs maxDelay = 2;
        bool hoard = false; ///< nodes borrow all they can and spend it at once now and then
        TimeMs step = 1; ///< time between two rounds
    };
    QuotaCluster(const Options &options, std::uint64_t seed);

    /// Runs with @p load giving the expected requests/s of each domain.
    void run(TimeMs duration, const std::function<double(int)> &load);
    void restartDesk(int domain, bool otherHost);
    void restartNode(std::size_t node);
    void changeLeader();
    void changeLimits(double rate, double burst);
    void freezeSomebody();

    Random random;
    TimeMs now = 0;
    std::vector<bool> cut; ///< domains without contact to the leader and to other domains
    long served = 0;
    long refused = 0;
    double worstSum = 0; ///< highest sum of fractions in use
    double worstExcess() const;

private:
    struct Desk {
        std::string id;
        SimClock clock;
        std::unique_ptr<QuotaDesk> desk;
        std::uint64_t applied = 0;
        TimeMs syncAt = 0;
        TimeMs askAt = 0;
    };
    struct Node {
        int domain = 0;
        SimClock clock;
        std::unique_ptr<QuotaClient> client;
        std::deque<TimeMs> waiting; ///< arrival times
        TokenStock hoarded;
        std::string lender;
        TimeMs askAt = 0;
    };
    SimClock randomClock();
    void transmit(int from, int to, const std::function<void()> &arrive);
    void sync(int domain);
    std::optional<CoordinatorLeaseGrant> lease(int domain, const std::string &id);
    void borrow(int domain);
    void tickNode(std::size_t index, double load);
    void serve();
    void tickHoarder(std::size_t index);
    void check();

    Options m_options;
    std::vector<Desk> m_desks;
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
    TimeMs m_spendAt = 0; ///< next time at which hoarding nodes spend
    TimeMs m_checkAt = 0; ///< time at which a check with the newest limits starts, 0 if none is planned
};
}
