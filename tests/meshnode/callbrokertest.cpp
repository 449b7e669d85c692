#include <boost/test/unit_test.hpp>

#include "meshnode/callbroker.h"

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr TimeMs testTimeoutMs = 10'000;
constexpr TimeMs settleMs = 60;

ProtocolAdapter testAdapter()
{
    ProtocolAdapter adapter;
    adapter.readRequest = [](const HttpMessage &message) {
        CallerRequest request;
        request.requestId = message.target;
        request.host = message.field("Host") ? *message.field("Host") : std::string();
        if (const std::string *key = message.field("X-Key")) {
            request.key = *key;
        }
        return request;
    };
    adapter.renderCall = [](const HttpMessage &message, const CallIdentity &) {
        return message.method + ' ' + message.target + " HTTP/1.1\r\n";
    };
    adapter.renderHop = [](const std::string &, const std::string &, double) {
        return std::string();
    };
    adapter.renderRequestId = [](const std::string &) {
        return std::string();
    };
    adapter.isHopField = [](std::string_view) {
        return false;
    };
    adapter.readAnswer = [](const HttpMessage &message) {
        UpstreamAnswer answer;
        answer.requestId = message.field("X-Id") ? *message.field("X-Id") : std::string();
        answer.hasSignature = true;
        answer.notExecuted = message.field("X-Declined") != nullptr;
        return answer;
    };
    adapter.renderRefusal = [](const std::string &, int status, double retryAfterMs) {
        return responseHead(status) + (retryAfterMs >= 0 ? "Retry-After: 1\r\n" : "");
    };
    return adapter;
}

FleetLimits testLimits()
{
    FleetLimits limits;
    limits.retryWindowMs = 10'000;
    return limits;
}

std::shared_ptr<const FleetConfig> config(std::uint64_t version, const std::vector<std::string> &prefixes, const std::vector<std::string> &keys)
{
    auto result = std::make_shared<FleetConfig>();
    result->version = version;
    result->services = {{"stock", {}, 0}};
    for (const std::string &prefix : prefixes) {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.prefix = prefix;
        route.timeoutMs = 2'000;
        route.latencyGoalMs = 1'000;
        route.services = {{"stock", 1}};
        result->routes.push_back(route);
    }
    result->teams = {{"red", keys, std::nullopt, 0, 0}};
    Findings findings;
    result->index(findings);
    BOOST_REQUIRE(findings.empty());
    return result;
}

// A broker behind a port, beside an upstream that answers each request.
struct Fixture {
    Fixture()
        : log(loop.clock(), "test", "-", Severity::Error)
        , adapter(testAdapter())
        , links(loop, {})
        , upstreams(loop, adapter, log, metrics, {"north", "stock", "10.0.0.1:7000", {}})
        , broker(loop, adapter, log, metrics, {"stock", "north", "10.0.0.1:7000"}, testLimits(), upstreams, links, Random(1))
        , port(loop,
               [this](const std::shared_ptr<PortExchange> &exchange) {
                   broker.handle(exchange);
               })
        , server(loop, [this](const std::shared_ptr<PortExchange> &exchange) {
            if (declines > 0) {
                --declines;
                exchange->respond(responseHead(503, {{"X-Id", exchange->request().target}, {"X-Declined", "1"}}), {});
                return;
            }
            exchange->respond(responseHead(200, {{"X-Id", exchange->request().target}}), "whole");
        })
    {
        BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
        BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
        upstreams.onStateChanged = [] {};
        upstreams.setStoredDrains({});
        Announcement announcement;
        announcement.id = "i-1";
        announcement.service = "stock";
        announcement.address = server.address();
        announcement.slots = 4;
        announcement.sequence = 1;
        upstreams.announce(announcement);
        broker.directory().update(upstreams.entries());
        broker.setKeysFreshUntil(loop.clock().now() + testTimeoutMs);
        port.onUnreadable = [this](const UnreadableRequest &request) {
            return broker.refuseUnreadable(request);
        };
        client = TcpStream::connect(loop, port.address(), {});
        client->onData = [this](std::string_view data) {
            received.append(data);
            loop.stop();
        };
    }
    void send(const std::string &target, const std::string &key)
    {
        client->write("GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Key: " + key + "\r\n\r\n");
    }
    // Runs the loop until the client received something or for @p durationMs.
    void run(TimeMs durationMs = testTimeoutMs)
    {
        const TimerId guard = loop.after(durationMs, [this] {
            loop.stop();
        });
        loop.run();
        loop.cancel(guard);
    }
    std::string answer(const std::string &target, const std::string &key)
    {
        received.clear();
        send(target, key);
        run();
        return received.substr(0, received.find("\r\n"));
    }

