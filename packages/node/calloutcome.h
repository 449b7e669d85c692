#pragma once

#include "policy/balancer.h"
#include "problem.h"

#include <functional>
#include <optional>

namespace Yuccagrade
{
/// How one attempt of a call ended.
struct CallOutcome {
    std::optional<Problem> problem; ///< set if there is no whole answer of the upstream
    HttpResponse response; ///< the upstream's answer
    std::optional<LoadReport> load; ///< load of the upstream at the end of the call
    int unusedRetries = 0; ///< part of the attempt budget that the call gives back
    bool connectFailed = false; ///< no connection to the node could be opened
};

using CallCallback = std::function<void(CallOutcome)>;

/// Text form of a load report for the Yuccagrade-Load header.
std::string encodeLoad(const LoadReport &load);
/// Returns nothing on a malformed text.
std::optional<LoadReport> decodeLoad(const std::string &text);
}
