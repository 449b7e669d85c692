#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "net/httpserver.h"
#include "net/tcp.h"
#include "node/headers.h"
#include "node/ingresshandler.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

using namespace Yuccagrade;

namespace
{
constexpr TimeMs testBoundMs = 10'000;
const std::string secret = "0123456789abcdef";
constexpr auto manifestText = R"([manifest]
version = 1
[domain d1]
region = r1
[service listing]
[route open]
method = GET
path = /open
service = listing
open = yes
idempotent = yes
[route order]
method = POST
path = /order
service = listing
open = yes
)";

// The log library cannot be started again after its last user has gone.
EventLog &testLog()
{
    static const Clock clock = Clock::system();
    static EventLog log(clock, "test", {}, Severity::Error);
    return log;
}

/// Events of warnings in a file that ends with this object.
struct EventFile {
    EventFile()
        : path(std::filesystem::temp_directory_path() / ("ingresstest-" + std::to_string(::getpid()) + ".jsonl"))
        , log(Clock::system(), "test", path, Severity::Warning)
    {
    }
    ~EventFile()
    {
        std::filesystem::remove(path);
    }
    EventFile(const EventFile &) = delete;
    EventFile &operator=(const EventFile &) = delete;
    std::string text() const
    {
        std::ifstream input(path);
        return {std::istreambuf_iterator<char>(input), {}};
    }
    std::string path;
    EventLog log;
};

/// A control host that gives every node the state of manifestText.
class ControlHost
{
public:
    explicit ControlHost(EventLoop &loop)
        : m_client(loop)
        , m_server(loop, [this](const auto &exchange) {
            m_link->handle(exchange);
        })
    {
        m_state.apply(1, toJson(PutManifest{"s", manifestText}));
        BOOST_REQUIRE(!m_server.listen("127.0.0.1:0"));
        m_auth = std::make_unique<PeerAuth>(PeerIdentity{"control", 1, m_server.address()}, secret, m_log.hybridClock(), loop.clock());
        m_link = std::make_unique<PeerLink>(loop, *m_auth, m_client, m_log);
        m_link->serve("sync", [this](const PeerSender &, const Json::Value &) {
            SyncResponse response;
            response.responder = "control;1";
            response.proof = FreshnessProof{m_state.index(), testBoundMs};
            response.state.snapshotIndex = m_state.index();
            response.state.snapshot = m_state.toSnapshot();
            return response.toJson();
        });
    }
    const std::string &address() const
    {
        return m_server.address();
    }

private:
    EventLog &m_log = testLog();
    HttpClient m_client;
    ClusterState m_state;
    HttpServer m_server;
    std::unique_ptr<PeerAuth> m_auth;
    std::unique_ptr<PeerLink> m_link;
};

