#include <boost/test/unit_test.hpp>

#include "mesh/framelink.h"
#include "mesh/framepieces.h"

#include <rapidcheck.h>
#include <set>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr TimeMs testTimeoutMs = 10'000;

std::vector<FrameType> typesOf(FrameSplitter &splitter)
{
    std::vector<FrameType> types;
    while (!splitter.isEmpty()) {
        types.push_back(splitter.next().type);
    }
    return types;
}
}

// Guards against a short call that waits until a large response on its link was sent, and against a large response that is
// corrupted by the frames between its pieces.
BOOST_AUTO_TEST_CASE(shortFrameOvertakesALargeOne)
{
    EventLoop loop;
    std::shared_ptr<FrameLink> accepted;
    std::vector<std::string> received;
    TcpListener listener(loop, [&](std::shared_ptr<TcpStream> stream) {
        accepted = FrameLink::open(std::move(stream), loop.clock());
        accepted->onFrame = [&](FrameType, std::string_view payload) {
            received.emplace_back(payload);
            if (received.size() == 3) {
                loop.stop();
            }
        };
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    const auto link = FrameLink::open(TcpStream::connect(loop, listener.address(), {}), loop.clock());
    std::size_t sentBytes = 0;
    link->onSent = [&](FrameType, std::size_t bytes) {
        sentBytes += bytes;
    };
    std::string large(24U << 20U, 'x');
    for (std::size_t i = 0; i < large.size(); i += 1'000) {
        large[i] = static_cast<char>(i / 1'000);
    }
    const std::string medium(500'000, 'm');
    link->send(FrameType::Reply, large);
    link->send(FrameType::Reply, medium);
    BOOST_TEST(link->unsent() >= large.size() + medium.size());
    BOOST_TEST(link->heldBytes() >= large.size() + medium.size());
    link->send(FrameType::Reply, "short");
    loop.after(testTimeoutMs, [&] {
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[0] == "short");
    BOOST_TEST((received[1] == medium));
    BOOST_TEST((received[2] == large));
    BOOST_TEST(link->unsent() == 0U);
    BOOST_TEST(link->heldBytes() == 0U);
    BOOST_TEST(accepted->heldBytes() == 0U);
    // The pieces add a few bytes each.
    BOOST_TEST(sentBytes > large.size() + medium.size());
    BOOST_TEST(sentBytes < (large.size() + medium.size()) / 1'000 * 1'001);
}

// Guards against a reply of a leader, an entry of the replicated log or a cancellation that overtakes a frame it follows.
BOOST_AUTO_TEST_CASE(framesOfOneSequenceKeepTheirOrder)
{
    using enum FrameType;
    const std::string large(2 * framePieceBytes, 'x');
    FrameSplitter splitter;
    splitter.add(SyncReply, large);
    BOOST_TEST(splitter.mustQueue(SyncReply, 1));
    BOOST_TEST(splitter.mustQueue(TokenGrant, 1));
    BOOST_TEST(!splitter.mustQueue(Sync, 1));
    BOOST_TEST(!splitter.mustQueue(Reply, 1));
    BOOST_TEST(!splitter.mustQueue(Cancel, 1));
    splitter.add(TokenGrant, "grant");
    splitter.add(Call, large);
    BOOST_TEST(splitter.mustQueue(Cancel, 1));
    BOOST_TEST(!splitter.mustQueue(Call, 1));
    splitter.add(Cancel, "cancel");
    splitter.add(ConsensusRequest, large);
    splitter.add(ConsensusRequest, large);
    BOOST_TEST((typesOf(splitter)
                == std::vector{SyncReply, Call, ConsensusRequest, SyncReply, Call, ConsensusRequest, TokenGrant, Cancel, ConsensusRequest, ConsensusRequest}));
    BOOST_TEST(splitter.unsent() == 0U);
    BOOST_TEST(splitter.heldBytes() == 0U);
}

// Guards against a receiver that holds many large frames at once, and against medium frames that wait for a large one.
BOOST_AUTO_TEST_CASE(framesInTransferAreBounded)
{
    constexpr std::size_t mb = 1U << 20U;
    TransferBudget budget;
    BOOST_TEST(budget.fits(maxFrameBytes));
    budget.add(maxFrameBytes);
    BOOST_TEST(budget.fits(8 * mb));
    BOOST_TEST(!budget.fits(9 * mb));
    BOOST_TEST(!budget.fits(maxFrameBytes));
    budget.add(8 * mb);
    BOOST_TEST(!budget.fits(2 * mb));
    BOOST_TEST(budget.fits(mb));
    for (int i = 0; i < 9; ++i) {
        budget.add(mb);
    }
    BOOST_TEST(!budget.fits(40'000));
    budget.remove(mb);
    BOOST_TEST(budget.fits(mb));
    budget.remove(maxFrameBytes);
    BOOST_TEST(budget.fits(maxFrameBytes));
}

// Guards against joining pieces that do not belong together, and against a peer that announces more than the budget.
BOOST_AUTO_TEST_CASE(malformedPiecesAreRefused)
{
    const std::string piece(framePieceBytes, 'x');
    const auto isRefused = [&](FrameType type, std::uint32_t frameId, std::size_t remaining, std::string_view content) {
        FrameAssembler assembler;
        std::optional<std::string> payload;
        BOOST_REQUIRE(assembler.add(FrameType::Call, 1, 3 * framePieceBytes, piece, payload));
        return !assembler.add(type, frameId, remaining, content, payload);
    };
    BOOST_TEST(!isRefused(FrameType::Call, 1, 2 * framePieceBytes, piece));
    BOOST_TEST(isRefused(FrameType::Reply, 1, 2 * framePieceBytes, piece));
    BOOST_TEST(isRefused(FrameType::Call, 1, 3 * framePieceBytes, piece));
    BOOST_TEST(isRefused(FrameType::Call, 1, 2 * framePieceBytes, {}));
    BOOST_TEST(isRefused(FrameType::Call, 1, 2 * framePieceBytes, piece + "x"));
    BOOST_TEST(isRefused(FrameType::Call, 2, 1, "xx"));
    BOOST_TEST(isRefused(FrameType::Call, 2, maxFrameBytes + 1, piece));
    FrameAssembler assembler;
    std::optional<std::string> payload;
    BOOST_TEST(assembler.add(FrameType::Call, 1, maxFrameBytes, piece, payload));
    BOOST_TEST(!assembler.add(FrameType::Call, 2, maxFrameBytes, piece, payload));
}

// Guards against frames that are lost, joined or never sent, and against a sender that exceeds the budget of the receiver.
BOOST_AUTO_TEST_CASE(everyFrameArrivesWhole, *boost::unit_test::label("property"))
{
    BOOST_TEST(rc::check([] {
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::oneOf(rc::gen::inRange<std::size_t>(framePieceBytes, 4 * framePieceBytes), rc::gen::inRange<std::size_t>(1U << 19U, 5U << 20U)));
        FrameSplitter splitter;
        FrameAssembler assembler;
        std::multiset<std::pair<std::size_t, char>> expected;
        std::multiset<std::pair<std::size_t, char>> received;
        const auto transfer = [&] {
            const FrameSplitter::Piece piece = splitter.next();
            std::optional<std::string> payload;
            if (piece.isWhole) {
                payload = std::string(piece.content);
            } else {
                RC_ASSERT(assembler.add(piece.type, piece.frameId, piece.remaining, piece.content, payload));
            }
            RC_ASSERT(payload.has_value() == piece.isLast);
            if (payload) {
                RC_ASSERT(payload->find_first_not_of(payload->front()) == std::string::npos);
                received.emplace(payload->size(), payload->front());
            }
        };
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            const auto mark = static_cast<char>('a' + i % 26);
            const bool ordered = *rc::gen::arbitrary<bool>();
            splitter.add(ordered ? FrameType::Sync : FrameType::Reply, std::string(sizes[i], mark));
            expected.emplace(sizes[i], mark);
            for (std::size_t j = 0; j < 3 && !splitter.isEmpty(); ++j) {
                transfer();
            }
        }
        while (!splitter.isEmpty()) {
            transfer();
        }
        RC_ASSERT(received == expected);
        RC_ASSERT(splitter.unsent() == 0U && splitter.heldBytes() == 0U && assembler.heldBytes() == 0U);
    }));
}
