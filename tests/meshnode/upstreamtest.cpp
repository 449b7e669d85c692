#include <boost/test/unit_test.hpp>

#include "meshnode/upstreamport.h"

#include <memory>
#include <vector>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr TimeMs testBoundMs = 10'000;

// The wire of these tests: X-Id names the request, X-Receipt marks the upstream's own responses.
ProtocolAdapter testAdapter()
{
    ProtocolAdapter adapter;
    adapter.renderHop = [](const std::string &, const std::string &, double) {
        return std::string();
    };
    adapter.isHopField = [](std::string_view) {
        return false;
    };
    adapter.readAnswer = [](const HttpMessage &message) {
        UpstreamAnswer answer;
        answer.requestId = message.field("X-Id") ? *message.field("X-Id") : std::string();
        answer.hasSignature = message.field("X-Receipt") != nullptr;
        answer.notExecuted = message.field("X-Not-Run") != nullptr;
        return answer;
    };
    return adapter;
}

// An upstream that answers the n-th request on any connection with the n-th text and then acts.
class ScriptedUpstream
{
public:
    enum class Then { Keep, Close };

    ScriptedUpstream(EventLoop &loop, std::vector<std::string> answers, Then then)
        : m_listener(loop,
                     [this](std::shared_ptr<TcpStream> stream) {
                         TcpStream *raw = stream.get();
                         stream->onData = [this, raw](std::string_view data) {
                             received.append(data);
                             if (data.ends_with("\r\n\r\n")) {
                                 answer(*raw);
                             }
                         };
                         m_streams.push_back(std::move(stream));
                     })
        , m_answers(std::move(answers))
        , m_then(then)
    {
        BOOST_REQUIRE(!m_listener.listen("127.0.0.1:0"));
    }
    const std::string &address() const
    {
        return m_listener.address();
    }
    std::size_t connections() const
    {
        return m_streams.size();
    }
    std::string received;

private:
    void answer(TcpStream &stream)
    {
        if (m_next < m_answers.size()) {
            stream.write(m_answers[m_next++]);
        }
        if (m_then == Then::Close) {
            stream.closeAfterWrites();
        }
    }

    TcpListener m_listener;
    std::vector<std::string> m_answers;
    std::size_t m_next = 0;
    Then m_then;
    std::vector<std::shared_ptr<TcpStream>> m_streams;
};

std::string response(const std::string &id, const std::string &body, const std::string &fields = "X-Receipt: 1\r\n", int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " + id + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Bench {
    Bench()
        : log(loop.clock(), "test", "-", Severity::Error)
        , adapter(testAdapter())
        , port(loop, adapter, log, metrics, {"north", "stock", "10.0.0.1:7000", {}})
    {
        port.onStateChanged = [this] {
            ++changes;
        };
    }
    Announcement heartbeat(const std::string &address, std::uint64_t sequence = 1, TimeMs startedAt = 100) const
    {
        Announcement announcement;
        announcement.id = "i-1";
        announcement.service = "stock";
        announcement.address = address;
        announcement.slots = 4;
        announcement.sequence = sequence;
        announcement.startedAt = startedAt;
        return announcement;
    }
    CallMessage call(const std::string &requestId, bool idempotent = true) const
    {
        CallMessage message;
        message.callId = std::hash<std::string>()(requestId);
        message.upstreamId = "i-1";
        message.service = "stock";
        message.requestId = requestId;
        message.head = "GET /" + requestId + " HTTP/1.1\r\nHost: h\r\n";
        message.timeLeftMs = 1'000;
        message.latencyGoalMs = 500;
        message.idempotent = idempotent;
        return message;
    }
    // Offers a call and runs the loop until its reply.
    ReplyMessage run(const std::string &requestId)
    {
        ReplyMessage result;
        bool done = false;
        port.offer(call(requestId), 0, [&](ReplyMessage reply) {
            result = std::move(reply);
            done = true;
            loop.stop();
        });
        if (!done) {
            const TimerId guard = loop.after(testBoundMs, [this] {
                loop.stop();
            });
            loop.run();
            loop.cancel(guard);
        }
        BOOST_REQUIRE(done);
        return result;
    }

    EventLoop loop;
    EventLog log;
    Metrics metrics;
    ProtocolAdapter adapter;
    UpstreamPort port;
    int changes = 0;
};
}

