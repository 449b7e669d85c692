#include "support/upstream.h"
#include "base/random.h"
#include "protocol/jsoncodec.h"
#include "support/address.h"
#include "support/upstreamcall.h"
#include "support/wait.h"

#include <fcntl.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace Yuccagrade::Test
{
namespace
{
constexpr double announceMs = 1000;

struct Faults {
    double slow = 1;
    bool shed = false;
    Broken broken = Broken::None;
    double lateMs = 0;
    double coldMs = 0;
    double coldSinceMs = 0;
    bool draining = false;
    bool announce = true;
    unsigned nestedFailureStatus = 500;
};
}

struct Upstream::Impl {
    UpstreamOptions options;
    MHD_Daemon *daemon = nullptr;
    std::string address;
    mutable std::mutex mutex; ///< guards all members; the worker thread releases it while it polls
    std::deque<Call *> inbox;
    Faults faults;
    Json::Value stats;
    int executionFd = -1; ///< append-only: counts executions beyond the life of the process
    double lastReceivedMs = steadyMs();
    bool closing = false;
    std::atomic<bool> stopping = false;
    CURLM *multi = curl_multi_init();
    int epollFd = epoll_create1(EPOLL_CLOEXEC);
    int timerFd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    std::deque<Call *> waiting;
    std::set<Call *> active;
    std::multimap<double, Call *> timers; ///< end of work or of a late answer; without call: next announcement
    Transfer announcement;
    bool announcing = false;
    int running = 0;
    Random random{1};
    std::thread worker;

    static MHD_Result
    onRequest(void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, size_t *size, void **state);
    static void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode);
    MHD_Result control(Call &call);
    void setFaults(MHD_Connection *connection);
    MHD_Result submit(Call *call);
    void receive();
    void startWaiting();
    void startWork(Call *call);
    void recordExecution(const Call &call) const;
    double workMs();
    void onTimer(Call *call);
    void startNested(Call *call);
    void onTransferDone(Transfer *transfer, CURLcode error);
    void endWork(Call *call);
    void finish(Call *call);
    void forget(Call *call);
    void cancel(Call *call);
    void onEpoll();
    void announce();
    void armTimer() const;
    void run();
    Json::Value currentStats() const;
    void count(const char *name, int amount = 1)
    {
        stats[name] = stats[name].asInt() + amount;
    }
    void raise(const char *name, size_t value)
    {
        stats[name] = std::max(stats[name].asInt(), static_cast<int>(value));
    }
};

MHD_Result Upstream::Impl::onRequest(void *self,
                                     MHD_Connection *connection,
                                     const char *url,
                                     const char *method,
                                     const char *,
                                     const char *data,
                                     size_t *size,
                                     void **state)
{
    auto *impl = static_cast<Impl *>(self);
    auto *call = static_cast<Call *>(*state);
    if (!call) {
        const int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        call = new Call{connection, fd, method, url};
        call->readHeaders();
        *state = call;
        return MHD_YES;
    }
    if (*size > 0) {
        call->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (call->done) {
        return reply(connection, call->status, call->answer, call->broken);
    }
    return call->path.rfind("/control", 0) == 0 ? impl->control(*call) : impl->submit(call);
}

void Upstream::Impl::onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<Call *>(*state);
    *state = nullptr;
}

MHD_Result Upstream::Impl::control(Call &call)
{
    const std::scoped_lock lock(mutex);
    if (call.path == "/control") {
        setFaults(call.connection);
        curl_multi_wakeup(multi);
    }
    return reply(call.connection, 200, toText(currentStats()), Broken::None);
}

void Upstream::Impl::setFaults(MHD_Connection *connection)
{
    const auto value = [&](const char *name) -> const char * {
        return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    };
    const auto number = [&](const char *name, double current) {
        return value(name) ? std::atof(value(name)) : current;
    };
    faults.slow = number("slow", faults.slow);
    faults.shed = number("shed", faults.shed) != 0;
    faults.lateMs = number("late", faults.lateMs);
    faults.draining = number("drain", faults.draining) != 0;
    faults.announce = number("announce", faults.announce) != 0;
    faults.nestedFailureStatus = static_cast<unsigned>(number("failure", faults.nestedFailureStatus));
    if (value("cold")) {
        faults.coldMs = number("cold", 0);
        faults.coldSinceMs = steadyMs();
    }
    if (const char *kind = value("broken")) {
        faults.broken = brokenFromName(kind);
    }
}

