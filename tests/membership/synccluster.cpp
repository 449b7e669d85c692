#include "synccluster.h"

namespace Yuccagrade
{
StateHooks IndexState::hooks()
{
    return {[this] {
                return index;
            },
            [this](std::uint64_t next, const Json::Value &) {
                index = next;
            },
            [this](const std::string &text) {
                index = std::stoull(text);
                return true;
            }};
}

SyncProcess::SyncProcess(const Member &self, const std::vector<std::string> &seeds, std::uint64_t startIndex)
    : state{startIndex}
    , view(self.id + ';' + std::to_string(self.incarnation))
    , feed([this] {
        return state.snapshot();
    })
    , receiver(state.hooks(), feed)
    , client(self, seeds, view, proofs, receiver, lease)
    , server(self.domain, view, proofs, feed)
{
    feed.restart(startIndex);
}

SyncCluster::SyncCluster(int controls, int domains, int nodesPerDomain, std::uint64_t seed)
    : random(seed)
    , m_controls(controls)
{
    for (int i = 0; i < controls + domains * nodesPerDomain; ++i) {
        SyncHost host;
        host.member.id = host.member.peerAddress = 'h' + std::to_string(i);
        host.member.control = i < controls;
        host.member.domain = 'd' + std::to_string(i < controls ? i % domains : (i - controls) % domains);
        host.clockRate = 0.95 + 0.1 * random.fraction();
        host.clockOffset = static_cast<TimeMs>(random.below(100'000));
        host.diskIndex = host.member.control ? 1 : 0;
        hosts.push_back(std::move(host));
        start(hosts.size() - 1);
    }
    elect(0);
}

void SyncCluster::start(std::size_t index)
{
    SyncHost &host = hosts[index];
    host.member.incarnation = static_cast<std::uint64_t>(now);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < m_controls; ++i) {
        seeds.push_back('h' + std::to_string(i));
    }
    host.process = std::make_unique<SyncProcess>(host.member, seeds, host.diskIndex);
}

void SyncCluster::stop(std::size_t index)
{
    hosts[index].process.reset();
}

std::uint64_t SyncCluster::commit()
{
    if (!isRunning(leader) || !hasMajority(leader)) {
        return 0;
    }
    ++lastIndex;
    applyCommitted(leader);
    return lastIndex;
}

void SyncCluster::block(std::size_t from, std::size_t to)
{
    m_blocked.insert({from, to});
}

void SyncCluster::isolate(std::size_t host)
{
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        block(i, host);
        block(host, i);
    }
}

void SyncCluster::heal()
{
    m_blocked.clear();
}

TimeMs SyncCluster::local(const SyncHost &host) const
{
    return host.clockOffset + static_cast<TimeMs>(static_cast<double>(now) * host.clockRate);
}

std::uint64_t SyncCluster::lowestIndex() const
{
    std::uint64_t lowest = lastIndex;
    for (const SyncHost &host : hosts) {
        lowest = host.process ? std::min(lowest, host.process->state.index) : lowest;
    }
    return lowest;
}

bool SyncCluster::isRunning(std::size_t host) const
{
    return hosts[host].process && hosts[host].frozenUntil <= now;
}

bool SyncCluster::reaches(std::size_t from, std::size_t to) const
{
    return !m_blocked.count({from, to});
}

bool SyncCluster::hasMajority(std::size_t control) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_controls; ++i) {
        count += isRunning(i) && reaches(i, control) && reaches(control, i) ? 1 : 0;
    }
    return 2 * count > m_controls;
}

void SyncCluster::tickConsensus()
{
    for (std::size_t i = 0; i < m_controls; ++i) {
        SyncProcess *process = hosts[i].process.get();
        if (isRunning(i) && process->leases && local(hosts[i]) - process->contactAt > 1'000) {
            resign(*process);
        }
    }
    if (isRunning(leader) && hosts[leader].process->leases && hasMajority(leader)) {
        m_leaderContact = now;
        hosts[leader].process->contactAt = local(hosts[leader]);
        hosts[leader].process->proofs.contacted(local(hosts[leader]), lastIndex);
        for (std::size_t i = 0; i < m_controls; ++i) {
            if (isRunning(i) && reaches(leader, i)) {
                applyCommitted(i);
            }
        }
        return;
    }
    for (std::size_t i = 0; i < m_controls && now - m_leaderContact > 700; ++i) {
        if (i != leader && isRunning(i) && hasMajority(i)) {
            elect(i);
        }
    }
}

