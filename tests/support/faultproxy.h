#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace Yuccagrade::Test
{
/// Behaviour of the path from one sender to one target. It applies to open connections from the moment it is set.
struct FaultRule {
    enum class Cut {
        None,
        Refuse, ///< new connections are reset, open ones stall
        Stall, ///< new connections are accepted and stall, open ones stall
    };
    Cut cut = Cut::None;
    bool stallToTarget = false; ///< one-way cut: bytes of the sender stall
    bool stallToSender = false; ///< one-way cut: bytes of the target stall
    double delayMs = 0; ///< added in each direction
    double bytesPerSecond = 0; ///< limit per direction over all connections of the pair; 0 for none
    int dropAnswers = 0; ///< that many answers are lost: the request arrives, then the connection closes; -1 for all
    int holdAnswers = 0; ///< that many answers come holdMs late, so that later answers overtake them; -1 for all
    double holdMs = 0;
};

/// What happened on the path from one sender to one target.
struct FaultCounters {
    std::uint64_t connections = 0; ///< accepted, including refused ones
    std::uint64_t refused = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToSender = 0;
    std::uint64_t answersDropped = 0;
    std::uint64_t answersHeld = 0;
};

/// A TCP proxy in a thread of the test program. It tells the senders apart by the IP number they connect from.
/// It sees TCP only: a refused connection is accepted and reset, and so is one to a target that does not listen.
class FaultProxy
{
public:
    FaultProxy();
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Accepts connections on @p listenAddress for the process that listens on @p targetAddress.
    void addTarget(const std::string &listenAddress, const std::string &targetAddress);
    /// Sets the rule for connections from @p senderIp to the target behind @p listenAddress.
    void setRule(const std::string &senderIp, const std::string &listenAddress, const FaultRule &rule);
    /// Removes all rules; stalled bytes then arrive, as TCP does after a partition.
    void clearRules();
    FaultCounters counters(const std::string &senderIp, const std::string &listenAddress) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
