#include "peerauth.h"

#include "base/errc.h"
#include "base/secret.h"

#include <charconv>
#include <vector>

namespace Yuccagrade
{
namespace
{
// The replay window is lost in a restart; older messages than this before the start are refused. It is also the
// largest difference of wall clocks between two hosts that can talk to each other.
constexpr TimeMs maxClockSkewMs = 60'000;
constexpr std::size_t headerFields = 5;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    for (std::size_t end = text.find(separator); end != std::string::npos; end = text.find(separator, start)) {
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    parts.push_back(text.substr(start));
    return parts;
}

bool parseNumber(const std::string &text, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}
}

PeerAuth::PeerAuth(PeerIdentity identity, std::string secret, HybridClock &clock, const Clock &wallClock)
    : m_identity(std::move(identity))
    , m_secret(std::move(secret))
    , m_clock(clock)
    , m_startedWallMs(wallClock.wall())
{
}

std::string PeerAuth::sign(const std::string &receiver, const std::string &content)
{
    const std::string prefix = m_identity.id + ';' + std::to_string(m_identity.incarnation) + ';' + std::to_string(++m_counter) + ';' + toText(m_clock.tick());
    return prefix + ';' + hmacSha256(m_secret, receiver + '\n' + prefix + '\n' + content);
}

std::error_code PeerAuth::verify(const std::string &header, const std::string &content, PeerSender &sender)
{
    const auto fields = split(header, ';');
    std::uint64_t counter = 0;
    HybridTime time;
    if (fields.size() != headerFields || fields[0].empty() || !parseNumber(fields[1], sender.incarnation) || !parseNumber(fields[2], counter)
        || !parseHybridTime(fields[3], time)) {
        return Errc::Malformed;
    }
    const std::string prefix = header.substr(0, header.size() - fields[4].size() - 1);
    if (!equalConstantTime(fields[4], hmacSha256(m_secret, m_identity.address + '\n' + prefix + '\n' + content))) {
        return Errc::Unauthenticated;
    }
    if (time.wallMs + maxClockSkewMs < m_startedWallMs || !acceptCounter(fields[0], sender.incarnation, counter)) {
        return Errc::Replayed;
    }
    m_clock.observe(time);
    sender.id = fields[0];
    sender.mac = fields[4];
    return {};
}

// Sliding window over the counters of the newest incarnation of each sender.
bool PeerAuth::acceptCounter(const std::string &id, std::uint64_t incarnation, std::uint64_t counter)
{
    Window &window = m_windows[id];
    if (incarnation < window.incarnation) {
        return false;
    }
    if (incarnation > window.incarnation) {
        window = {};
        window.incarnation = incarnation;
    }
    if (counter + windowSize <= window.highest) {
        return false;
    }
    while (window.highest < counter) {
        if (counter - window.highest > windowSize) {
            window.seen.reset();
            window.highest = counter;
            break;
        }
        ++window.highest;
        window.seen[window.highest % windowSize] = false;
    }
    const bool seenBefore = window.seen[counter % windowSize];
    window.seen[counter % windowSize] = true;
    return !seenBefore;
}

std::string PeerAuth::signAnswer(const std::string &requestMac, const std::string &content) const
{
    return hmacSha256(m_secret, "answer\n" + requestMac + '\n' + content);
}

std::error_code PeerAuth::verifyAnswer(const std::string &requestHeader, const std::string &answerMac, const std::string &content) const
{
    const std::string requestMac = requestHeader.substr(requestHeader.rfind(';') + 1);
    return equalConstantTime(answerMac, signAnswer(requestMac, content)) ? Errc::Ok : Errc::Unauthenticated;
}
}
