#include <boost/test/unit_test.hpp>

#include "mesh/allowedregions.h"
#include "mesh/fleetconfig.h"
#include "mesh/framelink.h"
#include "mesh/memoryguard.h"
#include "mesh/meshsettings.h"
#include "mesh/messages.h"
#include "mesh/portlimits.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <rapidcheck.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
namespace utf = boost::unit_test;

namespace
{
FleetConfig twoRoutes()
{
    FleetConfig config;
    config.services = {{"stock", "/health", 10}, {"orders", "/health", 10}};
    Route shortRoute{.name = "short", .host = "a.example", .prefix = "/x/", .timeoutMs = 1'000, .latencyGoalMs = 500, .services = {{"stock", 1}}};
    Route longRoute = shortRoute;
    longRoute.name = "long";
    longRoute.prefix = "/x/y/";
    config.routes = {shortRoute, longRoute};
    config.teams = {{"red", {"key-1", "key-2"}, std::nullopt, 10, 10}};
    return config;
}

std::size_t findingsOf(FleetConfig config)
{
    Findings findings;
    config.index(findings);
    return findings.size();
}
}

// Guards against routing a request by a shorter prefix than the longest match, or by the routes of another host.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    FleetConfig config = twoRoutes();
    Findings findings;
    config.index(findings);
    BOOST_REQUIRE(findings.empty());
    BOOST_TEST(config.route("a.example", "/x/y/z")->name == "long");
    BOOST_TEST(config.route("A.example:8080", "/x/z")->name == "short");
    BOOST_TEST(!config.route("b.example", "/x/z"));
    BOOST_TEST(!config.route("a.example", "/x"));
    BOOST_TEST(config.teamOfKey("key-2")->name == "red");
    BOOST_TEST(!config.teamOfKey("key-3"));
}

// Guards against 404 for a host that is written in another way than in the configuration.
BOOST_AUTO_TEST_CASE(hostMatchesInEveryForm)
{
    const auto routeName = [](const std::string &configured, const std::string &asked) {
        FleetConfig config = twoRoutes();
        config.routes[0].host = configured;
        Findings findings;
        config.index(findings);
        BOOST_REQUIRE(findings.empty());
        const Route *route = config.route(asked, "/x/z");
        return route ? route->name : std::string();
    };
    for (const auto &[configured, asked] : std::vector<std::pair<std::string, std::string>>{{"b.example", "B.Example"},
                                                                                            {"b.example", "b.example."},
                                                                                            {"b.example", "b.example.:8080"},
                                                                                            {"b.example", "b.example:"},
                                                                                            {"b.example.", "b.example"},
                                                                                            {"b.example.", "b.example.:80"},
                                                                                            {"b.example:8080", "b.example:8080"},
                                                                                            {"B.example:8080", "b.EXAMPLE.:8080"},
                                                                                            {"b.example:80", "b.example"},
                                                                                            {"[::1]", "[::1]:8080"},
                                                                                            {"[::1]:8080", "[::1]:8080"}}) {
        BOOST_TEST(routeName(configured, asked) == "short", configured << " asked as " << asked);
    }
    for (const auto &[configured, asked] : std::vector<std::pair<std::string, std::string>>{{"b.example:8080", "b.example"},
                                                                                            {"b.example:8080", "b.example:80"},
                                                                                            {"b.example", "b.example.."},
                                                                                            {"b.example", ""},
                                                                                            {"[::1]", "[::2]"},
                                                                                            {"[::1]", "[:"}}) {
        BOOST_TEST(routeName(configured, asked).empty(), configured << " asked as " << asked);
    }
}

// Guards against routes of a host with a port that hide those of the host alone.
BOOST_AUTO_TEST_CASE(hostWithPortFallsBackToTheHostAlone)
{
    FleetConfig config = twoRoutes();
    config.routes[1].host = "a.example:8080";
    Findings findings;
    config.index(findings);
    BOOST_REQUIRE(findings.empty());
    BOOST_TEST(config.route("a.example:8080", "/x/y/z")->name == "long");
    BOOST_TEST(config.route("a.example:8080", "/x/z")->name == "short");
    BOOST_TEST(config.route("a.example:81", "/x/y/z")->name == "short");
}

