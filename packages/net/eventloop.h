#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace Yuccagrade
{
/// Identifies a timer; 0 is never used.
using TimerId = std::uint64_t;

/// The event loop of a process. All callbacks run on the thread that called run().
class EventLoop
{
public:
    explicit EventLoop(Clock clock = Clock::system());
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Serves events until stop() is called.
    void run();
    /// Ends run() after the current callback.
    void stop();

    const Clock &clock() const;

    /// Calls @p callback once after @p delayMs.
    TimerId after(TimeMs delayMs, std::function<void()> callback);
    /// Calls @p callback every @p periodMs until cancelled.
    TimerId every(TimeMs periodMs, std::function<void()> callback);
    /// Cancels a timer; unknown identifiers are ignored.
    void cancel(TimerId id);
    /// Calls @p callback after the current event.
    void post(std::function<void()> callback);

    /// Number of the present turn: each one runs the posted callbacks, the due timers and the events of the ready descriptors.
    std::uint64_t turn() const;
    /// Calls @p callback each time streams have received another @p bytes bytes in all; null for none.
    void onReceived(std::size_t bytes, std::function<void()> callback);
    /// Counts bytes that a stream has received and passed on.
    void countReceived(std::size_t bytes);

    /// Readiness of a descriptor.
    enum Readiness { Readable = 1, Writable = 2 };
    /// Calls @p callback with a mask of Readiness whenever @p descriptor is ready. Replaces an earlier watch.
    void watch(int descriptor, int mask, std::function<void(int)> callback);
    void unwatch(int descriptor);
    /// Holds back SIGTERM, SIGINT and SIGHUP until run() of a loop with a hook for them. To be called before other threads
    /// start, so that a signal during the start of the process neither ends it nor gets lost.
    static void holdSignals();
    /// Calls @p callback on the loop after SIGTERM or SIGINT.
    void onTerminate(std::function<void()> callback);
    /// Calls @p callback on the loop after SIGHUP.
    void onHangup(std::function<void()> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