/// The data path of one node, without a process.
class Node
{
public:
    Node(EventLoop &loop, const std::string &controlAddress, EventLog &log = testLog())
        : m_log(log)
        , m_client(loop)
        , m_auth(identity(), secret, m_log.hybridClock(), loop.clock())
        , m_link(loop, m_auth, m_client, m_log)
        , m_plane(loop, m_link, m_log, settings(controlAddress), identity(), hooks())
        , m_dispatcher(loop, m_client, m_log, m_metrics, m_plane, m_calls)
        , m_forwarder(loop, m_client, m_auth, m_log, m_dispatcher)
        , m_claims(loop, m_link, m_log, m_plane, identity())
        , m_ingress({loop,
                     m_log,
                     m_metrics,
                     m_plane,
                     m_dispatcher,
                     m_forwarder,
                     m_claims,
                     m_calls,
                     [](const std::string &, const std::function<void(bool)> &done) {
                         done(true);
                     }},
                    identity().id,
                    "d1")
        , m_callers(loop, [this](const auto &exchange) {
            m_ingress.handle(exchange);
        })
    {
        BOOST_REQUIRE(!m_callers.listen("127.0.0.1:0"));
        m_plane.start();
    }
    /// The upstream on this host announces itself.
    void announce(const std::string &upstreamAddress)
    {
        HttpRequest request;
        request.remoteAddress = "127.0.0.1";
        request.body = R"({"service":"listing","slots":4,"connections":10,"state":"up","port":)" + upstreamAddress.substr(upstreamAddress.rfind(':') + 1) + '}';
        BOOST_REQUIRE(m_dispatcher.announce(request).status == 204);
    }
    bool isReady()
    {
        m_ingress.viewChanged();
        return m_plane.state().index() > 0 && !m_plane.view().upMembers().empty() && m_plane.view().upMembers().front().upstream.has_value();
    }
    const std::string &callerAddress() const
    {
        return m_callers.address();
    }

private:
    static PeerIdentity identity()
    {
        return {"n1", 1, "127.0.0.1:1"};
    }
    static Settings settings(const std::string &controlAddress)
    {
        Settings settings;
        settings.id = identity().id;
        settings.domain = "d1";
        settings.region = "r1";
        settings.seeds = {controlAddress};
        return settings;
    }
    ControlPlaneHooks hooks()
    {
        ControlPlaneHooks hooks;
        hooks.stateChanged = [this] {
            m_ingress.stateChanged();
            m_dispatcher.stateChanged();
        };
        hooks.freshnessChanged = [](bool) {};
        return hooks;
    }

    EventLog &m_log;
    Metrics m_metrics;
    HttpClient m_client;
    PeerAuth m_auth;
    PeerLink m_link;
    ControlPlane m_plane;
    RunningCalls m_calls;
    UpstreamDispatcher m_dispatcher;
    Forwarder m_forwarder;
    ClaimAgent m_claims;
    IngressHandler m_ingress;
    HttpServer m_callers;
};

// Runs the loop until the condition holds or the bound is reached.
void runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const TimeMs end = loop.clock().now() + testBoundMs;
    const TimerId check = loop.every(1, [&] {
        if (condition() || loop.clock().now() >= end) {
            loop.stop();
        }
    });
    loop.run();
    loop.cancel(check);
    BOOST_REQUIRE(condition());
}

HttpResponse callNode(EventLoop &loop, HttpClient &client, const Node &node, const std::string &method, const std::string &path)
{
    std::optional<HttpResult> answer;
    client.send({method, node.callerAddress(), path, {}, {}, testBoundMs, false}, [&](HttpResult result) {
        answer = std::move(result);
    });
    runUntil(loop, [&] {
        return answer.has_value();
    });
    BOOST_REQUIRE(!answer->error);
    return answer->response;
}
}

// Guards against "not-run" for a request that runs: an upstream's 503 may be an earlier refusal that was written once more.
BOOST_AUTO_TEST_CASE(refusalOfAnUpstreamIsNoProofThatNothingRan)
{
    EventLoop loop;
    ControlHost control(loop);
    int runs = 0;
    HttpServer upstream(loop, [&](const auto &exchange) {
        ++runs;
        exchange->respond({503, {{Headers::outcome, "not-run"}}, "busy"});
    });
    BOOST_REQUIRE(!upstream.listen("127.0.0.1:0"));
    Node node(loop, control.address());
    node.announce(upstream.address());
    runUntil(loop, [&] {
        return node.isReady();
    });
    HttpClient client(loop);
    for (const auto &[method, path] : {std::pair{"GET", "/open"}, {"POST", "/order"}}) {
        runs = 0;
        const HttpResponse response = callNode(loop, client, node, method, path);
        BOOST_TEST(runs == 1);
        BOOST_TEST(response.status == 503);
        BOOST_TEST(response.header(Headers::outcome) != "not-run", method << ": " << response.body);
    }
}

