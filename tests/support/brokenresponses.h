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

/// Returns responses with a broken field line. @p fields are further field lines of each response.
inline std::vector<BrokenResponse> brokenFieldLines(const std::string &fields)
{
    using namespace std::string_literals;
    std::vector<BrokenResponse> responses;
    const auto add = [&responses, &fields](const std::string &line, const std::string &framing, const std::string &body) {
        responses.push_back({"field line " + line, "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n" + framing + "\r\n" + body});
    };
    // A name is a token, and no blank stands before or behind it (RFC 9110 5.1, RFC 9112 5.1).
    for (const std::string &line :
         {"X Y: 1"s,  "X-Y : 1"s,   "X-Y\t: 1"s,       "X\tY: 1"s,      " X-Y: 1"s,       "\tX-Y: 1"s,     "X\x01Y: 1"s, "\x01X-Y: 1"s, "X-Y\x01: 1"s,
          "X\0Y: 1"s, "X\x0bY: 1"s, "X\x1bY: 1"s,      "X\x7fY: 1"s,    "X\x80Y: 1"s,     "X\xc3\xa4: 1"s, ": 1"s,       " : 1"s,       "X(Y): 1"s,
          "X\"Y: 1"s, "X/Y: 1"s,    "X@Y: 1"s,         "X[Y]: 1"s,      "X{Y}: 1"s,       "X,Y: 1"s,       "X;Y: 1"s,    "X=Y: 1"s,     "no colon"s,
          "X-Y"s,     "X\rY: 1"s,   "X-Y: 1\rX-Z: 2"s, "X-Y: 1\r\n 2"s, "X-Y: 1\r\n\t2"s, "X-Y: a\0b"s}) {
        add(line, "Content-Length: 5\r\n", brokenBody);
    }
    for (const std::string &line :
         {"Content-Length : 5"s, "Content-Length\t: 5"s, " Content-Length: 5"s, "Content Length: 5"s, "Content-Length\x01: 5"s, "Content-Length\0: 5"s}) {
        add(line, {}, brokenBody);
    }
    for (const std::string &line : {"Transfer-Encoding : chunked"s,
                                    "Transfer-Encoding\t: chunked"s,
                                    " Transfer-Encoding: chunked"s,
                                    "Transfer Encoding: chunked"s,
                                    "Transfer-Encoding\x01: chunked"s}) {
        add(line, {}, "5\r\n" + brokenBody + "\r\n0\r\n\r\n");
    }
    return responses;
}

/// Returns responses whose fields say nothing certain about the length of the body. @p fields are further field lines of each response.
inline std::vector<BrokenResponse> brokenLengths(const std::string &fields)
{
    std::vector<BrokenResponse> responses;
    const auto add = [&responses, &fields](const std::string &framing, const std::string &body, const std::string &version = "1.1") {
        responses.push_back({"framing " + framing, "HTTP/" + version + " 200 OK\r\n" + fields + framing + "\r\n\r\n" + body});
    };
    for (const char *length : {"", "x", "5x", "x5", "+5", "-5", "0x5", "5.0", "5 5", "5;", "\"5\"", "5, 6", "18446744073709551621"}) {
        add(std::string("Content-Length: ") + length, brokenBody);
    }
    add("Content-Length: 5\r\nContent-Length: 6", brokenBody);
    add("Content-Length: 5\r\n 6", brokenBody);
    const std::string chunked = "5\r\n" + brokenBody + "\r\n0\r\n\r\n";
    add("Content-Length: 5\r\nTransfer-Encoding: chunked", chunked);
    add("Transfer-Encoding: chunked\r\nContent-Length: 5", chunked);
    // The request names no transfer coding that the client accepts beside chunked, which ends the list once (RFC 9112 6.1, 7.4).
    for (const char *coding : {"",
                               "gzip",
                               "identity",
                               "unchunked",
                               "chunkedly",
                               "chunk",
                               "gzip, chunked",
                               "chunked, gzip",
                               "chunked, chunked",
                               "identity, chunked",
                               "chunked;q=1",
                               "\"chunked\"",
                               "chunked x"}) {
        add(std::string("Transfer-Encoding: ") + coding, chunked);
    }
    add("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", chunked);
    add("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip", chunked);
    add("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunked);
    add("Transfer-Encoding: chunked", chunked, "1.0");
    return responses;
}

/// Returns responses with a broken chunk or trailer. @p fields are further field lines of each response.
inline std::vector<BrokenResponse> brokenChunks(const std::string &fields)
{
    using namespace std::string_literals;
    std::vector<BrokenResponse> responses;
    const auto add = [&responses, &fields](const std::string &body) {
        responses.push_back({"chunks " + body, "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + body});
    };
    const std::string last = brokenBody + "\r\n0\r\n\r\n";
    const std::string first = "5\r\n" + brokenBody;
    const std::string chunks = first + "\r\n0\r\n";
    for (const std::string &line :
         {"x\r\n"s,  "\r\n"s,     "-5\r\n"s, "+5\r\n"s, "0x5\r\n"s, " 5\r\n"s, "5 \r\n"s,     "5 5\r\n"s,     "5\t\r\n"s,    "5 x\r\n"s,
          "5x\r\n"s, ";a=b\r\n"s, "5\n"s,    "5\r"s,    "5\rX"s,    "5;a\n"s,  "5;a\rb\r\n"s, "5;a\x01\r\n"s, "5;a\0b\r\n"s, "10000000000000005\r\n"s}) {
        add(line + last);
    }
    // The data of a chunk is followed by a line end.
    for (const std::string &end : {"0\r\n\r\n"s,
                                   "XX0\r\n\r\n"s,
                                   "\n0\r\n\r\n"s,
                                   "\r0\r\n\r\n"s,
                                   "\rX0\r\n\r\n"s,
                                   "\r\n\r\n0\r\n\r\n"s,
                                   "\r\n0\n\n"s,
                                   "\r\n0\r\n\rX"s,
                                   "\r\n0\rX\r\n"s,
                                   "\r\n0 x\r\n\r\n"s}) {
        add(first + end);
    }
    for (const std::string &trailer :
         {"X Y: 1"s, "X-Y : 1"s, " X-Y: 1"s, "\tX-Y: 1"s, "X\x01Y: 1"s, "X\x7fY: 1"s, ": 1"s, "X(Y): 1"s, "no colon"s, "X-Y: 1\rX-Z: 2"s, "X-Y: a\0b"s}) {
        std::string body = chunks;
        add(body.append(trailer).append("\r\n\r\n"));
    }
    return responses;
}

/// Returns the broken responses of all kinds.
inline std::vector<BrokenResponse> brokenResponses(const std::string &fields)
{
    std::vector<BrokenResponse> responses = brokenStatusLines(fields);
    for (const auto &more : {brokenFieldLines(fields), brokenLengths(fields), brokenChunks(fields)}) {
        responses.insert(responses.end(), more.begin(), more.end());
    }
    return responses;
}
}