MHD_Result Upstream::Impl::submit(Call *call)
{
    const std::scoped_lock lock(mutex);
    count("received");
    count("receivedDraining", faults.draining ? 1 : 0);
    count("keyLeaks", call->leaksKey() ? 1 : 0);
    lastReceivedMs = steadyMs();
    for (const auto &[name, value] : call->headers) {
        Json::Value &seen = stats["headers"][name];
        seen = seen.asInt() + 1;
    }
    if (faults.shed || closing) {
        count("shed");
        return reply(call->connection, 503, R"({"error":"shed"})", Broken::None);
    }
    MHD_suspend_connection(call->connection);
    inbox.push_back(call);
    curl_multi_wakeup(multi);
    return MHD_YES;
}

void Upstream::Impl::receive()
{
    for (Call *call : inbox) {
        epoll_event event{EPOLLRDHUP, {call}};
        epoll_ctl(epollFd, EPOLL_CTL_ADD, call->socket, &event);
        active.insert(call);
        waiting.push_back(call);
    }
    inbox.clear();
    raise("waitingMax", waiting.size());
}

void Upstream::Impl::startWaiting()
{
    while (running < options.slots && !waiting.empty()) {
        Call *call = waiting.front();
        waiting.pop_front();
        startWork(call);
    }
}

void Upstream::Impl::startWork(Call *call)
{
    ++running;
    call->holdsSlot = true;
    count("executed");
    recordExecution(*call);
    raise("concurrencyMax", static_cast<size_t>(running));
    const auto key = call->headers.find("idempotency-key");
    if (key != call->headers.end()) {
        Json::Value &executions = stats["executions"][key->second];
        executions = executions.asInt() + 1;
    }
    timers.emplace(steadyMs() + workMs(), call);
}

