#include "problem.h"

#include "headers.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
std::string outcomeName(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "may-have-run";
}

HttpResponse toResponse(const Problem &problem)
{
    const EventInfo &info = eventInfo(problem.event);
    Json::Value body(Json::objectValue);
    body["type"] = "about:blank";
    body["title"] = std::string(info.text);
    body["status"] = problem.status;
    body["event"] = static_cast<int>(problem.event);
    body["detail"] = problem.detail;
    HttpResponse response{problem.status, {}, toText(body)};
    response.headers["content-type"] = "application/problem+json";
    response.headers[Headers::outcome] = outcomeName(problem.outcome);
    if (problem.retryAfterS > 0) {
        response.headers["retry-after"] = std::to_string(problem.retryAfterS);
    }
    return response;
}
}
