#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/drift.h"
#include "synccluster.h"

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
Member node(const std::string &id, std::uint64_t incarnation)
{
    Member member;
    member.id = member.peerAddress = id;
    member.incarnation = incarnation;
    member.domain = "d0";
    return member;
}

SyncRequest leaseRequest(const std::string &id, TimeMs leftMs)
{
    SyncRequest request;
    request.self = node(id, 1);
    request.wantsLease = true;
    request.leaseLeftMs = leftMs;
    return request;
}

// Applies one random fault or event.
void disturb(SyncCluster &cluster, std::size_t controls)
{
    const std::size_t host = cluster.random.below(cluster.hosts.size());
    switch (cluster.random.below(9)) {
    case 0:
        cluster.isolate(host);
        break;
    case 1:
        for (int i = 0; i < 8; ++i) {
            cluster.block(cluster.random.below(cluster.hosts.size()), cluster.random.below(cluster.hosts.size()));
        }
        break;
    case 2: // nodes keep contact with each other, but not with control hosts
        for (std::size_t i = 0; i < controls; ++i) {
            cluster.block(host, i);
        }
        break;
    case 3:
        cluster.hosts[host].frozenUntil = cluster.now + 500 + static_cast<TimeMs>(cluster.random.below(8'000));
        break;
    case 4:
        cluster.stop(host);
        break;
    case 5:
        cluster.isolate(cluster.leader);
        break;
    case 6:
        cluster.heal();
        break;
    default:
        cluster.commit();
    }
    for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
        if (!cluster.hosts[i].process && cluster.random.below(2) == 0) {
            cluster.start(i);
        }
    }
}
}

