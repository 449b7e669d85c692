#include "clustercore.h"

#include "base/buildinfo.h"
#include "base/drift.h"
#include "base/errc.h"

namespace Yuccagrade
{
namespace
{
constexpr TimeMs tickPeriodMs = 20;
constexpr TimeMs raftTimeoutMs = 2'000;
constexpr TimeMs syncTimeoutMs = 1'000;
constexpr auto syncMethod = "sync";
constexpr std::array raftMethods{"raft.hello", "raft.vote", "raft.append", "raft.snapshot"};
}

ClusterCore::ClusterCore(ProcessHost &host)
    : m_host(host)
    , m_random(host.identity().incarnation ^ std::hash<std::string>{}(host.identity().id))
    , m_stateFeed([this] {
        return StateSnapshot{m_state.index(), m_state.toSnapshot()};
    })
    , m_view(host.identity().id + ';' + std::to_string(host.identity().incarnation))
    , m_stateReceiver(stateHooks(), m_stateFeed)
    , m_syncClient(makeSelfMember(host), host.settings().seeds, m_view, m_proofs, m_stateReceiver, m_coordinatorLease)
    , m_syncServer(host.settings().domain, m_view, m_proofs, m_stateFeed)
{
    m_syncServer.setLeaderHooks(leaderHooks());
}

Member ClusterCore::makeSelfMember(const ProcessHost &host)
{
    Member self;
    self.id = host.identity().id;
    self.incarnation = host.identity().incarnation;
    self.domain = host.settings().domain;
    self.region = host.settings().region;
    self.sources = buildInfo().sources;
    self.peerAddress = host.identity().address;
    self.operatorAddress = host.settings().operatorAddress;
    self.control = true;
    return self;
}

// The hooks ignore state from other hosts, since a control host gets its state only from its Raft log.
StateHooks ClusterCore::stateHooks()
{
    return {[this] {
                return m_state.index();
            },
            [](std::uint64_t, const Json::Value &) {},
            [](const std::string &) {
                return false;
            }};
}

bool ClusterCore::open()
{
    const Settings &settings = m_host.settings();
    ReplicaSettings options;
    options.folder = settings.dataFolder;
    options.id = settings.id;
    for (const MemberAddress &member : settings.members) {
        options.initialMembers.push_back({member.id, member.address, {}, false});
    }
    m_replica = std::make_unique<Replica>(options, replicaHooks(), m_host.loop().clock(), m_host.identity().incarnation);
    StorageReport report;
    if (const auto error = m_replica->start(report)) {
        m_host.log().write(error == Errc::StorageDamaged ? Event::StorageDamaged : Event::StorageFailed, {{"reason", error.message()}});
        return false;
    }
    if (report.created) {
        m_host.log().write(Event::DiskReplaced, {{"disk", m_replica->diskId()}});
    }
    if (report.truncatedBytes > 0) {
        m_host.log().write(Event::LogTailTruncated, {{"bytes", std::to_string(report.truncatedBytes)}});
    }
    for (const char *method : raftMethods) {
        registerRaftMethod(method);
    }
    m_host.link().serve(syncMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return handleSyncRequest(parameters);
    });
    m_host.loop().every(tickPeriodMs, [this] {
        tick();
    });
    return true;
}

void ClusterCore::registerRaftMethod(const std::string &method)
{
    // On an error the response is an empty object, which the sender rejects as malformed; it sends the request again later.
    m_host.link().serve(method, [this, method](const PeerSender &, const Json::Value &parameters) {
        Json::Value result;
        if (const auto error = m_replica->handle(method, parameters, result)) {
            m_host.log().write(Event::MalformedRequest, {{"method", method}, {"reason", error.message()}});
            return Json::Value(Json::objectValue);
        }
        return result;
    });
}

ReplicaHooks ClusterCore::replicaHooks()
{
    ReplicaHooks hooks;
    hooks.send = [this](const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params) {
        sendRaftRequest(peer, address, method, params);
    };
    hooks.apply = [this](std::uint64_t index, const Json::Value &command) {
        apply(index, command);
    };
    hooks.restoreSnapshot = [this](std::uint64_t index, const std::string &text) {
        m_state.fromSnapshot(text);
        m_stateFeed.restart(index);
    };
    hooks.serializeState = [this] {
        return m_state.toSnapshot();
    };
    hooks.leadershipChanged = [this](const Leadership &leadership) {
        m_host.log().write(leadership.self ? Event::LeaderElected : Event::LeaderLost,
                           {{"term", std::to_string(leadership.term)}, {"leader", leadership.leader}});
    };
    hooks.groupChanged = [this](const std::vector<GroupMember> &members) {
        m_host.log().write(Event::GroupChanged, {{"members", std::to_string(members.size())}});
    };
    hooks.storageFailed = [this](std::error_code error) {
        m_host.log().write(Event::StorageFailed, {{"reason", error.message()}});
    };
    return hooks;
}

void ClusterCore::sendRaftRequest(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params)
{
    m_host.link().call(address, method, params, raftTimeoutMs, [this, peer, method](std::error_code error, const Json::Value &result) {
        if (!error) {
            m_replica->handleResponse(peer, method, result);
        }
    });
}

void ClusterCore::apply(std::uint64_t index, const Json::Value &command)
{
    ApplyResult result = m_state.apply(index, command);
    m_stateFeed.append(index, command);
    if (!command.isNull()) {
        m_host.log().write(Event::EntryCommitted, {{"index", std::to_string(index)}});
    }
    if (m_replica && m_replica->isLeader()) {
        m_applyResults[index] = std::move(result);
    }
}

