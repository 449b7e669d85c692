#include <boost/test/unit_test.hpp>

#include "../support/brokenresponses.h"
#include "net/httpreader.h"

#include <functional>
#include <utility>

using namespace Yuccagrade;
using namespace std::string_literals;

namespace
{
// Reads a response in pieces of @p pieceBytes, the first one of @p firstBytes. Interim responses are skipped.
HttpReader::State stateAfter(HttpReader &reader, std::string_view bytes, std::size_t firstBytes, std::size_t pieceBytes)
{
    while (!bytes.empty()) {
        std::string_view piece = bytes.substr(0, std::exchange(firstBytes, pieceBytes));
        bytes.remove_prefix(piece.size());
        while (!piece.empty()) {
            const std::size_t used = reader.read(piece);
            piece.remove_prefix(used);
            if (reader.state() == HttpReader::State::Complete && reader.message().status / 100 == 1) {
                reader.take();
            } else if (used == 0) {
                return reader.state();
            }
        }
    }
    return reader.state();
}

// Calls a function with a first size and a size of the further pieces, for each cut into two pieces and for single bytes.
void forAllPieces(std::string_view bytes, const std::function<void(std::size_t firstBytes, std::size_t pieceBytes)> &run)
{
    for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
        run(cut, bytes.size());
    }
    run(1, 1);
}
}

// Guards against a broken response that is read as whole, also if it arrives in pieces.
BOOST_AUTO_TEST_CASE(brokenResponsesAreMalformedInAnyPieces)
{
    for (const Test::BrokenResponse &response : Test::brokenResponses("X-A: b\r\n")) {
        forAllPieces(response.bytes, [&](std::size_t firstBytes, std::size_t pieceBytes) {
            HttpReader reader(HttpReader::Kind::Response);
            const HttpReader::State state = stateAfter(reader, response.bytes, firstBytes, pieceBytes);
            BOOST_TEST((state == HttpReader::State::Malformed), response.name << ", first piece of " << firstBytes << " bytes");
            BOOST_TEST(!reader.defect().empty());
        });
    }
}

// Guards against refusing what RFC 9110 and RFC 9112 allow, or let a reader accept, because of the pieces in which it arrives.
BOOST_AUTO_TEST_CASE(validResponsesAreWholeInAnyPieces)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "5\r\nwhole\r\n";
    for (const std::string &response : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1  200  OK\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 200 \xc3\xa4 \t!\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.0 404 X\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole"s,
                                        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"s,
                                        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \t(any), \xe4 \t\r\nX-Empty:\r\nContent-Length:\t5\t\r\n\r\nwhole"s,
                                        chunked + chunk + "0\r\n\r\n",
                                        chunked + "2\r\nwh\r\n003\r\nole\r\n000\r\n\r\n",
                                        chunked + "5;a=b;c=\"d e\"\r\nwhole\r\n0;a\r\n\r\n",
                                        chunked + "5 \t; a = b\r\nwhole\r\n0 ;a\r\n\r\n",
                                        chunked + chunk + "0\r\nX-A: 1\r\nX-B: 2\r\n folded\r\n\tfolded: 3\r\nX-C:\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\ntransfer-encoding: \tChunked \r\n\r\n" + chunk + "0\r\n\r\n"}) {
        forAllPieces(response, [&](std::size_t firstBytes, std::size_t pieceBytes) {
            HttpReader reader(HttpReader::Kind::Response);
            const HttpReader::State state = stateAfter(reader, response, firstBytes, pieceBytes);
            BOOST_TEST((state == HttpReader::State::Complete), response << ", first piece of " << firstBytes << " bytes: " << reader.defect());
            BOOST_TEST(reader.message().body == "whole");
        });
    }
    const std::string largeChunk = "ABC\r\n" + std::string(0xabc, 'x') + "\r\n";
    HttpReader reader(HttpReader::Kind::Response);
    BOOST_TEST((stateAfter(reader, chunked + largeChunk + largeChunk + "0\r\n\r\n", 1'000, 1'000) == HttpReader::State::Complete));
    BOOST_TEST(reader.message().body.size() == 2 * 0xabcU);
}

// Guards against refusing a response without a body because of a transfer coding, which says nothing about its length there.
BOOST_AUTO_TEST_CASE(codingOfABodylessResponseIsIgnored)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        HttpReader reader(HttpReader::Kind::Response);
        reader.read("HTTP/1.1 " + status + "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
        BOOST_TEST((reader.state() == HttpReader::State::Complete), status);
    }
    HttpReader reader(HttpReader::Kind::Response);
    reader.expectNoBody(true);
    reader.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    BOOST_TEST((reader.state() == HttpReader::State::Complete));
}
