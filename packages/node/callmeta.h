#pragma once

#include "base/clock.h"
#include "config/manifest.h"

#include <json/json.h>
#include <string>

namespace Yuccagrade
{
/// Metadata of a call that one node hands to the node of an upstream.
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
    TimeMs remainingMs = 0; ///< time left of the request when this was sent
    int retries = 0; ///< attempts that the tree below this call may use for retries
    int depth = 0; ///< 0 for a root request
    Priority priority = Priority::Normal;
    bool idempotent = false; ///< may be sent twice; otherwise each hop opens a new connection

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, CallMeta &meta);
};

/// Encodes for the Yuccagrade-Call header.
std::string encodeCallMeta(const CallMeta &meta);
/// Decodes a Yuccagrade-Call header. Returns false on malformed text.
bool decodeCallMeta(const std::string &text, CallMeta &meta);
}