// Guards against accepting an inconsistent configuration.
BOOST_AUTO_TEST_CASE(contradictionsAreFound)
{
    BOOST_TEST(findingsOf(twoRoutes()) == 0U);
    FleetConfig config = twoRoutes();
    config.routes[1].prefix = "/x/";
    BOOST_TEST(findingsOf(config) == 1U);
    config = twoRoutes();
    config.routes[0].services = {{"unknown", 1}};
    BOOST_TEST(findingsOf(config) == 1U);
    config = twoRoutes();
    config.routes[0].services = {{"stock", 0}, {"orders", 0}};
    BOOST_TEST(findingsOf(config) == 1U);
    config = twoRoutes();
    config.routes[0].timeoutMs = 0;
    BOOST_TEST(findingsOf(config) == 1U);
    config = twoRoutes();
    config.routes[0].latencyGoalMs = 61'000;
    BOOST_TEST(findingsOf(config) == 1U);
    config = twoRoutes();
    config.teams.push_back({"blue", {"key-1"}, std::nullopt, 0, 0});
    BOOST_TEST(findingsOf(config) == 1U);
}

// Guards against encoding and decoding the fields in different order.
BOOST_AUTO_TEST_CASE(messagesSurviveTheWire)
{
    SyncReplyMessage reply;
    reply.sequence = 7;
    reply.leads = true;
    reply.majorityContactAgeMs = 12.5;
    reply.document = "{}";
    const DirectoryMessage directory{{{"i-1", "stock", "north", "10.0.0.1:7000", UpstreamState::Draining, 19, 1'500}}};
    reply.directory = encode(directory);
    reply.shares = {{"red", 0.25, 3}};
    reply.levels = {{"stock", 1.5}};
    SyncReplyMessage read;
    BOOST_REQUIRE(decode(encode(reply), read));
    BOOST_TEST(read.sequence == 7U);
    BOOST_TEST(read.leads);
    BOOST_TEST(read.majorityContactAgeMs == 12.5);
    DirectoryMessage readDirectory;
    BOOST_REQUIRE(decode(read.directory, readDirectory));
    BOOST_TEST((readDirectory.upstreams == directory.upstreams));
    BOOST_TEST(read.shares.front().tokens == 3);
    BOOST_TEST(read.levels.front().level == 1.5);
    CallMessage call;
    call.callId = 9;
    call.body = std::string("a\0b", 3);
    call.nested = true;
    CallMessage readCall;
    BOOST_REQUIRE(decode(encode(call), readCall));
    BOOST_TEST(readCall.body == call.body);
    BOOST_TEST(readCall.nested);
}

// Guards against a crash on forged or truncated messages of a peer.
BOOST_AUTO_TEST_CASE(decodersAcceptArbitraryBytes, *utf::label("property"))
{
    BOOST_TEST(rc::check("decoding random bytes does not throw, and decoding a truncated message fails", [](const std::string &bytes, unsigned cutAt) {
        CallMessage call;
        SyncMessage sync;
        SyncReplyMessage reply;
        decode(bytes, call);
        decode(bytes, sync);
        decode(bytes, reply);
        ReplyMessage whole;
        whole.body = bytes;
        const std::string text = encode(whole);
        ReplyMessage cut;
        RC_ASSERT(!decode(text.substr(0, cutAt % text.size()), cut));
    }));
}

// Guards against accepting an enum value that has no name.
BOOST_AUTO_TEST_CASE(unknownEnumeratorsAreRefused)
{
    ReplyMessage reply;
    reply.outcome = static_cast<CallOutcome>(17);
    ReplyMessage read;
    BOOST_TEST(!decode(encode(reply), read));
}

// Guards against losing or joining frames that span several reads, and against accepting a frame with a forged length.
BOOST_AUTO_TEST_CASE(framesArriveWholeAndOversizedOnesCloseTheLink)
{
    EventLoop loop;
    std::shared_ptr<FrameLink> accepted;
    std::vector<std::string> received;
    bool closed = false;
    TcpListener listener(loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted = FrameLink::open(std::move(stream), loop.clock());
        accepted->onFrame = [&](FrameType, std::string_view payload) {
            received.emplace_back(payload);
        };
        accepted->onClosed = [&] {
            closed = true;
            loop.stop();
        };
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    const auto stream = TcpStream::connect(loop, listener.address(), {});
    const auto link = FrameLink::open(stream, loop.clock());
    const std::string large(300'000, 'x');
    // Reports keep their order; a short call would overtake the large one.
    link->send(FrameType::Sync, "one");
    link->send(FrameType::Sync, large);
    link->send(FrameType::Sync, {});
    loop.after(300, [&] {
        stream->write(std::string("\xff\xff\xff\xff\x01", 5));
    });
    loop.after(5'000, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[0] == "one");
    BOOST_TEST((received[1] == large));
    BOOST_TEST(received[2].empty());
    BOOST_TEST(closed);
}

// Guards against corruption of compressed frames, in either direction.
BOOST_AUTO_TEST_CASE(compressedFramesArriveUnchanged)
{
    EventLoop loop;
    std::shared_ptr<FrameLink> accepted;
    std::uint64_t sentBack = 0;
    TcpListener listener(loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted = FrameLink::open(std::move(stream), loop.clock());
        accepted->onFrame = [&](FrameType type, std::string_view payload) {
            accepted->send(type, payload);
        };
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    const auto stream = TcpStream::connect(loop, listener.address(), {});
    const auto link = FrameLink::open(stream, loop.clock());
    link->startCompressing();
    std::vector<std::string> sent;
    std::size_t sentBytes = 0;
    for (int i = 0; i < 200; ++i) {
        sent.push_back("GET /stock/" + std::to_string(i) + std::string(300, 'h') + (i % 50 == 0 ? std::string(40'000, 'b') : std::string()));
        sentBytes += sent.back().size();
    }
    std::vector<std::string> received;
    link->onFrame = [&](FrameType type, std::string_view payload) {
        BOOST_TEST((type == FrameType::ConsensusRequest));
        received.emplace_back(payload);
        if (received.size() == sent.size()) {
            sentBack = stream->sent();
            loop.stop();
        }
    };
    for (const std::string &text : sent) {
        link->send(FrameType::ConsensusRequest, text);
    }
    loop.after(5'000, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_TEST((received == sent));
    // Frames above the size limit are sent uncompressed; the small ones must shrink to less than a fifth.
    constexpr std::size_t largeFrames = 4;
    BOOST_TEST(sentBack < largeFrames * 41'000 + (sentBytes - largeFrames * 40'000) / 5);
}

// Guards against counting calls as sent although the connection was never established.
BOOST_AUTO_TEST_CASE(linkThatWasNeverEstablishedIsToldApart)
{
    EventLoop loop;
    LinkPool pool(loop, {});
    bool connected = true;
    pool.onFrame = [](const std::string &, FrameType, std::string_view) {};
    pool.isBusy = [](const std::string &) {
        return true;
    };
    pool.onClosed = [&](const std::string &, bool was) {
        connected = was;
        loop.stop();
    };
    const std::string closedAddress = "127.0.0.1:1";
    BOOST_REQUIRE(pool.link(closedAddress));
    loop.after(5'000, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_TEST(!connected);
    BOOST_TEST(pool.isFailing(closedAddress));
    BOOST_TEST(!pool.link(closedAddress));
}

// Guards against keeping the link to an unresponsive peer because all calls to it end before the link times out.
BOOST_AUTO_TEST_CASE(silentPeerIsGivenUpAfterItsCallsEnded)
{
    EventLoop loop;
    std::shared_ptr<TcpStream> accepted;
    TcpListener silent(loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted = std::move(stream);
    });
    BOOST_REQUIRE(!silent.listen("127.0.0.1:0"));
    LinkPool pool(loop, {});
    bool busy = true;
    bool closed = false;
    pool.onFrame = [](const std::string &, FrameType, std::string_view) {};
    pool.isBusy = [&](const std::string &) {
        return busy;
    };
    pool.onClosed = [&](const std::string &, bool) {
        closed = true;
        loop.stop();
    };
    BOOST_REQUIRE(pool.link(silent.address()));
    loop.after(600, [&] {
        busy = false;
        BOOST_TEST(pool.isFailing(silent.address()));
    });
    loop.after(800, [&] {
        BOOST_TEST(pool.isFailing(silent.address()));
    });
    loop.after(5'000, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_TEST(closed);
}

// Guards against giving up a peer that is still reading a large frame, and so reads the ping behind it late.
BOOST_AUTO_TEST_CASE(peerThatReadsALargeFrameIsNotGivenUp)
{
    constexpr std::size_t payloadBytes = 30U << 20U;
    constexpr std::size_t pieceOverheadBytes = 13;
    constexpr std::size_t frameBytes = payloadBytes + payloadBytes / framePieceBytes * pieceOverheadBytes;
    constexpr TimeMs readPeriodMs = 5;
    EventLoop loop;
    std::shared_ptr<TcpStream> accepted;
    std::size_t received = 0;
    TcpListener slow(loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted = std::move(stream);
        accepted->onData = [&](std::string_view data) {
            received += data.size();
            accepted->pauseReading(received < frameBytes / 2);
            if (received >= frameBytes) {
                loop.stop();
            }
        };
    });
    BOOST_REQUIRE(!slow.listen("127.0.0.1:0"));
    LinkPool pool(loop, {});
    pool.onFrame = [](const std::string &, FrameType, std::string_view) {};
    pool.isBusy = [](const std::string &) {
        return true;
    };
    bool closed = false;
    pool.onClosed = [&](const std::string &, bool) {
        closed = true;
        loop.stop();
    };
    FrameLink *link = pool.link(slow.address());
    BOOST_REQUIRE(link);
    link->send(FrameType::Call, std::string(payloadBytes, 'x'));
    loop.every(readPeriodMs, [&] {
        if (accepted) {
            accepted->pauseReading(false);
        }
    });
    loop.after(15'000, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_TEST(!closed);
    BOOST_TEST(received >= frameBytes);
}

// Guards against a process that ends since the sum of what it holds exceeds its memory, though each part is bounded.
BOOST_AUTO_TEST_CASE(sumOfHeldMemoryIsBounded)
{
    EventLoop loop;
    EventLog log(loop.clock(), "test", "-", Severity::Error);
    Metrics metrics;
    std::vector<std::size_t> responses{30, 5};
    std::vector<std::size_t> requests{20, 20, 1};
    const auto use = [](const std::string &name, std::vector<std::size_t> &parts) {
        return MemoryUse{name,
                         [&parts] {
                             return std::accumulate(parts.begin(), parts.end(), std::size_t(0));
                         },
                         [&parts] {
                             const auto largest = std::max_element(parts.begin(), parts.end());
                             const bool released = largest != parts.end();
                             if (released) {
                                 parts.erase(largest);
                             }
                             return released;
                         }};
    };
    MemoryGuard guard(loop, log, metrics, 50);
    guard.add(use("responses", responses));
    guard.add(use("requests", requests));
    guard.check();
    BOOST_TEST(responses.size() == 1U);
    BOOST_TEST(requests.size() == 2U);
    // What cannot be given up counts too, and does not keep the check busy.
    guard.add({"calls",
               [] {
                   return std::size_t(60);
               },
               nullptr});
    guard.check();
    BOOST_TEST(responses.empty());
    BOOST_TEST(requests.empty());
    BOOST_TEST(metrics.value("memory_released_total", "use=\"requests\"") == 3);
}

// Guards against holding replies without bound for a process that sends calls and reads nothing.
BOOST_AUTO_TEST_CASE(linkOfAPeerThatDoesNotReadIsClosed)
{
    EventLoop loop;
    std::vector<std::shared_ptr<FrameLink>> links;
    TcpListener listener(loop, [&](std::shared_ptr<TcpStream> stream) {
        links.push_back(FrameLink::open(std::move(stream), loop.clock()));
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    std::vector<std::shared_ptr<TcpStream>> peers;
    for (int i = 0; i < 3; ++i) {
        peers.push_back(TcpStream::connect(loop, listener.address(), {}));
        peers.back()->pauseReading(i > 0);
    }
    EventLog log(loop.clock(), "test", "-", Severity::Error);
    Metrics metrics;
    constexpr std::size_t limitBytes = 40U << 20U;
    MemoryGuard guard(loop, log, metrics, limitBytes);
    guard.add({"peers",
               [&] {
                   return heldByLinks(links);
               },
               [&] {
                   return closeLargestLink(links);
               }});
    std::size_t peak = 0;
    loop.every(10, [&] {
        for (const auto &link : links) {
            link->send(FrameType::Reply, std::string(1U << 20U, 'x'));
        }
        peak = std::max(peak, heldByLinks(links));
    });
    loop.after(1'500, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(links.size() == 3U);
    BOOST_TEST(peak < 2 * limitBytes);
    // The sound peer keeps its link.
    BOOST_TEST(std::count_if(links.begin(),
                             links.end(),
                             [](const auto &link) {
                                 return link->isOpen();
                             })
               >= 1);
}

// Guards against ports that together take all descriptors, and against limits that ordinary callers reach.
BOOST_AUTO_TEST_CASE(portLimitsLeaveDescriptorsToTheProcess)
{
    for (const std::size_t descriptors : {256U, 1'024U, 65'536U}) {
        const PortLimits node = portLimits(HostRole::Node, descriptors, 64'000'000);
        BOOST_TEST(node.callers + 3 * node.small + node.peers <= descriptors / 8 * 7);
        BOOST_TEST(node.callers >= descriptors / 8 * 3 / (descriptors > 10'000 ? 8 : 1));
        const PortLimits control = portLimits(HostRole::Control, descriptors, 64'000'000);
        BOOST_TEST(control.callers + control.small + control.peers <= descriptors / 8 * 7);
    }
}

// Guards against bytes beyond the limit that arrive between two periodic checks.
BOOST_AUTO_TEST_CASE(memoryGuardChecksAfterReceivedBytes)
{
    constexpr std::size_t limitBytes = 6'400;
    EventLoop loop;
    EventLog log(loop.clock(), "test", "-", Severity::Error);
    Metrics metrics;
    MemoryGuard guard(loop, log, metrics, limitBytes);
    std::size_t held = 2 * limitBytes;
    guard.add({"requests",
               [&] {
                   return held;
               },
               [&] {
                   held = 0;
                   return true;
               }});
    loop.countReceived(limitBytes / 64 - 1);
    BOOST_TEST(held > 0U);
    loop.countReceived(1);
    BOOST_TEST(held == 0U);
}

// Guards against requests that are accepted one after the other between two checks although only one fits.
BOOST_AUTO_TEST_CASE(memoryGuardCountsAcceptedRequests)
{
    EventLoop loop;
    EventLog log(loop.clock(), "test", "-", Severity::Error);
    Metrics metrics;
    MemoryGuard guard(loop, log, metrics, 100);
    std::size_t held = 0;
    guard.add({"requests",
               [&] {
                   return held;
               },
               nullptr});
    held = 60;
    BOOST_TEST(guard.hasRoomFor(60));
    held = 120;
    BOOST_TEST(!guard.hasRoomFor(60));
    // A large request is counted as a part of what is held and not once more.
    held = 90;
    guard.check();
    BOOST_TEST(guard.hasRoomFor(90));
}

// Guards against a settings page that differs from the options that the program accepts.
BOOST_AUTO_TEST_CASE(settingsPageMatchesTheTable)
{
    std::ifstream page(std::string(YUCCAGRADE_SOURCE_FOLDER) + "/docs/MANIFEST.md");
    const std::string text{std::istreambuf_iterator<char>(page), {}};
    BOOST_TEST(text.find(markdownRows(meshSettingsFormat())) != std::string::npos);
}

// Guards against starting with incomplete settings for the role or with invalid values.
BOOST_AUTO_TEST_CASE(settingsAreCheckedWithAllFindings)
{
    Findings findings;
    const std::string common = "name = n1\ndomain = north\nhost = 10.0.0.1\npeer-port = 7000\nseeds = 10.0.0.9:8500,10.0.0.8:8500\n";
    const MeshSettings node = parseMeshSettings("role = node\n" + common
                                                    + "caller-address = 10.0.0.1:80\nreadiness-address = 10.0.0.1:81\n"
                                                      "announcement-address = 10.0.0.1:82\nservice = stock\nwithdrawal-s = 2.5\n"
                                                      "regions = north=nordic,south=alps\nregions = east=EU / Nordic\nregions = west=\n",
                                                "f", findings);
    BOOST_REQUIRE(findings.empty());
    BOOST_TEST(node.seeds.at(1) == "10.0.0.8:7000");
    BOOST_TEST(node.fleetLimits.withdrawalMs == 2'500);
    BOOST_TEST((node.regionOfDomain == RegionOfDomain{{"east", "EU / Nordic"}, {"north", "nordic"}, {"south", "alps"}}));
    parseMeshSettings("role = control\n" + common, "f", findings);
    BOOST_TEST(findings.size() == 2U);
    findings.clear();
    parseMeshSettings("role = node\nname = n1\nunknown = 1\nretry-ratio = 7\nregions = north\n", "f", findings);
    BOOST_TEST(findings.size() >= 7U);
}
