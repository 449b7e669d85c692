#include <boost/test/unit_test.hpp>

#include "base/errc.h"
#include "meshcontrol/controlgroup.h"
#include "support/testfolder.h"

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <set>
#include <vector>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
constexpr TimeMs testBoundMs = 15'000;
constexpr TimeMs reportPeriodMs = 100;

// A control host inside the test process: group, links and listener.
struct Host {
    Host(EventLoop &eventLoop, EventLog &log, MeshSettings hostSettings)
        : settings(std::move(hostSettings))
        , loop(eventLoop)
        , links(eventLoop, "127.0.0.1")
        , group(eventLoop, links, log, settings, {[this](const char *, const std::string &) {
                    return isDiskFull ? std::error_code(Errc::StorageFailed) : std::error_code();
                }})
        , listener(eventLoop, [this](std::shared_ptr<TcpStream> stream) {
            const auto link = FrameLink::open(std::move(stream), loop.clock());
            link->onFrame = [this, raw = link.get()](FrameType type, std::string_view payload) {
                serve(*raw, type, payload);
            };
            accepted.push_back(link);
        })
    {
        group.onApply = [this](std::uint64_t, const Json::Value &command) {
            if (command.isString()) {
                applied.insert(command.asString());
            }
        };
        group.onRestore = [](std::uint64_t, const std::string &) {};
        group.saveState = [] {
            return std::string();
        };
        group.onLeadership = [](bool) {};
        group.onReopen = [this] {
            applied.clear();
        };
        links.onFrame = [this](const std::string &, FrameType, std::string_view payload) {
            ConsensusMessage response;
            if (decode(payload, response)) {
                group.received(response);
            }
        };
        links.onClosed = [this](const std::string &address, bool) {
            group.linkClosed(address);
        };
        links.isBusy = [this](const std::string &address) {
            return group.expectsReply(address);
        };
    }
    ~Host()
    {
        for (const auto &link : accepted) {
            link->close();
        }
    }
    void serve(FrameLink &link, FrameType type, std::string_view payload)
    {
        ConsensusMessage request;
        ConsensusMessage response;
        if (type == FrameType::ConsensusRequest && decode(payload, request) && group.serve(request, response)) {
            link.send(FrameType::ConsensusResponse, encode(response));
        }
    }

    MeshSettings settings;
    bool isDiskFull = false;
    EventLoop &loop;
    LinkPool links;
    ControlGroup group;
    TcpListener listener;
    std::vector<std::shared_ptr<FrameLink>> accepted;
    std::set<std::string> applied;
};

// Runs up to four hosts. runUntil() passes their reports on directly instead of by frames.
struct Fleet {
    Fleet()
        : log(loop.clock(), "test", "-", Severity::Error)
    {
        for (int i = 0; i < 4; ++i) {
            TcpListener probe(loop, {});
            BOOST_REQUIRE(!probe.listen("127.0.0.1:0"));
            addresses.push_back(probe.address());
        }
    }
    ~Fleet()
    {
        hosts.clear();
    }
    Host &start(int index, bool bootstrap, bool isDiskFull = false)
    {
        MeshSettings settings;
        settings.role = HostRole::Control;
        settings.name = "c" + std::to_string(index);
        settings.peerAddress = addresses[static_cast<std::size_t>(index)];
        settings.seeds = {addresses[0], addresses[1], addresses[2]};
        settings.dataFolder = folder.path() + "/c" + std::to_string(index);
        settings.bootstrapGroup = bootstrap;
        settings.fleetLimits.toleratedHosts = 1;
        auto host = std::make_unique<Host>(loop, log, settings);
        host->isDiskFull = isDiskFull;
        BOOST_REQUIRE(!host->listener.listen(settings.peerAddress));
        BOOST_REQUIRE(host->group.open());
        hosts.push_back(std::move(host));
        return *hosts.back();
    }
    Host *leader()
    {
        for (const auto &host : hosts) {
            if (host->group.replica().isReady() && host->group.isCurrent()) {
                return host.get();
            }
        }
        return nullptr;
    }
    void runUntil(const std::function<bool()> &condition)
    {
        bool conditionMet = false;
        const TimerId poll = loop.every(reportPeriodMs, [&] {
            for (const auto &from : hosts) {
                for (const auto &to : hosts) {
                    if (from != to && !from->group.replica().diskId().empty()) {
                        to->group.recordHostReport(from->settings.peerAddress, from->group.replica().diskId());
                    }
                }
            }
            if (condition()) {
                conditionMet = true;
                loop.stop();
            }
        });
        const TimerId guard = loop.after(testBoundMs, [&] {
            loop.stop();
        });
        loop.run();
        loop.cancel(poll);
        loop.cancel(guard);
        BOOST_REQUIRE(conditionMet);
    }
    bool isVoter(Host &host)
    {
        Host *current = leader();
        if (!current) {
            return false;
        }
        const GroupMember *member = findMember(current->group.replica().core()->log().members(), host.settings.peerAddress);
        return member && member->voter && member->diskId == host.group.replica().diskId();
    }

