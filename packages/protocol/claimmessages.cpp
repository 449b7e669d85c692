#include "claimmessages.h"

#include "jsoncodec.h"

#include <algorithm>
#include <charconv>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t wordDigits = 16;

void appendHex(std::string &text, std::uint64_t word)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(word >> shift) & 15U];
    }
}

bool parseHex(std::string_view text, std::uint64_t &word)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), word, 16);
    return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}
}

std::string Id128::toText() const
{
    std::string text;
    text.reserve(2 * wordDigits);
    appendHex(text, high);
    appendHex(text, low);
    return text;
}

bool Id128::fromText(std::string_view text, Id128 &out)
{
    return text.size() == 2 * wordDigits && parseHex(text.substr(0, wordDigits), out.high) && parseHex(text.substr(wordDigits), out.low);
}

Json::Value ClaimRequest::toJson() const
{
    Json::Value value;
    value["group"] = group;
    value["epoch"] = Json::Int64(epoch);
    value["action"] = action.toText();
    value["token"] = token.toText();
    return value;
}

bool ClaimRequest::fromJson(const Json::Value &value, ClaimRequest &out)
{
    std::string action;
    std::string token;
    JsonReader reader(value);
    reader.read("group", out.group).read("epoch", out.epoch).read("action", action).read("token", token);
    return reader.ok() && Id128::fromText(action, out.action) && Id128::fromText(token, out.token);
}

Json::Value ClaimAnswer::toJson() const
{
    Json::Value value;
    value["result"] = std::string(claimResultNames[static_cast<std::size_t>(result)]);
    value["epoch"] = Json::Int64(epoch);
    return value;
}

bool ClaimAnswer::fromJson(const Json::Value &value, ClaimAnswer &out)
{
    std::string name;
    JsonReader reader(value);
    reader.read("result", name).read("epoch", out.epoch);
    const auto found = std::find(claimResultNames.begin(), claimResultNames.end(), name);
    if (!reader.ok() || found == claimResultNames.end()) {
        return false;
    }
    out.result = static_cast<ClaimResult>(found - claimResultNames.begin());
    return true;
}

Json::Value CopyRequest::toJson() const
{
    Json::Value value;
    value["group"] = group;
    value["epoch"] = Json::Int64(epoch);
    value["seal"] = seal;
    value["nonce"] = Json::UInt64(nonce);
    value["from"] = Json::UInt64(from);
    return value;
}

bool CopyRequest::fromJson(const Json::Value &value, CopyRequest &out)
{
    JsonReader reader(value);
    reader.read("group", out.group).read("epoch", out.epoch).read("seal", out.seal).read("nonce", out.nonce).read("from", out.from);
    return reader.ok();
}

Json::Value CopiedClaim::toJson() const
{
    Json::Value value;
    value["action"] = action.toText();
    value["token"] = token.toText();
    value["remainingMs"] = Json::Int64(remainingMs);
    return value;
}

bool CopiedClaim::fromJson(const Json::Value &value, CopiedClaim &out)
{
    std::string action;
    std::string token;
    JsonReader reader(value);
    reader.read("action", action).read("token", token).read("remainingMs", out.remainingMs);
    return reader.ok() && Id128::fromText(action, out.action) && Id128::fromText(token, out.token);
}

Json::Value CopyAnswer::toJson() const
{
    Json::Value value;
    value["group"] = group;
    value["epoch"] = Json::Int64(epoch);
    value["nonce"] = Json::UInt64(nonce);
    value["from"] = Json::UInt64(from);
    value["next"] = Json::UInt64(next);
    value["abstaining"] = abstaining;
    value["sealed"] = sealed;
    value["claims"] = toJsonList(claims);
    return value;
}

bool CopyAnswer::fromJson(const Json::Value &value, CopyAnswer &out)
{
    JsonReader reader(value);
    reader.read("group", out.group).read("epoch", out.epoch).read("nonce", out.nonce).read("from", out.from).read("next", out.next);
    reader.read("abstaining", out.abstaining).read("sealed", out.sealed).readList("claims", out.claims);
    return reader.ok();
}
}