// Guards against a late second answer to an earlier request that is taken for the answer to the present one.
BOOST_AUTO_TEST_CASE(lateAnswerOfAnotherRequestIsSkipped)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop,
                              {response("a", "A"), response("a", "A again") + response("b", "B"), response("c", "C")},
                              ScriptedUpstream::Then::Keep);
    bench.port.announce(bench.heartbeat(upstream.address()));
    BOOST_TEST(bench.run("a").body == "A");
    BOOST_TEST(bench.run("b").body == "B");
    // A connection that carried bytes of no call is not used again.
    BOOST_TEST(bench.run("c").body == "C");
    BOOST_TEST(upstream.connections() == 2U);
}

// Guards against a cut answer or one without a receipt that counts as success, and against "not offered" after a send.
BOOST_AUTO_TEST_CASE(incompleteAnswersMayHaveRun)
{
    Bench bench;
    const std::string whole = response("a", "0123456789");
    ScriptedUpstream cut(bench.loop,
                         {whole.substr(0, whole.size() - 3), response("b", "B", ""), "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: d\r\nX-Receipt: 1\r\n\r\nD"},
                         ScriptedUpstream::Then::Close);
    bench.port.announce(bench.heartbeat(cut.address()));
    BOOST_TEST((bench.run("a").outcome == CallOutcome::MayHaveRun));
    BOOST_TEST((bench.run("b").outcome == CallOutcome::MayHaveRun));
    BOOST_TEST((bench.run("c").outcome == CallOutcome::MayHaveRun));
    const ReplyMessage untilClose = bench.run("d");
    BOOST_TEST((untilClose.outcome == CallOutcome::Answered));
    BOOST_TEST(untilClose.body == "D");
    BOOST_TEST((bench.run("e").outcome == CallOutcome::MayHaveRun));
}

// Guards against a second send of a request whose connection closed before its answer.
BOOST_AUTO_TEST_CASE(closedConnectionIsNeverFollowedByASecondSend)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop, {}, ScriptedUpstream::Then::Close);
    bench.port.announce(bench.heartbeat(upstream.address()));
    BOOST_TEST((bench.run("a").outcome == CallOutcome::MayHaveRun));
    BOOST_TEST(upstream.received.find("GET /a") == upstream.received.rfind("GET /a"));
}

// Guards against calls to an upstream that is not there, and against an upstream that is never tried again.
BOOST_AUTO_TEST_CASE(refusedConnectionIsNotOffered)
{
    Bench bench;
    bench.port.announce(bench.heartbeat("127.0.0.1:1"));
    const ReplyMessage reply = bench.run("a");
    BOOST_TEST((reply.outcome == CallOutcome::NotOffered));
    BOOST_TEST((bench.port.entries().front().state == UpstreamState::Unreachable));
    BOOST_TEST(bench.run("b").reason == "upstream unreachable");
    bench.port.announce(bench.heartbeat("127.0.0.1:1", 2));
    BOOST_TEST((bench.port.entries().front().state == UpstreamState::Ready));
}

// Guards against a refusal of the upstream that is passed on as a failure of the call.
BOOST_AUTO_TEST_CASE(declinedCallHasNotRun)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop,
                              {response("a", "", "X-Not-Run: 1\r\n", 503), response("b", "x", "X-Receipt: 1\r\n", 500)},
                              ScriptedUpstream::Then::Keep);
    bench.port.announce(bench.heartbeat(upstream.address()));
    BOOST_TEST((bench.run("a").outcome == CallOutcome::Declined));
    const ReplyMessage failed = bench.run("b");
    BOOST_TEST((failed.outcome == CallOutcome::Answered));
    BOOST_TEST(failed.status == 500);
}

