#include "simcluster.h"

#include "base/secret.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs tickMs = 10;
}

SimCluster::SimCluster(int hosts, std::uint64_t seed)
    : m_random(seed)
{
    for (int i = 0; i < hosts; ++i) {
        Host host;
        host.id = std::string(1, static_cast<char>('a' + i));
        host.diskId = host.id + std::to_string(++m_nextDiskNumber);
        m_initialMembers.push_back({host.id, host.id, {}, false});
        m_hosts.push_back(std::move(host));
    }
    for (int i = 0; i < hosts; ++i) {
        start(i);
    }
}

int SimCluster::indexOf(const std::string &id) const
{
    return id[0] - 'a';
}

void SimCluster::run(TimeMs duration)
{
    const TimeMs end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

bool SimCluster::runUntil(const std::function<bool()> &condition, TimeMs limit)
{
    const TimeMs end = m_now + limit;
    while (m_now < end && !condition()) {
        step();
    }
    return condition();
}

void SimCluster::step()
{
    m_now += tickMs;
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const Message message = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        deliver(message);
    }
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        if (isUp(i)) {
            execute(i, core(i).tick(m_now));
        }
        if (isUp(i)) {
            compact(i);
        }
    }
    checkLeaders();
}

void SimCluster::send(const Message &message)
{
    const int copies = m_random.fraction() < faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_random.fraction() >= faults.loss) {
            const TimeMs delay = 1 + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(faults.maxDelayMs)));
            m_messages.emplace(m_now + delay, message);
        }
    }
}

void SimCluster::deliver(const Message &message)
{
    if (!isUp(message.to) || m_blocked.contains({message.from, message.to})) {
        return;
    }
    if (const auto *request = std::get_if<RaftRequest>(&message.body)) {
        handleRequest(message, *request);
    } else {
        handleResponse(message, std::get<Response>(message.body));
    }
}

void SimCluster::handleRequest(const Message &message, const RaftRequest &request)
{
    RaftCore &target = core(message.to);
    RaftActions actions;
    Response response;
    const auto keep = [&](auto result) {
        response = result.response;
        actions = std::move(result.actions);
    };
    if (const auto *hello = std::get_if<HelloRequest>(&request)) {
        response = target.handleHello(*hello);
    } else if (const auto *vote = std::get_if<VoteRequest>(&request)) {
        keep(target.handleVote(*vote, m_now));
    } else if (const auto *append = std::get_if<AppendRequest>(&request)) {
        keep(target.handleAppend(*append, m_now));
    } else {
        keep(target.handleSnapshot(std::get<SnapshotRequest>(request), m_now));
    }
    if (execute(message.to, std::move(actions))) {
        send({message.to, message.from, message.incarnation, response});
    }
}

void SimCluster::handleResponse(const Message &message, const Response &response)
{
    if (m_hosts[message.to].incarnation != message.incarnation) {
        return; // the connection ended when the process restarted
    }
    RaftCore &target = core(message.to);
    const std::string &peer = m_hosts[message.from].id;
    if (const auto *hello = std::get_if<HelloResponse>(&response)) {
        execute(message.to, target.handleHelloResponse(peer, *hello, m_now));
    } else if (const auto *vote = std::get_if<VoteResponse>(&response)) {
        execute(message.to, target.handleVoteResponse(peer, *vote, m_now));
    } else {
        execute(message.to, target.handleAppendResponse(peer, std::get<AppendResponse>(response), m_now));
    }
}

// Executes actions; returns false if the host crashed meanwhile. State that was not synced by then is lost.
bool SimCluster::execute(int index, RaftActions actions)
{
    Host &host = m_hosts[index];
    const bool crashes = m_random.fraction() < faults.crash;
    const bool synced = !crashes || m_random.below(2) == 0;
    if (synced) {
        store(host, actions);
    }
    if (crashes) {
        crash(index);
        return false;
    }
    if (actions.restoreState) {
        host.state = actions.snapshot->state;
        host.applied = actions.snapshot->index;
    }
    for (const LogEntry &entry : actions.committed) {
        apply(host, entry);
    }
    for (OutgoingRequest &outgoing : actions.requests) {
        send({index, indexOf(outgoing.peer), host.incarnation, std::move(outgoing.request)});
    }
    return true;
}

