#pragma once

#include "base/random.h"
#include "claims/claimcoordinator.h"
#include "claims/claimreplica.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Yuccagrade
{
/// Two epochs of a claim group on four hosts and its claimers, over a network that loses, delays and repeats messages.
class ClaimSimulation
{
public:
    struct Faults {
        double loss = 0.1;
        double duplicate = 0.1;
        double slow = 0.1; ///< delay of up to 30 s instead of 50 ms
        double freeze = 0.2; ///< a claimer freezes for up to 30 s between grant and dispatch
        double restart = 0.04; ///< a replica restarts directly after a grant; half of them take another one along
        bool epochChange = true;
    };

    ClaimSimulation(std::uint64_t seed, const Faults &faults);
    /// Runs @p claimers attempts over @p actions actions for @p durationMs.
    void run(int claimers, int actions, TimeMs durationMs);
    /// Largest number of executions of one action.
    int mostExecutions() const;
    int executions() const;
    int restarts() const;

private:
    struct Host {
        double rate = 1;
        std::map<std::int64_t, std::unique_ptr<ClaimReplica>> replicas;
    };
    using Claimer = std::shared_ptr<ClaimCoordinator>;

    void at(TimeMs delay, std::function<void()> event);
    void send(const std::function<void()> &delivery);
    TimeMs local(double rate) const;
    std::vector<int> members(std::int64_t epoch) const;
    void start(int host, std::int64_t epoch, ReplicaStart how);
    void restart(int host);
    void tickHost(int host);
    void copyFrom(int host, std::int64_t epoch, const CopySend &copy);
    void beginClaim(Id128 action, Id128 token, std::int64_t epoch);
    void act(const Claimer &claimer, ClaimAction action, double rate);
    void dispatch(const Claimer &claimer, double rate);

    Random m_random;
    Faults m_faults;
    TimeMs m_now = 0;
    std::multimap<TimeMs, std::function<void()>> m_events;
    std::vector<Host> m_hosts{4};
    std::int64_t m_epoch = 1;
    std::map<Id128, int> m_executions;
    int m_restarts = 0;
};
}
