#pragma once

#include "soakfleet.h"

#include <functional>
#include <limits>

namespace Yuccagrade::Soak
{
/// A route of a configuration to one service.
struct RoutePlan {
    std::string name; ///< also its path: /name/
    std::string kind; ///< "safe" or "unsafe"
    std::string service;
    bool open = false; ///< needs no key
};

/// Returns a version as configurations and operators write it.
std::string versionText(std::uint64_t version);
/// Returns a configuration with the services of the fleet, the given routes, and one team that holds the keys; its burst is
/// the rate of one second.
std::string renderConfiguration(std::uint64_t version, const std::vector<RoutePlan> &routes, const std::vector<std::string> &keys, double ratePerS = 0);

/// Returns a configuration of renderConfiguration() with another list of teams, or without the list if @p teams is empty.
std::string withTeams(std::string configuration, const std::string &teams);

/// The list of teams of a configuration. If it is left out, requests need no key, and no key is valid.
enum class TeamList { Present, Empty, LeftOut };

/// A configuration as the operator sent it.
struct Configuration {
    std::uint64_t base = 0; ///< version that it builds on
    TeamList teams = TeamList::Present;
    std::set<std::string> keys = {};
    std::string keptKey = {}; ///< one of them that the next configurations hold too, until all keys are withdrawn
    std::set<std::string> routes = {}; ///< besides those that all configurations have
    std::string document = {};
    double acknowledgedMs = std::numeric_limits<double>::infinity();
    double refusedMs = std::numeric_limits<double>::infinity(); ///< refused, or another change on the same base was acknowledged

    bool allows(const Ledger::Request &request) const;
};

/// An operator that adds and drops routes and gives and withdraws keys by one configuration after the other, at times by two
/// changes that race each other, sends accepted changes again, and reads back what is in force.
class Operator
{
public:
    Operator(EventLoop &loop, Ledger &ledger, Fleet &fleet, Random random);

    void start();
    /// Sends the next change at once.
    void order();
    /// Lets some of the next changes withdraw all keys, by an empty list of teams or by leaving it out.
    void setWithdrawsAllKeys(bool withdraws)
    {
        m_withdrawsAllKeys = withdraws;
    }
    /// Called with the operators' address of the control host that acknowledged the withdrawal of all keys, if set.
    std::function<void(const std::string &address)> onAllKeysWithdrawn;
    /// Keys of the newest configurations; empty after a withdrawal of all keys.
    const std::vector<std::string> &keys() const
    {
        return m_keys;
    }
    /// Keys that no configuration in force holds any more.
    const std::vector<std::string> &withdrawnKeys() const
    {
        return m_withdrawnKeys;
    }
    /// Routes that are or were in a configuration, newest last.
    const std::vector<std::string> &routes() const
    {
        return m_routes;
    }
    /// Version of the last order that was acknowledged; 0 for none.
    std::uint64_t acknowledged() const
    {
        return m_acknowledged;
    }
    /// True if no order has waited for its acknowledgement longer than @p boundMs.
    bool isServed(double boundMs) const;
    /// True if all configurations that may have been in force since the request was sent allow it.
    bool everyConfigurationAllows(const Ledger::Request &request) const;
    /// True if one of them allows it. A node that is cut off may serve requests without a key for any time.
    bool someConfigurationAllows(const Ledger::Request &request) const;

private:
    const Host &randomControl();
    const Host &nextControl();
    void addChange(const Configuration &base);
    void sendOrder(std::uint64_t version, const std::string &address, int redirects);
    void handleAnswer(std::uint64_t version, int status, const std::string &address);
    void accept(std::uint64_t version);
    std::vector<const Configuration *> possiblyInForce(double sentMs) const;
    void resend();
    void read();

    EventLoop &m_loop;
    Ledger &m_ledger;
    Fleet &m_fleet;
    Random m_random;
    std::vector<std::string> m_keys{"key-0"};
    std::vector<std::string> m_withdrawnKeys;
    std::vector<std::string> m_routes;
    std::uint64_t m_version = 1; ///< newest one that was used
    std::uint64_t m_acknowledged = 0;
    std::map<std::uint64_t, Configuration> m_configurations;
    std::set<std::uint64_t> m_open; ///< changes without a clear answer that are still sent; all have the same base
    std::size_t m_nextControl = 0;
    bool m_withdrawsAllKeys = false;
    std::set<std::shared_ptr<CallerConnection>> m_calls;
};
}
