#include "simulation.h"

#include "claims/actionhash.h"

#include <algorithm>

namespace Yuccagrade
{
ClaimSimulation::ClaimSimulation(std::uint64_t seed, const Faults &faults)
    : m_random(seed)
    , m_faults(faults)
{
    for (Host &host : m_hosts) {
        host.rate = 0.95 + 0.1 * m_random.fraction();
    }
    for (const int host : members(1)) {
        start(host, 1, ReplicaStart::FirstEpoch);
    }
}

void ClaimSimulation::run(int claimers, int actions, TimeMs durationMs)
{
    for (int i = 0; i < claimers; ++i) {
        at(static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(durationMs))), [this, actions] {
            const bool stale = m_random.fraction() < 0.3; // a claimer that has not heard of the new epoch
            beginClaim({0, m_random.below(static_cast<std::uint64_t>(actions))}, claimToken(m_random), stale ? 1 : m_epoch);
        });
    }
    for (TimeMs t = 0; t < durationMs; t += 100) {
        at(t, [this] {
            for (int host = 0; host < 4; ++host) {
                tickHost(host);
            }
        });
    }
    if (m_faults.epochChange) {
        at(static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(durationMs))), [this] {
            m_epoch = 2;
            for (const int host : members(2)) {
                start(host, 2, ReplicaStart::NewEpoch);
            }
        });
    }
    while (!m_events.empty() && m_events.begin()->first <= durationMs) {
        auto first = m_events.extract(m_events.begin());
        m_now = first.key();
        first.mapped()();
    }
}

int ClaimSimulation::mostExecutions() const
{
    int most = 0;
    for (const auto &[action, count] : m_executions) {
        most = std::max(most, count);
    }
    return most;
}

int ClaimSimulation::executions() const
{
    int sum = 0;
    for (const auto &[action, count] : m_executions) {
        sum += count;
    }
    return sum;
}

int ClaimSimulation::restarts() const
{
    return m_restarts;
}

void ClaimSimulation::at(TimeMs delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void ClaimSimulation::send(const std::function<void()> &delivery)
{
    if (m_random.fraction() < m_faults.loss) {
        return;
    }
    const int copies = m_random.fraction() < m_faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool slow = m_random.fraction() < m_faults.slow;
        at(static_cast<TimeMs>(m_random.below(slow ? 30'000 : 50)), delivery);
    }
}

TimeMs ClaimSimulation::local(double rate) const
{
    return static_cast<TimeMs>(static_cast<double>(m_now) * rate);
}

std::vector<int> ClaimSimulation::members(std::int64_t epoch) const
{
    return epoch == 1 ? std::vector<int>{0, 1, 2} : std::vector<int>{1, 2, 3};
}

void ClaimSimulation::start(int host, std::int64_t epoch, ReplicaStart how)
{
    Host &target = m_hosts[static_cast<std::size_t>(host)];
    target.replicas[epoch] = std::make_unique<ClaimReplica>(ReplicaOptions{0, epoch, how, 1}, local(target.rate));
}

void ClaimSimulation::restart(int host)
{
    ++m_restarts;
    for (auto &[epoch, replica] : m_hosts[static_cast<std::size_t>(host)].replicas) {
        start(host, epoch, ReplicaStart::Restarted);
    }
}

void ClaimSimulation::tickHost(int host)
{
    Host &target = m_hosts[static_cast<std::size_t>(host)];
    for (auto &[epoch, replica] : target.replicas) {
        for (const CopySend &copy : replica->tick(local(target.rate), m_random)) {
            copyFrom(host, epoch, copy);
        }
    }
}

void ClaimSimulation::copyFrom(int host, std::int64_t epoch, const CopySend &copy)
{
    std::vector<int> sources = members(copy.request.epoch);
    if (!copy.request.seal) {
        std::erase(sources, host);
    }
    const int from = sources[static_cast<std::size_t>(copy.source)];
    send([this, host, epoch, copy, from] {
        Host &source = m_hosts[static_cast<std::size_t>(from)];
        const CopyAnswer answer = source.replicas.at(copy.request.epoch)->copy(copy.request, local(source.rate));
        send([this, host, epoch, copy, answer] {
            Host &target = m_hosts[static_cast<std::size_t>(host)];
            const auto next = target.replicas.at(epoch)->onCopyAnswer(copy.source, answer, local(target.rate));
            if (next) {
                copyFrom(host, epoch, *next);
            }
        });
    });
}

void ClaimSimulation::beginClaim(Id128 action, Id128 token, std::int64_t epoch)
{
    const double rate = 0.95 + 0.1 * m_random.fraction();
    const auto claimer = std::make_shared<ClaimCoordinator>(ClaimRequest{0, epoch, action, token}, local(rate), 40'000);
    const std::vector<int> hosts = members(epoch);
    for (int i = 0; i < 3; ++i) {
        const int host = hosts[static_cast<std::size_t>(i)];
        send([this, claimer, host, i, rate, epoch] {
            Host &target = m_hosts[static_cast<std::size_t>(host)];
            const ClaimAnswer answer = target.replicas.at(epoch)->claim(claimer->request(), local(target.rate));
            send([this, claimer, answer, i, rate] {
                act(claimer, claimer->onAnswer(i, answer), rate);
            });
            if (answer.result == ClaimResult::Granted && m_random.fraction() < m_faults.restart) {
                restart(host);
                if (m_random.fraction() < 0.5) {
                    restart(static_cast<int>(m_random.below(3)) + static_cast<int>(epoch) - 1);
                }
            }
        });
    }
    at(40'000, [this, claimer, rate] {
        act(claimer, claimer->tick(local(rate) + 2'000), rate);
    });
}

void ClaimSimulation::act(const Claimer &claimer, ClaimAction action, double rate)
{
    const ClaimRequest request = claimer->request();
    if (action == ClaimAction::Release) {
        const std::vector<int> hosts = members(request.epoch);
        for (const int host : hosts) {
            send([this, request, host] {
                Host &target = m_hosts[static_cast<std::size_t>(host)];
                target.replicas.at(request.epoch)->release(request, local(target.rate));
            });
        }
        if (claimer->state() == ClaimState::WrongEpoch && request.epoch < m_epoch) {
            beginClaim(request.action, request.token, m_epoch);
        }
    } else if (action == ClaimAction::Proceed) {
        const bool frozen = m_random.fraction() < m_faults.freeze;
        at(frozen ? static_cast<TimeMs>(m_random.below(30'000)) : 0, [this, claimer, rate] {
            dispatch(claimer, rate);
        });
    }
}

void ClaimSimulation::dispatch(const Claimer &claimer, double rate)
{
    if (!claimer->mayDispatch(local(rate))) {
        act(claimer, claimer->abandon(), rate);
        return;
    }
    claimer->dispatched();
    if (m_random.fraction() < 0.1) {
        claimer->notRun(); // connect failure: the claim is given back
        act(claimer, claimer->abandon(), rate);
        return;
    }
    ++m_executions[claimer->request().action];
}
}
