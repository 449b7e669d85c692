#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/secret.h"
#include "config/manifest.h"
#include "node/callmeta.h"
#include "node/calloutcome.h"
#include "node/headers.h"
#include "node/problem.h"
#include "node/routetable.h"
#include "node/runningcalls.h"
#include "node/upstreamdirectory.h"
#include "protocol/jsoncodec.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
RouteSpec route(const std::string &name, const std::string &path, bool prefix)
{
    RouteSpec spec;
    spec.name = name;
    spec.method = "GET";
    spec.path = path;
    spec.prefix = prefix;
    return spec;
}
}

// Guards against a request that is handled with the settings of another route: an exact path must win over any prefix.
BOOST_AUTO_TEST_CASE(exactPathWinsOverLongestPrefix)
{
    auto manifest = std::make_shared<Manifest>();
    manifest->routes = {route("all", "/", true), route("status", "/status/", true), route("one", "/status/1", false)};
    const RouteTable table(manifest);
    BOOST_TEST(table.find("GET", "/status/1")->name == "one");
    BOOST_TEST(table.find("GET", "/status/2")->name == "status");
    BOOST_TEST(table.find("GET", "/other")->name == "all");
    BOOST_TEST(!table.find("POST", "/status/1"));
}

// Guards against forwarding a team's key or an internal Yuccagrade field to an upstream (invariant 4).
BOOST_AUTO_TEST_CASE(credentialsAndInternalFieldsAreNotForwarded)
{
    const HttpHeaders headers{{"authorization", "Bearer ygk_a.b"},
                              {"proxy-authorization", "x"},
                              {"yuccagrade-call", "x"},
                              {"connection", "close"},
                              {"accept", "a"}};
    BOOST_TEST((forwardedRequestHeaders(headers) == HttpHeaders{{"accept", "a"}}));
    BOOST_TEST(!forwardedResponseHeaders({{"yuccagrade-outcome", "not-run"}}).contains("yuccagrade-outcome"));
}

// Guards against a refusal without the outcome header, by which callers decide whether to retry (invariant 8).
BOOST_AUTO_TEST_CASE(problemResponseContainsOutcomeAndEvent)
{
    const HttpResponse response = toResponse({503, Event::RequestShed, Outcome::NotRun, "busy", 1});
    Json::Value body;
    BOOST_REQUIRE(parseJson(response.body, body));
    BOOST_TEST(response.header(Headers::outcome) == "not-run");
    BOOST_TEST(response.header("retry-after") == "1");
    BOOST_TEST(body["event"].asInt() == static_cast<int>(Event::RequestShed));
}

// Guards against a context identifier that stays valid after its call has ended.
BOOST_AUTO_TEST_CASE(contextIsInvalidAfterItsCall)
{
    RunningCalls calls;
    const auto call = calls.begin({}, 100);
    BOOST_TEST(calls.find(call->contextId) == call);
    calls.end(*call);
    BOOST_TEST(!calls.find(call->contextId));
}

// Guards against calls to an upstream that is no longer available; here one that announces that it is draining.
BOOST_AUTO_TEST_CASE(drainingUpstreamIsNotChosen)
{
    MemberView view("self;1");
    Member member;
    member.id = "n1";
    member.incarnation = 1;
    member.domain = "d1";
    member.peerAddress = "127.0.0.1:1";
    member.upstream = UpstreamAnnouncement{"status", 80, 4, 10, false};
    view.hear(member, 0, 0);
    UpstreamDirectory directory("d1");
    directory.update(view);
    Random random(1);
    BOOST_TEST(directory.balancer("status")->pick(0, random).value_or("") == "n1");
    member.upstream->draining = true;
    member.revision = 1;
    view.hear(member, 0, 1);
    directory.update(view);
    BOOST_TEST(!directory.balancer("status")->pick(1, random));
}

// Guards against call metadata that does not survive encoding, and against a crash on malformed input.
BOOST_AUTO_TEST_CASE(callMetaRoundTripAndArbitraryBytes, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::string &text, std::uint16_t remaining) {
        CallMeta meta;
        decodeCallMeta(text, meta);
        decodeLoad(text);
        meta = {};
        meta.requestId = base64UrlEncode(text);
        meta.remainingMs = remaining;
        CallMeta decoded;
        RC_ASSERT(decodeCallMeta(encodeCallMeta(meta), decoded));
        RC_ASSERT(decoded.requestId == meta.requestId && decoded.remainingMs == meta.remainingMs);
    }));
}
