#undef BOOST_TEST_MODULE // clitest.cpp defines the main function of this program
#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "yuccagrade/curlexchange.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Yuccagrade;

namespace
{
// Stand-in that serves one connection with a fixed answer and keeps the request.
class OneShotServer
{
public:
    explicit OneShotServer(std::string answer)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        BOOST_REQUIRE(bind(m_listener, generic, size) == 0 && listen(m_listener, 1) == 0 && getsockname(m_listener, generic, &size) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this, text = std::move(answer)] {
            serve(text);
        });
    }
    ~OneShotServer()
    {
        finish();
        close(m_listener);
    }
    OneShotServer(const OneShotServer &) = delete;
    OneShotServer &operator=(const OneShotServer &) = delete;

    const std::string &address() const
    {
        return m_address;
    }
    const std::string &finish()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_request;
    }

private:
    // Every request of the tests ends with a closing brace or with the empty line after the headers.
    void serve(const std::string &answer)
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        char buffer[4096];
        while (!m_request.ends_with('}') && !(m_request.starts_with("GET") && m_request.ends_with("\r\n\r\n"))) {
            const ssize_t bytes = recv(connection, buffer, sizeof buffer, 0);
            if (bytes <= 0) {
                break;
            }
            m_request.append(buffer, static_cast<std::size_t>(bytes));
        }
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        close(connection);
    }

    int m_listener;
    std::string m_address;
    std::string m_request;
    std::thread m_thread;
};
}

// Guards against a request without the operator secret or the body.
BOOST_AUTO_TEST_CASE(curlSendsSecretAndBody)
{
    OneShotServer server("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
    const OperatorAnswer answer = curlExchange()({"POST", server.address(), "/v1/keys", "{\"team\":\"a\"}", "s3cret", 5000});
    BOOST_TEST(answer.status == 409);
    BOOST_TEST(answer.body == "{}");
    const std::string &request = server.finish();
    BOOST_TEST(request.starts_with("POST /v1/keys HTTP/1.1\r\n"));
    BOOST_TEST(request.find("\r\nAuthorization: Bearer s3cret\r\n") != std::string::npos);
    BOOST_TEST(request.ends_with("\r\n\r\n{\"team\":\"a\"}"));
}

// Guards against taking a cut answer, or a host that is down, for an answer.
BOOST_AUTO_TEST_CASE(curlReportsLostAnswers)
{
    OneShotServer server("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}");
    const OperatorAnswer cut = curlExchange()({"GET", server.address(), "/v1/status", {}, "s3cret", 5000});
    BOOST_TEST(cut.status == 0);
    BOOST_TEST(!cut.error.empty());
    BOOST_TEST(curlExchange()({"GET", "127.0.0.1:1", "/", {}, "s3cret", 5000}).status == 0);
}

// Guards against a broken answer that an operator gets as the answer of a control host.
BOOST_AUTO_TEST_CASE(curlReportsBrokenAnswers)
{
    for (const Test::BrokenResponse &response : Test::brokenResponses("X-A: b\r\n")) {
        OneShotServer server(response.bytes);
        const OperatorAnswer answer = curlExchange()({"GET", server.address(), "/v1/status", {}, "s3cret", 5000});
        BOOST_TEST(answer.status == 0, response.name << ": status " << answer.status << ", body " << answer.body);
        BOOST_TEST(!answer.error.empty(), response.name);
    }
}

// Guards against refusing answers without a length, in chunks or behind an interim response.
BOOST_AUTO_TEST_CASE(curlReadsAnswersOfAnyFraming)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    for (const std::string &bytes : {head + "Content-Length: 2\r\n\r\n{}",
                                     head + "\r\n{}",
                                     head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;a=b\r\n}\r\n0\r\nX-A: b\r\n\r\n",
                                     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\n{}"}) {
        OneShotServer server(bytes);
        const OperatorAnswer answer = curlExchange()({"GET", server.address(), "/v1/status", {}, "s3cret", 5000});
        BOOST_TEST(answer.status == 200, bytes << ": " << answer.error);
        BOOST_TEST(answer.body == "{}");
    }
    OneShotServer server("HTTP/1.1 204 No Content\r\n\r\n");
    BOOST_TEST(curlExchange()({"GET", server.address(), "/v1/status", {}, "s3cret", 5000}).status == 204);
}
