#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "meshnode/callbroker.h"
#include "platform/protocoladapter.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <unistd.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
using Yuccagrade::Test::BrokenResponse;

namespace
{
constexpr TimeMs testBoundMs = 10'000;
constexpr auto peerAddress = "10.0.0.1:7000";
const std::string signature = "3e1b.07.5a2";

/// A server that gives the response of a hook to each request, as bytes.
class ByteServer
{
public:
    /// Returns the bytes to send for a request.
    using Hook = std::function<std::string(const std::string &target, const std::string &requestId)>;

    ByteServer(EventLoop &loop, Hook hook)
        : m_hook(std::move(hook))
        , m_listener(loop, [this](const std::shared_ptr<TcpStream> &stream) {
            accept(stream);
        })
    {
        BOOST_REQUIRE(!m_listener.listen("127.0.0.1:0"));
    }
    const std::string &address() const
    {
        return m_listener.address();
    }
    /// Requests received for @p target, from all connections.
    int runs(const std::string &target) const
    {
        const auto found = m_runs.find(target);
        return found == m_runs.end() ? 0 : found->second;
    }
    /// Requests that were received on the connection of a broken response after it.
    int reuses() const
    {
        return m_reuses;
    }
    bool closes = false; ///< closes the connection behind each broken response

private:
    struct Connection {
        std::shared_ptr<TcpStream> stream;
        std::string received;
        bool broken = false;
    };

    void accept(const std::shared_ptr<TcpStream> &stream)
    {
        const auto connection = std::make_shared<Connection>(Connection{stream, {}});
        stream->onData = [this, weak = std::weak_ptr<Connection>(connection)](std::string_view data) {
            if (const auto open = weak.lock()) {
                open->received.append(data);
                if (open->received.ends_with("\r\n\r\n")) {
                    answer(*open, std::exchange(open->received, {}));
                }
            }
        };
        m_connections.push_back(connection);
    }
    void answer(Connection &connection, const std::string &request)
    {
        const std::string idField = "X-Yuccagrade-Request-Id: ";
        const std::size_t targetAt = request.find(' ') + 1;
        const std::string target = request.substr(targetAt, request.find(' ', targetAt) - targetAt);
        const std::size_t idAt = request.find(idField) + idField.size();
        const bool breaks = target.find("broken") != std::string::npos;
        ++m_runs[target];
        m_reuses += connection.broken ? 1 : 0;
        connection.broken = connection.broken || breaks;
        connection.stream->write(m_hook(target, request.substr(idAt, request.find("\r\n", idAt) - idAt)));
        if (breaks && closes) {
            connection.stream->closeAfterWrites();
        }
    }

    Hook m_hook;
    TcpListener m_listener;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::map<std::string, int> m_runs;
    int m_reuses = 0;
};

std::string serverFields(const std::string &requestId)
{
    return "X-Yuccagrade-Request-Id: " + requestId + "\r\nX-Yuccagrade-Server-Signature: " + signature + "\r\n";
}

FleetLimits testLimits()
{
    FleetLimits limits;
    limits.retryRatio = 1;
    limits.retryPerWindow = 1'000;
    limits.retryWindowMs = 1'000;
    return limits;
}

std::shared_ptr<const FleetConfig> testConfig()
{
    const std::string route = R"("host":"h","timeoutS":2,"targetLatencyS":0.2,"priority":0,"service":"s1","maxAttempts":2,"public":true})";
    auto config = std::make_shared<FleetConfig>();
    Findings findings;
    Platform::readDocument(R"({"version":"00000001","routes":[{"name":"r1","pathPrefix":"/safe/","routeType":"safe",)" + route
                               + R"(,{"name":"r2","pathPrefix":"/unsafe/","routeType":"unsafe",)" + route
                               + R"(],"services":[{"name":"s1","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],)"
                                 R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15},"tenants":[]})",
                           *config,
                           findings);
    BOOST_REQUIRE_MESSAGE(findings.empty(), toText(findings));
    return config;
}

