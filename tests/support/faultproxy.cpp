#include "support/faultproxy.h"
#include "support/address.h"
#include "support/wait.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cmath>
#include <deque>
#include <limits>
#include <list>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <vector>

namespace Yuccagrade::Test
{
namespace
{
constexpr double never = std::numeric_limits<double>::infinity();
// A stalled sender may fill this much, like the socket buffers of a partitioned path.
constexpr size_t bufferBytes = size_t{256} * 1024;

/// The path from one sender to one target.
struct Path {
    FaultRule rule;
    FaultCounters counters;
    double freeAtMs[2] = {0, 0}; ///< when the bandwidth limit lets the next byte pass, per direction
};

/// Bytes on their way; without bytes the end of the stream.
struct Chunk {
    std::string bytes;
    double dueMs;
};

/// One direction of a connection.
struct Pipe {
    int from;
    int to;
    bool toTarget;
    std::deque<Chunk> chunks = {};
    size_t queued = 0;
    bool readEnded = false;
    bool ended = false; ///< the end of the stream was passed on
    bool blocked = false; ///< the receiver's socket buffer is full
};

struct Connection {
    Path *path;
    int sender;
    int target;
    std::string targetAddress;
    Pipe up;
    Pipe down;
    bool connected = false;
    bool answerStarted = false;
    bool broken = false; ///< to be reset on both sides
};

struct Listener {
    int fd;
    std::string listenAddress;
    std::string targetAddress;
};

void closeWithReset(int fd)
{
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close(fd);
}

int newSocket()
{
    return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

int listenOn(const std::string &address)
{
    const sockaddr_in where = socketAddress(address);
    const int fd = newSocket();
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0 || listen(fd, 1024) != 0) {
        const int error = errno;
        close(fd);
        throw std::system_error(error, std::generic_category(), "listen on " + address);
    }
    return fd;
}

bool stalls(const Path &path, bool toTarget)
{
    return path.rule.cut != FaultRule::Cut::None || (toTarget ? path.rule.stallToTarget : path.rule.stallToSender);
}

/// Counts down a rule that holds for a number of answers.
bool takeOne(int &left)
{
    const bool applies = left != 0;
    left -= left > 0 ? 1 : 0;
    return applies;
}

/// When the pipe can pass on its first chunk.
double readyAtMs(const Pipe &pipe, const Path &path)
{
    if (pipe.chunks.empty() || stalls(path, pipe.toTarget)) {
        return never;
    }
    return std::max(pipe.chunks.front().dueMs, path.rule.bytesPerSecond > 0 ? path.freeAtMs[pipe.toTarget] : 0);
}

/// Applies the rules for answers to bytes that just came from the target. Returns the extra delay in ms.
double onAnswerBytes(Connection &connection)
{
    Path &path = *connection.path;
    if (connection.answerStarted) {
        return 0;
    }
    if (takeOne(path.rule.dropAnswers)) {
        ++path.counters.answersDropped;
        connection.broken = true;
        return 0;
    }
    connection.answerStarted = true;
    if (takeOne(path.rule.holdAnswers)) {
        ++path.counters.answersHeld;
        return path.rule.holdMs;
    }
    return 0;
}

void readInto(Pipe &pipe, Connection &connection)
{
    char buffer[65536];
    const ssize_t got = recv(pipe.from, buffer, sizeof buffer, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    double dueMs = steadyMs() + connection.path->rule.delayMs;
    if (got > 0 && pipe.toTarget) {
        connection.answerStarted = false;
    } else if (got > 0) {
        dueMs += onAnswerBytes(connection);
    }
    pipe.readEnded = got <= 0;
    if (!pipe.chunks.empty()) {
        dueMs = std::max(dueMs, pipe.chunks.back().dueMs);
    }
    pipe.chunks.push_back({std::string(buffer, got > 0 ? static_cast<size_t>(got) : 0), dueMs});
    pipe.queued += pipe.chunks.back().bytes.size();
}

/// Sends the first chunk or a part of it. Returns false if the receiver takes nothing now.
bool sendChunk(Pipe &pipe, Connection &connection, double now)
{
    Path &path = *connection.path;
    std::string &bytes = pipe.chunks.front().bytes;
    if (bytes.empty()) {
        shutdown(pipe.to, SHUT_WR);
        pipe.ended = true;
        pipe.chunks.pop_front();
        return true;
    }
    const double rate = path.rule.bytesPerSecond;
    // Slices of 10 ms keep a limited path even.
    const size_t slice = rate > 0 ? std::min(bytes.size(), static_cast<size_t>(rate / 100) + 1) : bytes.size();
    const ssize_t sent = send(pipe.to, bytes.data(), slice, MSG_NOSIGNAL);
    if (sent < 0) {
        pipe.blocked = errno == EAGAIN;
        connection.broken = !pipe.blocked && errno != EINTR;
        return false;
    }
    if (rate > 0) {
        path.freeAtMs[pipe.toTarget] = std::max(now, path.freeAtMs[pipe.toTarget]) + static_cast<double>(sent) * 1000 / rate;
    }
    (pipe.toTarget ? path.counters.bytesToTarget : path.counters.bytesToSender) += static_cast<std::uint64_t>(sent);
    pipe.queued -= static_cast<size_t>(sent);
    bytes.erase(0, static_cast<size_t>(sent));
    if (bytes.empty()) {
        pipe.chunks.pop_front();
    }
    return true;
}

void pump(Pipe &pipe, Connection &connection)
{
    const double now = steadyMs();
    while (!connection.broken && !pipe.blocked && readyAtMs(pipe, *connection.path) <= now && sendChunk(pipe, connection, now)) { }
}

/// Connects to the target once no cut holds the connection back.
void connectToTarget(Connection &connection)
{
    if (connection.connected || connection.path->rule.cut != FaultRule::Cut::None) {
        return;
    }
    const sockaddr_in where = socketAddress(connection.targetAddress);
    const int result = connect(connection.target, reinterpret_cast<const sockaddr *>(&where), sizeof where);
    connection.broken = result != 0 && errno != EINPROGRESS;
    connection.connected = true;
    connection.up.blocked = true;
}
}

struct FaultProxy::Impl {
    mutable std::mutex mutex;
    std::list<Listener> listeners;
    std::list<Connection> connections;
    std::map<std::pair<std::string, std::string>, Path> paths;
    std::atomic<bool> stopping = false;
    int wakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::thread thread;

