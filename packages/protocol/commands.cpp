#include "commands.h"

#include "jsoncodec.h"

#include <array>
#include <string_view>

namespace Yuccagrade
{
namespace
{
// In the order of the alternatives of Command. The names are stored in logs and snapshots and must not change.
constexpr std::array<std::string_view, std::variant_size_v<Command>> names{"putManifest", "giveKey", "withdrawKey", "setClaimGroup", "setFloorHolder"};

template<std::size_t I = 0>
bool decode(std::string_view name, const Json::Value &value, Command &command)
{
    if constexpr (I == names.size()) {
        return false;
    } else {
        if (names[I] != name) {
            return decode<I + 1>(name, value, command);
        }
        std::variant_alternative_t<I, Command> decoded;
        if (!decoded.fromJson(value, decoded)) {
            return false;
        }
        command = std::move(decoded);
        return true;
    }
}
}

Json::Value PutManifest::toJson() const
{
    Json::Value value;
    value["submission"] = submission;
    value["text"] = text;
    return value;
}

bool PutManifest::fromJson(const Json::Value &value, PutManifest &command)
{
    return JsonReader(value).read("submission", command.submission).read("text", command.text).ok();
}

Json::Value GiveKey::toJson() const
{
    Json::Value value;
    value["submission"] = submission;
    value["keyId"] = keyId;
    value["team"] = team;
    value["salt"] = salt;
    value["hash"] = hash;
    return value;
}

bool GiveKey::fromJson(const Json::Value &value, GiveKey &command)
{
    JsonReader reader(value);
    reader.read("submission", command.submission).read("keyId", command.keyId).read("team", command.team);
    return reader.read("salt", command.salt).read("hash", command.hash).ok();
}

Json::Value WithdrawKey::toJson() const
{
    Json::Value value;
    value["submission"] = submission;
    value["keyId"] = keyId;
    return value;
}

bool WithdrawKey::fromJson(const Json::Value &value, WithdrawKey &command)
{
    return JsonReader(value).read("submission", command.submission).read("keyId", command.keyId).ok();
}

Json::Value ClaimReplicaSpec::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["domain"] = domain;
    value["address"] = address;
    value["incarnation"] = Json::UInt64{incarnation};
    return value;
}

bool ClaimReplicaSpec::fromJson(const Json::Value &value, ClaimReplicaSpec &replica)
{
    JsonReader reader(value);
    reader.read("id", replica.id).read("domain", replica.domain).read("address", replica.address);
    return reader.read("incarnation", replica.incarnation).ok();
}

Json::Value SetClaimGroup::toJson() const
{
    Json::Value value;
    value["number"] = number;
    value["epoch"] = Json::UInt64{epoch};
    value["replicas"] = toJsonList(replicas);
    return value;
}

bool SetClaimGroup::fromJson(const Json::Value &value, SetClaimGroup &command)
{
    return JsonReader(value).read("number", command.number).read("epoch", command.epoch).readList("replicas", command.replicas).ok();
}

Json::Value SetFloorHolder::toJson() const
{
    Json::Value value;
    value["domain"] = domain;
    value["holder"] = holder;
    value["epoch"] = Json::UInt64{epoch};
    return value;
}

bool SetFloorHolder::fromJson(const Json::Value &value, SetFloorHolder &command)
{
    return JsonReader(value).read("domain", command.domain).read("holder", command.holder).read("epoch", command.epoch).ok();
}

Json::Value toJson(const Command &command)
{
    Json::Value value = std::visit(
        [](const auto &typed) {
            return typed.toJson();
        },
        command);
    value["command"] = std::string(names[command.index()]);
    return value;
}

bool commandFromJson(const Json::Value &value, Command &command)
{
    std::string name;
    return JsonReader(value).read("command", name).ok() && decode(name, value, command);
}
}
