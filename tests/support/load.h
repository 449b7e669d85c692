#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// Requests of one team to one route.
struct LoadStream {
    std::string team;
    std::string key = {}; ///< sent as Bearer token; empty for none
    std::vector<std::string> addresses; ///< caller-addresses of nodes, used in turn
    std::string path;
    double ratePerS = 0; ///< open loop: Poisson arrivals
    int clients = 0; ///< closed loop: that many callers, each sends the next request after the answer
    std::uint64_t maxRequests = UINT64_MAX;
    double startMs = 0;
    double endMs = 1e300; ///< no new request from here on
    long timeoutMs = 2000; ///< for the whole request; also sent as Yuccagrade-Timeout-Ms
    bool action = false; ///< sends an Idempotency-Key
    size_t bodyBytes = 0; ///< pads the body to this length
    int attempts = 1; ///< retry hard: a failed or refused attempt is sent again at once, ignoring Retry-After
};

struct LoadOptions {
    std::uint64_t seed = 1;
    double durationMs = 1000; ///< requests that still run at the end are waited for
    int maxInFlight = 20000; ///< open-loop arrivals beyond it are counted as skipped
    std::vector<LoadStream> streams;
};

/// Times of one attempt on the clock of steadyMs().
struct LoadSpan {
    double startMs = 0;
    double endMs = 0;
};

/// Requests that started, or were skipped, within one bin of LoadResult::binMs.
struct StartBin {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0; ///< requests with a complete answer in any attempt
    double latencySumMs = 0; ///< of these, from the start of the request
};

/// Outcome of one stream. Each attempt is exactly one of whole, wrong, refused and failed.
struct LoadResult {
    static constexpr double binMs = 50;

    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t skipped = 0;
    std::uint64_t whole = 0; ///< status 200 with the complete answer to the own request
    std::uint64_t wrong = 0; ///< status 200 with a foreign or incomplete answer
    std::uint64_t shortened = 0; ///< the answer broke off after the status line, with any status; part of wrong
    std::map<std::string, std::uint64_t> refused = {}; ///< by "status outcome", "-" without Yuccagrade-Outcome
    std::map<std::string, std::uint64_t> failed = {}; ///< no status line, by curl's text
    std::vector<double> latenciesMs = {}; ///< of whole answers from the start of the attempt, ascending
    std::vector<std::uint64_t> goodput = {}; ///< whole answers per 50 ms since the start of the run
    std::vector<std::uint64_t> refusals = {}; ///< refused attempts per 50 ms since the start of the run
    std::vector<LoadSpan> spans = {}; ///< of whole answers, in the order of their ends
    std::vector<StartBin> byStart = {}; ///< by the start of the request since the start of the run
    double maxLagMs = 0; ///< largest delay between the planned and the actual start of an open-loop request

    /// Returns the latency in ms that a fraction @p q of the whole answers does not exceed; 0 without answers.
    double quantileMs(double q) const;
    std::uint64_t refusedTotal() const;
    Json::Value toJson() const;
};

/// Sends the load in the calling thread. Returns one result per stream, in their order.
std::vector<LoadResult> runLoad(const LoadOptions &options);

/// Decides whether @p answer is complete and belongs to the request with @p body.
bool isOwnWholeAnswer(const std::string &answer, const std::string &body);
}
