#include <boost/test/unit_test.hpp>

#include "base/buildinfo.h"
#include "mesh/messages.h"
#include "operatedmesh.h"
#include "protocol/jsoncodec.h"
#include "support/address.h"
#include "support/transfer.h"
#include "support/wait.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Soak;

namespace
{
constexpr double answerBoundMs = 3'000;
// An outdated leader steps down within this time after its last contact with a majority.
constexpr double stepDownMs = 1'200;
constexpr int resendPauseMs = 5;

bool isRefusal(long status)
{
    return status >= 400 && status < 500;
}

bool isDenial(long status)
{
    return status == 401 || status == 403 || status == 404;
}

constexpr std::size_t frameHeaderBytes = 5;

std::string frameOf(Mesh::FrameType type, const std::string &payload)
{
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
    std::string frame(reinterpret_cast<const char *>(&length), sizeof length);
    return frame + static_cast<char>(type) + payload;
}

/// An open connection on which a request can be sent in parts.
class RawConnection
{
public:
    explicit RawConnection(const std::string &address)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in target = Test::socketAddress(address);
        if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            ::close(m_descriptor);
            throw std::runtime_error("no connection to " + address);
        }
    }
    ~RawConnection()
    {
        ::close(m_descriptor);
    }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view text) const
    {
        if (::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
            throw std::runtime_error("the connection does not take a request");
        }
    }
    /// Returns the status of the response, 0 if the connection ended without one.
    long status(double boundMs = answerBoundMs) const
    {
        std::string input;
        while (input.find("\r\n") == std::string::npos && receive(input, boundMs)) { }
        const std::size_t space = input.find(' ');
        return space == std::string::npos ? 0 : std::stol(input.substr(space + 1));
    }
    /// Returns the frames of a mesh link that arrive within @p boundMs, with their type in front.
    std::vector<std::string> frames(double boundMs) const
    {
        std::string input;
        const double endMs = Test::steadyMs() + boundMs;
        while (Test::steadyMs() < endMs && receive(input, endMs - Test::steadyMs())) { }
        std::vector<std::string> result;
        while (input.size() >= frameHeaderBytes) {
            std::uint32_t length = 0;
            std::memcpy(&length, input.data(), sizeof length);
            result.push_back(input.substr(frameHeaderBytes - 1, 1 + ntohl(length)));
            input.erase(0, frameHeaderBytes + ntohl(length));
        }
        return result;
    }

private:
    /// Adds what arrives. Returns false if the connection ended or nothing came within @p boundMs.
    bool receive(std::string &input, double boundMs = answerBoundMs) const
    {
        std::array<char, 4096> buffer;
        pollfd waiting{m_descriptor, POLLIN, 0};
        const ssize_t size = ::poll(&waiting, 1, static_cast<int>(boundMs) + 1) == 1 ? ::recv(m_descriptor, buffer.data(), buffer.size(), 0) : 0;
        input.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return size > 0;
    }

    int m_descriptor;
};

std::string toText(const std::map<long, int> &statuses)
{
    std::string text;
    for (const auto &[status, count] : statuses) {
        text += ' ' + std::to_string(status) + ": " + std::to_string(count);
    }
    return text;
}

int countOf(const std::map<long, int> &statuses, bool (*matches)(long))
{
    int count = 0;
    for (const auto &[status, number] : statuses) {
        count += matches(status) ? number : 0;
    }
    return count;
}