void SyncCluster::elect(std::size_t host)
{
    leader = host;
    m_leaderContact = now;
    ++lastIndex; // the new leader's own entry
    SyncProcess &process = *hosts[host].process;
    const TimeMs electedAt = local(hosts[host]);
    process.contactAt = electedAt;
    process.leases = std::make_unique<CoordinatorLeaseTable>(electedAt);
    process.tracker = std::make_unique<ConfirmationTracker>(electedAt);
    process.committedAt.clear();
    applyCommitted(host);
    LeaderHooks hooks;
    hooks.lease = [this, host, &process](const SyncRequest &request) {
        return process.leases->grant(request, process.contactAt, local(hosts[host]));
    };
    hooks.coordinator = [this, host, &process](const std::string &domain) {
        return process.leases->holder(domain, local(hosts[host]));
    };
    hooks.confirm = [&process](const StateConfirmation &confirmation) {
        process.tracker->confirm(confirmation.id, confirmation.incarnation, confirmation.stateIndex);
    };
    hooks.lose = [this, host, &process](const Member &member) {
        process.tracker->lose(member.id, member.incarnation, local(hosts[host]));
    };
    process.server.setLeaderHooks(hooks);
}

void SyncCluster::resign(SyncProcess &process)
{
    process.leases.reset();
    process.tracker.reset();
    process.server.setLeaderHooks({});
}

void SyncCluster::applyCommitted(std::size_t host)
{
    SyncProcess &process = *hosts[host].process;
    while (process.state.index < lastIndex) {
        process.feed.append(++process.state.index, {});
        process.committedAt[process.state.index] = local(hosts[host]);
    }
    hosts[host].diskIndex = lastIndex;
}

void SyncCluster::run(TimeMs duration)
{
    constexpr TimeMs stepMs = 10;
    for (const TimeMs end = now + duration; now < end; now += stepMs) {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        if (now % 100 == 0) {
            tickConsensus();
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (isRunning(i)) {
                tickHost(i);
            }
        }
        if (now % 50 == 0) {
            check();
        }
    }
}

void SyncCluster::tickHost(std::size_t index)
{
    SyncProcess &process = *hosts[index].process;
    const TimeMs time = local(hosts[index]);
    if (now % 100 == 0) {
        process.server.expire(process.leases ? SyncRole::Leader : process.client.role(time), time);
    }
    if (process.leases) {
        process.view.hear(process.client.self(), process.state.index, time);
        process.tracker->confirm(process.client.self().id, process.client.self().incarnation, process.state.index);
    } else if (const auto action = process.client.poll(time, random)) {
        send(index, *action);
    }
}

void SyncCluster::send(std::size_t from, const SyncAction &action)
{
    const std::size_t to = std::stoul(action.address.substr(1));
    const TimeMs sentAt = local(hosts[from]);
    const std::uint64_t incarnation = hosts[from].member.incarnation;
    transmit(from, to, [=, this, request = action.request] {
        deliver(from, to, request, sentAt, incarnation);
    });
}

void SyncCluster::deliver(std::size_t from, std::size_t to, const SyncRequest &request, TimeMs sentAt, std::uint64_t incarnation)
{
    SyncProcess &process = *hosts[to].process;
    const TimeMs time = local(hosts[to]);
    SyncContacts contacts = process.client.contacts(time);
    if (process.leases) {
        contacts.leaderAddress = hosts[to].member.peerAddress;
    }
    const SyncRole role = process.leases ? SyncRole::Leader : process.client.role(time);
    transmit(to, from, [=, this, response = process.server.answer(request, role, contacts, time)] {
        if (hosts[from].member.incarnation == incarnation) {
            hosts[from].process->client.answered(response, sentAt, local(hosts[from]));
        }
    });
}

void SyncCluster::transmit(std::size_t from, std::size_t to, const std::function<void()> &arrive)
{
    const int copies = random.fraction() < loss ? 0 : random.fraction() < duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const TimeMs delay = 1 + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(maxDelay)));
        m_events.emplace(now + delay, [=, this] {
            if (reaches(from, to) && isRunning(to)) {
                arrive();
            }
        });
    }
}

void SyncCluster::check()
{
    std::map<std::string, int> coordinators;
    for (SyncHost &host : hosts) {
        if (!host.process) {
            continue;
        }
        const TimeMs time = local(host);
        const std::uint64_t index = host.process->state.index;
        auto &[incarnation, highest] = m_highest[host.member.id];
        if (incarnation == host.member.incarnation && index < highest) {
            faults.push_back("state reverted on " + host.member.id);
        }
        incarnation = host.member.incarnation;
        highest = index;
        if (host.process->lease.isHeld(time) && ++coordinators[host.member.domain] > 1) {
            faults.push_back("two coordinator leases in " + host.member.domain);
        }
        if (host.process->leases && host.frozenUntil <= now) {
            for (const auto &[commit, at] : host.process->committedAt) {
                if (host.process->tracker->isWithdrawalDone(commit, at, time)) {
                    m_withdrawn.insert(commit);
                }
            }
        }
    }
    for (const SyncHost &host : hosts) {
        const bool serves = host.process && host.process->proofs.isValid(host.process->state.index, local(host));
        if (serves && !m_withdrawn.empty() && host.process->state.index < *m_withdrawn.rbegin()) {
            faults.push_back("withdrawn state used on " + host.member.id);
        }
    }
}
}