// The log library cannot be started again after its last user has gone.
struct TestLog {
    explicit TestLog(const std::string &name)
        : file(std::filesystem::temp_directory_path() / ("brokenanswertest-" + name + '-' + std::to_string(::getpid()) + ".jsonl"))
        , log(Clock::system(), "test", file, Severity::Warning)
    {
    }
    ~TestLog()
    {
        std::filesystem::remove(file);
    }
    TestLog(const TestLog &) = delete;
    TestLog &operator=(const TestLog &) = delete;
    std::string text() const
    {
        std::ifstream input(file);
        return {std::istreambuf_iterator<char>(input), {}};
    }
    std::string file;
    EventLog log;
};

TestLog &testLog()
{
    static TestLog instance("all");
    return instance;
}

/// A connection of a client that keeps all bytes it receives.
struct Client {
    Client(EventLoop &loop, const std::string &address)
        : stream(TcpStream::connect(loop, address, {}))
    {
        BOOST_REQUIRE(stream);
        stream->onData = [this](std::string_view data) {
            received.append(data);
        };
        stream->onClosed = [this](bool) {
            closed = true;
        };
    }
    void send(const std::string &target, const std::string &requestId) const
    {
        const std::string method = target.starts_with("/unsafe/") ? "POST " : "GET ";
        stream->write(method + target + " HTTP/1.1\r\nHost: h\r\nX-Yuccagrade-Deadline-Ms: 5000\r\nX-Yuccagrade-Request-Id: " + requestId
                      + (method == "GET " ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n"));
    }
    std::shared_ptr<TcpStream> stream;
    std::string received;
    bool closed = false;
};

/// The way of a request on the platform: a client's connection, the broker beside the client, the node beside the server, the server.
struct Fixture {
    explicit Fixture(EventLog &log = testLog().log)
        : adapter(Platform::makeProtocolAdapter())
        , links(loop, {})
        , upstreams(loop, adapter, log, metrics, {"north", "s1", peerAddress, {}})
        , broker(loop, adapter, log, metrics, {"s1", "north", peerAddress}, testLimits(), upstreams, links, Random(1))
        , port(loop,
               [this](const std::shared_ptr<PortExchange> &exchange) {
                   broker.handle(exchange);
               })
        , server(loop, [this](const std::string &target, const std::string &requestId) {
            return target.find("broken") == std::string::npos ? wholeFromServer(requestId) : broken(requestId);
        })
    {
        BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
        links.onFrame = [](const std::string &, FrameType, std::string_view) {};
        links.onClosed = [](const std::string &, bool) {};
        links.onSent = [](FrameType, std::size_t, bool) {};
        links.isBusy = [](const std::string &) {
            return false;
        };
        upstreams.onStateChanged = [] {};
        upstreams.setStoredDrains({});
        Announcement announcement;
        announcement.id = "i-1";
        announcement.service = "s1";
        announcement.address = server.address();
        announcement.slots = 8;
        announcement.sequence = 1;
        upstreams.announce(announcement);
        broker.directory().update(upstreams.entries());
        broker.setConfig(testConfig());
    }
    static std::string wholeFromServer(const std::string &requestId)
    {
        return "HTTP/1.1 200 OK\r\n" + serverFields(requestId) + "Content-Length: 4\r\n\r\ngood";
    }
    static std::string wholeAtClient(const std::string &requestId)
    {
        return "HTTP/1.1 200 OK\r\nX-Yuccagrade-Server-Signature: " + signature + "\r\nX-Yuccagrade-Request-Id: " + requestId
            + "\r\nContent-Length: 4\r\n\r\ngood";
    }
    /// The platform's answer for a request that may have run: no signature of the server, and no Retry-After.
    static std::string mayHaveRun(const std::string &requestId)
    {
        return "HTTP/1.1 502 Bad Gateway\r\nX-Yuccagrade-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n";
    }
    // Runs the loop until the condition holds or the bound is reached.
    void runUntil(const std::function<bool()> &condition)
    {
        const TimeMs end = loop.clock().now() + testBoundMs;
        const TimerId check = loop.every(1, [&] {
            if (condition() || loop.clock().now() >= end) {
                loop.stop();
            }
        });
        loop.run();
        loop.cancel(check);
    }
    /// Sends a request that gets a broken response, requests of another client before, beside and after it, and one more on its own
    /// connection. Checks all that both clients get.
    void checkClients(const std::string &target, const std::string &name, int maxRuns)
    {
        Client client(loop, port.address());
        Client other(loop, port.address());
        other.send("/safe/before", "b1");
        client.send(target, "a1");
        other.send("/unsafe/meanwhile", "b2");
        const std::string refused = mayHaveRun("a1");
        runUntil([&] {
            return client.received.size() >= refused.size() && other.received.size() >= 2 * wholeAtClient("b1").size();
        });
        client.send("/safe/after", "a2");
        other.send("/unsafe/after", "b3");
        const std::string expected = refused + wholeAtClient("a2");
        const std::string expectedOfOther = wholeAtClient("b1") + wholeAtClient("b2") + wholeAtClient("b3");
        runUntil([&] {
            return client.received.size() >= expected.size() && other.received.size() >= expectedOfOther.size();
        });
        BOOST_TEST(client.received == expected, target << ", " << name << ": the client got " << client.received);
        BOOST_TEST(other.received == expectedOfOther, target << ", " << name << ": another client got " << other.received);
        BOOST_TEST(!client.closed);
        BOOST_TEST(server.runs(target) >= 1, target << ", " << name);
        BOOST_TEST(server.runs(target) <= maxRuns, target << ", " << name);
        BOOST_TEST(server.reuses() == 0, target << ", " << name << ": the connection was used again");
    }

    EventLoop loop;
    Metrics metrics;
    ProtocolAdapter adapter;
    LinkPool links;
    LocalUpstreams upstreams;
    CallBroker broker;
    HttpPort port;
    std::function<std::string(const std::string &requestId)> broken; ///< response to a request for a target with "broken"
    ByteServer server;
};

void checkAll(const std::function<std::vector<BrokenResponse>(const std::string &fields)> &responses)
{
    const std::size_t count = responses({}).size();
    for (std::size_t i = 0; i < count; ++i) {
        for (const bool closes : {false, true}) {
            Fixture fixture;
            std::string name;
            fixture.server.closes = closes;
            fixture.broken = [&](const std::string &requestId) {
                const BrokenResponse response = responses(serverFields(requestId))[i];
                name = response.name + (closes ? ", then closed" : "");
                return response.bytes;
            };
            fixture.checkClients("/unsafe/broken", name, 1);
            fixture.checkClients("/safe/broken", name, 2);
        }
    }
}
}

// Guards against an answer with status 000 at a client, and with any other status line that is none.
BOOST_AUTO_TEST_CASE(brokenStatusLineReachesNoClient)
{
    checkAll(Test::brokenStatusLines);
}

// Guards against an answer at a client that has a blank or a control byte in the name of a field, or a body by such a field.
BOOST_AUTO_TEST_CASE(brokenFieldLineReachesNoClient)
{
    checkAll(Test::brokenFieldLines);
}

// Guards against a body at a client whose length the server did not state.
BOOST_AUTO_TEST_CASE(brokenLengthReachesNoClient)
{
    checkAll(Test::brokenLengths);
}

// Guards against a body at a client that was cut out of broken chunks.
BOOST_AUTO_TEST_CASE(brokenChunksReachNoClient)
{
    checkAll(Test::brokenChunks);
}

// Guards against bytes behind the head of a response without a body that a client gets as its body, or as the next answer, and against
// waiting for such a body.
BOOST_AUTO_TEST_CASE(bodylessResponseEndsWithItsHead)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        for (const auto &[framing, body] : {std::pair("Content-Length: 5", ""),
                                            {"Content-Length: 5", "whole"},
                                            {"Transfer-Encoding: chunked", ""},
                                            {"Transfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n"}}) {
            Fixture fixture;
            fixture.broken = [&, framing = framing, body = body](const std::string &requestId) {
                return "HTTP/1.1 " + status + "\r\n" + serverFields(requestId) + framing + "\r\n\r\n" + body;
            };
            Client client(fixture.loop, fixture.port.address());
            client.send("/safe/broken", "a1");
            std::string expected = "HTTP/1.1 " + status + "\r\nX-Yuccagrade-Server-Signature: ";
            expected += signature + "\r\nX-Yuccagrade-Request-Id: a1\r\nContent-Length: 0\r\n\r\n";
            fixture.runUntil([&] {
                return client.received.size() >= expected.size();
            });
            BOOST_TEST(client.received == expected, status << ", " << framing << ", body " << body << ": " << client.received);
            client.send("/safe/after", "a2");
            fixture.runUntil([&] {
                return client.received.size() >= (expected + Fixture::wholeAtClient("a2")).size();
            });
            BOOST_TEST(client.received == expected + Fixture::wholeAtClient("a2"), client.received);
            BOOST_TEST(fixture.server.runs("/safe/broken") == 1);
        }
    }
}

