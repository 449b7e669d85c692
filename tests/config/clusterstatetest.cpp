#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/errc.h"
#include "config/clusterstate.h"
#include "config/teamkey.h"
#include "protocol/jsoncodec.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
std::string manifestText(int version, const std::string &comment = {})
{
    return "; " + comment + "\n[manifest]\nversion = " + std::to_string(version)
        + "\n[domain d]\nregion = r\n[team a]\nrate = 5\nburst = 5\n[team b]\nrate = 5\nburst = 5\n";
}

GiveKey giveKey(const std::string &submission, const std::string &id, const std::string &team)
{
    return {submission, id, team, "salt", hashKeySecret("salt", "secret-of-" + id)};
}

std::string keyText(const std::string &id)
{
    return toText(TeamKey{id, "secret-of-" + id});
}

SetClaimGroup claimGroup(int number, std::uint64_t epoch, const std::string &suffix)
{
    SetClaimGroup command{number, epoch, {}};
    for (const char *id : {"x", "y", "z"}) {
        command.replicas.push_back({id + suffix, "d", "127.0.0.1:1"});
    }
    return command;
}

struct Fixture {
    ClusterState state;

    ApplyResult apply(const Command &command)
    {
        return state.apply(state.index() + 1, toJson(command));
    }
};

rc::Gen<std::string> shortName(const char *prefix)
{
    return rc::gen::map(rc::gen::inRange(0, 6), [prefix](int number) {
        return prefix + std::to_string(number);
    });
}

// Commands over few names, so that resends, conflicts and withdrawals are frequent.
Command anyCommand()
{
    const std::string submission = *shortName("s");
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return PutManifest{submission, manifestText(*rc::gen::inRange(-1, 9), *rc::gen::arbitrary<std::string>())};
    case 1:
        return giveKey(submission, *shortName("k"), *rc::gen::element<std::string>("a", "b", "c"));
    case 2:
        return WithdrawKey{submission, *shortName("k")};
    case 3:
        return claimGroup(*rc::gen::inRange(-1, 18), *rc::gen::inRange<std::uint64_t>(0, 4), *shortName("n"));
    default:
        return SetFloorHolder{*rc::gen::element<std::string>("d", "e"), *shortName("n"), *rc::gen::inRange<std::uint64_t>(0, 4)};
    }
}

Json::Value anyJson(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 7 : 5)) {
    case 0:
        return {};
    case 1:
        return Json::Value(*rc::gen::arbitrary<bool>());
    case 2:
        return Json::Value(Json::Int64{*rc::gen::arbitrary<std::int64_t>()});
    case 3:
        return Json::Value(*rc::gen::arbitrary<double>());
    case 4:
        return Json::Value(*rc::gen::arbitrary<std::string>());
    case 5: {
        Json::Value list(Json::arrayValue);
        list.append(anyJson(depth - 1));
        return list;
    }
    default: {
        Json::Value object = toJson(anyCommand());
        const auto names = object.getMemberNames();
        object[*rc::gen::elementOf(names)] = anyJson(depth - 1);
        return object;
    }
    }
}
}

BOOST_FIXTURE_TEST_SUITE(clusterState, Fixture)

// Guards against a host that replays an entry, and against a no-op that changes state.
BOOST_AUTO_TEST_CASE(indexMustIncrease)
{
    BOOST_TEST(!state.apply(5, Json::Value()).error);
    BOOST_TEST((state.apply(5, toJson(PutManifest{"s", manifestText(1)})).error == Errc::Replayed));
    BOOST_TEST(state.index() == 5U);
    BOOST_TEST(state.manifest()->version == 0U);
}

// Guards against two operators who both believe that their manifest with the same version was accepted.
BOOST_AUTO_TEST_CASE(oneManifestPerVersion)
{
    BOOST_TEST(!apply(PutManifest{"s1", manifestText(4)}).error);
    const ApplyResult loser = apply(PutManifest{"s2", manifestText(4)});
    BOOST_TEST((loser.error == Errc::Conflict));
    BOOST_TEST(loser.answer["winner"]["submission"].asString() == "s1");
    BOOST_TEST(loser.answer["winner"]["version"].asInt() == 4);
    BOOST_TEST((apply(PutManifest{"s3", manifestText(3)}).error == Errc::Conflict));
    const ApplyResult resent = apply(PutManifest{"s1", manifestText(4)});
    BOOST_TEST(!resent.error);
    BOOST_TEST(resent.resent);
    BOOST_TEST(resent.answer["index"].asInt() == 1);
    BOOST_TEST((apply(PutManifest{"s1", manifestText(5)}).error == Errc::Conflict));
    BOOST_TEST((apply(PutManifest{"s4", "[manifest]\n"}).error == Errc::Malformed));
    BOOST_TEST(state.manifest()->version == 4U);
}