void ClusterCore::propose(const Json::Value &command, const ProposeCallback &done)
{
    const auto error = m_replica->propose(command, [this, done](std::error_code outcome, std::uint64_t index) {
        const auto found = m_applyResults.find(index);
        const ApplyResult result = found == m_applyResults.end() ? ApplyResult() : found->second;
        m_applyResults.clear(); // entries are applied and their callbacks called in the order of the log, so none is needed any more
        done(outcome ? outcome : result.error, result);
    });
    if (error) {
        done(error, {});
    }
}

LeaderHooks ClusterCore::leaderHooks()
{
    LeaderHooks hooks;
    hooks.lease = [this](const SyncRequest &request) -> std::optional<CoordinatorLeaseGrant> {
        if (request.self.control) {
            return std::nullopt;
        }
        if (!request.wantsLease || request.self.draining) {
            m_leaderState->leases.release(request.self.domain, request.self.id, request.self.incarnation);
        }
        return m_leaderState->leases.grant(request, m_replica->quorumContactMs(), m_host.loop().clock().now());
    };
    hooks.share = [this](const SyncRequest &request) -> std::optional<ShareMessage> {
        const TimeMs now = m_host.loop().clock().now();
        const TimeMs contact = m_replica->quorumContactMs();
        const auto lease = request.self.control ? std::nullopt : m_leaderState->leases.grant(request, contact, now);
        auto share = m_leaderState->ledger.grant(request, lease, contact, now);
        if (share) {
            share->confirmedIndex = m_leaderState->confirmations.confirmedByAll(now);
        }
        return share;
    };
    hooks.coordinator = [this](const std::string &domain) {
        return m_leaderState->leases.holder(domain, m_host.loop().clock().now());
    };
    hooks.confirm = [this](const StateConfirmation &confirmation) {
        m_leaderState->confirmations.confirm(confirmation.id, confirmation.incarnation, confirmation.stateIndex);
    };
    hooks.lose = [this](const Member &member) {
        m_leaderState->confirmations.lose(member.id, member.incarnation, m_host.loop().clock().now());
    };
    return hooks;
}

Json::Value ClusterCore::handleSyncRequest(const Json::Value &parameters)
{
    SyncRequest request;
    if (!SyncRequest::fromJson(parameters, request)) {
        m_host.log().write(Event::MalformedRequest, {{"method", syncMethod}});
        return Json::Value(Json::objectValue);
    }
    const TimeMs now = m_host.loop().clock().now();
    updateLeadership(now);
    SyncContacts contacts = m_syncClient.contacts(now);
    contacts.leaderAddress = m_leaderState ? m_host.identity().address : m_replica->leaderAddress();
    return m_syncServer.answer(request, role(), contacts, now).toJson();
}

void ClusterCore::tick()
{
    m_replica->tick();
    const TimeMs now = m_host.loop().clock().now();
    updateLeadership(now);
    m_syncServer.expire(role(), now);
    if (m_leaderState) {
        m_view.hear(m_syncClient.self(), m_state.index(), now);
        m_leaderState->confirmations.confirm(m_host.identity().id, m_host.identity().incarnation, m_state.index());
        m_proofs.contacted(m_replica->quorumContactMs(), m_state.index());
        if (onLeaderTick) {
            onLeaderTick(*m_leaderState, now);
        }
    } else {
        syncWithLeader(now);
    }
}

void ClusterCore::updateLeadership(TimeMs now)
{
    const bool isReadyLeader = m_replica->isReady() && m_replica->quorumContactMs() >= 0;
    if (isReadyLeader && !m_leaderState) {
        m_leaderState = std::make_unique<LeaderState>(now);
    } else if (!isReadyLeader && m_leaderState) {
        m_leaderState.reset();
    }
}

// A control host that is not the leader syncs with it, to relay proofs and members to nodes that cannot reach the leader.
void ClusterCore::syncWithLeader(TimeMs now)
{
    const auto action = m_syncClient.poll(now, m_random);
    if (!action) {
        return;
    }
    m_host.link().call(action->address, syncMethod, action->request.toJson(), syncTimeoutMs, [this, now](std::error_code error, const Json::Value &result) {
        handleSyncResponse(error, result, now);
    });
}

void ClusterCore::handleSyncResponse(std::error_code error, const Json::Value &result, TimeMs sentAt)
{
    const TimeMs now = m_host.loop().clock().now();
    SyncResponse response;
    if (error || !SyncResponse::fromJson(result, response)) {
        m_syncClient.failed(now);
        return;
    }
    response.state = {}; // the state comes from the Raft log
    m_syncClient.answered(response, sentAt, now);
}

// Hosts that answered a request of the leader refuse votes for the minimum election timeout after it, so no other leader
// can be elected during that time. A leader that was suspended or isolated keeps its role for longer, so the role alone is
// not enough.
bool ClusterCore::isStateCurrent() const
{
    const TimeMs contact = m_replica->quorumContactMs();
    return m_leaderState && contact >= 0 && m_host.loop().clock().now() - contact < shortenedByDrift(RaftOptions().electionMinMs);
}

std::string ClusterCore::leaderOperatorAddress() const
{
    const std::string leader = m_replica->leaderAddress();
    for (const Member &member : m_view.upMembers()) {
        if (member.control && member.peerAddress == leader) {
            return member.operatorAddress;
        }
    }
    return {};
}

void ClusterCore::drain()
{
    m_syncClient.self().draining = true;
}
}