// Guards against a node that answers "may-have-run" although no byte reached an upstream.
BOOST_AUTO_TEST_CASE(unreachableUpstreamIsNotRun)
{
    EventLoop loop;
    ControlHost control(loop);
    std::string closedAddress;
    {
        HttpServer closed(loop, [](const auto &) {});
        BOOST_REQUIRE(!closed.listen("127.0.0.1:0"));
        closedAddress = closed.address();
    }
    Node node(loop, control.address());
    node.announce(closedAddress);
    runUntil(loop, [&] {
        return node.isReady();
    });
    HttpClient client(loop);
    const HttpResponse response = callNode(loop, client, node, "GET", "/open");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.header(Headers::outcome) == "not-run");
}

// Guards against a caller that gets a broken response of an upstream as an answer, hears that its request has not run, or has its action
// offered twice.
BOOST_AUTO_TEST_CASE(brokenResponsesReachNoCaller)
{
    EventLoop loop;
    ControlHost control(loop);
    std::string broken;
    bool closes = false;
    int runs = 0;
    std::vector<std::shared_ptr<TcpStream>> connections;
    TcpListener upstream(loop, [&](std::shared_ptr<TcpStream> stream) {
        stream->onData = [&, raw = stream.get()](std::string_view data) {
            const bool breaks = data.find("broken") != std::string_view::npos;
            runs += breaks ? 1 : 0;
            raw->write(breaks ? broken : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound");
            if (breaks && closes) {
                raw->closeAfterWrites();
            }
        };
        connections.push_back(std::move(stream));
    });
    BOOST_REQUIRE(!upstream.listen("127.0.0.1:0"));
    EventFile events;
    Node node(loop, control.address(), events.log);
    node.announce(upstream.address());
    runUntil(loop, [&] {
        return node.isReady();
    });
    HttpClient client(loop);
    const std::vector<Test::BrokenResponse> responses = Test::brokenResponses("X-Upstream: 1\r\n");
    // All of them are read by HttpClient in the test of that class.
    constexpr std::size_t step = 7;
    for (std::size_t i = 0; i < responses.size(); i += step) {
        broken = responses[i].bytes;
        for (const auto &[method, path, mayRepeat] : {std::tuple{"POST", "/order", false}, {"GET", "/open", true}}) {
            for (const bool close : {false, true}) {
                closes = close;
                runs = 0;
                std::optional<HttpResult> other;
                client.send({"GET", node.callerAddress(), "/open", {}, {}, testBoundMs, false}, [&](HttpResult result) {
                    other = std::move(result);
                });
                const HttpResponse answer = callNode(loop, client, node, method, path + std::string("?broken"));
                const std::string name = std::string(method) + ", " + responses[i].name + ": status " + std::to_string(answer.status) + ", " + answer.body;
                // If the request is repeated, no second upstream is there for it.
                BOOST_TEST((answer.status == 502 || (mayRepeat && answer.status == 503)), name);
                BOOST_TEST(answer.header(Headers::outcome) == "may-have-run", name);
                BOOST_TEST(answer.header("content-type") == "application/problem+json", name);
                BOOST_TEST(answer.header("x-upstream").empty(), name);
                BOOST_TEST(answer.body.find(Test::brokenBody + '"') == std::string::npos, name);
                BOOST_TEST(runs == 1, name);
                runUntil(loop, [&] {
                    return other.has_value();
                });
                BOOST_TEST(!other->error);
                BOOST_TEST(other->response.status == 200);
                BOOST_TEST(other->response.body == "sound");
                // A node that sees more failures in a short time refuses requests at its entry.
                const TimeMs pauseEnd = loop.clock().now() + 60;
                runUntil(loop, [&] {
                    return loop.clock().now() >= pauseEnd;
                });
            }
        }
    }
    const std::string text = events.text();
    BOOST_TEST(text.find(R"("from":")" + upstream.address() + R"(","name":"upstream-answer-broken")") != std::string::npos, text);
    BOOST_TEST(text.find(R"("received":"invalid field line:  : 1")") != std::string::npos, text);
    BOOST_TEST(text.find(R"("received":"")") == std::string::npos, text);
}
