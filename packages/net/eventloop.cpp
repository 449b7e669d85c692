#include "eventloop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <map>
#include <stdexcept>
#include <string>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Yuccagrade
{
namespace
{
// Upper bound of one wait, so that a signal is seen even without events.
constexpr TimeMs maxWaitMs = 100;
// Timers and posted calls get their turn after this many descriptor events.
constexpr int maxEventsPerTurn = 64;

volatile std::sig_atomic_t terminateRequested = 0;
volatile std::sig_atomic_t hangupRequested = 0;

sigset_t handledSignals()
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    ::sigaddset(&signals, SIGHUP);
    return signals;
}

void requestTerminate(int)
{
    terminateRequested = 1;
}

void requestHangup(int)
{
    hangupRequested = 1;
}

// A watched descriptor. The generation tells an event of an earlier watch of the same descriptor number.
struct Watch {
    std::function<void(int)> callback; ///< empty while the descriptor is not watched
    std::uint32_t generation = 0;
    std::uint32_t events = 0;
};

struct Timer {
    double dueMs = 0;
    TimeMs periodMs = 0; ///< 0 for a single shot
    std::function<void()> callback;
};

std::uint32_t epollMask(int mask)
{
    std::uint32_t result = 0;
    result |= (mask & EventLoop::Readable) ? EPOLLIN : 0;
    result |= (mask & EventLoop::Writable) ? EPOLLOUT : 0;
    return result;
}

// Errors and hang-ups are reported as both kinds of readiness; the next read or write tells the error.
int readinessOf(std::uint32_t events)
{
    int result = 0;
    result |= (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) ? EventLoop::Readable : 0;
    result |= (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) ? EventLoop::Writable : 0;
    return result;
}

epoll_event eventOf(int descriptor, const Watch &watch)
{
    epoll_event event{};
    event.events = watch.events;
    event.data.u64 = static_cast<std::uint64_t>(watch.generation) << 32 | static_cast<std::uint32_t>(descriptor);
    return event;
}
}

struct EventLoop::Impl {
    explicit Impl(Clock loopClock)
        : clock(std::move(loopClock))
        , epoll(::epoll_create1(EPOLL_CLOEXEC))
    {
        if (epoll < 0) {
            throw std::runtime_error("cannot create an epoll descriptor: errno " + std::to_string(errno));
        }
    }
    ~Impl()
    {
        ::close(epoll);
    }

    void runPosted();
    void runTimers();
    void runEvents();
    void runSignals();
    void dispatch(const epoll_event &event);
    double waitMs() const;

    Clock clock;
    int epoll;
    std::unordered_map<int, Watch> watches;
    std::unordered_map<TimerId, Timer> timers;
    std::multimap<double, TimerId> due;
    TimerId lastTimer = 0;
    std::vector<std::function<void()>> posted;
    std::function<void()> terminate;
    std::function<void()> hangup;
    std::function<void()> received;
    std::size_t receivedBytes = 0; ///< since the last call of received
    std::size_t receivedBytesPerCall = 0;
    std::uint64_t turn = 0;
    bool stopped = false;
};

EventLoop::EventLoop(Clock clock)
    : m_impl(std::make_unique<Impl>(std::move(clock)))
{
    std::signal(SIGPIPE, SIG_IGN);
}

// Callbacks may hold objects that cancel timers or unwatch descriptors when they end.
EventLoop::~EventLoop()
{
    m_impl->due.clear();
    const auto timers = std::exchange(m_impl->timers, {});
    const auto posted = std::exchange(m_impl->posted, {});
}

const Clock &EventLoop::clock() const
{
    return m_impl->clock;
}

void EventLoop::Impl::runPosted()
{
    auto batch = std::move(posted);
    posted.clear();
    for (const auto &callback : batch) {
        callback();
    }
}

void EventLoop::Impl::runTimers()
{
    const double now = clock.preciseMs();
    while (!due.empty() && due.begin()->first <= now && !stopped) {
        const TimerId id = due.begin()->second;
        due.erase(due.begin());
        const auto found = timers.find(id);
        if (found == timers.end()) {
            continue;
        }
        const auto callback = found->second.callback;
        if (found->second.periodMs > 0) {
            found->second.dueMs = now + static_cast<double>(found->second.periodMs);
            due.emplace(found->second.dueMs, id);
        } else {
            timers.erase(found);
        }
        callback();
    }
}

double EventLoop::Impl::waitMs() const
{
    if (!posted.empty()) {
        return 0;
    }
    double wait = maxWaitMs;
    if (!due.empty()) {
        wait = std::min(wait, due.begin()->first - clock.preciseMs());
    }
    return std::max(0.0, wait);
}