void SimCluster::store(Host &host, const RaftActions &actions)
{
    if (actions.needsPersisting()) {
        host.disk.hardState = actions.hardState;
    }
    if (actions.snapshot) {
        host.disk.snapshot = *actions.snapshot;
        host.disk.entries = actions.tail;
    }
    for (const LogEntry &entry : actions.entries) {
        std::erase_if(host.disk.entries, [&entry](const LogEntry &old) {
            return old.index >= entry.index;
        });
        host.disk.entries.push_back(entry);
    }
}

void SimCluster::apply(Host &host, const LogEntry &entry)
{
    const auto [known, added] = m_committed.emplace(entry.index, entry);
    if (!added && !(known->second == entry)) {
        violations.push_back("committed entry " + std::to_string(entry.index) + " changed on " + host.id);
    }
    if (entry.index != host.applied + 1) {
        violations.push_back("entry " + std::to_string(entry.index) + " applied out of order on " + host.id);
    }
    host.applied = entry.index;
    host.state = sha256(host.state + toText(entry.toJson()));
    if (m_states.emplace(entry.index, host.state).first->second != host.state) {
        violations.push_back("states differ at " + std::to_string(entry.index) + " on " + host.id);
    }
}

void SimCluster::compact(int index)
{
    Host &host = m_hosts[index];
    if (host.applied - core(index).log().baseIndex() >= compactAfter) {
        execute(index, core(index).compact(host.state));
    }
}

void SimCluster::checkLeaders()
{
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        if (!isUp(i) || !core(i).isLeader()) {
            continue;
        }
        const std::uint64_t term = core(i).term();
        if (m_leaders.emplace(term, std::pair(i, m_now)).first->second.first != i) {
            violations.push_back("two leaders in term " + std::to_string(term));
        }
        const TimeMs contact = core(i).quorumContactMs(m_now);
        for (auto later = m_leaders.upper_bound(term); later != m_leaders.end(); ++later) {
            if (contact >= later->second.second) {
                violations.push_back("lease of term " + std::to_string(term) + " after election of " + std::to_string(later->first));
            }
        }
    }
}

void SimCluster::crash(int host)
{
    m_hosts[host].core.reset();
}

void SimCluster::start(int index)
{
    Host &host = m_hosts[index];
    ++host.incarnation;
    host.state = host.disk.snapshot.state;
    host.applied = host.disk.snapshot.index;
    RaftIdentity identity{host.id, host.diskId, m_initialMembers};
    host.core = std::make_unique<RaftCore>(std::move(identity), host.disk, RaftOptions(), Random(m_random.below(1U << 30U)), m_now);
}

void SimCluster::loseDisk(int index)
{
    Host &host = m_hosts[index];
    crash(index);
    host.previousDisks.emplace_back(host.diskId, host.disk);
    host.disk = {};
    host.diskId = host.id + std::to_string(++m_nextDiskNumber);
}

void SimCluster::returnDisk(int index)
{
    Host &host = m_hosts[index];
    if (host.previousDisks.empty()) {
        return;
    }
    crash(index);
    std::swap(host.diskId, host.previousDisks.back().first);
    std::swap(host.disk, host.previousDisks.back().second);
}

void SimCluster::isolate(int host)
{
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        m_blocked.insert({host, i});
        m_blocked.insert({i, host});
    }
}

void SimCluster::connectAll()
{
    m_blocked.clear();
}

void SimCluster::propose()
{
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        if (isUp(i) && core(i).isLeader()) {
            execute(i, core(i).propose(Json::Value(++m_nextCommand), m_now).actions);
        }
    }
}