    void wake() const
    {
        eventfd_write(wakeFd, 1);
    }
    void accept(const Listener &listener);
    double addInterest(std::vector<pollfd> &fds);
    void handle(const std::vector<pollfd> &fds);
    void service(Connection &connection);
    void reap();
    void run();
};

void FaultProxy::Impl::accept(const Listener &listener)
{
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const int fd = accept4(listener.fd, reinterpret_cast<sockaddr *>(&from), &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) {
        return;
    }
    char ip[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &from.sin_addr, ip, sizeof ip);
    Path &path = paths[{ip, listener.listenAddress}];
    ++path.counters.connections;
    if (path.rule.cut == FaultRule::Cut::Refuse) {
        ++path.counters.refused;
        closeWithReset(fd);
        return;
    }
    const int target = newSocket();
    connections.push_back({&path, fd, target, listener.targetAddress, {fd, target, true}, {target, fd, false}});
}

/// Fills @p fds with two entries per connection behind those of the listeners. Returns when the next chunk is due.
double FaultProxy::Impl::addInterest(std::vector<pollfd> &fds)
{
    double due = never;
    fds.push_back({wakeFd, POLLIN, 0});
    for (const Listener &listener : listeners) {
        fds.push_back({listener.fd, POLLIN, 0});
    }
    for (const Connection &connection : connections) {
        const auto events = [&](const Pipe &in, const Pipe &out) {
            const bool read = !in.readEnded && in.queued < bufferBytes;
            return static_cast<short>((read ? POLLIN : 0) | (out.blocked ? POLLOUT : 0));
        };
        const short sender = events(connection.up, connection.down);
        const short target = connection.connected ? events(connection.down, connection.up) : static_cast<short>(0);
        // poll would report a hung-up socket without end although nothing is to be done with it.
        fds.push_back({sender != 0 ? connection.sender : -1, sender, 0});
        fds.push_back({target != 0 ? connection.target : -1, target, 0});
        for (const Pipe *pipe : {&connection.up, &connection.down}) {
            due = std::min(due, pipe->blocked ? never : readyAtMs(*pipe, *connection.path));
        }
    }
    return due;
}

void FaultProxy::Impl::handle(const std::vector<pollfd> &fds)
{
    size_t at = 1;
    std::vector<const Listener *> pending;
    for (const Listener &listener : listeners) {
        if (at < fds.size() && fds[at].fd == listener.fd && fds[at].revents != 0) {
            pending.push_back(&listener);
        }
        ++at;
    }
    for (Connection &connection : connections) {
        const short sender = fds[at++].revents;
        const short target = fds[at++].revents;
        constexpr short readable = POLLIN | POLLHUP | POLLERR;
        connection.down.blocked = connection.down.blocked && sender == 0;
        connection.up.blocked = connection.up.blocked && target == 0;
        if ((sender & readable) != 0 && !connection.up.readEnded) {
            readInto(connection.up, connection);
        }
        if ((target & readable) != 0 && !connection.down.readEnded) {
            readInto(connection.down, connection);
        }
    }
    for (const Listener *listener : pending) {
        accept(*listener);
    }
}

void FaultProxy::Impl::service(Connection &connection)
{
    connectToTarget(connection);
    pump(connection.up, connection);
    pump(connection.down, connection);
}

void FaultProxy::Impl::reap()
{
    connections.remove_if([](const Connection &connection) {
        if (!connection.broken && !(connection.up.ended && connection.down.ended)) {
            return false;
        }
        for (const int fd : {connection.sender, connection.target}) {
            connection.broken ? closeWithReset(fd) : static_cast<void>(close(fd));
        }
        return true;
    });
}

void FaultProxy::Impl::run()
{
    while (!stopping) {
        std::vector<pollfd> fds;
        std::unique_lock lock(mutex);
        for (Connection &connection : connections) {
            service(connection);
        }
        reap();
        const double due = addInterest(fds);
        const size_t listenerCount = listeners.size();
        lock.unlock();
        const double waitMs = std::clamp(due - steadyMs(), 0.0, 1000.0);
        const timespec timeout{static_cast<time_t>(waitMs / 1000), static_cast<long>(std::fmod(waitMs, 1000) * 1e6)};
        ppoll(fds.data(), fds.size(), &timeout, nullptr);
        lock.lock();
        eventfd_t ignored = 0;
        eventfd_read(wakeFd, &ignored);
        // A listener that was added meanwhile shifts the entries; the next round sees the same events again.
        if (listeners.size() == listenerCount) {
            handle(fds);
        }
    }
}

FaultProxy::FaultProxy()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->thread = std::thread([this] {
        m_impl->run();
    });
}

FaultProxy::~FaultProxy()
{
    m_impl->stopping = true;
    m_impl->wake();
    m_impl->thread.join();
    for (Connection &connection : m_impl->connections) {
        connection.broken = true;
    }
    m_impl->reap();
    for (const Listener &listener : m_impl->listeners) {
        close(listener.fd);
    }
    close(m_impl->wakeFd);
}

void FaultProxy::addTarget(const std::string &listenAddress, const std::string &targetAddress)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->listeners.push_back({listenOn(listenAddress), listenAddress, targetAddress});
    m_impl->wake();
}

void FaultProxy::setRule(const std::string &senderIp, const std::string &listenAddress, const FaultRule &rule)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->paths[{senderIp, listenAddress}].rule = rule;
    m_impl->wake();
}

void FaultProxy::clearRules()
{
    const std::scoped_lock lock(m_impl->mutex);
    for (auto &[key, path] : m_impl->paths) {
        path.rule = {};
    }
    m_impl->wake();
}

FaultCounters FaultProxy::counters(const std::string &senderIp, const std::string &listenAddress) const
{
    const std::scoped_lock lock(m_impl->mutex);
    const auto found = m_impl->paths.find({senderIp, listenAddress});
    return found == m_impl->paths.end() ? FaultCounters{} : found->second.counters;
}
}