// Guards against a proof that delay or a relay makes longer, which would keep revoked keys alive.
BOOST_AUTO_TEST_CASE(proofCountsFromSendingTime)
{
    ProofHolder holder;
    holder.accept({7, 5'000}, 1'000);
    BOOST_TEST(holder.validUntil(7, 1'000) == 1'000 + 5'000 * 95 / 105);
    BOOST_TEST(!holder.isValid(6, 1'000));
    BOOST_TEST(!holder.isValid(7, 1'000 + 5'000 * 95 / 105));
    BOOST_TEST((holder.issue(7, 2'000) == FreshnessProof{7, 4'523 - 1'000}));
    BOOST_TEST(!holder.issue(6, 2'000).has_value());
}

// Guards against proofs and leases that a slow response makes longer, and against responses to abandoned requests.
BOOST_AUTO_TEST_CASE(clientCountsFromSendingTime)
{
    SyncProcess process(node("h1", 1), {"h0"}, 5);
    Random random(1);
    BOOST_TEST(process.client.poll(1'000, random).has_value());
    SyncResponse response;
    response.proof = FreshnessProof{5, 2'100};
    response.lease = CoordinatorLeaseGrant{2'100, false};
    process.client.answered(response, 900, 1'300);
    BOOST_TEST(!process.proofs.isValid(5, 1'300));
    process.client.answered(response, 1'000, 1'300);
    BOOST_TEST(process.proofs.validUntil(5, 1'300) == 2'900);
    BOOST_TEST(process.lease.expiry() == 2'900);
}

// Guards against a newer proof that disables a process whose state is only proven by an older one.
BOOST_AUTO_TEST_CASE(olderProofStaysUsableUntilItExpires)
{
    ProofHolder holder;
    holder.contacted(0, 3);
    holder.contacted(1'000, 4);
    BOOST_TEST(holder.validUntil(3, 1'000) == 5'000);
    BOOST_TEST(holder.validUntil(4, 1'000) == 6'000);
    BOOST_TEST(holder.lowestIndex(5'500).value() == 4U);
}

// Guards against a restarted process that is replaced by its former self.
BOOST_AUTO_TEST_CASE(lowerIncarnationNeverReplacesHigher)
{
    MemberView view("a;1");
    BOOST_TEST(view.hear(node("x", 5), 0, 0));
    BOOST_TEST(!view.hear(node("x", 4), 0, 1));
    view.learn({"b;1", 1, true, true, {node("x", 4)}});
    BOOST_TEST(view.find("x")->incarnation == 5U);
}

// Guards against views that miss a change, keep a removed member or are lost to an unknown version.
BOOST_AUTO_TEST_CASE(viewDeltasListChangesAndRemovals)
{
    MemberView server("s;1");
    MemberView client("c;1");
    server.hear(node("x", 1), 0, 0);
    server.hear(node("y", 1), 0, 0);
    const ViewDelta full = server.changesSince("other", 9);
    BOOST_TEST(full.full);
    BOOST_TEST(full.members.size() == 2U);
    client.learn(full);
    server.hear(node("y", 1), 0, 2'000);
    BOOST_TEST(server.expire(3'000).size() == 1U);
    const ViewDelta delta = server.changesSince("s;1", full.version);
    BOOST_TEST(!delta.full);
    BOOST_TEST(delta.members.size() == 1U);
    client.learn(delta);
    BOOST_TEST(!client.find("x"));
    BOOST_TEST(client.find("y"));
}

// Guards against an empty view of a relay that removes all upstreams of a partitioned domain.
BOOST_AUTO_TEST_CASE(relayWithEmptyViewRemovesNobody)
{
    MemberView client("c;1");
    client.learn({"s;1", 1, true, true, {node("x", 1)}});
    client.learn({"relay;1", 0, true, false, {}});
    BOOST_TEST(client.find("x"));
}

// Guards against reports with a gap and against a relay that keeps a dead member alive by its own syncs.
BOOST_AUTO_TEST_CASE(reportsAreCompleteAndWithdrawn)
{
    MemberView relay("r;1");
    MemberView leader("l;1");
    relay.hear(node("x", 1), 4, 0);
    BOOST_TEST(!leader.takeReport("r;1", relay.report(1), 0).has_value());
    const auto acked = leader.takeReport("r;1", relay.report(0), 0);
    BOOST_TEST(leader.confirmedIndex("x") == 4U);
    BOOST_TEST(leader.find("x"));
    relay.forgetHeard(6'000);
    leader.takeReport("r;1", relay.report(acked.value()), 6'000);
    BOOST_TEST(!leader.find("x"));
}

// Guards against an isolated control host that feeds its old state to an empty node, and against reversals.
BOOST_AUTO_TEST_CASE(emptyProcessNeedsProofThatStateReaches)
{
    IndexState state;
    StateFeed feed([&state] {
        return state.snapshot();
    });
    StateReceiver receiver(state.hooks(), feed);
    const StateUpdate old{0, 5, "5", {}};
    BOOST_TEST(!receiver.accept(old, std::nullopt));
    BOOST_TEST(!receiver.accept(old, 6));
    BOOST_TEST(receiver.accept(old, 5));
    BOOST_TEST(!receiver.accept({0, 4, "4", {}}, 1));
    BOOST_TEST(!receiver.accept({6, 0, "", {{7, {}}}}, 1));
    BOOST_TEST(receiver.accept({4, 0, "", {{5, {}}, {6, {}}}}, std::nullopt));
    BOOST_TEST(state.index == 6U);
}

// Guards against a feed that skips commands which it no longer keeps.
BOOST_AUTO_TEST_CASE(feedSendsSnapshotForTrimmedEntries)
{
    IndexState state{6};
    StateFeed feed(
        [&state] {
            return state.snapshot();
        },
        2);
    for (std::uint64_t i = 3; i <= 6; ++i) {
        feed.append(i, {});
    }
    BOOST_TEST(feed.updateSince(4).entries.size() == 2U);
    BOOST_TEST(feed.updateSince(3).snapshotIndex == 6U);
    BOOST_TEST(feed.updateSince(6).reaches() == 0U);
}

// Guards against two coordinators after a leader change, and against needless gaps for an unchanged one.
BOOST_AUTO_TEST_CASE(newLeaderWaitsUnlessHolderContinues)
{
    CoordinatorLeaseTable table(10'000);
    const TimeMs settled = 10'000 + lengthenedByDrift(coordinatorLeaseMs);
    BOOST_TEST(!table.grant(leaseRequest("a", 0), settled - 1, settled - 1));
    BOOST_TEST(table.grant(leaseRequest("b", 100), 11'000, 11'000)->renewalOnly);
    BOOST_TEST(!table.grant(leaseRequest("a", 0), 14'999, 14'999));
    BOOST_TEST(!table.grant(leaseRequest("a", 0), 14'999, 15'100)); // no majority contact since the lease expired
    BOOST_TEST(table.grant(leaseRequest("a", 0), 15'000, 15'100)->validMs == 3'900);
    CoordinatorLeaseHolder late;
    late.accept({4'000, true}, 0, 100);
    BOOST_TEST(!late.isHeld(100));
}

// Guards against a withdrawal that is reported done while a process may still use the key.
BOOST_AUTO_TEST_CASE(withdrawalWaitsForConfirmationsOrExpiry)
{
    ConfirmationTracker tracker(0);
    tracker.confirm("a", 1, 9);
    tracker.confirm("b", 1, 8);
    BOOST_TEST(tracker.inForce(9).confirmed == 1);
    BOOST_TEST(tracker.inForce(9).known == 2);
    BOOST_TEST(!tracker.isWithdrawalDone(9, 10'000, 10'100));
    tracker.lose("b", 1, 10'100);
    BOOST_TEST(!tracker.isWithdrawalDone(9, 10'000, 10'200));
    tracker.confirm("b", 1, 9);
    BOOST_TEST(tracker.isWithdrawalDone(9, 10'000, 10'200));
    BOOST_TEST(!ConfirmationTracker(9'000).isWithdrawalDone(9, 10'000, 10'200));
    BOOST_TEST(ConfirmationTracker(9'000).isWithdrawalDone(9, 10'000, 10'000 + lengthenedByDrift(proofValidMs)));
}

// Guards against fields that the codec loses and against a crash on wrong types.
BOOST_AUTO_TEST_CASE(messagesSurviveTheCodec)
{
    SyncRequest request = leaseRequest("a", 7);
    request.self.upstream = UpstreamAnnouncement{"status", 80, 40, 330, true};
    request.report = {1, 2, {node("x", 3)}, {{"x", 3, 4}}};
    request.share = ShareMessage{0.25, 600'000, 0.5, 4'000, true, 8, false};
    SyncRequest parsedRequest;
    BOOST_TEST(SyncRequest::fromJson(request.toJson(), parsedRequest));
    BOOST_TEST(parsedRequest.toJson() == request.toJson());
    SyncResponse response{"r", "l", "c", "ca", 3, CoordinatorLeaseGrant{5, true}, FreshnessProof{6, 7}, {}, {}, {}};
    response.state = {1, 2, "text", {{3, Json::Value("command")}}};
    response.view = {"s", 4, true, true, {node("y", 1)}};
    SyncResponse parsedResponse;
    BOOST_TEST(SyncResponse::fromJson(response.toJson(), parsedResponse));
    BOOST_TEST(parsedResponse.toJson() == response.toJson());
    for (const std::string &name : response.toJson().getMemberNames()) {
        Json::Value broken = response.toJson();
        broken[name] = Json::Value(Json::arrayValue);
        BOOST_TEST(!SyncResponse::fromJson(broken, parsedResponse), name);
    }
}

// Guards against nodes that miss a change for more than 8 s at the size of the largest domain, with 2% loss.
BOOST_AUTO_TEST_CASE(changesReachALargeDomainInTime, *utf::label("property"))
{
    SyncCluster cluster(3, 1, 225, 20261204);
    cluster.loss = 0.02;
    cluster.run(9'000);
    TimeMs slowest = 0;
    for (int change = 0; change < 5; ++change) {
        const TimeMs start = cluster.now;
        const std::uint64_t index = cluster.commit();
        while (cluster.lowestIndex() < index && cluster.now - start < 8'000) {
            cluster.run(50);
        }
        slowest = std::max(slowest, cluster.now - start);
    }
    BOOST_TEST_MESSAGE("slowest change: " << slowest << " ms");
    BOOST_TEST(slowest < 8'000);
    BOOST_TEST(cluster.faults.empty());
    BOOST_TEST(cluster.hosts.back().process->view.upMembers().size() == 228U);
}

// Guards against reversals, two coordinators and use of withdrawn state under any mix of faults.
BOOST_AUTO_TEST_CASE(rulesHoldUnderFaults, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        SyncCluster cluster(3, 2, 4, seed);
        cluster.loss = 0.1 * cluster.random.fraction();
        cluster.duplicates = 0.1;
        cluster.maxDelay = cluster.random.below(2) ? 10 : 1'000;
        for (int i = 0; i < 60 && cluster.faults.empty(); ++i) {
            disturb(cluster, 3);
            if (cluster.random.below(3) == 0) {
                disturb(cluster, 3);
            }
            cluster.run(100 + static_cast<TimeMs>(cluster.random.below(1'500)) / 10 * 10);
        }
        if (!cluster.faults.empty()) {
            RC_FAIL(cluster.faults.front());
        }
    }));
}

// Guards against an isolated control host that brings an empty node into service, and against a cluster that does not
// recover once the network heals.
BOOST_AUTO_TEST_CASE(isolatedControlHostFeedsNobodyAndClusterRecovers, *utf::label("property"))
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        SyncCluster cluster(3, 2, 3, seed);
        cluster.run(8'000);
        cluster.isolate(0);
        cluster.run(7'000);
        RC_ASSERT(cluster.commit() > 0U);
        const std::size_t victim = 3 + cluster.random.below(6);
        cluster.stop(victim);
        cluster.heal();
        for (std::size_t i = 1; i < cluster.hosts.size(); ++i) {
            cluster.block(0, i == victim ? 0 : i);
            cluster.block(i == victim ? 0 : i, 0);
            cluster.block(victim, i);
        }
        cluster.start(victim);
        cluster.run(3'000);
        RC_ASSERT(cluster.hosts[victim].process->state.index == 0U);
        cluster.heal();
        cluster.run(7'000);
        RC_ASSERT(cluster.lowestIndex() == cluster.lastIndex);
        for (const SyncHost &host : cluster.hosts) {
            RC_ASSERT(host.process->proofs.isValid(host.process->state.index, cluster.local(host)));
            RC_ASSERT(host.process->view.upMembers().size() == cluster.hosts.size());
        }
    }));
}

// Guards against a process of an earlier program that is no member, because it does not tell its sources.
BOOST_AUTO_TEST_CASE(memberMayTellNoSources)
{
    Member told = node("n1", 1);
    told.sources = "0123456789abcdef";
    Json::Value json = told.toJson();
    Member parsed;
    BOOST_REQUIRE(Member::fromJson(json, parsed));
    BOOST_TEST(parsed.sources == told.sources);
    json.removeMember("sources");
    BOOST_REQUIRE(Member::fromJson(json, parsed = Member()));
    BOOST_TEST(parsed.sources.empty());
    json["sources"] = 1;
    BOOST_TEST(!Member::fromJson(json, parsed));
}
