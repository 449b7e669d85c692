#include "eventloop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <unordered_map>
#include <vector>

namespace Yuccagrade
{
namespace
{
// Upper bound of one wait, so that a stop from a signal handler is seen even without events.
constexpr TimeMs maxWaitMs = 100;
// ACE dispatches one descriptor event per call; timers and posted calls get their turn after this many.
constexpr int maxEventsPerTurn = 64;
constexpr int maxDescriptors = 8192;

volatile std::sig_atomic_t terminateRequested = 0;

void requestTerminate(int)
{
    terminateRequested = 1;
}

// Handler of one descriptor number. It lives as long as the loop: ACE keeps its pointer when a descriptor was closed
// before its removal, and would later call a freed handler (seen as crashes of nodes under overload).
class DescriptorHandler : public ACE_Event_Handler
{
public:
    explicit DescriptorHandler(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): ACE interface
    {
        return m_descriptor;
    }
    int handle_input(ACE_HANDLE) override // NOLINT(readability-identifier-naming): ACE interface
    {
        return dispatch(EventLoop::Readable);
    }
    int handle_output(ACE_HANDLE) override // NOLINT(readability-identifier-naming): ACE interface
    {
        return dispatch(EventLoop::Writable);
    }
    std::function<void(int)> callback; ///< empty while the descriptor is not watched
    bool registered = false;

private:
    // Copies the callback, since it may replace itself.
    int dispatch(int readiness) const
    {
        if (const auto current = callback) {
            current(readiness);
        }
        return 0;
    }

    int m_descriptor;
};

struct Timer {
    double dueMs = 0;
    TimeMs periodMs = 0; ///< 0 for a single shot
    std::function<void()> callback;
};

ACE_Reactor_Mask reactorMask(int mask)
{
    ACE_Reactor_Mask result = 0;
    result |= (mask & EventLoop::Readable) ? ACE_Event_Handler::READ_MASK : 0;
    result |= (mask & EventLoop::Writable) ? ACE_Event_Handler::WRITE_MASK : 0;
    return result;
}
}

struct EventLoop::Impl {
    explicit Impl(Clock loopClock)
        : clock(std::move(loopClock))
        , reactor(new ACE_Dev_Poll_Reactor(maxDescriptors), true)
    {
    }

    void runPosted();
    void runTimers();
    void runEvents();
    double waitMs() const;

    Clock clock;
    // Destroyed after the reactor, which calls the handlers that it still knows.
    std::unordered_map<int, std::unique_ptr<DescriptorHandler>> handlers;
    ACE_Reactor reactor;
    std::unordered_map<TimerId, Timer> timers;
    std::multimap<double, TimerId> due;
    TimerId lastTimer = 0;
    std::vector<std::function<void()>> posted;
    std::function<void()> terminate;
    bool stopped = false;
};

EventLoop::EventLoop(Clock clock)
    : m_impl(std::make_unique<Impl>(std::move(clock)))
{
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    for (const auto &[descriptor, handler] : m_impl->handlers) {
        if (handler->registered) {
            m_impl->reactor.remove_handler(handler.get(), ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        }
    }
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

// Timers are kept here rather than in ACE's queue, which follows the wall clock and would shift leases with it.
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

void EventLoop::Impl::runEvents()
{
    // epoll counts whole ms; rounding up avoids a busy loop just before a timer is due.
    const auto wait = static_cast<long>(waitMs() + 0.999);
    ACE_Time_Value timeout(wait / 1000, static_cast<suseconds_t>((wait % 1000) * 1000));
    for (int i = 0; i < maxEventsPerTurn; ++i) {
        if (reactor.handle_events(&timeout) <= 0) {
            break;
        }
        timeout = ACE_Time_Value::zero;
        if (stopped) {
            break;
        }
        runPosted();
    }
}

void EventLoop::run()
{
    m_impl->reactor.owner(ACE_OS::thr_self());
    m_impl->stopped = false;
    while (!m_impl->stopped) {
        m_impl->runPosted();
        m_impl->runTimers();
        if (m_impl->stopped) {
            break;
        }
        m_impl->runEvents();
        if (terminateRequested && m_impl->terminate) {
            terminateRequested = 0;
            m_impl->terminate();
        }
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
    m_impl->timers.erase(found);
}

void EventLoop::post(std::function<void()> callback)
{
    m_impl->posted.push_back(std::move(callback));
}

void EventLoop::watch(int descriptor, int mask, std::function<void(int)> callback)
{
    auto &handler = m_impl->handlers[descriptor];
    if (!handler) {
        handler = std::make_unique<DescriptorHandler>(descriptor);
    }
    handler->callback = std::move(callback);
    // Changing the mask in place saves a system call per request against a removal and a new registration.
    if (handler->registered && m_impl->reactor.mask_ops(handler.get(), reactorMask(mask), ACE_Reactor::SET_MASK) >= 0) {
        return;
    }
    m_impl->reactor.remove_handler(handler.get(), ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    handler->registered = m_impl->reactor.register_handler(handler.get(), reactorMask(mask)) == 0;
}

void EventLoop::unwatch(int descriptor)
{
    const auto found = m_impl->handlers.find(descriptor);
    if (found == m_impl->handlers.end() || !found->second->registered) {
        return;
    }
    DescriptorHandler &handler = *found->second;
    handler.callback = nullptr;
    handler.registered = false;
    m_impl->reactor.remove_handler(&handler, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
}

void EventLoop::onTerminate(std::function<void()> callback)
{
    m_impl->terminate = std::move(callback);
    std::signal(SIGTERM, requestTerminate);
    std::signal(SIGINT, requestTerminate);
}
}
