#pragma once

#include "base/eventlog.h"
#include "net/http.h"

#include <string>

namespace Yuccagrade
{
/// Whether a request that a node refused, or that failed without a complete response, may have been executed.
enum class Outcome {
    NotRun, ///< no byte of the request reached an upstream
    MayHaveRun, ///< bytes were sent to an upstream, or it is unknown whether any were
};

/// Returns the header value of an outcome: "not-run" or "may-have-run".
std::string outcomeName(Outcome outcome);

/// A refusal or failure that a node reports itself, as opposed to an error response of the upstream.
struct Problem {
    int status = 500;
    Event event = Event::UpstreamUnavailable;
    Outcome outcome = Outcome::MayHaveRun;
    std::string detail; ///< one sentence for the caller; never contains a key
    int retryAfterS = 0; ///< 0 if a retry cannot succeed
};

/// Returns the application/problem+json response of a problem.
HttpResponse toResponse(const Problem &problem);
}
