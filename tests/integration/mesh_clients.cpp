#include <boost/test/unit_test.hpp>

#include "soak/operator.h"
#include "support/address.h"
#include "support/testfolder.h"
#include "support/transfer.h"
#include "support/wait.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Soak;

namespace
{
// The smallest process that leaves room for a configuration and an upload.
constexpr int memoryMb = 64;
// No process may take more resident memory than it was given.
constexpr long peakBoundKiB = memoryMb * 1'000'000L / 1'024;
// Descriptors that a process may open, and how many of them clients may take together with the process itself: the others
// are the reserve for upstreams, other processes and ordinary callers.
constexpr int descriptorLimit = 256;
constexpr std::size_t descriptorBound = 224;
constexpr double startBoundMs = 30'000;
constexpr double answerBoundMs = 20'000;
// A crowd ends when none of its clients could send anything for this time.
constexpr double stalledMs = 1'500;
constexpr double crowdBoundMs = 20'000;
constexpr std::size_t mb = 1'000'000;
constexpr auto readinessPort = ":8094";
constexpr auto announcementPort = ":8093";
constexpr auto metricsPort = ":9100";
constexpr auto peerPort = ":7000";

/// What one client sends before it waits with its connection open: a start, then a piece again and again.
struct Load {
    std::string start;
    std::string piece;
    std::size_t bytes = 0; ///< of all pieces
};

std::string requestStart(const std::string &method, const std::string &target)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: a.example\r\nX-Yuccagrade-Deadline-Ms: 2000\r\nAuthorization: Bearer key-0\r\n";
}

/// A body of which the last byte is missing.
Load shortBody(const std::string &target, std::size_t bytes)
{
    return {requestStart("POST", target) + "X-Yuccagrade-Request-Id: body\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n",
            std::string(65'536, 'b'),
            bytes - 1};
}

/// A body in chunks of @p chunkBytes, without its end.
Load chunks(const std::string &target, std::size_t chunkBytes, std::size_t bytes)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const std::string chunk = size.data() + std::string(chunkBytes, 'c') + "\r\n";
    std::string piece;
    while (piece.size() < 32'768) {
        piece += chunk;
    }
    return {requestStart("POST", target) + "X-Yuccagrade-Request-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n",
            piece,
            bytes / chunkBytes * chunk.size() / piece.size() * piece.size()};
}

/// A header of legal size with as many fields as fit.
std::string manyFieldsStart(const std::string &method, const std::string &target, const std::string &moreFields)
{
    std::string start = requestStart(method, target) + "X-Yuccagrade-Request-Id: fields\r\n" + moreFields;
    while (start.size() < 16'300) {
        start += "a:\r\n";
    }
    return start + "\r\n";
}

/// Such a header and the beginning of a body.
Load manyFields(const std::string &target)
{
    return {manyFieldsStart("POST", target, "Content-Length: 2\r\n"), "b", 1};
}

/// Requests of such headers one behind the other whose responses are not read.
Load pipelinedFields(const std::string &target, std::size_t requests)
{
    const std::string request = manyFieldsStart("GET", target, {});
    return {{}, request, requests * request.size()};
}

/// A whole body.
Load wholeBody(const std::string &target, std::size_t bytes)
{
    Load load = shortBody(target, bytes);
    ++load.bytes;
    return load;
}

/// Requests one behind the other whose responses are not read.
Load pipelined(const std::string &target, std::size_t bytes)
{
    const std::string request = requestStart("GET", target) + "X-Yuccagrade-Request-Id: many\r\n\r\n";
    return {{}, request, bytes / request.size() * request.size()};
}