    EventLoop loop;
    EventLog log;
    Metrics metrics;
    ProtocolAdapter adapter;
    LinkPool links;
    LocalUpstreams upstreams;
    CallBroker broker;
    HttpPort port;
    HttpPort server;
    std::shared_ptr<TcpStream> client;
    std::string received;
    int declines = 0; ///< next requests that the upstream declines
};
}

// Guards against a final answer by limits that no configuration states.
BOOST_AUTO_TEST_CASE(tooLargeRequestIsRefusedForNowWithoutConfiguration)
{
    Fixture fixture;
    const std::string request = "GET /old/x HTTP/1.1\r\nX-Long: " + std::string(HttpReaderLimits().maxHeaderBytes, 'x');
    fixture.client->write(request);
    fixture.run();
    BOOST_TEST(fixture.received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(fixture.received.find("Retry-After") != std::string::npos);
    Fixture configured;
    configured.broker.setConfig(config(1, {"/old/"}, {"k1"}));
    configured.client->write(request);
    configured.run();
    BOOST_TEST(configured.received.starts_with("HTTP/1.1 431"));
}

// Guards against denying a request that a change allows which was accepted but has not reached this node.
BOOST_AUTO_TEST_CASE(requestAllowedByANewerConfigurationIsNotDenied)
{
    Fixture fixture;
    for (const auto &[target, key] : {std::pair("/new/x", "k1"), std::pair("/old/x", "k2")}) {
        fixture.broker.setConfig(config(1, {"/old/"}, {"k1"}));
        fixture.received.clear();
        fixture.send(target, key);
        fixture.run(settleMs);
        BOOST_TEST(fixture.received.empty());
        fixture.broker.setConfig(config(2, {"/old/", "/new/"}, {"k1", "k2"}));
        fixture.run();
        BOOST_TEST(fixture.received.starts_with("HTTP/1.1 200"), fixture.received);
    }
}

// Guards against denials that wait although the configuration is confirmed, and against confirmations of an earlier time.
BOOST_AUTO_TEST_CASE(requestIsDeniedByAConfirmedConfiguration)
{
    Fixture fixture;
    fixture.broker.setConfig(config(1, {"/old/"}, {"k1"}));
    int confirmationsNeeded = 0;
    fixture.broker.onConfirmationNeeded = [&] {
        ++confirmationsNeeded;
        fixture.broker.confirmConfig(static_cast<double>(fixture.loop.clock().now() - 1'000));
        fixture.loop.after(1, [&] {
            fixture.broker.confirmConfig(static_cast<double>(fixture.loop.clock().now()));
        });
    };
    BOOST_TEST(fixture.answer("/new/x", "k1").starts_with("HTTP/1.1 404"));
    BOOST_TEST(confirmationsNeeded == 1);
    BOOST_TEST(fixture.answer("/old/x", "k2").starts_with("HTTP/1.1 401"));
    BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 200"));
}

// Guards against a configuration without any key that lets every request in, and against a key that works without a list of teams.
BOOST_AUTO_TEST_CASE(configurationWithoutKeysLetsNoKeyIn)
{
    Fixture fixture;
    fixture.broker.onConfirmationNeeded = [&] {
        fixture.loop.after(1, [&] {
            fixture.broker.confirmConfig(static_cast<double>(fixture.loop.clock().now()));
        });
    };
    const auto withoutTeams = [](bool requiresKeys) {
        auto result = std::make_shared<FleetConfig>(*config(1, {"/old/"}, {}));
        result->teams.clear();
        result->requiresKeys = requiresKeys;
        return result;
    };
    const std::string request = "GET /old/y HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const auto &present : {config(1, {"/old/"}, {}), std::shared_ptr<const FleetConfig>(withoutTeams(true))}) {
        fixture.broker.setConfig(present);
        BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 401"));
        fixture.received.clear();
        fixture.client->write(request);
        fixture.run();
        BOOST_TEST(fixture.received.starts_with("HTTP/1.1 401"));
    }
    fixture.broker.setConfig(withoutTeams(false));
    BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 401"));
    fixture.received.clear();
    fixture.client->write(request);
    fixture.run();
    BOOST_TEST(fixture.received.starts_with("HTTP/1.1 200"));
    fixture.broker.setKeysFreshUntil(0);
    BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 503"));
}

// Guards against a final answer by a node that cannot know whether its configuration is the newest.
BOOST_AUTO_TEST_CASE(requestIsRefusedForNowWithoutConfirmation)
{
    Fixture fixture;
    fixture.broker.setConfig(config(1, {"/old/"}, {"k1"}));
    BOOST_TEST(fixture.answer("/new/x", "k1").starts_with("HTTP/1.1 503"));
    BOOST_TEST(fixture.received.find("Retry-After") != std::string::npos);
    BOOST_TEST(fixture.answer("/old/x", "k2").starts_with("HTTP/1.1 503"));
    BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 200"));
}

// Guards against requests that go to a service by weights that a newer configuration has replaced.
BOOST_AUTO_TEST_CASE(serviceWithoutWeightGetsNoRequestAfterAChange)
{
    const auto weighted = [](std::uint64_t version, double stock, double other) {
        auto result = std::make_shared<FleetConfig>(*config(version, {"/old/"}, {"k1"}));
        result->services.push_back({"other", {}, 0});
        result->routes.front().services = {{"stock", stock}, {"other", other}};
        Findings findings;
        result->index(findings);
        BOOST_REQUIRE(findings.empty());
        return result;
    };
    for (const auto &[stock, other] : {std::pair(500.0, 500.0), std::pair(1.0, 9.0)}) {
        Fixture fixture;
        fixture.broker.setConfig(weighted(1, stock, other));
        fixture.answer("/old/x", "k1");
        fixture.broker.setConfig(weighted(2, 1, 0));
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(fixture.answer("/old/x", "k1").starts_with("HTTP/1.1 200"));
        }
    }
}

// Guards against a request that reaches an upstream outside its allowed regions, and against a refusal that cannot be repeated.
BOOST_AUTO_TEST_CASE(requestOutsideItsRegionsIsRefusedForNow)
{
    Fixture fixture;
    fixture.broker.directory().setRegions({{"north", "nordic"}, {"south", "alps"}});
    const auto withRegions = [](const std::vector<std::string> &ofRoute, const std::vector<std::string> &ofTeam) {
        auto result = std::make_shared<FleetConfig>(*config(1, {"/p/"}, {"k1"}));
        result->routes.front().regions = ofRoute;
        result->teams.front().regions = ofTeam;
        return result;
    };
    fixture.broker.setConfig(withRegions({"nordic"}, {}));
    BOOST_TEST(fixture.answer("/p/1", "k1").starts_with("HTTP/1.1 200"));
    const std::string outside = "HTTP/1.1 503";
    for (const auto &regions : {withRegions({"alps"}, {}), withRegions({"nordic"}, {"alps"}), withRegions({}, {"tropics"})}) {
        fixture.broker.setConfig(regions);
        BOOST_TEST(fixture.answer("/p/2", "k1").starts_with(outside));
        BOOST_TEST(fixture.received.find("Retry-After") != std::string::npos);
    }
    BOOST_TEST(fixture.metrics.value("calls_refused_total", "status=\"503\",reason=\"no domain in an allowed region\"") == 2);
}

// Guards against a request that is refused although the only upstream, which declined it, would take it the next time. The route
// permits one upstream.
BOOST_AUTO_TEST_CASE(declinedRequestIsOfferedAgainToTheSameUpstream)
{
    Fixture fixture;
    fixture.broker.setConfig(config(1, {"/a/"}, {"k"}));
    fixture.upstreams.setConfig(config(1, {"/a/"}, {"k"}));
    fixture.declines = 1;
    BOOST_TEST(fixture.answer("/a/1", "k") == "HTTP/1.1 200 OK");
    // No retry token is left.
    fixture.declines = 1;
    BOOST_TEST(fixture.answer("/a/2", "k") == "HTTP/1.1 503 Service Unavailable");
}