void SimCluster::admit()
{
    for (const Host &host : m_hosts) {
        const int leaderIndex = leader();
        if (leaderIndex >= 0) {
            const GroupMember *member = findMember(core(leaderIndex).log().members(), host.id);
            if (!member || (member->voter && member->diskId != host.diskId)) {
                execute(leaderIndex, core(leaderIndex).addMember(host.id, host.id, m_now).actions);
            }
        }
    }
}

bool SimCluster::hasMajority(const std::vector<GroupMember> &members, int without) const
{
    std::size_t intactVoters = 0;
    std::size_t intactMembers = 0; // includes learners, since the leader may be promoting them
    for (const GroupMember &member : members) {
        const int index = indexOf(member.id);
        intactVoters += member.voter && index != without && m_hosts[index].diskId == member.diskId ? 1 : 0;
        intactMembers += index != without && (!member.voter || m_hosts[index].diskId == member.diskId) ? 1 : 0;
    }
    return intactVoters >= majoritySize(members) && (members.empty() || intactMembers > members.size() / 2);
}

// The protocol guarantees progress only while a majority of every group that any host uses still has its disks.
bool SimCluster::mayLoseDisk(int host) const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [this, host](const Host &other) {
        RaftLog log;
        log.load(other.disk.snapshot, other.disk.entries);
        return hasMajority(log.members(), host);
    });
}

void SimCluster::randomFault()
{
    const int host = static_cast<int>(m_random.below(m_hosts.size()));
    switch (m_random.below(9)) {
    case 0:
        crash(host);
        if (m_random.below(2) == 0) {
            start(host);
        }
        break;
    case 1:
        isolate(host);
        break;
    case 2:
        connectAll();
        break;
    case 3:
        m_blocked.insert({host, static_cast<int>(m_random.below(m_hosts.size()))});
        break;
    case 4:
        if (committed() > 0 && mayLoseDisk(host)) {
            loseDisk(host);
        }
        break;
    case 5: {
        const int leaderIndex = leader();
        if (leaderIndex >= 0 && majoritySize(core(leaderIndex).log().members()) > 2 && mayLoseDisk(host)) {
            execute(leaderIndex, core(leaderIndex).removeMember(m_hosts[host].id, m_now).actions);
        }
        break;
    }
    case 6:
        admit();
        break;
    case 7:
        if (mayLoseDisk(host)) {
            returnDisk(host);
        }
        break;
    default:
        break;
    }
}

void SimCluster::injectFaults(TimeMs duration)
{
    const TimeMs end = m_now + duration;
    while (m_now < end) {
        step();
        if (m_random.below(20) == 0) {
            randomFault();
        }
        if (m_random.below(5) == 0) {
            propose();
        }
        const int host = static_cast<int>(m_random.below(m_hosts.size()));
        if (!isUp(host) && m_random.below(30) == 0) {
            start(host);
        }
    }
}

bool SimCluster::recoversFromFaults()
{
    faults = SimFaults();
    connectAll();
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        if (!isUp(i)) {
            start(i);
        }
    }
    for (int second = 0; second < 30; ++second) {
        run(1000);
        admit();
    }
    const std::uint64_t before = committed();
    propose();
    return runUntil(
        [this, before] {
            return committed() > before && allAgree();
        },
        5000);
}

int SimCluster::leader() const
{
    int best = -1;
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const auto &candidate = m_hosts[i].core;
        if (candidate && candidate->isLeader() && (best < 0 || candidate->term() > m_hosts[best].core->term())) {
            best = i;
        }
    }
    return best;
}

bool SimCluster::allAgree() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
        return host.core && host.core->isVoter() && host.applied == committed() && host.state == m_hosts.front().state;
    });
}

RaftCore &SimCluster::core(int host)
{
    return *m_hosts[host].core;
}

bool SimCluster::isUp(int host) const
{
    return m_hosts[host].core != nullptr;
}

std::uint64_t SimCluster::committed() const
{
    return m_committed.empty() ? 0 : m_committed.rbegin()->first;
}

TimeMs SimCluster::now() const
{
    return m_now;
}
}
