#include "controlgroup.h"

#include "base/drift.h"
#include "base/errc.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs tickPeriodMs = 20;
// A request without a response is dropped after this time; the consensus protocol repeats it.
constexpr TimeMs requestTimeoutMs = 2'000;
constexpr TimeMs membershipCheckPeriodMs = 200;
// A host counts as live if its last report or message is no older than this.
constexpr TimeMs liveMs = 1'500;
// A member without contact for this time is removed once enough others vote: a group of even size that keeps a lost host
// cannot bear the loss of another one.
constexpr TimeMs removeAfterMs = 2'000;
// Hosts are listed to the nodes for this time after their last report.
constexpr TimeMs listedMs = 8'000;
// A new leader waits this long before it changes the membership, so that all hosts have contacted it.
constexpr TimeMs observationMs = 1'000;
constexpr std::size_t snapshotEntries = 200;
// Interval at which a data folder is opened again after a failed write.
constexpr TimeMs reopenDelayMs = 300;
static_assert(exclusiveLeadershipMs <= shortenedByDrift(RaftOptions().electionMinMs), "another host may lead earlier");
}

ControlGroup::ControlGroup(EventLoop &loop, LinkPool &links, EventLog &log, const MeshSettings &settings, FileHooks fileHooks)
    : m_loop(loop)
    , m_links(links)
    , m_log(log)
    , m_settings(settings)
    , m_fileHooks(std::move(fileHooks))
{
}

ControlGroup::~ControlGroup()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_reopenTimer);
}

bool ControlGroup::open()
{
    const auto error = startReplica();
    if (error == Errc::StorageFailed) {
        scheduleReopen();
    } else if (error) {
        return false;
    }
    m_timer = m_loop.every(tickPeriodMs, [this] {
        tick();
    });
    return true;
}

std::error_code ControlGroup::startReplica()
{
    ReplicaSettings settings;
    settings.folder = m_settings.dataFolder;
    settings.id = m_settings.peerAddress;
    settings.snapshotEntries = snapshotEntries;
    const auto &seeds = m_settings.seeds;
    // Only the seeds are initial members; the leader adds other hosts later.
    if (m_settings.bootstrapGroup && std::find(seeds.begin(), seeds.end(), m_settings.peerAddress) != seeds.end()) {
        for (const std::string &seed : seeds) {
            settings.initialMembers.push_back({seed, seed, {}, true});
        }
    }
    const auto seed = static_cast<std::uint64_t>(m_loop.clock().wall()) ^ std::hash<std::string>()(m_settings.name);
    m_replica = std::make_unique<Replica>(settings, replicaHooks(), m_loop.clock(), seed, m_fileHooks);
    StorageReport report;
    if (const auto error = m_replica->start(report)) {
        m_log.write(error == Errc::StorageDamaged ? Event::StorageDamaged : Event::StorageFailed, {{"error", error.message()}});
        return error;
    }
    if (report.created) {
        m_log.write(Event::DiskReplaced, {{"disk", m_replica->diskId()}, {"founds", settings.initialMembers.empty() ? "no" : "yes"}});
    }
    if (report.truncatedBytes > 0) {
        m_log.write(Event::LogTailTruncated, {{"bytes", std::to_string(report.truncatedBytes)}});
    }
    return {};
}

ReplicaHooks ControlGroup::replicaHooks()
{
    ReplicaHooks hooks;
    hooks.send = [this](const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params) {
        send(peer, address, method, params);
    };
    hooks.apply = [this](std::uint64_t index, const Json::Value &command) {
        onApply(index, command);
    };
    hooks.restoreSnapshot = [this](std::uint64_t index, const std::string &state) {
        onRestore(index, state);
    };
    hooks.serializeState = [this] {
        return saveState();
    };
    hooks.leadershipChanged = [this](const Leadership &leadership) {
        m_leadsSince = leadership.self ? m_loop.clock().now() : 0;
        const Event otherEvent = leadership.leader.empty() ? Event::LeaderLost : Event::LeaderFollowed;
        m_log.write(leadership.self ? Event::LeaderElected : otherEvent, {{"term", std::to_string(leadership.term)}, {"leader", leadership.leader}});
        onLeadership(leadership.self);
    };
    hooks.groupChanged = [this](const std::vector<GroupMember> &members) {
        std::string text;
        for (const GroupMember &member : members) {
            text += (text.empty() ? "" : " ") + member.id + (member.voter ? "" : "(learner)");
        }
        m_log.write(Event::GroupChanged, {{"members", text}});
    };
    hooks.storageFailed = [this](std::error_code error) {
        handleStorageFailure(error);
    };
    return hooks;
}

// The other hosts elect a leader among themselves; this one neither votes nor acknowledges entries meanwhile.
void ControlGroup::handleStorageFailure(std::error_code error)
{
    m_log.write(Event::StorageFailed, {{"error", error.message()}});
    if (m_leadsSince > 0) {
        m_leadsSince = 0;
        onLeadership(false);
    }
    scheduleReopen();
}

void ControlGroup::scheduleReopen()
{
    m_reopenTimer = m_loop.after(reopenDelayMs, [this] {
        reopen();
    });
}

void ControlGroup::reopen()
{
    m_replica.reset(); // unlocks the folder
    m_pendingRequests.clear();
    if (onReopen) {
        onReopen();
    }
    // A folder that was opened before may be unreadable for as long as the disk fails, so every error is temporary here.
    if (startReplica()) {
        scheduleReopen();
    }
}

