#include "support/load.h"
#include "base/random.h"
#include "support/transfer.h"
#include "support/upstreamcall.h"
#include "support/wait.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <numeric>

namespace Yuccagrade::Test
{
namespace
{
constexpr double never = std::numeric_limits<double>::infinity();

struct StreamState {
    const LoadStream *options;
    LoadResult *result;
    Random random; ///< one per stream: the arrivals of one do not depend on the timing of another
    double nextMs = never; ///< next open-loop arrival
    size_t nextAddress = 0;
};

/// One request with its attempts; reused for later requests.
struct Caller {
    StreamState *stream = nullptr;
    std::string body = {};
    int attemptsLeft = 0;
    double startedMs = 0;
    double requestMs = 0; ///< start of the first attempt since the start of the run
    Transfer transfer = {};
};

class Generator
{
public:
    explicit Generator(const LoadOptions &options);
    ~Generator();
    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;
    std::vector<LoadResult> run();

private:
    double nowMs() const
    {
        return steadyMs() - m_originMs;
    }
    void countInBin(std::vector<std::uint64_t> &bins) const
    {
        const auto bin = static_cast<size_t>(nowMs() / LoadResult::binMs);
        bins.resize(std::max(bins.size(), bin + 1));
        ++bins[bin];
    }
    bool open(const StreamState &stream, double now) const
    {
        return now < std::min(stream.options->endMs, m_options.durationMs) && stream.result->requests < stream.options->maxRequests;
    }
    static double gapMs(StreamState &stream)
    {
        return -std::log(1 - stream.random.fraction()) * 1000 / stream.options->ratePerS;
    }
    void startClosedLoops(double now);
    void startArrivals(double now);
    void startRequest(StreamState &stream);
    void startAttempt(Caller &caller);
    bool classify(Caller &caller, const HttpAnswer &answer);
    static StartBin &startBin(LoadResult &result, double atMs);
    void onDone(Caller &caller, CURLcode error);
    void completeTransfers();
    double nextEventMs() const;

    const LoadOptions &m_options;
    double m_originMs = steadyMs();
    CURLM *m_multi = curl_multi_init();
    std::vector<LoadResult> m_results;
    std::vector<StreamState> m_streams;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<Caller *> m_idle;
    int m_inFlight = 0;
    std::uint64_t m_serial = 0;
};

Generator::Generator(const LoadOptions &options)
    : m_options(options)
    , m_results(options.streams.size())
{
    for (size_t i = 0; i < options.streams.size(); ++i) {
        StreamState stream{&options.streams[i], &m_results[i], Random(options.seed * 1000 + i)};
        stream.nextMs = stream.options->ratePerS > 0 ? stream.options->startMs + gapMs(stream) : never;
        m_streams.push_back(stream);
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.maxInFlight));
}

Generator::~Generator()
{
    m_callers.clear();
    curl_multi_cleanup(m_multi);
}

/// Starts the callers of closed-loop streams at their start time.
void Generator::startClosedLoops(double now)
{
    for (StreamState &stream : m_streams) {
        if (stream.options->clients > 0 && stream.result->requests == 0 && now >= stream.options->startMs) {
            for (int i = 0; i < stream.options->clients && open(stream, now); ++i) {
                startRequest(stream);
            }
        }
    }
}

void Generator::startArrivals(double now)
{
    for (StreamState &stream : m_streams) {
        while (stream.nextMs <= now && open(stream, stream.nextMs)) {
            stream.result->maxLagMs = std::max(stream.result->maxLagMs, now - stream.nextMs);
            stream.nextMs += gapMs(stream);
            if (m_inFlight < m_options.maxInFlight) {
                startRequest(stream);
            } else {
                ++stream.result->skipped;
                ++startBin(*stream.result, now).requests;
            }
        }
    }
}

void Generator::startRequest(StreamState &stream)
{
    if (m_idle.empty()) {
        m_callers.push_back(std::make_unique<Caller>());
        m_idle.push_back(m_callers.back().get());
    }
    Caller &caller = *m_idle.back();
    m_idle.pop_back();
    caller.stream = &stream;
    caller.body = stream.options->team + '-' + std::to_string(getpid()) + '-' + std::to_string(m_options.seed) + '-' + std::to_string(++m_serial) + '.';
    caller.body.resize(std::max(caller.body.size(), stream.options->bodyBytes), 'x');
    caller.attemptsLeft = stream.options->attempts;
    ++stream.result->requests;
    ++m_inFlight;
    caller.requestMs = nowMs();
    ++startBin(*stream.result, caller.requestMs).requests;
    startAttempt(caller);
}

StartBin &Generator::startBin(LoadResult &result, double atMs)
{
    const auto bin = static_cast<size_t>(atMs / LoadResult::binMs);
    result.byStart.resize(std::max(result.byStart.size(), bin + 1));
    return result.byStart[bin];
}

void Generator::startAttempt(Caller &caller)
{
    StreamState &stream = *caller.stream;
    const LoadStream &options = *stream.options;
    HttpRequest request{"POST", options.addresses[stream.nextAddress++ % options.addresses.size()], options.path, caller.body};
    request.timeoutMs = options.timeoutMs;
    request.freshConnection = options.action;
    request.headers.push_back("Yuccagrade-Timeout-Ms: " + std::to_string(options.timeoutMs));
    if (!options.key.empty()) {
        request.headers.push_back("Authorization: Bearer " + options.key);
    }
    if (options.action) {
        request.headers.push_back("Idempotency-Key: " + caller.body.substr(0, caller.body.find('.')));
    }
    caller.transfer.prepare(request);
    curl_easy_setopt(caller.transfer.handle(), CURLOPT_PRIVATE, &caller);
    caller.startedMs = steadyMs();
    --caller.attemptsLeft;
    ++stream.result->attempts;
    curl_multi_add_handle(m_multi, caller.transfer.handle());
}

/// Counts the outcome of one attempt. Returns true if it was whole.
bool Generator::classify(Caller &caller, const HttpAnswer &answer)
{
    LoadResult &result = *caller.stream->result;
    if (answer.status == 0) {
        ++result.failed[curl_easy_strerror(answer.error)];
    } else if (answer.error != CURLE_OK) {
        ++result.wrong;
        ++result.shortened;
    } else if (answer.status != 200) {
        const auto outcome = answer.headers.find("yuccagrade-outcome");
        countInBin(result.refusals);
        ++result.refused[std::to_string(answer.status) + ' ' + (outcome == answer.headers.end() ? "-" : outcome->second)];
    } else if (!isOwnWholeAnswer(answer.body, caller.body)) {
        ++result.wrong;
    } else {
        ++result.whole;
        result.spans.push_back({caller.startedMs, steadyMs()});
        result.latenciesMs.push_back(result.spans.back().endMs - caller.startedMs);
        countInBin(result.goodput);
        StartBin &start = startBin(result, caller.requestMs);
        ++start.whole;
        start.latencySumMs += nowMs() - caller.requestMs;
        return true;
    }
    return false;
}

void Generator::onDone(Caller &caller, CURLcode error)
{
    StreamState &stream = *caller.stream;
    if (!classify(caller, caller.transfer.finish(error)) && caller.attemptsLeft > 0) {
        startAttempt(caller);
        return;
    }
    --m_inFlight;
    m_idle.push_back(&caller);
    if (stream.options->clients > 0 && open(stream, nowMs())) {
        startRequest(stream);
    }
}

void Generator::completeTransfers()
{
    int count = 0;
    curl_multi_perform(m_multi, &count);
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &count)) {
        CURL *handle = message->easy_handle;
        const CURLcode error = message->data.result;
        Caller *caller = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &caller);
        curl_multi_remove_handle(m_multi, handle);
        onDone(*caller, error);
    }
}