    EventLoop loop;
    EventLog log;
    Test::TestFolder folder;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<Host>> hosts;
};
}

// Guards against a host that is never added to the group again after it lost its disk, and against a membership change that
// reads the member list while it is replaced (std::bad_alloc).
BOOST_AUTO_TEST_CASE(hostWithAnEmptyDiskIsAdmittedAgain)
{
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.start(i, true);
    }
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    fleet.leader()->group.replica().propose(Json::Value("kept"), [](std::error_code, std::uint64_t) {});
    fleet.runUntil([&] {
        return fleet.hosts[0]->applied.contains("kept") && fleet.hosts[1]->applied.contains("kept") && fleet.hosts[2]->applied.contains("kept");
    });
    const std::size_t lost = fleet.hosts[0].get() == fleet.leader() ? 1 : 0;
    const int index = static_cast<int>(lost);
    fleet.hosts.erase(fleet.hosts.begin() + index);
    std::filesystem::remove_all(fleet.folder.path() + "/c" + std::to_string(index));
    Host &back = fleet.start(index, false);
    fleet.runUntil([&] {
        return fleet.isVoter(back) && back.applied.contains("kept");
    });
}

// Guards against a group that stays one voter short although a spare host could replace a permanently lost one.
BOOST_AUTO_TEST_CASE(spareHostReplacesAVoterThatIsGone)
{
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.start(i, true);
    }
    Host &spare = fleet.start(3, true);
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    BOOST_TEST(!fleet.isVoter(spare));
    fleet.hosts.erase(fleet.hosts.begin() + (fleet.hosts[0].get() == fleet.leader() ? 1 : 0));
    fleet.runUntil([&] {
        return fleet.isVoter(spare);
    });
}

// Guards against a lost host that stays a voter after its replacement, so that the next loss leaves no majority.
BOOST_AUTO_TEST_CASE(groupBearsALossAfterEachReplacement)
{
    // A replaced host stops counting as lost after this time.
    constexpr TimeMs catchUpMs = 4'000;
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.start(i, true);
    }
    Host &spare = fleet.start(3, true);
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    const auto followerIndex = [&] {
        return fleet.hosts[0].get() == fleet.leader() || fleet.hosts[0].get() == &spare ? 1 : 0;
    };
    fleet.hosts.erase(fleet.hosts.begin() + followerIndex());
    fleet.runUntil([&] {
        return fleet.isVoter(spare);
    });
    const TimeMs replacedAt = fleet.loop.clock().now();
    fleet.runUntil([&] {
        return fleet.loop.clock().now() - replacedAt >= catchUpMs;
    });
    fleet.hosts.erase(fleet.hosts.begin() + followerIndex());
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    fleet.leader()->group.replica().propose(Json::Value("kept"), [](std::error_code, std::uint64_t) {});
    fleet.runUntil([&] {
        return fleet.hosts[0]->applied.contains("kept") && fleet.hosts[1]->applied.contains("kept");
    });
}

// Guards against a process that ends, or a group that cannot go on, because the disk of the leader is full; and against a
// change that is acknowledged although it was not written.
BOOST_AUTO_TEST_CASE(hostWithAFullDiskLeavesTheLeadAndComesBackWithRoom)
{
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.start(i, true);
    }
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    Host &full = *fleet.leader();
    full.isDiskFull = true;
    std::error_code outcome;
    full.group.replica().propose(Json::Value("refused"), [&outcome](std::error_code error, std::uint64_t) {
        outcome = error;
    });
    BOOST_TEST((outcome == Errc::StorageFailed));
    fleet.runUntil([&] {
        return fleet.leader() != nullptr && fleet.leader() != &full;
    });
    fleet.leader()->group.replica().propose(Json::Value("kept"), [](std::error_code, std::uint64_t) {});
    const auto appliedAtOthers = [&] {
        return std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto &host) {
            return host.get() == &full || host->applied.contains("kept");
        });
    };
    fleet.runUntil(appliedAtOthers);
    BOOST_TEST(!full.applied.contains("kept"));
    full.isDiskFull = false;
    fleet.runUntil([&] {
        return full.applied.contains("kept") && fleet.isVoter(full);
    });
}

// Guards against a process that ends at its start because the disk has no room for its first files.
BOOST_AUTO_TEST_CASE(hostStartsOnceItsDiskHasRoom)
{
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.start(i, true);
    }
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    fleet.hosts.erase(fleet.hosts.begin() + (fleet.hosts[0].get() == fleet.leader() ? 1 : 0));
    Host &full = fleet.start(3, false, true);
    fleet.runUntil([&] {
        return fleet.leader() != nullptr;
    });
    BOOST_TEST(full.group.replica().diskId().empty());
    full.isDiskFull = false;
    fleet.runUntil([&] {
        return fleet.isVoter(full);
    });
}
