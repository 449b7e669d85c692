#pragma once

#include "base/eventlog.h"
#include "net/http.h"

#include <string>

namespace Yuccagrade
{
/// What is known about the execution of a request that the layer refused or lost.
enum class Outcome {
    NotRun, ///< no byte of the request reached an upstream
    MayHaveRun, ///< bytes reached an upstream, or it cannot be told
};

/// "not-run" or "may-have-run".
std::string outcomeName(Outcome outcome);

/// A refusal or failure reported by the layer itself.
struct Problem {
    int status = 500;
    Event event = Event::UpstreamUnavailable;
    Outcome outcome = Outcome::MayHaveRun;
    std::string detail; ///< one sentence for the caller; never contains a key
    int retryAfterS = 0; ///< 0 if trying again cannot help
};

/// Returns the application/problem+json response of a problem.
HttpResponse toResponse(const Problem &problem);
}