/// Returns the time of the next start of a request, never if none follows.
double Generator::nextEventMs() const
{
    double next = never;
    for (const StreamState &stream : m_streams) {
        const bool closedLoopToCome = stream.options->clients > 0 && stream.result->requests == 0;
        const double at = closedLoopToCome ? stream.options->startMs : stream.nextMs;
        next = std::min(next, open(stream, at) ? at : never);
    }
    return next;
}

std::vector<LoadResult> Generator::run()
{
    while (true) {
        const double now = nowMs();
        startClosedLoops(now);
        startArrivals(now);
        completeTransfers();
        const double next = nextEventMs();
        if (m_inFlight == 0 && next == never) {
            break;
        }
        // Waits of less than 1 ms are rounded down to 0: precise arrivals cost some idle polling.
        const double waitMs = std::clamp(next - nowMs(), 0.0, 1000.0);
        curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(waitMs), nullptr);
    }
    for (LoadResult &result : m_results) {
        std::sort(result.latenciesMs.begin(), result.latenciesMs.end());
    }
    return std::move(m_results);
}

Json::Value countsJson(const std::map<std::string, std::uint64_t> &counts)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, count] : counts) {
        value[name] = count;
    }
    return value;
}
}

double LoadResult::quantileMs(double q) const
{
    if (latenciesMs.empty()) {
        return 0;
    }
    const double rank = std::ceil(q * static_cast<double>(latenciesMs.size()));
    return latenciesMs[static_cast<size_t>(std::clamp(rank, 1.0, static_cast<double>(latenciesMs.size()))) - 1];
}

std::uint64_t LoadResult::refusedTotal() const
{
    return std::accumulate(refused.begin(), refused.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &item) {
        return sum + item.second;
    });
}

Json::Value LoadResult::toJson() const
{
    Json::Value value;
    value["requests"] = requests;
    value["attempts"] = attempts;
    value["skipped"] = skipped;
    value["whole"] = whole;
    value["wrong"] = wrong;
    value["shortened"] = shortened;
    value["refused"] = countsJson(refused);
    value["failed"] = countsJson(failed);
    for (const double q : {0.5, 0.9, 0.99, 0.999}) {
        value["latencyMs"][std::to_string(q).substr(0, 5)] = quantileMs(q);
    }
    value["maxLagMs"] = maxLagMs;
    for (const std::uint64_t count : goodput) {
        value["goodputPer50Ms"].append(count);
    }
    return value;
}

std::vector<LoadResult> runLoad(const LoadOptions &options)
{
    return Generator(options).run();
}

bool isOwnWholeAnswer(const std::string &answer, const std::string &body)
{
    const Json::Value value = parsedAnswer(answer);
    return value.isObject() && value["echo"].isString() && value["echo"].asString() == body && value["complete"] == true;
}
}
