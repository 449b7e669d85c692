#pragma once

#include "soakfleet.h"

namespace Yuccagrade::Soak
{
/// An operator that gives and withdraws keys by one configuration after the other, and reads back what is in force.
class Operator
{
public:
    Operator(EventLoop &loop, Ledger &ledger, Fleet &fleet, Random random);

    void start();
    /// Keys of the newest order. The first one is in all of them.
    const std::vector<std::string> &keys() const
    {
        return m_keys;
    }
    const std::vector<std::string> &withdrawnKeys() const
    {
        return m_withdrawnKeys;
    }
    /// Version of the last order that was acknowledged; 0 for none.
    std::uint64_t acknowledged() const
    {
        return m_acknowledged;
    }
    /// True if no order has waited for its acknowledgement longer than @p boundMs.
    bool isServed(double boundMs) const;

private:
    const Host &randomControl();
    std::string document() const;
    void order();
    void sendOrder(const std::string &address, int redirects);
    void read();

    EventLoop &m_loop;
    Ledger &m_ledger;
    Fleet &m_fleet;
    Random m_random;
    std::vector<std::string> m_keys{"key-0"};
    std::vector<std::string> m_withdrawnKeys;
    std::uint64_t m_version = 1;
    std::uint64_t m_base = 0;
    std::uint64_t m_acknowledged = 0;
    std::map<std::uint64_t, double> m_acknowledgedMs;
    std::string m_pendingKey; ///< withdrawn by the order that is on its way
    std::string m_order; ///< document that is sent until it is acknowledged
    std::set<std::shared_ptr<CallerConnection>> m_calls;
};
}