/// Returns the status of the answer to an order, 0 without one.
long order(const Host &control, const std::string &path)
{
    return Test::httpCall({.method = "POST", .address = control.operatorAddress, .path = path, .timeoutMs = 1'000, .freshConnection = true}).status;
}

/// Sends an order to @p controls in turn until one of them acknowledges it.
bool isAcknowledged(const std::vector<Host *> &controls, const std::string &path)
{
    return Test::waitFor(
        [&] {
            return std::any_of(controls.begin(), controls.end(), [&path](const Host *control) {
                return order(*control, path) == 200;
            });
        },
        leaderBoundMs);
}

/// Waits until each of @p nodes has been told that @p count domains are evacuated. Returns false if that takes longer than operators
/// are promised.
bool haveEvacuated(const std::vector<const Host *> &nodes, int count)
{
    constexpr double evacuateMs = 5'000;
    const std::string line = "evacuated_domains " + std::to_string(count) + '\n';
    return Test::waitFor(
        [&] {
            return std::all_of(nodes.begin(), nodes.end(), [&line](const Host *node) {
                return Test::httpCall({.address = node->ip + ":9100", .path = "/metrics", .freshConnection = true}).body.find(line) != std::string::npos;
            });
        },
        evacuateMs);
}
}

// Guards against a former leader that wakes and refuses changes which the present leader accepted or would accept.
BOOST_FIXTURE_TEST_CASE(frozenLeaderRefusesNoChange, OperatedMesh)
{
    constexpr int rounds = 6;
    std::map<long, int> statuses;
    for (int round = 0; round < rounds; ++round) {
        Host &former = leader();
        const Change first(version(), version() + 1);
        const Change second(first.version, first.version + 1);
        const Change next(second.version, second.version + 1);
        std::vector<std::pair<std::unique_ptr<RawConnection>, std::string>> calls;
        for (const Change &change : {first, second, next}) {
            calls.emplace_back(std::make_unique<RawConnection>(former.operatorAddress), change.request());
        }
        // Connections are accepted in order: once this one has an answer, the host has accepted the others.
        submit(former, Change(0, 1));
        former.process->freeze();
        // The first bytes arrive before those of another leader, and the host handles its sockets in this order.
        const std::size_t early = 20;
        for (const auto &[connection, request] : calls) {
            connection->send(std::string_view(request).substr(0, early));
        }
        publish(controlsBeside(former), first);
        publish(controlsBeside(former), second);
        for (const auto &[connection, request] : calls) {
            connection->send(std::string_view(request).substr(early));
        }
        former.process->resume();
        for (const auto &[connection, request] : calls) {
            ++statuses[connection->status()];
        }
    }
    BOOST_TEST_MESSAGE("answers of a woken leader:" << toText(statuses));
    BOOST_TEST(countOf(statuses, isRefusal) == 0, "statuses" << toText(statuses));
}

// Guards against a former leader that is cut off from the other control hosts and refuses such changes until it steps down.
BOOST_FIXTURE_TEST_CASE(cutOffLeaderRefusesNoChange, OperatedMesh)
{
    constexpr int rounds = 8;
    std::map<long, int> statuses;
    for (int round = 0; round < rounds; ++round) {
        Host &former = leader();
        const Change first(version(), version() + 1);
        const Change second(first.version, first.version + 1);
        const Change next(second.version, second.version + 1);
        setPaths(former, {.cut = Test::FaultRule::Cut::Stall});
        publish(controlsBeside(former), first);
        publish(controlsBeside(former), second);
        const double endMs = Test::steadyMs() + stepDownMs;
        while (Test::steadyMs() < endMs) {
            for (const Change &change : {second, next, first}) {
                ++statuses[submit(former, change)];
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(resendPauseMs));
        }
        setPaths(former, {});
    }
    BOOST_TEST_MESSAGE("answers of a leader that is cut off:" << toText(statuses));
    BOOST_TEST(countOf(statuses, isRefusal) == 0, "statuses" << toText(statuses));
}

// Guards against a former leader that wakes and grants tokens of a team which the present leader grants as well.
BOOST_FIXTURE_TEST_CASE(frozenLeaderGrantsNoTokens, OperatedMesh)
{
    constexpr int rounds = 4;
    constexpr double replyBoundMs = 500;
    const std::string linkPort = ":7000";
    int replies = 0;
    double granted = 0;
    for (int round = 0; round < rounds; ++round) {
        Host &former = leader();
        const RawConnection link(former.listenIp + linkPort);
        Mesh::SyncMessage report;
        report.peerAddress = Test::nextLoopbackIp() + linkPort;
        report.demand = {{"red", 1'000, 0, 0}};
        const std::string calls =
            frameOf(Mesh::FrameType::Sync, Mesh::encode(report)) + frameOf(Mesh::FrameType::TokenRequest, Mesh::encode(Mesh::TokenRequest{"red", 1}));
        former.process->freeze();
        link.send(std::string_view(calls).substr(0, 1));
        publish(controlsBeside(former), Change(version(), version() + 1));
        link.send(std::string_view(calls).substr(1));
        former.process->resume();
        for (const std::string &frame : link.frames(replyBoundMs)) {
            Mesh::TokenGrant grant;
            Mesh::SyncReplyMessage reply;
            ++replies;
            if (frame[0] == static_cast<char>(Mesh::FrameType::TokenGrant) && Mesh::decode(std::string_view(frame).substr(1), grant)) {
                granted += grant.granted;
            } else if (frame[0] == static_cast<char>(Mesh::FrameType::SyncReply) && Mesh::decode(std::string_view(frame).substr(1), reply)) {
                for (const Mesh::TeamShare &share : reply.shares) {
                    granted += share.tokens;
                }
            }
        }
    }
    BOOST_TEST(replies >= rounds);
    BOOST_TEST(granted == 0);
}

// Guards against nodes that deny what the acknowledged configuration allows, because it has not reached them yet.
BOOST_FIXTURE_TEST_CASE(acceptedRoutesAndKeysAreNotDenied, OperatedMesh)
{
    constexpr int changes = 20;
    const auto call = [](const Host &node, const std::string &route, const std::string &key, const std::string &id) {
        return Test::httpCall(
                   {.address = node.callerAddress,
                    .path = '/' + route + '/' + id,
                    .headers = {"Host: a.example", "X-Yuccagrade-Request-Id: " + id, "X-Yuccagrade-Deadline-Ms: 2000", "Authorization: Bearer " + key},
                    .timeoutMs = 3'000,
                    .freshConnection = true})
            .status;
    };
    int lastId = 0;
    const auto nextId = [&lastId] {
        return "r" + std::to_string(++lastId);
    };
    for (const Host *node : nodes()) {
        BOOST_REQUIRE(Test::waitFor(
            [&] {
                return call(*node, "read", "key-0", nextId()) == 200;
            },
            startBoundMs));
    }
    std::vector<RoutePlan> routes{{"read", "safe", "deep"}};
    std::vector<std::string> keys{"key-0"};
    std::map<long, int> statuses;
    int requests = 0;
    for (int i = 0; i < changes; ++i) {
        const Host &target = leader();
        const std::string route = "route-" + std::to_string(i);
        const std::string key = "key-" + std::to_string(i + 1);
        routes.push_back({route, "safe", "deep"});
        keys.push_back(key);
        const Change change(version(), version() + 1, routes, keys);
        BOOST_REQUIRE(submit(target, change) == 200);
        std::vector<std::future<long>> calls;
        for (const Host *node : nodes()) {
            calls.push_back(std::async(std::launch::async, call, std::cref(*node), route, "key-0", nextId()));
            calls.push_back(std::async(std::launch::async, call, std::cref(*node), "read", key, nextId()));
        }
        requests += static_cast<int>(calls.size());
        for (auto &status : calls) {
            ++statuses[status.get()];
        }
    }
    BOOST_TEST_MESSAGE("answers right after a change:" << toText(statuses));
    BOOST_TEST(2 * statuses[200] > requests, "statuses" << toText(statuses));
    BOOST_TEST(countOf(statuses, isDenial) == 0, "statuses" << toText(statuses));
}

// Guards against tokens of the nodes' shares that are spent beside the full rate of a leader whose answers are late.
BOOST_FIXTURE_TEST_CASE(lateLeaderDoesNotRaiseTheLimitOfATeam, OperatedMesh)
{
    constexpr double teamRatePerS = 60;
    constexpr double windowMs = 5'000;
    constexpr double allowed = (teamRatePerS * windowMs / 1'000 + teamRatePerS) * 1.1 + 20;
    constexpr double loadMs = 9'000;
    constexpr int callersOfNode = 3;
    Host &present = leader();
    Change change(version(), version() + 1);
    change.document = renderConfiguration(change.version, {{"read", "safe", "deep"}}, {"key-0"}, teamRatePerS);
    BOOST_REQUIRE(submit(present, change) == 200);
    const double endMs = Test::steadyMs() + loadMs;
    const auto callInLoop = [endMs](const Host &node, int caller) {
        std::vector<std::pair<double, double>> served; // time of the request and of its answer
        for (int i = 0; Test::steadyMs() < endMs; ++i) {
            const double sentMs = Test::steadyMs();
            const std::string id = "q" + node.name + '-' + std::to_string(caller) + '-' + std::to_string(i);
            const Test::HttpAnswer answer = Test::httpCall(
                {.address = node.callerAddress,
                 .path = "/read/" + id,
                 .headers = {"Host: a.example", "X-Yuccagrade-Request-Id: " + id, "X-Yuccagrade-Deadline-Ms: 2000", "Authorization: Bearer key-0"},
                 .timeoutMs = 3'000});
            if (answer.status == 200) {
                served.emplace_back(sentMs, Test::steadyMs());
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return served;
    };
    std::vector<std::future<std::vector<std::pair<double, double>>>> loops;
    for (const Host *node : nodes()) {
        for (int caller = 0; caller < callersOfNode; ++caller) {
            loops.push_back(std::async(std::launch::async, callInLoop, std::cref(*node), caller));
        }
    }
    // Shorter than the time after which another control host may lead.
    while (Test::steadyMs() < endMs) {
        present.process->freeze();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        present.process->resume();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::vector<std::pair<double, double>> served;
    for (auto &loop : loops) {
        const auto part = loop.get();
        served.insert(served.end(), part.begin(), part.end());
    }
    std::size_t worst = 0;
    for (const auto &[startMs, ignored] : served) {
        const auto inWindow = std::count_if(served.begin(), served.end(), [from = startMs](const auto &request) {
            return request.first >= from && request.second <= from + windowMs;
        });
        worst = std::max(worst, static_cast<std::size_t>(inWindow));
    }
    BOOST_TEST_MESSAGE(worst << " requests served in 5 s, " << served.size() << " in all, " << allowed << " allowed in 5 s");
    BOOST_TEST(static_cast<double>(worst) <= allowed);
    BOOST_TEST(static_cast<double>(worst) >= teamRatePerS * windowMs / 1'000 / 2);
}

// Guards against a request that is read late in a planned stop, passed on, and cut when the process ends.
BOOST_FIXTURE_TEST_CASE(lateRequestOfAStoppingNodeIsAnswered, OperatedMesh)
{
    leader();
    Host &node = *std::find_if(fleet().hosts().begin(), fleet().hosts().end(), [](const Host &host) {
        return !host.control;
    });
    const auto requestOf = [](const std::string &id) {
        return renderRequest("GET",
                             "/read/" + id,
                             {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Deadline-Ms", "5000"}, {"Authorization", "Bearer key-0"}},
                             {});
    };
    BOOST_REQUIRE(Test::waitFor(
        [&] {
            const RawConnection connection(node.callerAddress);
            connection.send(requestOf("early"));
            return connection.status() == 200;
        },
        startBoundMs));
    for (std::size_t i = 0; i < fleet().servers(); ++i) {
        fleet().setServerPath(i, {.delayMs = 1'500});
    }
    // Connections that were open before the stop; their requests begin while the node still takes new ones.
    std::array<std::unique_ptr<RawConnection>, 4> connections;
    for (auto &connection : connections) {
        connection = std::make_unique<RawConnection>(node.callerAddress);
    }
    const double stoppedMs = Test::steadyMs();
    Fleet::stop(node);
    const auto waitUntil = [stoppedMs](double ms) {
        std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(stoppedMs + ms - Test::steadyMs())));
    };
    constexpr std::size_t early = 20;
    // Midway between the stop and the end of new requests, and within the time limit of a header.
    waitUntil(1'700);
    for (std::size_t i = 0; i < connections.size(); ++i) {
        connections[i]->send(std::string_view(requestOf("late-" + std::to_string(i))).substr(0, early));
    }
    waitUntil(4'200);
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const std::string request = requestOf("late-" + std::to_string(i));
        connections[i]->send(std::string_view(request).substr(early));
    }
    for (const auto &connection : connections) {
        BOOST_TEST(connection->status() == 503);
    }
    BOOST_TEST(Test::steadyMs() - stoppedMs < 5'300);
}

// Guards against an acknowledged evacuation that is lost with its leader or when all control hosts are restarted, a repeated order
// that is refused, orders that block each other, nodes that are not told, calls that reach the domain, and callers in it that are
// not served meanwhile.
BOOST_FIXTURE_TEST_CASE(evacuationOutlivesTheLeader, OperatedMesh)
{
    int lastId = 0;
    const auto isServed = [&lastId](const Host &node) {
        return Test::waitFor(
            [&] {
                const std::string id = "e" + std::to_string(++lastId);
                return Test::httpCall({.address = node.callerAddress,
                                       .path = "/read/" + id,
                                       .headers = {"Host: a.example", "X-Yuccagrade-Request-Id: " + id, "Authorization: Bearer key-0"},
                                       .freshConnection = true})
                           .status
                    == 200;
            },
            startBoundMs);
    };
    Host &former = leader();
    const Host &caller = *nodes().front();
    const std::string start = "/Evacuations.Start/" + caller.domain;
    BOOST_TEST(order(former, "/Evacuations.Start/") == 400);
    BOOST_TEST(order(former, "/Evacuations.Start/a%20b") == 400);
    BOOST_TEST(order(*controlsBeside(former).front(), start) == 307);
    BOOST_TEST(order(former, start) == 200);
    BOOST_TEST(order(former, start) == 200);
    fleet().kill(former);
    BOOST_TEST(isAcknowledged(controlsBeside(former), start));
    BOOST_TEST(haveEvacuated(nodes(), 1));
    const auto callsIn = [this](const std::string &domain) {
        const std::string name = "\nupstream_service_ms_count ";
        int calls = 0;
        for (const Host *node : nodes()) {
            const std::string text = Test::httpCall({.address = node->ip + ":9100", .path = "/metrics", .freshConnection = true}).body;
            const std::size_t at = text.find(name);
            calls += node->domain == domain && at != std::string::npos ? std::stoi(text.substr(at + name.size())) : 0;
        }
        return calls;
    };
    const int before = callsIn(caller.domain);
    for (int i = 0; i < 3; ++i) {
        for (const Host *node : nodes()) {
            BOOST_TEST(isServed(*node));
        }
    }
    BOOST_TEST(callsIn(caller.domain) == before);
    BOOST_TEST(callsIn(controlsBeside(former).front()->domain) + callsIn(controlsBeside(former).back()->domain) > 0);
    std::vector<Host *> controls = controlsBeside(former);
    controls.push_back(&former);
    for (Host *control : controls) {
        fleet().kill(*control);
    }
    for (Host *control : controls) {
        fleet().start(*control, false);
    }
    BOOST_REQUIRE(isAcknowledged(controls, "/Evacuations.Start/other"));
    BOOST_TEST(haveEvacuated(nodes(), 2));
    BOOST_TEST(isAcknowledged(controls, "/Evacuations.End/" + caller.domain));
    BOOST_TEST(isAcknowledged(controls, "/Evacuations.End/other"));
    BOOST_TEST(haveEvacuated(nodes(), 0));
    const Host &present = leader();
    std::array<std::future<long>, 8> orders;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        orders[i] = std::async(std::launch::async, order, std::cref(present), "/Evacuations.Start/d" + std::to_string(i));
    }
    for (auto &status : orders) {
        BOOST_TEST(status.get() == 200);
    }
    BOOST_TEST(haveEvacuated(nodes(), 8));
}

// Guards against an order that a former leader has proposed and that takes effect after the opposite order was acknowledged: the
// leader is lost between proposal and commit, and the second copy of the start is committed by its successor before the end.
BOOST_FIXTURE_TEST_CASE(uncommittedEvacuationIsNotApplied, OperatedMesh)
{
    Host &former = leader();
    setPaths(former, {.cut = Test::FaultRule::Cut::Stall});
    const long status = order(former, "/Evacuations.Start/a");
    BOOST_TEST((status == 0 || status == 503), "status " << status);
    BOOST_TEST(isAcknowledged(controlsBeside(former), "/Evacuations.Start/a"));
    BOOST_TEST(isAcknowledged(controlsBeside(former), "/Evacuations.End/a"));
    setPaths(former, {});
    leader(); // all hosts follow it, the former leader included
    BOOST_TEST(haveEvacuated(nodes(), 0));
    BOOST_TEST(isAcknowledged(controlsBeside(former), "/Evacuations.Start/b"));
    BOOST_TEST(haveEvacuated(nodes(), 1));
}

// Guards against requests that are broken off in a planned stop of the node that took them, although their server is at work on them
// and the process has time left. The work takes longer than the server's announcements are apart, and than a server or a link may be
// silent otherwise.
BOOST_FIXTURE_TEST_CASE(longWorkIsAnsweredInAPlannedStop, OperatedMesh)
{
    constexpr double longBoundMs = 8'000;
    leader();
    Change change(version(), version() + 1);
    const std::string limit = "\"timeoutS\":2,";
    for (std::size_t at = 0; (at = change.document.find(limit)) != std::string::npos;) {
        change.document.replace(at, limit.size(), "\"timeoutS\":8,");
    }
    BOOST_REQUIRE(submit(leader(), change) == 200);
    Host &node = *std::find_if(fleet().hosts().begin(), fleet().hosts().end(), [](const Host &host) {
        return !host.control;
    });
    const auto requestOf = [](const std::string &id) {
        return renderRequest("GET",
                             "/read/" + id,
                             {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Deadline-Ms", "8000"}, {"Authorization", "Bearer key-0"}},
                             {});
    };
    BOOST_REQUIRE(Test::waitFor(
        [&] {
            const RawConnection connection(node.callerAddress);
            connection.send(requestOf("early"));
            return connection.status() == 200;
        },
        startBoundMs));
    for (std::size_t i = 0; i < fleet().servers(); ++i) {
        fleet().setServerPath(i, {.delayMs = 1'800});
    }
    std::array<std::unique_ptr<RawConnection>, 6> connections;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        connections[i] = std::make_unique<RawConnection>(node.callerAddress);
        connections[i]->send(requestOf("long-" + std::to_string(i)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // the requests have been passed on
    Fleet::stop(node);
    for (const auto &connection : connections) {
        BOOST_TEST(connection->status(longBoundMs) == 200);
    }
}

// Guards against a log or metrics of which nobody can tell whether they are of the present program.
BOOST_FIXTURE_TEST_CASE(everyProcessNamesItsSources, OperatedMesh)
{
    const std::string sources = buildInfo().sources;
    BOOST_TEST(sources.size() == 16U);
    BOOST_TEST(versionText("yuccagraded").find("\nsources " + sources + '\n') != std::string::npos);
    for (const Host &host : fleet().hosts()) {
        std::ifstream log(host.folder + "/log");
        std::string line;
        std::getline(log, line);
        Json::Value first;
        BOOST_REQUIRE_MESSAGE(parseJson(line, first), host.name << ": " << line);
        BOOST_TEST(first["name"].asString() == "build-named");
        BOOST_TEST(first["sources"].asString() == sources);
        const std::string metrics = Test::httpCall({.address = host.ip + ":9100", .path = "/metrics"}).body;
        BOOST_TEST(metrics.find("build_info{version=\"" + buildInfo().version + "\",sources=\"" + sources + "\",") != std::string::npos,
                   host.name << ": " << metrics);
    }
}