/// One write per execution before its work: the record is in the file even if the process is killed right after.
void Upstream::Impl::recordExecution(const Call &call) const
{
    if (executionFd < 0) {
        return;
    }
    const auto key = call.headers.find("idempotency-key");
    const std::string line = std::to_string(steadyMs()) + ' ' + call.path + ' ' + (key == call.headers.end() ? "-" : key->second) + ' '
        + call.body.substr(0, call.body.find_first_of(". \n")) + '\n';
    if (write(executionFd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::abort(); // a lost record would hide a second execution
    }
}

double Upstream::Impl::workMs()
{
    double factor = faults.slow;
    const double coldForMs = steadyMs() - faults.coldSinceMs;
    if (coldForMs < faults.coldMs) {
        factor *= 5 - 4 * coldForMs / faults.coldMs;
    }
    const double draw = options.exponential ? -std::log(1 - random.fraction()) : 1;
    return options.serviceMs * factor * draw;
}

/// Ends the work of a call that holds a slot, or the delay of a late answer.
void Upstream::Impl::onTimer(Call *call)
{
    if (!call) {
        announce();
    } else if (!call->holdsSlot) {
        finish(call);
    } else if (options.nested.empty() || options.nodeAddress.empty()) {
        endWork(call);
    } else {
        startNested(call);
    }
}

void Upstream::Impl::startNested(Call *call)
{
    const std::string &nested = options.nested[call->nested.size()];
    const auto slash = nested.find('/');
    const std::string method = slash > 1 ? nested.substr(0, slash - 1) : "POST";
    HttpRequest request{method, options.nodeAddress, nested.substr(slash), method == "GET" ? std::string() : call->body};
    request.sourceIp = ipOf(options.listenAddress);
    for (const char *name : {"yuccagrade-context", "yuccagrade-timeout-ms", "idempotency-key"}) {
        const auto found = call->headers.find(name);
        if (found != call->headers.end()) {
            request.headers.push_back(found->first + ": " + found->second);
        }
    }
    request.timeoutMs = 60000;
    request.freshConnection = call->headers.count("idempotency-key") > 0;
    call->transfer = std::make_unique<Transfer>();
    call->transfer->prepare(request);
    curl_easy_setopt(call->transfer->handle(), CURLOPT_PRIVATE, call);
    curl_multi_add_handle(multi, call->transfer->handle());
}

void Upstream::Impl::onTransferDone(Transfer *transfer, CURLcode error)
{
    if (transfer == &announcement) {
        announcing = false;
        count("announced", announcement.finish(error).status / 100 == 2 ? 1 : 0);
        return;
    }
    Call *call = nullptr;
    curl_easy_getinfo(transfer->handle(), CURLINFO_PRIVATE, &call);
    const HttpAnswer &answer = transfer->finish(error);
    if (answer.error != CURLE_OK || answer.status != 200) {
        count("nestedFailed");
        call->status = faults.nestedFailureStatus;
        endWork(call);
        return;
    }
    call->nested.append(parsedAnswer(answer.body));
    if (call->nested.size() < options.nested.size()) {
        startNested(call);
    } else {
        endWork(call);
    }
}

void Upstream::Impl::endWork(Call *call)
{
    --running;
    call->holdsSlot = false;
    Json::Value answer;
    answer["service"] = options.service;
    answer["path"] = call->path;
    answer["echo"] = faults.broken == Broken::Foreign ? "foreign" : call->body;
    answer["nested"] = call->nested;
    answer["complete"] = call->status == 200;
    call->answer = toText(answer);
    timers.emplace(steadyMs() + faults.lateMs, call);
}

/// Hands the call back to the daemon's thread, which sends the answer.
void Upstream::Impl::finish(Call *call)
{
    forget(call);
    call->broken = faults.broken;
    call->done = true;
    MHD_resume_connection(call->connection);
}

void Upstream::Impl::forget(Call *call)
{
    epoll_ctl(epollFd, EPOLL_CTL_DEL, call->socket, nullptr);
    active.erase(call);
    running -= call->holdsSlot ? 1 : 0;
    call->holdsSlot = false;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), call), waiting.end());
    std::erase_if(timers, [call](const auto &timer) {
        return timer.second == call;
    });
    if (call->transfer) {
        curl_multi_remove_handle(multi, call->transfer->handle());
        call->transfer.reset();
    }
}

/// The caller has closed the connection: the work stops and its slot is free.
void Upstream::Impl::cancel(Call *call)
{
    count("cancelled");
    finish(call);
}

void Upstream::Impl::onEpoll()
{
    epoll_event events[64];
    const int count = epoll_wait(epollFd, events, 64, 0);
    for (int i = 0; i < count; ++i) {
        auto *call = static_cast<Call *>(events[i].data.ptr);
        if (call && active.count(call) > 0) {
            cancel(call);
        }
    }
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t ignored = read(timerFd, &expirations, sizeof expirations);
}

void Upstream::Impl::announce()
{
    timers.emplace(steadyMs() + announceMs, nullptr);
    if (!faults.announce || announcing) {
        return;
    }
    Json::Value body;
    body["service"] = options.service;
    body["port"] = std::atoi(address.substr(address.find(':') + 1).c_str());
    body["slots"] = options.slots;
    body["connections"] = options.connections;
    body["state"] = faults.draining ? "draining" : "up";
    HttpRequest request{"POST", options.nodeAddress, "/yuccagrade/announce", toText(body), {"Content-Type: application/json"}};
    request.sourceIp = ipOf(options.listenAddress);
    request.timeoutMs = 900;
    announcement.prepare(request);
    announcing = curl_multi_add_handle(multi, announcement.handle()) == CURLM_OK;
}

void Upstream::Impl::armTimer() const
{
    if (timers.empty()) {
        return;
    }
    // A value of 0 would disarm the timer.
    const auto delayNs = static_cast<long long>(std::max(timers.begin()->first - steadyMs(), 0.001) * 1e6);
    const itimerspec when{{0, 0}, {static_cast<time_t>(delayNs / 1000000000), static_cast<long>(delayNs % 1000000000)}};
    timerfd_settime(timerFd, 0, &when, nullptr);
}