// Guards against work for an upstream that has announced that it leaves.
BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNoCall)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop, {response("a", "A")}, ScriptedUpstream::Then::Keep);
    bench.port.announce(bench.heartbeat(upstream.address()));
    Announcement leaving = bench.heartbeat(upstream.address(), 2);
    leaving.draining = true;
    BOOST_TEST(bench.port.announce(leaving));
    BOOST_TEST(bench.run("a").reason == "upstream drains");
    BOOST_TEST(upstream.received.empty());
    // A delayed announcement from before does not bring it back.
    BOOST_TEST(!bench.port.announce(bench.heartbeat(upstream.address(), 1)));
    BOOST_TEST(bench.run("b").reason == "upstream drains");
}

// Guards against an announcement of an earlier incarnation that takes over the address of the present one.
BOOST_AUTO_TEST_CASE(delayedAnnouncementOfAnEarlierIncarnationIsRefused)
{
    Bench bench;
    bench.port.announce(bench.heartbeat("127.0.0.1:1", 9, 100));
    // The same id after a restart: its numbers start anew.
    BOOST_TEST(bench.port.announce(bench.heartbeat("127.0.0.1:1", 1, 200)));
    BOOST_TEST(!bench.port.announce(bench.heartbeat("127.0.0.1:1", 10, 100)));
    Announcement next = bench.heartbeat("127.0.0.1:1", 1, 300);
    next.id = "i-2";
    BOOST_TEST(bench.port.announce(next));
    BOOST_TEST(!bench.port.announce(bench.heartbeat("127.0.0.1:1", 11, 200)));
    BOOST_REQUIRE(bench.port.entries().size() == 1U);
    BOOST_TEST(bench.port.entries().front().id == "i-2");
    Announcement other = next;
    other.id = "i-3";
    other.service = "orders";
    BOOST_TEST(!bench.port.announce(other));
    Announcement departure = next;
    departure.kind = Announcement::Kind::Departure;
    BOOST_TEST(bench.port.announce(departure));
    BOOST_TEST(bench.port.entries().empty());
}

// Guards against more calls at once than the upstream has slots, and against a queue that is never served.
BOOST_AUTO_TEST_CASE(callsBeyondTheSlotsWaitForOne)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop, {}, ScriptedUpstream::Then::Keep);
    bench.port.announce(bench.heartbeat(upstream.address()));
    std::vector<std::string> reasons;
    for (int i = 0; i < 5; ++i) {
        bench.port.offer(bench.call("r" + std::to_string(i)), 0, [&](const ReplyMessage &reply) {
            reasons.push_back(reply.reason);
            bench.loop.stop();
        });
    }
    bench.loop.after(testBoundMs, [&] {
        bench.loop.stop();
    });
    bench.loop.run();
    // Four slots, of which three are used; two calls wait and are refused in time.
    BOOST_TEST(upstream.connections() == 3U);
    BOOST_REQUIRE(!reasons.empty());
    BOOST_TEST(reasons.front() == "no slot in time");
}

// Guards against an upstream that goes on working for a caller that has left.
BOOST_AUTO_TEST_CASE(cancelledCallsEndAtTheUpstream)
{
    Bench bench;
    ScriptedUpstream upstream(bench.loop, {}, ScriptedUpstream::Then::Keep);
    bench.port.announce(bench.heartbeat(upstream.address()));
    const CallMessage idempotent = bench.call("a");
    const CallMessage once = bench.call("b", false);
    bench.port.offer(idempotent, 7, [](const ReplyMessage &) {
        BOOST_ERROR("a cancelled call has no reply");
    });
    bench.port.offer(once, 7, [](const ReplyMessage &) {});
    bench.port.cancel(7, idempotent.callId);
    bench.port.cancel(7, once.callId);
    BOOST_TEST(bench.port.pending() == 1U);
}
