#include "teamkey.h"

#include "base/secret.h"
#include "config/optiontable.h"

namespace Yuccagrade
{
namespace
{
constexpr std::string_view keyPrefix = "ygk_";
// A key text comes with every request, so its length is bounded before it is hashed.
constexpr std::size_t maxSecretBytes = 128;
}

std::string toText(const TeamKey &key)
{
    return std::string(keyPrefix) + key.id + '.' + key.secret;
}

bool parseTeamKey(std::string_view text, TeamKey &key)
{
    // A key id has no dot, since base64url has none.
    const auto dot = text.find('.');
    if (!text.starts_with(keyPrefix) || dot == std::string_view::npos) {
        return false;
    }
    key.id = text.substr(keyPrefix.size(), dot - keyPrefix.size());
    key.secret = text.substr(dot + 1);
    return isName(key.id) && !key.secret.empty() && key.secret.size() <= maxSecretBytes;
}

std::string hashKeySecret(std::string_view salt, std::string_view secret)
{
    return sha256(std::string(salt) + '.' + std::string(secret));
}
}