void EventLoop::Impl::dispatch(const epoll_event &event)
{
    const auto found = watches.find(static_cast<int>(event.data.u64 & 0xffffffffU));
    if (found == watches.end() || found->second.generation != event.data.u64 >> 32) {
        return;
    }
    // Copies the callback, since it may replace itself.
    if (const auto current = found->second.callback) {
        current(readinessOf(event.events));
    }
}

// One wait returns many events: ACE's dev-poll reactor makes a system call for each, and system calls are most of the
// cost of a forwarded call.
void EventLoop::Impl::runEvents()
{
    // epoll counts whole ms; rounding up avoids a busy loop just before a timer is due.
    std::array<epoll_event, maxEventsPerTurn> events{};
    const int ready = ::epoll_wait(epoll, events.data(), maxEventsPerTurn, static_cast<int>(waitMs() + 0.999));
    for (int i = 0; i < ready && !stopped; ++i) {
        dispatch(events[static_cast<std::size_t>(i)]);
    }
}

void EventLoop::Impl::runSignals()
{
    if (terminateRequested && terminate) {
        terminateRequested = 0;
        terminate();
    }
    if (hangupRequested && hangup) {
        hangupRequested = 0;
        hangup();
    }
}

void EventLoop::holdSignals()
{
    const sigset_t signals = handledSignals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void EventLoop::run()
{
    m_impl->stopped = false;
    if (m_impl->terminate || m_impl->hangup) {
        const sigset_t signals = handledSignals();
        ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    }
    while (!m_impl->stopped) {
        ++m_impl->turn;
        m_impl->runPosted();
        m_impl->runTimers();
        if (m_impl->stopped) {
            break;
        }
        m_impl->runEvents();
        m_impl->runSignals();
    }
}

void EventLoop::stop()
{
    m_impl->stopped = true;
}

TimerId EventLoop::after(TimeMs delayMs, std::function<void()> callback)
{
    const TimerId id = ++m_impl->lastTimer;
    const double due = m_impl->clock.preciseMs() + static_cast<double>(std::max<TimeMs>(0, delayMs));
    m_impl->timers.emplace(id, Timer{due, 0, std::move(callback)});
    m_impl->due.emplace(due, id);
    return id;
}

TimerId EventLoop::every(TimeMs periodMs, std::function<void()> callback)
{
    const TimerId id = after(periodMs, std::move(callback));
    m_impl->timers[id].periodMs = std::max<TimeMs>(1, periodMs);
    return id;
}

void EventLoop::cancel(TimerId id)
{
    const auto found = m_impl->timers.find(id);
    if (found == m_impl->timers.end()) {
        return;
    }
    const auto [first, last] = m_impl->due.equal_range(found->second.dueMs);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == id) {
            m_impl->due.erase(entry);
            break;
        }
    }
    // Destroyed after the entry: the callback may hold an object that cancels its timer when it ends.
    const auto callback = std::move(found->second.callback);
    m_impl->timers.erase(found);
}

void EventLoop::post(std::function<void()> callback)
{
    m_impl->posted.push_back(std::move(callback));
}

std::uint64_t EventLoop::turn() const
{
    return m_impl->turn;
}

void EventLoop::onReceived(std::size_t bytes, std::function<void()> callback)
{
    m_impl->received = std::move(callback);
    m_impl->receivedBytesPerCall = bytes;
    m_impl->receivedBytes = 0;
}

void EventLoop::countReceived(std::size_t bytes)
{
    m_impl->receivedBytes += bytes;
    if (m_impl->received && m_impl->receivedBytes >= m_impl->receivedBytesPerCall) {
        m_impl->receivedBytes = 0;
        m_impl->received();
    }
}

void EventLoop::watch(int descriptor, int mask, std::function<void(int)> callback)
{
    Watch &watch = m_impl->watches[descriptor];
    const std::uint32_t events = epollMask(mask);
    const bool known = static_cast<bool>(watch.callback);
    watch.callback = std::move(callback);
    watch.events = events;
    if (!known) {
        ++watch.generation;
    }
    epoll_event event = eventOf(descriptor, watch);
    // A descriptor that was closed without unwatch() has left the epoll set by itself.
    if (::epoll_ctl(m_impl->epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event) != 0) {
        ::epoll_ctl(m_impl->epoll, errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, descriptor, &event);
    }
}

void EventLoop::unwatch(int descriptor)
{
    const auto found = m_impl->watches.find(descriptor);
    if (found == m_impl->watches.end() || !found->second.callback) {
        return;
    }
    found->second.callback = nullptr;
    found->second.events = 0;
    ::epoll_ctl(m_impl->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::onTerminate(std::function<void()> callback)
{
    m_impl->terminate = std::move(callback);
    std::signal(SIGTERM, requestTerminate);
    std::signal(SIGINT, requestTerminate);
}

void EventLoop::onHangup(std::function<void()> callback)
{
    m_impl->hangup = std::move(callback);
    std::signal(SIGHUP, requestHangup);
}
}
