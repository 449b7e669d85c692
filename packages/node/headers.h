#pragma once

#include "net/http.h"

#include <string>

namespace Yuccagrade
{
/// Names of header fields, in lower case.
namespace Headers
{
constexpr auto authorization = "authorization";
constexpr auto idempotencyKey = "idempotency-key";
constexpr auto timeoutMs = "yuccagrade-timeout-ms";
constexpr auto outcome = "yuccagrade-outcome";
constexpr auto context = "yuccagrade-context";
constexpr auto call = "yuccagrade-call"; ///< metadata of a call between nodes
constexpr auto load = "yuccagrade-load"; ///< load of the upstream, piggy-backed on responses between nodes
constexpr auto retriesLeft = "yuccagrade-retries-left"; ///< unused retries, on responses between nodes
constexpr auto peer = "yuccagrade-peer";
constexpr auto peerAnswer = "yuccagrade-peer-answer";
}

/// Returns the request headers to forward to the upstream: without hop-by-hop fields, credentials and Yuccagrade's own fields.
HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers);
/// Returns the response headers to forward to the caller: without hop-by-hop fields and Yuccagrade's own fields.
HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers);
}