// Guards against fields of an interim response that are taken for the framing of the final one.
BOOST_AUTO_TEST_CASE(interimResponseHasNoBody)
{
    for (const std::string framing : {"Content-Length: 5", "Transfer-Encoding: chunked", "Transfer-Encoding: gzip"}) {
        Fixture fixture;
        fixture.broken = [&](const std::string &requestId) {
            return "HTTP/1.1 103 Early Hints\r\n" + framing + "\r\n\r\n" + Fixture::wholeFromServer(requestId);
        };
        Client client(fixture.loop, fixture.port.address());
        client.send("/unsafe/broken", "a1");
        fixture.runUntil([&] {
            return client.received.size() >= Fixture::wholeAtClient("a1").size();
        });
        BOOST_TEST(client.received == Fixture::wholeAtClient("a1"), framing << ": " << client.received);
    }
}

// Guards against an answer at a client that a server sent behind a change to a protocol for which nobody asked.
BOOST_AUTO_TEST_CASE(unrequestedChangeOfTheProtocolReachesNoClient)
{
    for (const std::string fields : {"", "Connection: Upgrade\r\nUpgrade: other\r\n"}) {
        Fixture fixture;
        fixture.broken = [&](const std::string &requestId) {
            return "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + Fixture::wholeFromServer(requestId);
        };
        fixture.checkClients("/unsafe/broken", fields, 1);
        fixture.checkClients("/safe/broken", fields, 2);
    }
}

