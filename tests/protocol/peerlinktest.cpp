#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/errc.h"
#include "protocol/jsoncodec.h"
#include "protocol/peerlink.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
const std::string secret = "0123456789abcdef";

struct Ends {
    Clock clock = Clock::system();
    HybridClock hybrid{clock};
    PeerAuth a{{"a", 10, "127.0.0.1:1"}, secret, hybrid, clock};
    PeerAuth b{{"b", 20, "127.0.0.1:2"}, secret, hybrid, clock};
};
}

// Guards against a captured message that is accepted again or at another process.
BOOST_AUTO_TEST_CASE(replayedAndMisdirectedMessagesAreRefused)
{
    Ends ends;
    PeerSender sender;
    const std::string header = ends.a.sign("127.0.0.1:2", "text");
    BOOST_TEST(!ends.b.verify(header, "text", sender));
    BOOST_TEST(sender.id == "a");
    BOOST_TEST((ends.b.verify(header, "text", sender) == Errc::Replayed));
    const std::string other = ends.a.sign("127.0.0.1:3", "text");
    BOOST_TEST((ends.b.verify(other, "text", sender) == Errc::Unauthenticated));
    BOOST_TEST((ends.b.verify(ends.a.sign("127.0.0.1:2", "text"), "Text", sender) == Errc::Unauthenticated));
}

// Guards against messages of a former incarnation that arrive after a restart of the sender.
BOOST_AUTO_TEST_CASE(formerIncarnationIsRefused)
{
    Ends ends;
    PeerSender sender;
    const std::string early = ends.a.sign("127.0.0.1:2", "x");
    PeerAuth restarted({"a", 11, "127.0.0.1:1"}, secret, ends.hybrid, ends.clock);
    BOOST_TEST(!ends.b.verify(restarted.sign("127.0.0.1:2", "x"), "x", sender));
    BOOST_TEST((ends.b.verify(early, "x", sender) == Errc::Replayed));
}

// Guards against an answer to one request that is taken for the answer to another.
BOOST_AUTO_TEST_CASE(crossedAnswersAreToldApart)
{
    Ends ends;
    const std::string first = ends.a.sign("127.0.0.1:2", "x");
    const std::string second = ends.a.sign("127.0.0.1:2", "x");
    PeerSender sender;
    BOOST_REQUIRE(!ends.b.verify(first, "x", sender));
    const std::string mac = ends.b.signAnswer(sender.mac, "answer");
    BOOST_TEST(!ends.a.verifyAnswer(first, mac, "answer"));
    BOOST_TEST((ends.a.verifyAnswer(second, mac, "answer") == Errc::Unauthenticated));
}

// Guards against a window that refuses messages which arrive out of order.
BOOST_AUTO_TEST_CASE(anyOrderWithinTheWindowIsAccepted, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &order) {
        Ends ends;
        std::vector<std::string> headers;
        headers.reserve(256);
        for (int i = 0; i < 256; ++i) {
            headers.push_back(ends.a.sign("127.0.0.1:2", "x"));
        }
        std::vector<bool> used(headers.size());
        PeerSender sender;
        for (const std::uint8_t index : order) {
            const bool refused = static_cast<bool>(ends.b.verify(headers[index], "x", sender));
            RC_ASSERT(refused == used[index]);
            used[index] = true;
        }
    }));
}

// Guards against a crash of the decoders on arbitrary bytes.
BOOST_AUTO_TEST_CASE(decodersAcceptArbitraryBytes, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::string &text) {
        Ends ends;
        PeerSender sender;
        RC_ASSERT(static_cast<bool>(ends.b.verify(text, text, sender)));
        Json::Value value;
        parseJson(text, value);
        RpcDispatcher dispatcher;
        dispatcher.handle(text);
    }));
}

// Guards against a deep text that exhausts the stack.
BOOST_AUTO_TEST_CASE(deepJsonIsRefused)
{
    Json::Value value;
    BOOST_TEST(!parseJson(std::string(100'000, '['), value));
}

// Guards against a dispatcher that does not reach the method or hides an unknown one.
BOOST_AUTO_TEST_CASE(callReachesTheMethodOfThePeer)
{
    EventLoop loop;
    EventLog log(loop.clock(), "test", {}, Severity::Error);
    HttpClient client(loop);
    std::unique_ptr<PeerLink> link;
    HttpServer server(loop, [&](const auto &exchange) {
        link->handle(exchange);
    });
    BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
    PeerAuth auth({"self", 1, server.address()}, secret, log.hybridClock(), loop.clock());
    link = std::make_unique<PeerLink>(loop, auth, client, log);
    link->serve("echo", [](const PeerSender &sender, const Json::Value &parameters) {
        Json::Value answer = parameters;
        answer["sender"] = sender.id;
        return answer;
    });
    std::vector<std::string> outcomes;
    const auto record = [&](std::error_code error, const Json::Value &result) {
        outcomes.push_back(error ? error.message() : result["sender"].asString() + result["text"].asString());
        if (outcomes.size() == 2) {
            loop.stop();
        }
    };
    Json::Value parameters;
    parameters["text"] = "hello";
    link->call(server.address(), "echo", parameters, 2000, record);
    link->call(server.address(), "missing", parameters, 2000, record);
    loop.run();
    BOOST_TEST(outcomes[0] == "selfhello");
    BOOST_TEST(outcomes[1] == make_error_code(Errc::RemoteError).message());
}
