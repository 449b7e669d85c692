#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "base/errc.h"
#include "net/httpclient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace Yuccagrade;

namespace
{
constexpr TimeMs testBoundMs = 30'000;
constexpr TimeMs callTimeoutMs = 10'000;

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

/// A TCP server on the client's loop whose connections are driven by a hook.
class ScriptedServer
{
public:
    /// Runs with each piece of a request that arrives on a connection.
    using Hook = std::function<void(int connection, const std::string &received)>;

    ScriptedServer(EventLoop &loop, Hook hook)
        : m_loop(loop)
        , m_hook(std::move(hook))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        BOOST_REQUIRE(listen(m_listener, 128) == 0);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_loop.watch(m_listener, EventLoop::Readable, [this](int) {
            acceptOne();
        });
    }
    ~ScriptedServer()
    {
        m_loop.unwatch(m_listener);
        close(m_listener);
        while (!m_open.empty()) {
            end(m_open.begin()->first);
        }
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    const std::string &address() const
    {
        return m_address;
    }
    /// Connections that neither side has closed.
    std::size_t openConnections() const
    {
        return m_open.size();
    }
    int accepted() const
    {
        return m_accepted;
    }
    static void write(int connection, const std::string &bytes)
    {
        BOOST_TEST(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    /// Writes @p pattern over and over, up to @p maxBytes, until the client closes the connection.
    void flood(int connection, const std::string &pattern, std::size_t maxBytes = std::numeric_limits<std::size_t>::max())
    {
        std::string block;
        while (block.size() < floodBlockBytes) {
            block += pattern;
        }
        struct Progress {
            std::size_t at;
            std::size_t left;
        };
        const auto progress = std::make_shared<Progress>(Progress{0, maxBytes});
        m_loop.watch(connection, EventLoop::Readable | EventLoop::Writable, [this, connection, block, progress](int) {
            const auto sent = send(connection, block.data() + progress->at, std::min(progress->left, block.size() - progress->at), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0) {
                progress->at = (progress->at + static_cast<std::size_t>(sent)) % block.size();
                progress->left -= static_cast<std::size_t>(sent);
                if (progress->left == 0) {
                    endWhenClosed(connection);
                }
            } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
                end(connection);
            }
        });
    }
    void end(int connection, bool reset = false)
    {
        if (m_open.erase(connection) == 0) {
            return;
        }
        if (reset) {
            const linger abort{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        }
        m_loop.unwatch(connection);
        close(connection);
    }

private:
    static constexpr std::size_t floodBlockBytes = 65'536;

    void endWhenClosed(int connection)
    {
        m_loop.watch(connection, EventLoop::Readable, [this, connection](int) {
            end(connection);
        });
    }

    void acceptOne()
    {
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (connection < 0) {
            return;
        }
        ++m_accepted;
        m_open[connection] = true;
        m_loop.watch(connection, EventLoop::Readable, [this, connection](int) {
            std::array<char, 65'536> buffer{};
            const auto received = recv(connection, buffer.data(), buffer.size(), 0);
            if (received <= 0) {
                end(connection);
                return;
            }
            m_hook(connection, std::string(buffer.data(), static_cast<std::size_t>(received)));
        });
    }

    EventLoop &m_loop;
    Hook m_hook;
    std::string m_address;
    int m_listener = -1;
    int m_accepted = 0;
    std::map<int, bool> m_open;
};

HttpResult callOnce(EventLoop &loop, HttpClient &client, HttpCall call)
{
    HttpResult outcome;
    client.send(std::move(call), [&](HttpResult result) {
        outcome = std::move(result);
        loop.stop();
    });
    runBounded(loop);
    return outcome;
}

HttpCall get(const ScriptedServer &server, const std::string &method = "GET")
{
    return {method, server.address(), "/", {}, {}, callTimeoutMs, false};
}

void wait(EventLoop &loop, TimeMs delayMs)
{
    loop.after(delayMs, [&] {
        loop.stop();
    });
    runBounded(loop);
}

// Runs the loop until the server has no connection left. Returns false if one is still open after the bound.
bool waitUntilClosed(EventLoop &loop, const ScriptedServer &server)
{
    constexpr TimeMs closeBoundMs = 2'000;
    const TimeMs end = loop.clock().now() + closeBoundMs;
    while (server.openConnections() > 0 && loop.clock().now() < end) {
        wait(loop, 1);
    }
    return server.openConnections() == 0;
}

struct AnswerCase {
    std::string name;
    std::string method;
    std::string bytes;
};

const std::vector<AnswerCase> &wholeAnswers()
{
    static const std::vector<AnswerCase> answers{
        {"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\nhello, world"},
        {"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n"},
        {"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
        {"trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n"},
        {"early hints",
         "GET",
         "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n"},
        {"no content", "GET", "HTTP/1.1 204 No Content\r\nX-A: b\r\nX-C: d\r\n\r\n"},
        {"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nETag: a\r\nContent-Length: 7\r\nX-C: d\r\n\r\n"},
        {"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\n"},
        {"posted", "POST", "HTTP/1.1 201 Created\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"},
    };
    return answers;
}
}

// Guards against a 200 with an empty or short body, framed as whole, after a server stopped inside its answer.
BOOST_AUTO_TEST_CASE(answerCutAtAnyPositionIsAnError)
{
    EventLoop loop;
    HttpClient client(loop);
    for (const AnswerCase &answer : wholeAnswers()) {
        for (const bool reset : {false, true}) {
            std::size_t cut = 0;
            ScriptedServer server(loop, [&](int connection, const std::string &) {
                ScriptedServer::write(connection, answer.bytes.substr(0, cut));
                loop.after(reset ? 1 : 0, [&server, connection, reset] {
                    server.end(connection, reset);
                });
            });
            for (cut = 0; cut < answer.bytes.size(); ++cut) {
                const HttpResult result = callOnce(loop, client, get(server, answer.method));
                BOOST_TEST(static_cast<bool>(result.error),
                           answer.name << " cut after " << cut << " bytes, reset " << reset << ": status " << result.response.status);
                BOOST_TEST(result.bytesSent);
            }
            const HttpResult whole = callOnce(loop, client, get(server, answer.method));
            BOOST_TEST(!whole.error, answer.name << ": " << whole.error.message());
        }
    }
}

// Guards against a body of unknown length that is taken as whole, because of fields that do not frame it.
BOOST_AUTO_TEST_CASE(unclearFramingIsAnError)
{
    EventLoop loop;
    HttpClient client(loop);
    const std::vector<std::string> answers{
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\nmaybe cut",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\nmaybe cut",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: unchunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity, chunkedly\r\n\r\nmaybe cut",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 5\r\n\r\nmaybe cut!",
        "HTTP/1.1 200 OK\r\nContent-Length: 5, 10\r\n\r\nmaybe cut!",
        "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nmaybe cut!",
        "HTTP/1.0 200 OK\r\n\r\nmaybe cut",
        "maybe an old answer",
    };
    for (const std::string &answer : answers) {
        ScriptedServer server(loop, [&](int connection, const std::string &) {
            ScriptedServer::write(connection, answer);
            loop.after(1, [&server, connection] {
                server.end(connection);
            });
        });
        const HttpResult result = callOnce(loop, client, get(server));
        BOOST_TEST(static_cast<bool>(result.error), answer);
    }
}

// Guards against broken responses that callers of HttpClient take for responses, and against a connection that is used again behind one.
BOOST_AUTO_TEST_CASE(brokenResponsesAreErrors)
{
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer sound(loop, [](int connection, const std::string &) {
        ScriptedServer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    for (const Test::BrokenResponse &response : Test::brokenResponses("X-A: b\r\n")) {
        for (const bool closes : {false, true}) {
            ScriptedServer server(loop, [&](int connection, const std::string &) {
                ScriptedServer::write(connection, response.bytes);
                if (closes) {
                    server.end(connection);
                }
            });
            std::optional<HttpResult> ended;
            client.send(get(server), [&](HttpResult result) {
                ended = std::move(result);
            });
            const HttpResult other = callOnce(loop, client, get(sound));
            BOOST_TEST(!other.error);
            BOOST_TEST(other.response.body == "ok");
            while (!ended) {
                wait(loop, 1);
            }
            BOOST_TEST(static_cast<bool>(ended->error), response.name << ": status " << ended->response.status << ", body " << ended->response.body);
            BOOST_TEST((ended->error != Errc::Timeout), response.name);
            BOOST_TEST(ended->bytesSent, response.name);
            BOOST_TEST(!ended->defect.empty(), response.name << ": " << ended->error.message());
            BOOST_TEST(waitUntilClosed(loop, server), response.name);
            BOOST_TEST(server.accepted() == 1, response.name);
        }
    }
}

// Guards against a server that keeps a call, its connection or memory by bytes without end.
BOOST_AUTO_TEST_CASE(endlessAnswerIsEndedAndOthersAreServed)
{
    struct Flood {
        std::string name;
        std::string head;
        std::string pattern;
    };
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Flood> floods{
        {"no answer", "", "\x16\x03\x01zzzz"},
        {"empty lines", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "x"},
        {"field line", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
        {"fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        {"lines without a colon", "HTTP/1.1 200 OK\r\n", "abcdef\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
        {"body without length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "x"},
        {"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
        {"chunks", chunkedHead, "8\r\nabcdefgh\r\n"},
        {"one chunk", chunkedHead + "7fffffffffff\r\n", "x"},
        {"chunk size", chunkedHead, "0"},
        {"chunk extension", chunkedHead + "1;a=", "x"},
        {"small chunks with long extensions", chunkedHead, "1;a=" + std::string(4'000, 'x') + "\r\ny\r\n"},
        {"trailers", chunkedHead + "0\r\n", "X-A: b\r\n"},
        {"trailer line", chunkedHead + "0\r\nX-A: ", "x"},
        {"body of a 204", "HTTP/1.1 204 No Content\r\n\r\n", "x"},
        {"excess body", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "x"},
    };
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer sound(loop, [](int connection, const std::string &) {
        ScriptedServer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    for (const Flood &flood : floods) {
        ScriptedServer server(loop, [&](int connection, const std::string &) {
            if (!flood.head.empty()) {
                ScriptedServer::write(connection, flood.head);
            }
            server.flood(connection, flood.pattern);
        });
        const TimeMs startedAt = loop.clock().now();
        TimeMs endedAt = 0;
        HttpResult flooded;
        int soundAnswers = 0;
        client.send(get(server), [&](HttpResult result) {
            flooded = std::move(result);
            endedAt = loop.clock().now();
        });
        const std::function<void()> callSound = [&] {
            client.send(get(sound), [&, isLast = endedAt > 0](const HttpResult &result) {
                soundAnswers += !result.error && result.response.body == "ok";
                if (isLast) {
                    loop.stop();
                } else {
                    callSound();
                }
            });
        };
        callSound();
        runBounded(loop);
        const TimeMs tookMs = endedAt - startedAt;
        const bool isWhole = flood.name == "body of a 204" || flood.name == "excess body";
        BOOST_TEST(static_cast<bool>(flooded.error) != isWhole, flood.name << ": " << flooded.error.message());
        BOOST_TEST((flooded.error != Errc::Timeout), flood.name);
        BOOST_TEST(soundAnswers > 0, flood.name);
        BOOST_TEST(waitUntilClosed(loop, server), flood.name);
        BOOST_TEST(client.pending() == 0U, flood.name);
        BOOST_TEST_MESSAGE(flood.name << ": " << flooded.error.message() << " after " << tookMs << " ms, sound answers " << soundAnswers);
    }
}

// Guards against the memory of a process that is filled by many responses, each of which keeps its own limit.
BOOST_AUTO_TEST_CASE(sumOfResponsesIsBounded)
{
    constexpr std::size_t maxBodyBytes = 1'000'000;
    constexpr std::size_t maxBufferedBytes = 4'000'000;
    constexpr std::size_t servedBytes = 900'000;
    constexpr int floods = 12;
    EventLoop loop;
    HttpClient client(loop, {}, maxBodyBytes, maxBufferedBytes);
    ScriptedServer sound(loop, [](int connection, const std::string &) {
        ScriptedServer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    int heads = 0;
    ScriptedServer server(loop, [&](int connection, const std::string &) {
        const bool chunked = ++heads % 2 == 0;
        ScriptedServer::write(connection,
                              chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne7ef0\r\n" : "HTTP/1.1 200 OK\r\nContent-Length: 950000\r\n\r\n");
        server.flood(connection, std::string(1'000, 'x'), servedBytes);
    });
    int ended = 0;
    for (int i = 0; i < floods; ++i) {
        client.send(get(server), [&](const HttpResult &result) {
            BOOST_TEST((result.error == Errc::TooLarge), result.error.message());
            ++ended;
        });
    }
    std::size_t most = 0;
    int soundAnswers = 0;
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        const HttpResult result = callOnce(loop, client, get(sound));
        soundAnswers += !result.error && result.response.body == "ok";
        most = std::max(most, client.bufferedBytes());
        wait(loop, 1);
    }
    BOOST_TEST(soundAnswers == rounds);
    BOOST_TEST(most <= maxBufferedBytes);
    BOOST_TEST(most > maxBufferedBytes / 2);
    BOOST_TEST(ended == floods - static_cast<int>(maxBufferedBytes / servedBytes));
    BOOST_TEST(server.openConnections() == maxBufferedBytes / servedBytes);
}

// Guards against bytes that a server wrote on an idle kept connection and that are read as the answer to the next request.
BOOST_AUTO_TEST_CASE(unsolicitedBytesEndAnIdleConnection)
{
    EventLoop loop;
    const std::string stale = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nstale";
    const std::vector<std::pair<std::string, std::string>> firstAnswers{
        {"length", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n"},
    };
    for (const auto &[name, head] : firstAnswers) {
        const std::string end = name == "chunked" ? "\r\n0\r\n\r\n" : "";
        for (std::size_t joined = 0; joined <= stale.size(); joined += 4) {
            HttpClient client(loop);
            int requests = 0;
            bool isStaleWritten = false;
            ScriptedServer server(loop, [&, head = head](int connection, const std::string &) {
                ++requests;
                std::string answer = head;
                answer += std::to_string(requests) + end;
                if (requests > 1) {
                    ScriptedServer::write(connection, answer);
                    return;
                }
                ScriptedServer::write(connection, answer + stale.substr(0, joined));
                loop.after(5, [&, joined, connection] {
                    if (server.openConnections() > 0) {
                        send(connection, stale.data() + joined, stale.size() - joined, MSG_NOSIGNAL);
                    }
                    isStaleWritten = true;
                });
            });
            BOOST_TEST(callOnce(loop, client, get(server)).response.body == "1");
            while (!isStaleWritten) {
                wait(loop, 1);
            }
            BOOST_TEST(waitUntilClosed(loop, server), name << ", " << joined << " bytes with the answer");
            const HttpResult second = callOnce(loop, client, get(server));
            BOOST_TEST(second.response.body == "2",
                       name << ", " << joined << " bytes with the answer: " << second.response.status << ' ' << second.response.body);
            BOOST_TEST(server.accepted() == 2);
        }
    }
}

// Guards against the same bytes when they arrive just before the next request is sent, and against a request that fails
// because the server has just closed the idle connection.
BOOST_AUTO_TEST_CASE(staleConnectionIsReplacedBeforeTheRequestIsSent)
{
    EventLoop loop;
    for (const bool closes : {false, true}) {
        HttpClient client(loop);
        int requests = 0;
        int lastConnection = -1;
        ScriptedServer server(loop, [&](int connection, const std::string &) {
            lastConnection = connection;
            ScriptedServer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(++requests));
        });
        for (int round = 1; round < 9; ++round) {
            const HttpResult result = callOnce(loop, client, get(server));
            BOOST_TEST(result.response.body == std::to_string(round), result.response.status << ' ' << result.error.message());
            if (closes) {
                server.end(lastConnection);
            } else {
                ScriptedServer::write(lastConnection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            }
        }
        BOOST_TEST(server.accepted() == 8);
    }
}

// Guards against a new connection for every request.
BOOST_AUTO_TEST_CASE(soundConnectionIsKept)
{
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer server(loop, [](int connection, const std::string &) {
        ScriptedServer::write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    });
    for (int round = 0; round < 20; ++round) {
        BOOST_TEST(callOnce(loop, client, get(server)).response.body == "ok");
        wait(loop, 2);
    }
    BOOST_TEST(server.accepted() == 1);
}

// Guards against a connection that is watched as idle while another request uses it.
BOOST_AUTO_TEST_CASE(connectionInUseIsNotTakenForIdle)
{
    EventLoop loop;
    HttpClient client(loop);
    ScriptedServer server(loop, [&](int connection, const std::string &request) {
        const bool closes = request.find(" /close ") != std::string::npos;
        const std::string answer = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n") + (closes ? "Connection: close\r\n" : "") + "\r\nok";
        loop.after(request.find(" /slow ") != std::string::npos ? 3 : 0, [&server, connection, answer, closes] {
            ScriptedServer::write(connection, answer);
            if (closes) {
                server.end(connection);
            }
        });
    });
    const std::vector<std::string> targets{"/slow", "/close", "/", "/slow", "/", "/close", "/close"};
    constexpr std::size_t calls = 700;
    constexpr std::size_t parallel = 5;
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t done = 0;
    const std::function<void()> callNext = [&] {
        HttpCall call = get(server);
        call.target = targets[sent++ % targets.size()];
        client.send(std::move(call), [&](const HttpResult &result) {
            whole += !result.error && result.response.body == "ok";
            BOOST_TEST(!result.error, result.error.message());
            if (++done == calls) {
                loop.stop();
            } else if (sent < calls) {
                callNext();
            }
        });
    };
    for (std::size_t i = 0; i < parallel; ++i) {
        callNext();
    }
    runBounded(loop);
    BOOST_TEST(whole == calls);
}