// Guards against a broken response of which the log does not say who sent it, and what it was.
BOOST_AUTO_TEST_CASE(logNamesTheServerOfABrokenResponse)
{
    const std::string lineStart = R"({"address":")";
    for (const auto &[bytes, logged] : {std::pair("HTTP/1.1 000 Out\r\n\r\n", "HTTP/1.1 000 Out"),
                                        {"HTTP/1.1 200 OK\r\nX\x01Y Z\\: 1\r\n\r\n", R"(X\\x01Y Z\\x5c: 1)"},
                                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "gzip, chunked"},
                                        {"HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n", "Content-Length: 5x"}}) {
        TestLog log("one");
        Fixture fixture(log.log);
        fixture.broken = [bytes = bytes](const std::string &) {
            return bytes;
        };
        fixture.checkClients("/unsafe/broken", bytes, 1);
        const std::string text = log.text();
        const std::size_t at = text.find(lineStart + fixture.server.address() + '"');
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, text);
        const std::string line = text.substr(at, text.find('\n', at) - at);
        BOOST_TEST(line.find(R"("name":"upstream-answer-broken")") != std::string::npos, line);
        BOOST_TEST(line.find(R"("upstream":"i-1")") != std::string::npos, line);
        BOOST_TEST(line.find(R"("request":"a1")") != std::string::npos, line);
        BOOST_TEST(line.find(logged) != std::string::npos, line << " does not contain " << logged);
    }
}