void ControlGroup::send(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params)
{
    FrameLink *link = m_links.link(address);
    if (!link) {
        return;
    }
    const std::uint64_t sequence = ++m_sequence;
    m_pendingRequests[sequence] = {peer, method, m_loop.clock().now()};
    link->send(FrameType::ConsensusRequest, encode(ConsensusMessage{sequence, m_settings.peerAddress, method, toText(params)}));
}

bool ControlGroup::serve(const ConsensusMessage &request, ConsensusMessage &response)
{
    Json::Value params;
    Json::Value result;
    if (!parseJson(request.text, params)) {
        m_log.write(Event::PeerRejected, {{"source", request.sender}, {"cause", "malformed consensus request"}});
        return false;
    }
    m_lastContact[request.sender] = m_loop.clock().now();
    if (const auto error = m_replica->handle(request.method, params, result)) {
        m_log.write(Event::PeerRejected, {{"source", request.sender}, {"method", request.method}, {"cause", error.message()}});
        return false;
    }
    response = {request.sequence, m_settings.peerAddress, request.method, toText(result)};
    return true;
}

void ControlGroup::received(const ConsensusMessage &response)
{
    const auto found = m_pendingRequests.find(response.sequence);
    Json::Value result;
    if (found == m_pendingRequests.end()) {
        return; // late response to a request that was already dropped
    }
    const PendingRequest pending = found->second;
    m_pendingRequests.erase(found);
    m_lastContact[pending.peer] = m_loop.clock().now();
    if (!parseJson(response.text, result) || m_replica->handleResponse(pending.peer, pending.method, result)) {
        m_log.write(Event::PeerRejected, {{"source", response.sender}, {"method", pending.method}, {"cause", "invalid response"}});
    }
}

void ControlGroup::linkClosed(const std::string &address)
{
    std::erase_if(m_pendingRequests, [&address](const auto &entry) {
        return entry.second.peer == address;
    });
}

bool ControlGroup::expectsReply(const std::string &address) const
{
    return std::any_of(m_pendingRequests.begin(), m_pendingRequests.end(), [&address](const auto &entry) {
        return entry.second.peer == address;
    });
}

void ControlGroup::recordHostReport(const std::string &address, const std::string &diskId)
{
    m_hosts[address] = {diskId, m_loop.clock().now()};
}

std::vector<std::string> ControlGroup::hosts() const
{
    const TimeMs now = m_loop.clock().now();
    std::vector<std::string> result{m_settings.peerAddress};
    for (const GroupMember &member : m_replica->core()->log().members()) {
        if (member.id != m_settings.peerAddress) {
            result.push_back(member.id);
        }
    }
    for (const auto &[address, host] : m_hosts) {
        if (now - host.lastReportAt < listedMs && std::find(result.begin(), result.end(), address) == result.end()) {
            result.push_back(address);
        }
    }
    return result;
}

bool ControlGroup::isCurrent() const
{
    const double age = contactAgeMs();
    return age >= 0 && age < static_cast<double>(shortenedByDrift(RaftOptions().electionMinMs));
}

double ControlGroup::contactAgeMs() const
{
    const TimeMs contact = m_replica->quorumContactMs();
    return contact < 0 ? -1 : static_cast<double>(m_loop.clock().now() - contact);
}

void ControlGroup::tick()
{
    const TimeMs now = m_loop.clock().now();
    m_replica->tick();
    std::erase_if(m_pendingRequests, [now](const auto &entry) {
        return now - entry.second.sentAt > requestTimeoutMs;
    });
    if (m_replica->isReady() && now - m_leadsSince > observationMs && now - m_membershipCheckedAt > membershipCheckPeriodMs) {
        m_membershipCheckedAt = now;
        updateMembership();
    }
}

bool ControlGroup::isLive(const std::string &address, TimeMs now) const
{
    const auto lastContact = m_lastContact.find(address);
    return address == m_settings.peerAddress || (lastContact != m_lastContact.end() && now - lastContact->second < liveMs);
}

// Proposes at most one membership change; the next one follows once it is committed.
void ControlGroup::updateMembership()
{
    const TimeMs now = m_loop.clock().now();
    // A copy, since a membership change replaces the list inside the log.
    const std::vector<GroupMember> members = m_replica->core()->log().members();
    const auto targetSize = 2 * static_cast<std::size_t>(m_settings.fleetLimits.toleratedHosts) + 1;
    const auto ignoreOutcome = [](std::error_code, std::uint64_t) {};
    std::size_t liveVoters = 0;
    for (const GroupMember &member : members) {
        const auto host = m_hosts.find(member.id);
        const bool present = host != m_hosts.end() && now - host->second.lastReportAt < liveMs;
        if (present && member.voter && member.id != m_settings.peerAddress && host->second.diskId != member.diskId) {
            if (!m_replica->addMember(member.id, member.address, ignoreOutcome)) {
                m_log.write(Event::DiskReplaced, {{"host", member.id}, {"disk", host->second.diskId}});
                return;
            }
        }
        liveVoters += member.voter && isLive(member.id, now) ? 1 : 0;
    }
    if (liveVoters < targetSize) {
        for (const auto &[address, host] : m_hosts) {
            if (now - host.lastReportAt < liveMs && !findMember(members, address) && !m_replica->addMember(address, address, ignoreOutcome)) {
                return;
            }
        }
        return;
    }
    for (const GroupMember &member : members) {
        const auto lastContact = m_lastContact.find(member.id);
        const TimeMs silentSince = std::max(m_leadsSince, lastContact == m_lastContact.end() ? 0 : lastContact->second);
        if (member.id != m_settings.peerAddress && members.size() > targetSize && now - silentSince > removeAfterMs) {
            m_replica->removeMember(member.id, ignoreOutcome);
            return;
        }
    }
}
}
