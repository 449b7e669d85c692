#pragma once

#include "base/eventlog.h"

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>

namespace Yuccagrade
{
/// Identity of a process towards its peers.
struct PeerIdentity {
    std::string id;
    std::uint64_t incarnation = 0; ///< start time in ms since 1970
    std::string address; ///< address under which peers reach this process
};

/// A verified sender.
struct PeerSender {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string mac; ///< MAC of the request; the response is bound to it
};

/// Signs and verifies messages between own processes (HMAC-SHA256 with the cluster secret) and refuses replays.
class PeerAuth
{
public:
    PeerAuth(PeerIdentity identity, std::string secret, HybridClock &clock, const Clock &wallClock);

    const PeerIdentity &identity() const
    {
        return m_identity;
    }
    /// Returns the Yuccagrade-Peer header for a request to @p receiver ("ip:port"). @p content is what the MAC covers.
    std::string sign(const std::string &receiver, const std::string &content);
    /// Verifies a request to this process. Errors: Malformed, Unauthenticated, Replayed.
    std::error_code verify(const std::string &header, const std::string &content, PeerSender &sender);
    /// Returns the Yuccagrade-Peer-Answer header of a response to the request with @p requestMac.
    std::string signAnswer(const std::string &requestMac, const std::string &content) const;
    /// Verifies a response to a request whose header was @p requestHeader. Errors: Unauthenticated.
    std::error_code verifyAnswer(const std::string &requestHeader, const std::string &answerMac, const std::string &content) const;

private:
    // Connections deliver messages out of order, but seldom by more than this many.
    static constexpr std::size_t windowSize = 4096;
    struct Window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::bitset<windowSize> seen;
    };
    bool acceptCounter(const std::string &id, std::uint64_t incarnation, std::uint64_t counter);

    PeerIdentity m_identity;
    std::string m_secret;
    HybridClock &m_clock;
    TimeMs m_startedWallMs;
    std::uint64_t m_counter = 0;
    std::map<std::string, Window> m_windows;
};
}