void Upstream::Impl::run()
{
    while (!stopping) {
        std::unique_lock lock(mutex);
        onEpoll();
        receive();
        startWaiting();
        int stillRunning = 0;
        curl_multi_perform(multi, &stillRunning);
        while (const CURLMsg *message = curl_multi_info_read(multi, &stillRunning)) {
            CURL *handle = message->easy_handle;
            const CURLcode error = message->data.result;
            curl_multi_remove_handle(multi, handle);
            void *owner = nullptr;
            curl_easy_getinfo(handle, CURLINFO_PRIVATE, &owner);
            onTransferDone(owner == &announcement ? &announcement : static_cast<Call *>(owner)->transfer.get(), error);
        }
        while (!timers.empty() && timers.begin()->first <= steadyMs()) {
            Call *call = timers.begin()->second;
            timers.erase(timers.begin());
            onTimer(call);
        }
        startWaiting();
        armTimer();
        lock.unlock();
        curl_waitfd waitFd{epollFd, CURL_WAIT_POLLIN, 0};
        curl_multi_poll(multi, &waitFd, 1, 1000, nullptr);
    }
}

Json::Value Upstream::Impl::currentStats() const
{
    Json::Value result = stats;
    result["msSinceReceived"] = steadyMs() - lastReceivedMs;
    return result;
}

Upstream::Upstream(const UpstreamOptions &options)
    : m_impl(std::make_unique<Impl>())
{
    Impl &impl = *m_impl;
    impl.options = options;
    impl.random = Random(options.seed);
    for (const char *name :
         {"received", "receivedDraining", "keyLeaks", "shed", "executed", "cancelled", "nestedFailed", "announced", "concurrencyMax", "waitingMax"}) {
        impl.stats[name] = 0;
    }
    impl.stats["executions"] = Json::objectValue;
    impl.stats["headers"] = Json::objectValue;
    if (!options.executionLog.empty()) {
        impl.executionFd = open(options.executionLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        if (impl.executionFd < 0) {
            throw std::runtime_error("cannot open " + options.executionLog);
        }
    }
    const sockaddr_in where = socketAddress(options.listenAddress);
    // The control path needs connections even when the node uses all that are announced.
    const auto limit = static_cast<unsigned>(options.connections + 16);
    impl.daemon = MHD_start_daemon(MHD_USE_AUTO_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                   0,
                                   nullptr,
                                   nullptr,
                                   Impl::onRequest,
                                   &impl,
                                   MHD_OPTION_SOCK_ADDR,
                                   &where,
                                   MHD_OPTION_CONNECTION_LIMIT,
                                   limit,
                                   MHD_OPTION_NOTIFY_COMPLETED,
                                   Impl::onCompleted,
                                   nullptr,
                                   MHD_OPTION_END);
    if (!impl.daemon) {
        throw std::runtime_error("cannot listen on " + options.listenAddress);
    }
    impl.address = ipOf(options.listenAddress) + ':' + std::to_string(MHD_get_daemon_info(impl.daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
    epoll_event event{EPOLLIN, {nullptr}};
    epoll_ctl(impl.epollFd, EPOLL_CTL_ADD, impl.timerFd, &event);
    if (!options.nodeAddress.empty()) {
        impl.timers.emplace(0, nullptr);
    }
    impl.worker = std::thread([&impl] {
        impl.run();
    });
}

Upstream::~Upstream()
{
    Impl &impl = *m_impl;
    impl.stopping = true;
    curl_multi_wakeup(impl.multi);
    impl.worker.join();
    {
        // A suspended connection would keep the daemon from stopping.
        const std::scoped_lock lock(impl.mutex);
        impl.closing = true;
        impl.active.insert(impl.inbox.begin(), impl.inbox.end());
        while (!impl.active.empty()) {
            Call *call = *impl.active.begin();
            call->status = 503;
            impl.finish(call);
        }
    }
    MHD_stop_daemon(impl.daemon);
    if (impl.announcing) {
        curl_multi_remove_handle(impl.multi, impl.announcement.handle());
    }
    curl_multi_cleanup(impl.multi);
    close(impl.epollFd);
    close(impl.timerFd);
    if (impl.executionFd >= 0) {
        close(impl.executionFd);
    }
}

std::string Upstream::address() const
{
    return m_impl->address;
}

Json::Value Upstream::stats() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->currentStats();
}
}
