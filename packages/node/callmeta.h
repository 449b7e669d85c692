#pragma once

#include "base/clock.h"
#include "config/manifest.h"

#include <json/json.h>
#include <string>

namespace Yuccagrade
{
/// Metadata of a call that a node forwards to the node on an upstream's host.
struct CallMeta {
    std::string requestId; ///< identifies the root request in all events
    std::string method;
    std::string target; ///< path with query
    std::string route;
    std::string service;
    std::string team; ///< empty for open routes
    std::string keyId; ///< checked again when the call starts; empty for open routes and nested calls
    std::string actionHash; ///< empty unless the route is an action
    std::string actionToken; ///< token of the granted claim
    TimeMs remainingMs = 0; ///< time until the deadline when the call was sent
    int retries = 0; ///< retries that this call and its nested calls may use
    int depth = 0; ///< 0 for a root request
    Priority priority = Priority::Normal;
    bool idempotent = false; ///< may be sent more than once; a call that is not idempotent is sent on a new connection by each hop

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CallMeta &meta);
};

/// Encodes the metadata as the value of a Yuccagrade-Call header.
std::string encodeCallMeta(const CallMeta &meta);
/// Decodes a Yuccagrade-Call header. Returns false on malformed text.
bool decodeCallMeta(const std::string &text, CallMeta &meta);
}