// Guards against a withdrawn key, a foreign secret or a key of a removed team that still works.
BOOST_AUTO_TEST_CASE(keysWorkUntilWithdrawn)
{
    apply(PutManifest{"s1", manifestText(1)});
    BOOST_TEST((apply(giveKey("s2", "k0", "nobody")).error == Errc::NotFound));
    BOOST_TEST(!apply(giveKey("s3", "k1", "a")).error);
    BOOST_TEST(apply(giveKey("s3", "k2", "a")).answer["keyId"].asString() == "k1");
    BOOST_TEST(state.keys().size() == 1U);
    BOOST_TEST(state.teamOfKey(keyText("k1")).value_or("") == "a");
    BOOST_TEST(!state.teamOfKey("ygk_k1.secret-of-k2"));
    BOOST_TEST(!state.teamOfKey("ygk_k1."));
    apply(PutManifest{"s4", "[manifest]\nversion = 2\n[domain d]\nregion = r\n"});
    BOOST_TEST(!state.teamOfKey(keyText("k1")));
    apply(PutManifest{"s5", manifestText(3)});
    BOOST_TEST(state.teamOfKey(keyText("k1")).has_value());
    BOOST_TEST(!apply(WithdrawKey{"s6", "k1"}).error);
    BOOST_TEST(!state.teamOfKey(keyText("k1")));
    BOOST_TEST((apply(giveKey("s7", "k1", "a")).error == Errc::Conflict));
    BOOST_TEST(apply(WithdrawKey{"s8", "k1"}).answer["index"].asInt() == 7);
}

// Guards against an unbounded state.
BOOST_AUTO_TEST_CASE(submissionsAndWithdrawnKeysAreBounded)
{
    apply(PutManifest{"first", manifestText(1)});
    for (int i = 0; i < 1500; ++i) {
        apply(giveKey("g" + std::to_string(i), "k" + std::to_string(i), "a"));
        apply(WithdrawKey{"w" + std::to_string(i), "k" + std::to_string(i)});
    }
    BOOST_TEST(state.keys().size() == 1024U);
    BOOST_TEST((apply(PutManifest{"first", manifestText(1)}).error == Errc::Conflict));
    BOOST_TEST(apply(WithdrawKey{"w1499", "k1499"}).resent);
    BOOST_TEST(!apply(WithdrawKey{"w1", "k1499"}).resent);
}

// Guards against a late command of a former leader that overrides a newer claim group or floor holder.
BOOST_AUTO_TEST_CASE(epochsIncreaseByOne)
{
    BOOST_TEST(!apply(claimGroup(2, 1, "1")).error);
    BOOST_TEST((apply(claimGroup(2, 1, "2")).error == Errc::Conflict));
    BOOST_TEST(!apply(claimGroup(2, 2, "2")).error);
    BOOST_TEST(state.claimGroup(2)->replicas[0].id == "x2");
    BOOST_TEST(state.claimGroup(2)->formerReplicas[0].id == "x1");
    BOOST_TEST((apply(claimGroup(16, 1, "1")).error == Errc::Malformed));
    BOOST_TEST((apply(SetFloorHolder{"d", "n1", 1}).error == Errc::NotFound));
    apply(PutManifest{"s", manifestText(1)});
    BOOST_TEST(!apply(SetFloorHolder{"d", "n1", 1}).error);
    BOOST_TEST((apply(SetFloorHolder{"d", "n2", 1}).error == Errc::Conflict));
    BOOST_TEST(state.floorHolders().at("d").holder == "n1");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against hosts that differ because one of them replayed the log and the other loaded a snapshot.
BOOST_AUTO_TEST_CASE(snapshotEqualsReplay, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        ClusterState replayed;
        ClusterState loaded;
        std::uint64_t version = 0;
        const int count = *rc::gen::inRange(0, 30);
        for (int i = 1; i <= count; ++i) {
            const Json::Value command = *rc::gen::inRange(0, 4) == 0 ? anyJson(2) : toJson(anyCommand());
            Json::Value decoded;
            RC_ASSERT(parseJson(toText(command), decoded));
            const ApplyResult first = replayed.apply(i, decoded);
            const ApplyResult second = loaded.apply(i, decoded);
            RC_ASSERT(first.error == second.error);
            RC_ASSERT(first.answer == second.answer);
            RC_ASSERT(replayed.toSnapshot() == loaded.toSnapshot());
            ClusterState next;
            RC_ASSERT(next.fromSnapshot(loaded.toSnapshot()));
            loaded = std::move(next);
            RC_ASSERT(replayed.manifest()->version >= version);
            version = replayed.manifest()->version;
        }
    }));
}

// Guards against a crash on a damaged snapshot, and against a state that is half replaced.
BOOST_AUTO_TEST_CASE(damagedSnapshotsChangeNothing, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        ClusterState state;
        state.apply(1, toJson(PutManifest{"s", manifestText(1)}));
        state.apply(2, toJson(giveKey("t", "k", "a")));
        const std::string before = state.toSnapshot();
        std::string text = before;
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        if (!state.fromSnapshot(text)) {
            RC_ASSERT(state.toSnapshot() == before);
        }
        RC_ASSERT(!state.fromSnapshot(*rc::gen::arbitrary<std::string>()));
    }));
}

// Guards against a codec that loses a field, and against a crash on foreign JSON.
BOOST_AUTO_TEST_CASE(commandsRoundTrip, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        Command decoded;
        commandFromJson(anyJson(3), decoded);
        const Json::Value value = toJson(anyCommand());
        RC_ASSERT(commandFromJson(value, decoded));
        RC_ASSERT(toJson(decoded) == value);
    }));
}