/// A frame of the links between processes of which the last byte is missing.
Load shortFrame(std::size_t bytes)
{
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes));
    return {std::string(reinterpret_cast<const char *>(&length), sizeof length) + '\1', std::string(65'536, 'f'), bytes - 1};
}

/// Clients that send the same load at the same time and read nothing.
class Crowd
{
public:
    Crowd(const std::string &address, std::size_t clients, const Load &load)
        : m_load(load)
    {
        const sockaddr_in target = Test::socketAddress(address);
        for (std::size_t i = 0; i < clients; ++i) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            if (descriptor < 0) {
                throw std::runtime_error("no socket for a client");
            }
            m_clients.push_back({descriptor});
            if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
                throw std::runtime_error("no connection to " + address);
            }
        }
    }
    ~Crowd()
    {
        for (const Client &client : m_clients) {
            ::close(client.descriptor);
        }
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until all clients have sent all, are closed by the process, or are not read from.
    void run(const std::function<void()> &sample)
    {
        const double endMs = Test::steadyMs() + crowdBoundMs;
        double progressMs = Test::steadyMs();
        while (Test::steadyMs() < endMs && Test::steadyMs() - progressMs < stalledMs) {
            std::vector<pollfd> waiting;
            std::vector<Client *> open;
            for (Client &client : m_clients) {
                if (!client.done) {
                    waiting.push_back({client.descriptor, POLLOUT, 0});
                    open.push_back(&client);
                }
            }
            if (open.empty()) {
                break;
            }
            const int ready = ::poll(waiting.data(), waiting.size(), 50);
            for (std::size_t i = 0; ready > 0 && i < open.size(); ++i) {
                if (waiting[i].revents != 0 && send(*open[i])) {
                    progressMs = Test::steadyMs();
                }
            }
            sample();
        }
    }

    /// Bytes that all clients have sent.
    std::size_t sent() const
    {
        return m_sent;
    }

private:
    struct Client {
        int descriptor = -1;
        std::size_t sent = 0;
        bool done = false;
    };

    /// Returns true if something was sent.
    bool send(Client &client)
    {
        const std::size_t total = m_load.start.size() + m_load.bytes;
        std::string_view data;
        if (client.sent < m_load.start.size()) {
            data = std::string_view(m_load.start).substr(client.sent);
        } else if (client.sent < total) {
            const std::size_t behind = client.sent - m_load.start.size();
            data = std::string_view(m_load.piece).substr(behind % m_load.piece.size(), total - client.sent);
        }
        const ssize_t put = ::send(client.descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (put < 0) {
            client.done = errno != EAGAIN && errno != EINTR;
            return false;
        }
        client.sent += static_cast<std::size_t>(put);
        m_sent += static_cast<std::size_t>(put);
        client.done = client.sent >= total;
        return put > 0;
    }

    Load m_load;
    std::vector<Client> m_clients;
    std::size_t m_sent = 0;
};

/// The processes of a mesh with little memory and few descriptors.
class SmallMesh
{
public:
    SmallMesh()
        : m_ledger(m_loop)
        , m_fleet(m_loop, m_ledger, limitedProgram(), m_folder.path(), 1, "memory-mb = " + std::to_string(memoryMb) + '\n')
    {
        m_loop.every(10, [this] {
            if (m_stopping) {
                m_loop.stop();
            }
        });
        m_thread = std::thread([this] {
            m_loop.run();
        });
        // Uploads larger than the memory of the process are legal.
        std::string document = renderConfiguration(1, {{"read", "safe", "deep"}}, {"key-0"}, 100'000);
        const std::string limit = "\"maxBodyBytes\":1048576";
        document.replace(document.find(limit), limit.size(), "\"maxBodyBytes\":67108864");
        const bool accepted = Test::waitFor(
            [&] {
                return std::any_of(m_fleet.hosts().begin(), m_fleet.hosts().end(), [&document](const Host &host) {
                    return host.control
                        && Test::httpCall({.method = "POST",
                                           .address = host.operatorAddress,
                                           .path = "/Config.Put",
                                           .body = document,
                                           .headers = {"X-Yuccagrade-Base-Version: 0"},
                                           .timeoutMs = 1'000,
                                           .freshConnection = true})
                               .status
                        == 200;
                });
            },
            startBoundMs);
        if (!accepted) {
            throw std::runtime_error("the configuration was not accepted");
        }
    }
    ~SmallMesh()
    {
        m_stopping = true;
        m_thread.join();
    }
    SmallMesh(const SmallMesh &) = delete;
    SmallMesh &operator=(const SmallMesh &) = delete;

    /// Starts the process of a host anew, since the peak of its memory includes earlier loads, and waits for its service.
    Host &fresh(bool control)
    {
        Host &host = *std::find_if(m_fleet.hosts().begin(), m_fleet.hosts().end(), [control](const Host &candidate) {
            return candidate.control == control;
        });
        m_fleet.kill(host);
        m_fleet.start(host, false);
        BOOST_REQUIRE(Test::waitFor(
            [&] {
                return serves(host);
            },
            startBoundMs));
        return host;
    }
    /// Sends an ordinary request and returns whether it was answered.
    bool serves(const Host &host, const std::string &body = {})
    {
        Test::HttpRequest request{.method = body.empty() ? "GET" : "POST", .body = body, .timeoutMs = 3'000, .freshConnection = true};
        if (host.control) {
            request.address = host.operatorAddress;
            request.path = "/Config.Get";
        } else {
            request.address = host.callerAddress;
            request.path = "/read/x";
            request.headers = {"Host: a.example",
                               "X-Yuccagrade-Request-Id: q" + std::to_string(++m_lastId),
                               "X-Yuccagrade-Deadline-Ms: 2000",
                               "Authorization: Bearer key-0"};
        }
        const long status = Test::httpCall(request).status;
        return status == 200 || (host.control && status == 307);
    }

private:
    /// Returns a script that starts the program with a low limit of descriptors. The environment variable YUCCAGRADE_DAEMON
    /// names another program, for trials with a mechanism switched off.
    std::string limitedProgram() const
    {
        const char *other = std::getenv("YUCCAGRADE_DAEMON");
        std::string path = m_folder.path() + "/limited";
        std::ofstream(path) << "#!/bin/sh\nulimit -n " << descriptorLimit << "\nexec \"" << (other ? other : YUCCAGRADED_PROGRAM) << "\" \"$@\"\n";
        std::filesystem::permissions(path, std::filesystem::perms::owner_all);
        return path;
    }

    Test::TestFolder m_folder;
    EventLoop m_loop;
    Ledger m_ledger; ///< used by the thread of the loop only
    Fleet m_fleet;
    int m_lastId = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

SmallMesh &mesh()
{
    static SmallMesh instance;
    return instance;
}

std::size_t openDescriptors(const Host &host)
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(host.process->pid()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Sends a load to a port of a fresh process and checks what it takes. @p address is "ip:port" or the port of the host.
void withstand(bool control, const std::string &address, std::size_t clients, const Load &load)
{
    Host &host = mesh().fresh(control);
    const long peakBefore = Fleet::peakKiB(host);
    std::size_t descriptors = 0;
    {
        const std::string target = address == "callers" ? host.callerAddress
            : address == "operators"                    ? host.operatorAddress
            : address == metricsPort                    ? host.ip + address
                                                        : host.listenIp + address;
        Crowd crowd(target, clients, load);
        const auto sample = [&] {
            descriptors = std::max(descriptors, openDescriptors(host));
        };
        crowd.run(sample);
        BOOST_REQUIRE(crowd.sent() > 0);
        // The clients of the crowd still hold their connections.
        BOOST_TEST(Test::waitFor(
                       [&] {
                           const bool served = mesh().serves(host);
                           sample();
                           return served;
                       },
                       answerBoundMs),
                   "an ordinary request is not answered");
    }
    const long peak = Fleet::peakKiB(host);
    BOOST_TEST_MESSAGE("peak " << peak / 1'024 << " MiB (" << peakBefore / 1'024 << " MiB before), " << descriptors << " descriptors");
    BOOST_TEST(host.process->running());
    BOOST_TEST(peak <= peakBoundKiB);
    BOOST_TEST(descriptors <= descriptorBound);
}
}

// Guards against large bodies that are read together beyond the memory of the process.
BOOST_AUTO_TEST_CASE(shortBodiesOnARoute)
{
    withstand(false, "callers", 12, shortBody("/read/x", 20 * mb));
}

// Guards against bodies that are collected on a path to which no route leads.
BOOST_AUTO_TEST_CASE(shortBodiesWithoutARoute)
{
    withstand(false, "callers", 12, shortBody("/nowhere", 20 * mb));
}

// Guards against bodies that are small each and too many together.
BOOST_AUTO_TEST_CASE(manyShortBodies)
{
    withstand(false, "callers", 100, shortBody("/read/x", 2 * mb));
}

// Guards against bodies that are collected at the readiness port, which needs none.
BOOST_AUTO_TEST_CASE(shortBodiesAtReadiness)
{
    withstand(false, readinessPort, 12, shortBody("/ready", 20 * mb));
}

// Guards against bodies that are collected at the port for announcements, which are small.
BOOST_AUTO_TEST_CASE(shortBodiesOfAnnouncements)
{
    withstand(false, announcementPort, 12, shortBody("/Instances.Heartbeat/s0", 20 * mb));
}

// Guards against bodies that are collected at the metrics port, which needs none.
BOOST_AUTO_TEST_CASE(shortBodiesAtMetrics)
{
    withstand(false, metricsPort, 12, shortBody("/metrics", 20 * mb));
}

// Guards against configurations that are read together beyond the memory of a control host.
BOOST_AUTO_TEST_CASE(shortBodiesOfOperators)
{
    withstand(true, "operators", 12, shortBody("/Config.Put", 20 * mb));
}

// Guards against bodies that are collected at the metrics port of a control host.
BOOST_AUTO_TEST_CASE(shortBodiesAtMetricsOfAControlHost)
{
    withstand(true, metricsPort, 12, shortBody("/metrics", 20 * mb));
}

// Guards against bodies far over the limit that are collected up to it or read forever.
BOOST_AUTO_TEST_CASE(bodiesOverTheLimit)
{
    withstand(false, "callers", 12, chunks("/read/x", 16'384, 100 * mb));
}

// Guards against bodies in chunks of one byte, whose memory grows within a turn of the loop.
BOOST_AUTO_TEST_CASE(chunksOfOneByte)
{
    withstand(false, "callers", 60, chunks("/nowhere", 1, 3 * mb));
}

// Guards against bodies in chunks of the usual size.
BOOST_AUTO_TEST_CASE(chunksOfUsualSize)
{
    withstand(false, "callers", 60, chunks("/read/x", 16'384, 5 * mb));
}

// Guards against headers of legal size whose many fields take a multiple of it in memory.
BOOST_AUTO_TEST_CASE(manyShortFields)
{
    withstand(false, "callers", 230, manyFields("/read/x"));
}

// Guards against such headers at a port without a bound of its memory.
BOOST_AUTO_TEST_CASE(manyShortFieldsAtReadiness)
{
    withstand(false, readinessPort, 230, manyFields("/ready"));
}

// Guards against responses that wait for clients which pipeline requests and read nothing.
BOOST_AUTO_TEST_CASE(pipelinedOnARoute)
{
    withstand(false, "callers", 40, pipelined("/read/x", 4 * mb));
}

// Guards against the same with a path that needs no upstream.
BOOST_AUTO_TEST_CASE(pipelinedWithoutARoute)
{
    withstand(false, "callers", 40, pipelined("/nowhere", 4 * mb));
}

// Guards against headers of many fields that wait for their responses, many on each connection.
BOOST_AUTO_TEST_CASE(pipelinedFieldsWithoutARoute)
{
    withstand(false, "callers", 40, pipelinedFields("/nowhere", 64));
}

// Guards against the same with calls that upstreams answer.
BOOST_AUTO_TEST_CASE(pipelinedFieldsOnARoute)
{
    withstand(false, "callers", 40, pipelinedFields("/read/x", 64));
}

// Guards against copies of whole bodies on their way to an upstream that are not counted.
BOOST_AUTO_TEST_CASE(wholeBodies)
{
    withstand(false, "callers", 40, wholeBody("/read/x", 2 * mb));
}

// Guards against responses of the metrics port, which are larger than the requests for them, that nobody reads.
BOOST_AUTO_TEST_CASE(pipelinedAtMetrics)
{
    withstand(false, metricsPort, 20, pipelined("/metrics", mb / 2));
}

// Guards against configurations that clients of a control host ask for and do not read.
BOOST_AUTO_TEST_CASE(pipelinedOfOperators)
{
    withstand(true, "operators", 40, pipelined("/Config.Get", 2 * mb));
}

// Guards against clients that stop in a header and take all descriptors, so that no other client is served.
BOOST_AUTO_TEST_CASE(slowClients)
{
    withstand(false, "callers", 400, {requestStart("GET", "/read/x"), {}, 0});
}

// Guards against the same at the readiness port.
BOOST_AUTO_TEST_CASE(slowClientsAtReadiness)
{
    withstand(false, readinessPort, 400, {requestStart("GET", "/ready"), {}, 0});
}

// Guards against connections to the port for announcements that take all descriptors.
BOOST_AUTO_TEST_CASE(slowClientsOfAnnouncements)
{
    withstand(false, announcementPort, 400, {requestStart("POST", "/Instances.Heartbeat/s0"), {}, 0});
}

// Guards against connections to the port for other processes that take all descriptors.
BOOST_AUTO_TEST_CASE(idlePeers)
{
    withstand(false, peerPort, 400, {std::string(1, '\0'), {}, 0});
}

// Guards against clients of a control host that take all descriptors.
BOOST_AUTO_TEST_CASE(slowOperators)
{
    withstand(true, "operators", 400, {requestStart("GET", "/Config.Get"), {}, 0});
}

// Guards against frames that are collected beyond the memory of a node.
BOOST_AUTO_TEST_CASE(shortFramesOfPeers)
{
    withstand(false, peerPort, 12, shortFrame(60 * mb));
}

// Guards against frames that are collected beyond the memory of a control host.
BOOST_AUTO_TEST_CASE(shortFramesOfPeersOfAControlHost)
{
    withstand(true, peerPort, 12, shortFrame(60 * mb));
}

// Guards against limits that refuse a single upload although nothing else needs the memory.
BOOST_AUTO_TEST_CASE(oneLargeUploadIsServed)
{
    Host &host = mesh().fresh(false);
    BOOST_TEST(Test::waitFor(
        [&host] {
            return mesh().serves(host, std::string(8 * mb, 'u'));
        },
        answerBoundMs));
    BOOST_TEST_MESSAGE("peak " << Fleet::peakKiB(host) / 1'024 << " MiB");
    BOOST_TEST(Fleet::peakKiB(host) <= peakBoundKiB);
}
