#pragma once

#include "policy/balancer.h"
#include "problem.h"

#include <functional>
#include <optional>

namespace Yuccagrade
{
/// Result of one attempt of a call.
struct CallOutcome {
    std::optional<Problem> problem; ///< set if the upstream gave no complete response
    HttpResponse response; ///< the upstream's response, valid if no problem is set
    std::optional<LoadReport> load; ///< load of the upstream at the end of the call
    int unusedRetries = 0; ///< retries granted with the call that were not used
    bool connectFailed = false; ///< no connection to the node could be established
};

using CallCallback = std::function<void(CallOutcome)>;

/// Text form of a load report for the Yuccagrade-Load header.
std::string encodeLoad(const LoadReport &load);
/// Returns nothing on a malformed text.
std::optional<LoadReport> decodeLoad(const std::string &text);
}
