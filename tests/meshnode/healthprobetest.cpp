#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "meshnode/healthprobe.h"

#include <memory>
#include <string>
#include <vector>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr TimeMs testBoundMs = 10'000;

/// A probe beside an upstream that answers each health request with some bytes.
struct Fixture {
    Fixture()
        : listener(loop,
                   [this](std::shared_ptr<TcpStream> stream) {
                       stream->onData = [this, raw = stream.get()](std::string_view) {
                           raw->write(response);
                       };
                       stream->onClosed = [this](bool) {
                           loop.stop();
                       };
                       connections.push_back(std::move(stream));
                   })
        , probe(loop, adapter)
    {
        BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
        adapter.readAnswer = [](const HttpMessage &message) {
            UpstreamAnswer answer;
            answer.upstreamId = message.field("X-Instance") ? *message.field("X-Instance") : std::string();
            return answer;
        };
        probe.onMalformed = [this](const std::string &address, const std::string &) {
            malformedFrom = address;
        };
        probe.onHealthy = [this](const std::string &id, int, std::optional<double>) {
            healthy.push_back(id);
        };
    }
    /// Sends a health request and waits until the probe has closed its connection.
    void run(const std::string &bytes)
    {
        response = bytes;
        probe.sendRequest(listener.address(), "/healthz", {});
        const TimerId guard = loop.after(testBoundMs, [this] {
            expired = true;
            loop.stop();
        });
        loop.run();
        loop.cancel(guard);
    }

    EventLoop loop;
    ProtocolAdapter adapter;
    std::string response;
    std::vector<std::shared_ptr<TcpStream>> connections;
    TcpListener listener;
    HealthProbe probe;
    std::vector<std::string> healthy;
    std::string malformedFrom;
    bool expired = false;
};
}

// Guards against an upstream that counts as healthy because of a broken response to a health request, and against a probe that waits.
BOOST_AUTO_TEST_CASE(brokenHealthResponseIsNoSignOfHealth)
{
    Fixture fixture;
    for (const Test::BrokenResponse &response : Test::brokenResponses("X-Instance: i-1\r\n")) {
        fixture.run(response.bytes);
        BOOST_TEST(fixture.healthy.empty(), response.name);
        BOOST_TEST(fixture.malformedFrom == fixture.listener.address(), response.name);
        BOOST_TEST(!fixture.expired, response.name);
        fixture.malformedFrom.clear();
        fixture.healthy.clear();
        fixture.expired = false;
    }
    fixture.run("HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(fixture.healthy.size() == 1U);
    BOOST_TEST(fixture.healthy.front() == "i-1");
}
