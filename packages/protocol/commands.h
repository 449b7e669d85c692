#pragma once

#include <cstdint>
#include <json/json.h>
#include <string>
#include <variant>
#include <vector>

namespace Yuccagrade
{
/// Proposes a manifest. The submission id makes a resend recognizable.
struct PutManifest {
    std::string submission;
    std::string text; ///< INI text as the operator sent it

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, PutManifest &command);
};

/// Adds a team key. The plain key is hashed before this command is proposed and is stored nowhere.
struct GiveKey {
    std::string submission;
    std::string keyId;
    std::string team;
    std::string salt;
    std::string hash; ///< hashKeySecret(salt, secret) of packages/config/teamkey.h

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, GiveKey &command);
};

/// Withdraws a team key for good.
struct WithdrawKey {
    std::string submission;
    std::string keyId;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, WithdrawKey &command);
};

/// A node that keeps claims of a claim group.
struct ClaimReplicaSpec {
    std::string id; ///< node id
    std::string domain;
    std::string address; ///< peer address
    std::uint64_t incarnation = 0; ///< a later incarnation has lost its claims and must recover them

    bool operator==(const ClaimReplicaSpec &) const = default;
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ClaimReplicaSpec &replica);
};

/// Replaces the replicas of a claim group. Applied only if @c epoch is the current epoch plus 1 (the first epoch is 1).
struct SetClaimGroup {
    int number = 0; ///< from 0
    std::uint64_t epoch = 0;
    std::vector<ClaimReplicaSpec> replicas;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, SetClaimGroup &command);
};

/// Records the node that holds the floor of a domain. Applied only if @c epoch is the current epoch plus 1.
struct SetFloorHolder {
    std::string domain;
    std::string holder; ///< node id; empty after the holder gave the floor back
    std::uint64_t epoch = 0;
    double fraction = 0; ///< part of every team's rate and burst

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, SetFloorHolder &command);
};

/// A change of the replicated state.
using Command = std::variant<PutManifest, GiveKey, WithdrawKey, SetClaimGroup, SetFloorHolder>;

/// Returns the fields of @p command and its name in `command`.
Json::Value toJson(const Command &command);
/// Returns false on an unknown name or a missing or mistyped field; never throws.
bool commandFromJson(const Json::Value &value, Command &command);
}
