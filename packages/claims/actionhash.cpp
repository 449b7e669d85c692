#include "actionhash.h"

#include "base/secret.h"

#include <array>
#include <string>

namespace Yuccagrade
{
namespace
{
std::uint64_t readWord(std::string_view bytes)
{
    std::uint64_t word = 0;
    for (const char byte : bytes.substr(0, sizeof word)) {
        word = word << 8 | static_cast<unsigned char>(byte);
    }
    return word;
}
}

Id128 actionHash(std::string_view team, std::string_view route, std::string_view key)
{
    std::string data;
    // The lengths keep ("a", "bc") and ("ab", "c") apart.
    for (const std::string_view part : std::array{team, route, key}) {
        data += std::to_string(part.size()) + ':';
        data += part;
    }
    std::string digest;
    base64UrlDecode(sha256(data), digest);
    return {readWord(digest), readWord(std::string_view(digest).substr(sizeof(std::uint64_t)))};
}

std::optional<int> claimGroupOf(const Id128 &action, const std::vector<int> &groups)
{
    // The low word spreads the claims over the buckets of a replica, so the group comes from the high one.
    return groups.empty() ? std::nullopt : std::optional(groups[action.high % groups.size()]);
}

Id128 claimToken(Random &random)
{
    // Zero marks a claim without a valid token, and one half is never zero.
    return {random.below(UINT64_MAX - 1) + 1, random.below(UINT64_MAX)};
}
}
