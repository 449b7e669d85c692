#include "callmeta.h"

#include "base/secret.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
Json::Value CallMeta::toJson() const
{
    Json::Value value(Json::objectValue);
    value["id"] = requestId;
    value["method"] = method;
    value["target"] = target;
    value["route"] = route;
    value["service"] = service;
    value["team"] = team;
    value["key"] = keyId;
    value["action"] = actionHash;
    value["token"] = actionToken;
    value["remainingMs"] = Json::Int64(remainingMs);
    value["retries"] = retries;
    value["depth"] = depth;
    value["idempotent"] = idempotent;
    value["priority"] = static_cast<int>(priority);
    return value;
}

bool CallMeta::fromJson(const Json::Value &value, CallMeta &meta)
{
    int priority = 0;
    JsonReader reader(value);
    reader.read("id", meta.requestId).read("method", meta.method).read("target", meta.target).read("route", meta.route);
    reader.read("service", meta.service).read("team", meta.team).read("key", meta.keyId).read("action", meta.actionHash);
    reader.read("token", meta.actionToken).read("remainingMs", meta.remainingMs).read("retries", meta.retries);
    reader.read("depth", meta.depth).read("priority", priority).read("idempotent", meta.idempotent);
    if (!reader.ok() || priority < 0 || priority >= static_cast<int>(priorityCount) || meta.retries < 0 || meta.depth < 0) {
        return false;
    }
    meta.priority = static_cast<Priority>(priority);
    return true;
}

std::string encodeCallMeta(const CallMeta &meta)
{
    return base64UrlEncode(toText(meta.toJson()));
}

bool decodeCallMeta(const std::string &text, CallMeta &meta)
{
    std::string json;
    Json::Value value;
    return base64UrlDecode(text, json) && parseJson(json, value) && CallMeta::fromJson(value, meta);
}
}
