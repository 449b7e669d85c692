#pragma once

#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// Bytes that are no HTTP/1.1 response by RFC 9110 and RFC 9112, although each ends where a lenient reader expects it to.
struct BrokenResponse {
    std::string name;
    std::string bytes;
};

/// The body that a lenient reader would find in the responses.
inline const std::string brokenBody = "whole";

/// Returns responses with a broken status line. @p fields are further field lines of each response.
inline std::vector<BrokenResponse> brokenStatusLines(const std::string &fields)
{
    using namespace std::string_literals;
    std::vector<BrokenResponse> responses;
    const auto add = [&responses, &fields](const std::string &line) {
        responses.push_back({"status line " + line, line + "\r\n" + fields + "Content-Length: 5\r\n\r\n" + brokenBody});
    };
    // A status code has three digits, and its class is one of five (RFC 9110 15, RFC 9112 4).
    for (const char *code : {"000", "001", "020", "099", "600", "999", "0", "2", "20", "0200", "00200", "2000", "-200", "+200", "2O0", "20x", "2.0", "0x200"}) {
        add("HTTP/1.1 "s + code + " OK");
    }
    for (const char *line : {"HTTP/1.1 200OK",
                             "HTTP/1.1 000",
                             "HTTP/1.1 ",
                             "HTTP/1.1",
                             "HTTP/1.1 OK",
                             "HTTP/1.1200 OK",
                             "HTTP/0.9 200 OK",
                             "HTTP/2.0 200 OK",
                             "HTTP/9.1 200 OK",
                             "HTTP/1 200 OK",
                             "HTTP/1.10 200 OK",
                             "HTTP/11 200 OK",
                             "http/1.1 200 OK",
                             "XHTTP/1.1 200 OK",
                             "HTTP /1.1 200 OK",
                             "HTTP/1.1 200 O\rK",
                             "HTTP/1.1 200 OK\rX-Lost: 1",
                             "HTTP/1.1 200\rX-Lost: 1",
                             "HTTP/1.1 200 O\x01K",
                             "HTTP/1.1 200 O\x1bK",
                             "HTTP/1.1 200 O\x7fK"}) {
        add(line);
    }
    add("HTTP/1.1 200 O\0K"s);
    return responses;
}

/// Returns the broken responses of all kinds.
inline std::vector<BrokenResponse> brokenResponses(const std::string &fields)
{
    return brokenStatusLines(fields);
}
}
