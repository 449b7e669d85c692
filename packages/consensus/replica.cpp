#include "replica.h"

#include "base/errc.h"
#include "base/random.h"

#include <array>
#include <utility>

namespace Yuccagrade
{
namespace
{
constexpr std::array<const char *, 4> methodNames{"raft.hello", "raft.vote", "raft.append", "raft.snapshot"};

void sendRequests(const ReplicaHooks &hooks, const std::vector<OutgoingRequest> &requests)
{
    for (const OutgoingRequest &outgoing : requests) {
        const Json::Value params = std::visit(
            [](const auto &request) {
                return request.toJson();
            },
            outgoing.request);
        hooks.send(outgoing.peer, outgoing.address, methodNames[outgoing.request.index()], params);
    }
}
}

Replica::Replica(ReplicaSettings settings, ReplicaHooks hooks, Clock clock, std::uint64_t seed, FileHooks fileHooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_clock(std::move(clock))
    , m_seed(seed)
    , m_storage(m_settings.folder, std::move(fileHooks))
    , m_failure(Errc::Unavailable)
{
}

std::error_code Replica::start(StorageReport &report)
{
    StoredState stored;
    m_failure = m_storage.open(stored, report);
    if (m_failure) {
        return m_failure;
    }
    m_appliedIndex = stored.snapshot.index;
    if (m_appliedIndex > 0) {
        m_hooks.restoreSnapshot(m_appliedIndex, stored.snapshot.state);
    }
    RaftIdentity identity{m_settings.id, m_storage.diskId(), m_settings.initialMembers};
    m_core = std::make_unique<RaftCore>(std::move(identity), std::move(stored), m_settings.raft, Random(m_seed), m_clock.now());
    return {};
}

void Replica::tick()
{
    if (!m_failure) {
        processActions(m_core->tick(m_clock.now()));
    }
    if (!m_failure) {
        compactIfNeeded();
    }
}

template<typename Request, typename Response>
std::error_code Replica::dispatchRequest(const Json::Value &params, Json::Value &result, RaftResult<Response> (RaftCore::*handler)(const Request &, TimeMs))
{
    Request request;
    if (!Request::fromJson(params, request)) {
        return Errc::Malformed;
    }
    auto outcome = (*m_core.*handler)(request, m_clock.now());
    result = outcome.response.toJson();
    return processActions(std::move(outcome.actions));
}

std::error_code Replica::handle(std::string_view method, const Json::Value &params, Json::Value &result)
{
    if (m_failure) {
        return m_failure;
    }
    if (method == "raft.hello") {
        HelloRequest request;
        if (!HelloRequest::fromJson(params, request)) {
            return Errc::Malformed;
        }
        result = m_core->handleHello(request).toJson();
        return {};
    }
    if (method == "raft.vote") {
        return dispatchRequest<VoteRequest, VoteResponse>(params, result, &RaftCore::handleVote);
    }
    if (method == "raft.append") {
        return dispatchRequest<AppendRequest, AppendResponse>(params, result, &RaftCore::handleAppend);
    }
    if (method == "raft.snapshot") {
        return dispatchRequest<SnapshotRequest, AppendResponse>(params, result, &RaftCore::handleSnapshot);
    }
    return Errc::NotFound;
}

template<typename Response>
std::error_code
Replica::dispatchResponse(const std::string &peer, const Json::Value &result, RaftActions (RaftCore::*handler)(const std::string &, const Response &, TimeMs))
{
    Response response;
    if (!Response::fromJson(result, response)) {
        return Errc::Malformed;
    }
    return processActions((*m_core.*handler)(peer, response, m_clock.now()));
}

std::error_code Replica::handleResponse(const std::string &peer, std::string_view method, const Json::Value &result)
{
    if (m_failure) {
        return m_failure;
    }
    if (method == "raft.hello") {
        return dispatchResponse<HelloResponse>(peer, result, &RaftCore::handleHelloResponse);
    }
    if (method == "raft.vote") {
        return dispatchResponse<VoteResponse>(peer, result, &RaftCore::handleVoteResponse);
    }
    if (method == "raft.append" || method == "raft.snapshot") {
        return dispatchResponse<AppendResponse>(peer, result, &RaftCore::handleAppendResponse);
    }
    return Errc::NotFound;
}

std::error_code Replica::registerProposal(RaftResult<Proposal> result, ProposalCallback done)
{
    if (!result.response.error) {
        m_pendingProposals[result.response.index] = {result.response.term, std::move(done)};
    }
    // If the write fails, the callback is called with the error and the proposal itself still returns success.
    processActions(std::move(result.actions));
    return result.response.error;
}

std::error_code Replica::propose(const Json::Value &command, ProposalCallback done)
{
    return m_failure ? m_failure : registerProposal(m_core->propose(command, m_clock.now()), std::move(done));
}

std::error_code Replica::addMember(const std::string &id, const std::string &address, ProposalCallback done)
{
    return m_failure ? m_failure : registerProposal(m_core->addMember(id, address, m_clock.now()), std::move(done));
}

std::error_code Replica::removeMember(const std::string &id, ProposalCallback done)
{
    return m_failure ? m_failure : registerProposal(m_core->removeMember(id, m_clock.now()), std::move(done));
}

// A hook may call propose() while actions are being executed. The resulting actions are queued, so that entries are stored
// in the order of the log.
std::error_code Replica::processActions(RaftActions actions)
{
    m_actionQueue.push_back(std::move(actions));
    if (m_processing) {
        return {};
    }
    m_processing = true;
    while (!m_actionQueue.empty() && !m_failure) {
        RaftActions next = std::move(m_actionQueue.front());
        m_actionQueue.pop_front();
        if (const auto error = executeActions(next)) {
            handleStorageFailure(error);
        }
    }
    m_actionQueue.clear();
    m_processing = false;
    return m_failure;
}

std::error_code Replica::executeActions(RaftActions &actions)
{
    if (const auto error = persist(actions)) {
        return error;
    }
    if (actions.restoreState) {
        m_appliedIndex = actions.snapshot->index;
        m_hooks.restoreSnapshot(m_appliedIndex, actions.snapshot->state);
        m_hooks.groupChanged(actions.snapshot->members);
    }
    for (const LogEntry &entry : actions.committed) {
        apply(entry);
    }
    if (actions.leadership) {
        if (!actions.leadership->self) {
            failPendingProposals(Errc::Unavailable);
        }
        m_hooks.leadershipChanged(*actions.leadership);
    }
    sendRequests(m_hooks, actions.requests);
    return {};
}

std::error_code Replica::persist(const RaftActions &actions)
{
    if (actions.snapshot) {
        return m_storage.saveSnapshot(actions.hardState, *actions.snapshot, actions.tail);
    }
    return actions.needsPersisting() ? m_storage.append(actions.hardState, actions.entries) : std::error_code();
}

void Replica::apply(const LogEntry &entry)
{
    m_appliedIndex = entry.index;
    m_hooks.apply(entry.index, entry.kind == EntryKind::Command ? entry.data : Json::Value());
    if (entry.kind == EntryKind::Members) {
        m_hooks.groupChanged(m_core->log().membersAt(entry.index));
    }
    completeProposal(entry.index, entry.term);
}

void Replica::completeProposal(std::uint64_t index, std::uint64_t term)
{
    const auto found = m_pendingProposals.find(index);
    if (found == m_pendingProposals.end()) {
        return;
    }
    const PendingProposal pending = std::move(found->second);
    m_pendingProposals.erase(found);
    pending.done(pending.term == term ? std::error_code() : Errc::NotLeader, index);
}

void Replica::failPendingProposals(std::error_code error)
{
    for (const auto &[index, pending] : std::exchange(m_pendingProposals, {})) {
        pending.done(error, index);
    }
}

void Replica::handleStorageFailure(std::error_code error)
{
    m_failure = error;
    failPendingProposals(error);
    m_hooks.storageFailed(error);
}

void Replica::compactIfNeeded()
{
    if (m_appliedIndex - m_core->log().baseIndex() >= m_settings.snapshotEntries) {
        processActions(m_core->compact(m_hooks.serializeState()));
    }
}

bool Replica::isLeader() const
{
    return !m_failure && m_core->isLeader();
}

bool Replica::isReady() const
{
    return !m_failure && m_core->isReady() && m_appliedIndex >= m_core->commitIndex();
}

TimeMs Replica::quorumContactMs() const
{
    return isReady() ? m_core->quorumContactMs(m_clock.now()) : -1;
}

std::uint64_t Replica::appliedIndex() const
{
    return m_appliedIndex;
}

std::string Replica::leaderAddress() const
{
    const GroupMember *leader = m_core ? findMember(m_core->log().members(), m_core->leadership().leader) : nullptr;
    return leader ? leader->address : std::string();
}

const std::string &Replica::diskId() const
{
    return m_storage.diskId();
}

const RaftCore *Replica::core() const
{
    return m_core.get();
}
}
