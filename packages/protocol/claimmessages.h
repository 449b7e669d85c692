#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <json/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// 128-bit identifier of an action or of a claimer's attempt; written as 32 hexadecimal digits.
struct Id128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Id128 &) const = default;
    std::string toText() const;
    /// Returns false on a malformed text.
    static bool fromText(std::string_view text, Id128 &out);
};

enum class ClaimResult { Granted, Refused, Abstain, WrongEpoch };
inline constexpr std::array<std::string_view, 4> claimResultNames{"granted", "refused", "abstain", "wrong-epoch"};

/// Body of `claim` and `release`.
struct ClaimRequest {
    int group = 0;
    std::int64_t epoch = 0;
    Id128 action; ///< see actionHash()
    Id128 token; ///< random, one per claimer

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ClaimRequest &out);
};

/// Response to `claim`.
struct ClaimAnswer {
    ClaimResult result = ClaimResult::Abstain;
    std::int64_t epoch = 0; ///< epoch of the replica that responds

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ClaimAnswer &out);
};

/// Body of `claim.copy`: asks for one page of the claims of a replica.
struct CopyRequest {
    int group = 0;
    std::int64_t epoch = 0; ///< epoch of the replica that is asked
    bool seal = false; ///< a new epoch copies: the replica refuses its own epoch from now on
    std::uint64_t nonce = 0; ///< ties responses to one attempt of one incarnation of the copying replica
    std::uint64_t from = 0; ///< 0, or `next` of the page before

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CopyRequest &out);
};

/// One claim in a copy.
struct CopiedClaim {
    Id128 action;
    Id128 token; ///< zero if no token can be granted any more
    TimeMs remainingMs = 0; ///< until the claim expires

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CopiedClaim &out);
};

/// Response to `claim.copy`.
struct CopyAnswer {
    int group = 0;
    std::int64_t epoch = 0;
    std::uint64_t nonce = 0;
    std::uint64_t from = 0;
    std::uint64_t next = 0; ///< start of the next page; 0 if this is the last one
    bool abstaining = false; ///< the replica has not recovered its own claims, so the page is of no use
    bool sealed = false; ///< the epoch has ended for this replica
    std::vector<CopiedClaim> claims;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CopyAnswer &out);
};
}