namespace
{
// The status line and the fields of a proper reply.
std::string replyHead(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Yuccagrade-Server-Signature: " + signature + "\r\n";
}

// Sends an order whose answer comes as a reply of another node. Returns what the client gets.
std::string receiveReply(int status, const std::string &head, const std::string &body)
{
    Fixture fixture;
    std::vector<std::shared_ptr<TcpStream>> accepted;
    TcpListener peer(fixture.loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted.push_back(std::move(stream));
    });
    BOOST_REQUIRE(!peer.listen("127.0.0.1:0"));
    UpstreamEntry own = fixture.upstreams.entries().front();
    UpstreamEntry remote = own;
    own.state = UpstreamState::Draining;
    remote.id = "i-2";
    remote.peerAddress = peer.address();
    fixture.broker.directory().update({own, remote});
    Client client(fixture.loop, fixture.port.address());
    client.send("/unsafe/order", "a1");
    fixture.runUntil([&] {
        return fixture.broker.expectsReply(peer.address());
    });
    ReplyMessage reply;
    reply.callId = 1;
    reply.outcome = CallOutcome::Answered;
    reply.status = status;
    reply.head = head;
    reply.body = body;
    fixture.broker.handleReply(peer.address(), reply);
    BOOST_REQUIRE(!fixture.broker.expectsReply(peer.address()));
    fixture.runUntil([&] {
        return client.received.size() >= Fixture::mayHaveRun("a1").size();
    });
    return client.received;
}
}

// Guards against a broken answer that a node of an earlier version passed on to the node of the client.
BOOST_AUTO_TEST_CASE(replyWithoutAFinalStatusReachesNoClient)
{
    for (const int status : {0, 1, 99, 101, 199, 600, 999, -200}) {
        const std::string received = receiveReply(status, replyHead(status), "body");
        BOOST_TEST(received == Fixture::mayHaveRun("a1"), received);
    }
}

// Guards against the head of a broken answer, or a body where none may be, that such a node passed on.
BOOST_AUTO_TEST_CASE(replyWithABrokenHeadReachesNoClient)
{
    const std::string good = replyHead(200);
    const std::vector<std::pair<int, std::string>> heads = {
        {200, {}},
        {200, replyHead(0)},
        {200, replyHead(500)},
        {200, "HTTP/1.1 2000 X\r\n"},
        {200, "HTTP/1.1 200 X"},
        {200, "HTTP/1.1 200 X\x01\r\n"},
        {200, good + "\r\n"},
        {200, good + "\r\nHTTP/1.1 200 X\r\n"},
        {200, good + " folded: x\r\n"},
        {200, good + "blank : x\r\n"},
        {200, good + "bla nk: x\r\n"},
        {200, good + "no colon\r\n"},
        {200, good + ": no name\r\n"},
        {200, good + "control\x01: x\r\n"},
        {200, good + "value: a\rb: c\r\n"},
        {200, good + "cut: x"},
        {200, good + "Content-Length: 3\r\n"},
        {200, good + "Transfer-Encoding: chunked\r\n"},
        {204, replyHead(204)},
        {304, replyHead(304)},
    };
    for (const auto &[status, head] : heads) {
        const std::string received = receiveReply(status, head, "body");
        BOOST_TEST(received == Fixture::mayHaveRun("a1"), head << ": " << received);
    }
    const std::string whole = receiveReply(200, good, "body");
    BOOST_TEST(whole == good + "X-Yuccagrade-Request-Id: a1\r\nContent-Length: 4\r\n\r\nbody", whole);
    BOOST_TEST(receiveReply(204, replyHead(204), {}).starts_with("HTTP/1.1 204 X\r\n"));
}
