#include <boost/test/unit_test.hpp>

#include "net/httpport.h"
#include "net/httpreader.h"
#include "net/tcp.h"

#include <algorithm>
#include <malloc.h>
#include <string>
#include <vector>

using namespace Yuccagrade;

namespace
{
constexpr TimeMs testBoundMs = 10'000;

void runBounded(EventLoop &loop)
{
    bool expired = false;
    const TimerId guard = loop.after(testBoundMs, [&] {
        expired = true;
        loop.stop();
    });
    loop.run();
    loop.cancel(guard);
    BOOST_REQUIRE(!expired);
}

// Connects to a port, sends bytes and collects what comes back until the loop is stopped.
struct TestClient {
    TestClient(EventLoop &loop, const std::string &address, const std::string &bytes)
        : stream(TcpStream::connect(loop, address, {}))
    {
        stream->onData = [this](std::string_view data) {
            received.append(data);
            if (onChange) {
                onChange();
            }
        };
        stream->onClosed = [this](bool wasClean) {
            closed = true;
            clean = wasClean;
            if (onChange) {
                onChange();
            }
        };
        stream->write(bytes);
    }
    std::shared_ptr<TcpStream> stream;
    std::string received;
    bool closed = false;
    bool clean = false;
    std::function<void()> onChange;
};
}

// Guards against a reader that takes bytes of the next message as part of the present one.
BOOST_AUTO_TEST_CASE(readerStopsAtTheEndOfAMessage)
{
    HttpReader reader(HttpReader::Kind::Request);
    const std::string first = "POST /a/?q=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const std::string second = "GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST(reader.read(first + second) == first.size());
    BOOST_REQUIRE(reader.state() == HttpReader::State::Complete);
    const HttpMessage message = reader.take();
    BOOST_TEST(message.body == "abcde");
    BOOST_TEST(message.target == "/a/?q=1");
    BOOST_TEST(reader.read(second) == second.size());
    BOOST_TEST(reader.take().target == "/b/");
}

// Guards against request smuggling: a message with two lengths could be read differently by the upstream.
BOOST_AUTO_TEST_CASE(readerRefusesAmbiguousLengths)
{
    for (const std::string &fields : {std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
                                      std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
                                      std::string("Content-Length: x\r\n"),
                                      std::string("Bad Name: 1\r\n")}) {
        HttpReader reader(HttpReader::Kind::Request);
        reader.read("POST /a/ HTTP/1.1\r\nHost: h\r\n" + fields + "\r\nabc");
        BOOST_TEST((reader.state() == HttpReader::State::Malformed));
    }
}

