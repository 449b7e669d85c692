#pragma once

#include <string>
#include <string_view>

namespace Yuccagrade
{
/// Parts of a key text `ygk_ID.SECRET`.
struct TeamKey {
    std::string id;
    std::string secret;
};

/// Returns the key text that a caller presents.
std::string toText(const TeamKey &key);
/// Returns false if @p text is not a key text.
bool parseTeamKey(std::string_view text, TeamKey &key);
/// Returns the salted SHA-256 that is stored instead of the secret, base64url encoded.
std::string hashKeySecret(std::string_view salt, std::string_view secret);
}