// Guards against unbounded memory for a header or body, and against a cut response that counts as whole.
BOOST_AUTO_TEST_CASE(readerKeepsLimitsAndNoticesCutResponses)
{
    HttpReader large(HttpReader::Kind::Request, {100, 10});
    large.read("GET /a/ HTTP/1.1\r\nX: " + std::string(200, 'x'));
    BOOST_TEST((large.state() == HttpReader::State::HeaderTooLarge));
    HttpReader body(HttpReader::Kind::Request, {100, 10});
    body.read("POST /a/ HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST((body.state() == HttpReader::State::BodyTooLarge));
    HttpReader cut(HttpReader::Kind::Response);
    cut.read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    cut.readEnd();
    BOOST_TEST((cut.state() == HttpReader::State::Malformed));
    HttpReader unframed(HttpReader::Kind::Response);
    unframed.read("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST((unframed.state() == HttpReader::State::Reading));
    unframed.readEnd();
    BOOST_REQUIRE((unframed.state() == HttpReader::State::Complete));
    BOOST_TEST(unframed.take().untilClose);
}

// Guards against a response that counts as whole although its connection ended before its last byte.
BOOST_AUTO_TEST_CASE(readerNoticesCutsAtAnyPosition)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: 1\r\n";
    for (const std::string &whole : {head + "Content-Length: 5\r\n\r\nabcde",
                                     head + "Content-Length: 0\r\n\r\n",
                                     head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;e=1\r\ncde\r\n0\r\nX-T: 1\r\n\r\n",
                                     "HTTP/1.1 204 No Content\r\n" + head.substr(17) + "\r\n"}) {
        for (std::size_t cut = 1; cut <= whole.size(); ++cut) {
            HttpReader reader(HttpReader::Kind::Response);
            reader.read(whole.substr(0, cut));
            reader.readEnd();
            BOOST_TEST((reader.state() == (cut == whole.size() ? HttpReader::State::Complete : HttpReader::State::Malformed)), whole.substr(0, cut));
        }
    }
}

// Guards against sent bytes that stay in memory as long as a stream to a slow reader always has more to send.
BOOST_AUTO_TEST_CASE(sentBytesAreReleasedWhileMoreAreQueued)
{
    constexpr std::size_t queuedBytes = 8U << 20U;
    constexpr std::size_t totalBytes = 192U << 20U;
    const std::string block(1U << 20U, 'x');
    EventLoop loop;
    std::size_t received = 0;
    std::shared_ptr<TcpStream> reading;
    TcpListener listener(loop, [&](std::shared_ptr<TcpStream> stream) {
        reading = std::move(stream);
        reading->onData = [&](std::string_view data) {
            received += data.size();
        };
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    const auto writing = TcpStream::connect(loop, listener.address(), {});
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = allocated();
    std::size_t peak = 0;
    std::function<void()> topUp = [&] {
        while (writing->unsent() < queuedBytes) {
            writing->write(block);
        }
        peak = std::max(peak, allocated());
        if (received > totalBytes) {
            loop.stop();
        } else {
            loop.post(topUp);
        }
    };
    topUp();
    runBounded(loop);
    BOOST_TEST(peak - std::min(peak, before) < 4 * queuedBytes);
}

// Guards against trailers that are taken as header fields: they could add a signature or, by line folding, a whole line.
BOOST_AUTO_TEST_CASE(trailersAreNotPartOfTheHeader)
{
    for (const auto kind : {HttpReader::Kind::Request, HttpReader::Kind::Response}) {
        HttpReader reader(kind);
        reader.read((kind == HttpReader::Kind::Request ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n")
                    + std::string("X-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-B: 2\r\nX-C: 3\r\n 4\r\n\r\n"));
        BOOST_REQUIRE((reader.state() == HttpReader::State::Complete));
        const HttpMessage message = reader.take();
        BOOST_TEST(message.fields.size() == 2U);
        BOOST_TEST(message.body == "x");
    }
}

// Guards against answers that cross on a connection with several requests under way.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    EventLoop loop;
    std::vector<std::shared_ptr<PortExchange>> exchanges;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        exchanges.push_back(exchange);
        if (exchanges.size() == 2) {
            exchanges[1]->respond(responseHead(200), "second");
            loop.after(20, [&] {
                exchanges[0]->respond(responseHead(200), "first");
            });
        }
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    client.onChange = [&] {
        if (client.received.find("second") != std::string::npos) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(client.received.find("first") < client.received.find("second"));
}

// Guards against work that goes on for a client that has left.
BOOST_AUTO_TEST_CASE(leavingClientIsNoticedWhileItsRequestRuns)
{
    EventLoop loop;
    std::unique_ptr<TestClient> client;
    std::shared_ptr<PortExchange> held;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        held = exchange;
        exchange->onGone = [&] {
            loop.stop();
        };
        client->stream->close();
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    client = std::make_unique<TestClient>(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\n");
    runBounded(loop);
    BOOST_TEST(held->isFinished());
}

// Guards against a last answer that is lost because unread bytes reset the connection.
BOOST_AUTO_TEST_CASE(malformedRequestGetsItsAnswerBeforeTheClose)
{
    EventLoop loop;
    HttpPort port(loop, [](const std::shared_ptr<PortExchange> &exchange) {
        exchange->respond(responseHead(200), {});
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "NONSENSE\r\n\r\n" + std::string(50'000, 'x'));
    client.onChange = [&] {
        if (client.closed) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(client.received.starts_with("HTTP/1.1 400"));
    BOOST_TEST(client.received.find("Connection: close") != std::string::npos);
}

// Guards against a draining process that takes requests until its end from clients that always have one under way.
BOOST_AUTO_TEST_CASE(clientWithRequestsUnderWayCannotKeepAStoppedPortBusy)
{
    EventLoop loop;
    std::unique_ptr<TestClient> client;
    int requests = 0;
    bool stopped = false;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        ++requests;
        client->stream->write("GET /next HTTP/1.1\r\n\r\n");
        loop.after(20, [exchange] {
            exchange->respond(responseHead(200), "whole");
        });
        if (requests == 3) {
            port.closeAfterResponses();
            loop.after(5, [&] {
                stopped = true;
                requests = 0;
                port.stopListening();
            });
        }
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    client = std::make_unique<TestClient>(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\n");
    client->onChange = [&] {
        if (client->closed || requests > 50) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(stopped);
    BOOST_TEST(requests == 0);
    BOOST_TEST(client->clean);
    BOOST_TEST(client->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(client->received.ends_with("whole"));
    BOOST_TEST(port.connections() == 0U);
}

// Guards against a stopped port that drops a request of which a part has arrived.
BOOST_AUTO_TEST_CASE(stoppedPortAnswersARequestThatIsArriving)
{
    EventLoop loop;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        exchange->respond(responseHead(200), "whole");
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET /1 HTTP/1.1\r\n");
    loop.after(30, [&] {
        port.stopListening();
        client.stream->write("\r\nGET /2 HTTP/1.1\r\n\r\n");
    });
    client.onChange = [&] {
        if (client.closed) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(client.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.received.find("whole") == client.received.rfind("whole"));
}

// Guards against a large response that is cut although its client reads it.
BOOST_AUTO_TEST_CASE(largeResponseReachesAClientThatReads)
{
    EventLoop loop;
    const std::string body(16U << 20U, 'x');
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        exchange->respond(responseHead(200), body);
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    client.onChange = [&] {
        if (client.closed || client.received.size() > 2 * body.size()) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(!client.closed);
}

// Guards against refusals of unreadable requests that leave no trace of their cause.
BOOST_AUTO_TEST_CASE(unreadableRequestIsReportedWithItsCause)
{
    EventLoop loop;
    HttpPort port(loop, [](const std::shared_ptr<PortExchange> &exchange) {
        exchange->respond(responseHead(200), {});
    });
    port.setLimits({100, 10}, {});
    int status = 0;
    std::string target;
    std::size_t maxBodyBytes = 0;
    std::uint64_t requestsBefore = 0;
    port.onUnreadable = [&](const UnreadableRequest &request) {
        status = request.status;
        target = request.message.target;
        maxBodyBytes = request.limits.maxBodyBytes;
        requestsBefore = request.requestsBefore;
        return responseHead(request.status, {{"X-Id", *request.message.field("X-Id")}});
    };
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nX-Id: 7\r\nContent-Length: 11\r\n\r\n");
    client.onChange = [&] {
        if (client.closed) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(status == 413);
    BOOST_TEST(target == "/2");
    BOOST_TEST(maxBodyBytes == 10U);
    BOOST_TEST(requestsBefore == 1U);
    BOOST_TEST(client.received.find("HTTP/1.1 413") != std::string::npos);
    BOOST_TEST(client.received.find("X-Id: 7") != std::string::npos);
}

// Guards against cutting a response that its client reads slowly: its connection is not idle, and neither the end of the
// connection nor that of the process waits for less than the whole response.
BOOST_AUTO_TEST_CASE(slowlyReadResponseIsNotCut)
{
    constexpr std::size_t bodyBytes = 20U << 20U;
    constexpr TimeMs readPeriodMs = 12;
    for (const std::string &fields : {std::string(), std::string("Connection: close\r\n")}) {
        EventLoop loop;
        HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
            exchange->respond(responseHead(200), std::string(bodyBytes, 'x'));
        });
        port.setLimits({}, {3'000, 300});
        BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
        TestClient client(loop, port.address(), "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
        std::size_t received = 0;
        client.stream->onData = [&](std::string_view data) {
            received += data.size();
            client.stream->pauseReading(true);
        };
        const TimerId reading = loop.every(readPeriodMs, [&] {
            client.stream->pauseReading(false);
        });
        bool wasPending = true;
        loop.after(2'000, [&] {
            wasPending = port.pending() > 0;
        });
        client.onChange = [&] {
            loop.stop();
        };
        const TimerId guard = loop.after(2 * testBoundMs, [&] {
            loop.stop();
        });
        loop.run();
        loop.cancel(reading);
        loop.cancel(guard);
        BOOST_TEST(wasPending);
        BOOST_TEST(client.closed);
        BOOST_TEST(received > bodyBytes);
        BOOST_TEST(port.pending() == 0U);
    }
}

// Guards against keeping connections for clients that never read their response.
BOOST_AUTO_TEST_CASE(unreadResponseDoesNotKeepItsConnection)
{
    EventLoop loop;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        exchange->respond(responseHead(200), std::string(20U << 20U, 'x'));
    });
    port.setLimits({}, {3'000, 300});
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client.stream->pauseReading(true);
    const TimerId probe = loop.every(50, [&] {
        if (port.connections() == 0 && port.pending() == 0 && loop.clock().now() > 0 && client.stream->sent() > 0) {
            loop.stop();
        }
    });
    loop.after(100, [&] {
        BOOST_TEST(port.pending() > 0U);
    });
    runBounded(loop);
    loop.cancel(probe);
}

// Guards against uploads that exceed the memory of the process: the largest is refused, and says truly that it has not run.
BOOST_AUTO_TEST_CASE(largestRequestThatIsBeingReadCanBeRefused)
{
    EventLoop loop;
    int handled = 0;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        ++handled;
        exchange->respond(responseHead(200), {});
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    BOOST_TEST(!port.refuseLargestRequest());
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";
    TestClient small(loop, port.address(), head + std::string(500'000, 'x'));
    TestClient large(loop, port.address(), head + std::string(900'000, 'x'));
    loop.after(200, [&] {
        BOOST_TEST(port.heldRequestBytes() >= 1'400'000U);
        BOOST_TEST(port.refuseLargestRequest());
        BOOST_TEST(port.heldRequestBytes() < 900'000U);
        small.stream->write(std::string(500'000, 'x'));
        large.stream->write(std::string(100'000, 'x'));
    });
    loop.after(600, [&] {
        loop.stop();
    });
    runBounded(loop);
    BOOST_TEST(handled == 1);
    BOOST_TEST(small.received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(large.received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(large.received.find("Connection: close") != std::string::npos);
}

// Guards against requests without bound that are held behind those of the same connection.
BOOST_AUTO_TEST_CASE(pipelinedBytesAreNotHeldWithoutBound)
{
    EventLoop loop;
    std::vector<std::shared_ptr<PortExchange>> open;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        open.push_back(exchange);
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: " + std::string(4'000, 'x') + "\r\n\r\n";
    std::string many;
    constexpr std::size_t requests = 5'000;
    for (std::size_t i = 0; i < requests; ++i) {
        many += request;
    }
    TestClient client(loop, port.address(), many);
    std::size_t peak = 0;
    loop.every(5, [&] {
        peak = std::max(peak, port.heldRequestBytes());
    });
    loop.after(300, [&] {
        BOOST_TEST(open.size() == 32U);
        loop.every(1, [&] {
            for (const auto &exchange : std::exchange(open, {})) {
                exchange->respond(responseHead(204), {});
            }
        });
    });
    client.onChange = [&] {
        if (client.received.size() >= requests * std::string("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").size()) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(peak < 1'000'000U);
}

// Guards against a body of tiny chunks without end that takes the processor for as long as its size limit allows.
BOOST_AUTO_TEST_CASE(framingWithoutEndEndsAResponseEarly)
{
    HttpReader reader(HttpReader::Kind::Response, {65'536, 16U << 20U});
    reader.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string chunks;
    for (int i = 0; i < 1'000; ++i) {
        chunks += "1\r\nx\r\n";
    }
    std::size_t bytes = 0;
    while (reader.state() == HttpReader::State::Reading) {
        bytes += reader.read(chunks);
    }
    BOOST_TEST((reader.state() == HttpReader::State::Malformed));
    BOOST_TEST(bytes < 4U << 20U);
    // A body of small chunks that ends is read.
    HttpReader small(HttpReader::Kind::Response, {65'536, 16U << 20U});
    small.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 100; ++i) {
        small.read(chunks);
    }
    small.read("0\r\n\r\n");
    BOOST_TEST((small.state() == HttpReader::State::Complete));
}

// Guards against a drained listener that resets requests already sent.
BOOST_AUTO_TEST_CASE(stoppedPortAnswersWhatItHasRead)
{
    EventLoop loop;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        port.closeAfterResponses();
        port.stopListening();
        loop.after(20, [exchange] {
            exchange->respond(responseHead(200), "whole");
        });
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\n");
    client.onChange = [&] {
        if (client.closed) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(client.clean);
    BOOST_TEST(client.received.ends_with("whole"));
}

// Guards against memory without bound while many clients do not read their responses, each of them below its own limit.
BOOST_AUTO_TEST_CASE(unreadResponsesOfAllClientsAreBounded)
{
    constexpr std::size_t clientCount = 48;
    constexpr std::size_t requestsEach = 7;
    constexpr std::size_t processBytes = 160U << 20U;
    const std::string body(1U << 20U, 'x');
    EventLoop loop;
    std::size_t answered = 0;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        if (exchange->request().target == "/small") {
            exchange->respond(responseHead(200), "small");
            return;
        }
        exchange->respond(responseHead(200), body);
        ++answered;
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = allocated();
    std::size_t peak = 0;
    std::vector<std::unique_ptr<TestClient>> clients;
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.push_back(std::make_unique<TestClient>(loop, port.address(), "GET /1 HTTP/1.1\r\n\r\n"));
        clients.back()->stream->onConnected = [stream = clients.back()->stream.get()] {
            stream->pauseReading(true);
        };
    }
    // Further requests come one by one, as the kernel's buffers take the first responses.
    std::size_t round = 1;
    std::unique_ptr<TestClient> reading;
    const TimerId timer = loop.every(20, [&] {
        peak = std::max(peak, allocated());
        if (round < requestsEach) {
            ++round;
            for (const auto &client : clients) {
                client->stream->write("GET /1 HTTP/1.1\r\n\r\n");
            }
        } else if (!reading) {
            reading = std::make_unique<TestClient>(loop, port.address(), "GET /small HTTP/1.1\r\n\r\n");
            reading->onChange = [&] {
                loop.stop();
            };
        }
    });
    runBounded(loop);
    loop.cancel(timer);
    BOOST_TEST(answered > clientCount);
    BOOST_TEST(reading->received.ends_with("small"));
    BOOST_TEST(peak - before < processBytes, peak - before);
}

// Guards against slow clients that take all connections of a port, and against closing those whose requests run for them.
BOOST_AUTO_TEST_CASE(tooManyConnectionsCloseTheSlowestOne)
{
    EventLoop loop;
    std::vector<std::shared_ptr<PortExchange>> running;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        if (exchange->request().target == "/run") {
            running.push_back(exchange);
        } else {
            exchange->respond(responseHead(200), {});
        }
    });
    int closed = 0;
    port.setMaxConnections(3);
    port.onTooManyConnections = [&] {
        ++closed;
    };
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    const std::string end = " HTTP/1.1\r\nHost: h\r\n\r\n";
    TestClient runs(loop, port.address(), "GET /run" + end);
    TestClient idle(loop, port.address(), "GET /" + end);
    TestClient slow(loop, port.address(), "GET / HT");
    std::unique_ptr<TestClient> next;
    std::unique_ptr<TestClient> last;
    loop.after(800, [&] {
        next = std::make_unique<TestClient>(loop, port.address(), "GET /run" + end);
    });
    loop.after(1'000, [&] {
        BOOST_TEST(slow.closed);
        BOOST_TEST(!idle.closed);
        last = std::make_unique<TestClient>(loop, port.address(), "GET /run" + end);
    });
    std::unique_ptr<TestClient> surplus;
    loop.after(1'200, [&] {
        BOOST_TEST(idle.closed);
        surplus = std::make_unique<TestClient>(loop, port.address(), "GET /" + end);
    });
    loop.after(1'400, [&] {
        loop.stop();
    });
    runBounded(loop);
    BOOST_TEST(running.size() == 3U);
    BOOST_TEST(!runs.closed);
    BOOST_TEST(surplus->closed);
    BOOST_TEST(port.connections() == 3U);
    BOOST_TEST(closed == 3);
}

// Guards against a connection with many requests that keeps the others waiting until all of its own are handled.
BOOST_AUTO_TEST_CASE(pipeliningConnectionLeavesTurnsToOthers)
{
    constexpr int pipelined = 400;
    const std::string request = "GET /many HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string many;
    for (int i = 0; i < pipelined; ++i) {
        many += request;
    }
    EventLoop loop;
    int handled = 0;
    int handledBeforeOther = -1;
    std::unique_ptr<TestClient> other;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        if (exchange->request().target == "/other") {
            handledBeforeOther = handled;
        } else if (++handled == 1) {
            other = std::make_unique<TestClient>(loop, port.address(), "GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        exchange->respond(responseHead(200), {});
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), many);
    client.onChange = [&] {
        if (handled == pipelined && handledBeforeOther >= 0) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(handledBeforeOther < pipelined / 4);
    BOOST_TEST(handled == pipelined);
}

// Guards against ordinary clients whose pipelined requests run one after the other because many connections are idle.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunTogetherBesideIdleConnections)
{
    constexpr std::size_t idleConnections = 300;
    constexpr std::size_t pipelined = 6;
    EventLoop loop;
    std::vector<std::shared_ptr<PortExchange>> running;
    std::vector<std::unique_ptr<TestClient>> idle;
    std::unique_ptr<TestClient> client;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        running.push_back(exchange);
        if (running.size() == pipelined) {
            loop.stop();
        }
    });
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    for (std::size_t i = 0; i < idleConnections; ++i) {
        idle.push_back(std::make_unique<TestClient>(loop, port.address(), ""));
    }
    loop.every(5, [&] {
        if (port.connections() == idleConnections && !client) {
            std::string requests;
            for (std::size_t i = 0; i < pipelined; ++i) {
                requests += "GET /many HTTP/1.1\r\nHost: h\r\n\r\n";
            }
            client = std::make_unique<TestClient>(loop, port.address(), requests);
        }
    });
    runBounded(loop);
    BOOST_TEST(running.size() == pipelined);
}

// Guards against requests that are handed over, and so may run, although there is no memory for them.
BOOST_AUTO_TEST_CASE(requestWithoutMemoryIsRefusedUnrun)
{
    EventLoop loop;
    int handled = 0;
    HttpPort port(loop, [&](const std::shared_ptr<PortExchange> &exchange) {
        ++handled;
        exchange->respond(responseHead(200), {});
    });
    port.hasMemoryFor = [](std::size_t bytes) {
        return bytes < 100'000;
    };
    BOOST_REQUIRE(!port.listen("127.0.0.1:0"));
    TestClient client(loop, port.address(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(200'000, 'x'));
    client.onChange = [&] {
        if (client.received.find("\r\n\r\n") != std::string::npos) {
            loop.stop();
        }
    };
    runBounded(loop);
    BOOST_TEST(handled == 0);
    BOOST_TEST(client.received.starts_with("HTTP/1.1 503"));
}

// Guards against header fields that count with the bytes they were sent in, although each takes far more memory.
BOOST_AUTO_TEST_CASE(shortFieldsCountWithTheirMemory)
{
    constexpr std::size_t fields = 4'000;
    std::string request = "GET / HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        request += "a:\r\n";
    }
    HttpReader reader(HttpReader::Kind::Request);
    reader.read(request);
    BOOST_TEST(reader.heldBytes() >= fields * sizeof(HttpMessage::Field));
}

// Guards against a large body that needs twice its memory while it is read, and one that counts as whole before it is.
BOOST_AUTO_TEST_CASE(bodyMovesNotWhileItGrows)
{
    constexpr std::size_t bytes = 8U << 20U;
    const std::string part(64U << 10U, 'x');
    HttpReader reader(HttpReader::Kind::Request);
    reader.read("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n");
    reader.read(part);
    const char *start = reader.message().body.data();
    BOOST_TEST(reader.heldBytes() < 1U << 20U);
    while (reader.state() == HttpReader::State::Reading) {
        reader.read(part);
    }
    BOOST_TEST((reader.state() == HttpReader::State::Complete));
    BOOST_TEST(reader.message().body.data() == start);
    BOOST_TEST(reader.message().body.size() == bytes);
}
