#pragma once

#include "membership/confirmation.h"
#include "membership/syncclient.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Yuccagrade
{
/// State machine double: its text is the index, so a reversal shows as a lower index.
struct IndexState {
    std::uint64_t index = 0;
    StateHooks hooks();
    StateSnapshot snapshot() const
    {
        return {index, std::to_string(index)};
    }
};

/// Everything that a process loses when it restarts.
struct SyncProcess {
    SyncProcess(const Member &self, const std::vector<std::string> &seeds, std::uint64_t startIndex);

    IndexState state;
    MemberView view;
    ProofHolder proofs;
    StateFeed feed;
    StateReceiver receiver;
    CoordinatorLeaseHolder lease;
    SyncClient client;
    SyncServer server;
    std::unique_ptr<CoordinatorLeaseTable> leases; ///< set while the process believes to lead
    std::unique_ptr<ConfirmationTracker> tracker;
    TimeMs contactAt = 0;
    std::map<std::uint64_t, TimeMs> committedAt;
};

struct SyncHost {
    Member member;
    double clockRate = 1;
    TimeMs clockOffset = 0;
    TimeMs frozenUntil = 0;
    std::unique_ptr<SyncProcess> process; ///< null while it is down
    std::uint64_t diskIndex = 0; ///< committed state that a control host keeps over a restart
};

/// Simulates control hosts and nodes on a faulty network. Consensus is replaced by a log with one true leader.
class SyncCluster
{
public:
    SyncCluster(int controls, int domains, int nodesPerDomain, std::uint64_t seed);

    void run(TimeMs duration);
    void start(std::size_t host);
    void stop(std::size_t host);
    /// Appends a command if the true leader reaches a majority. Returns its index or 0.
    std::uint64_t commit();
    void block(std::size_t from, std::size_t to);
    void isolate(std::size_t host);
    void heal();
    TimeMs local(const SyncHost &host) const;
    /// Index of the lowest applied state of all running processes.
    std::uint64_t lowestIndex() const;

    std::vector<SyncHost> hosts;
    std::vector<std::string> faults; ///< violated rules
    Random random;
    TimeMs now = 1'000;
    double loss = 0;
    double duplicates = 0;
    TimeMs maxDelay = 5;
    std::size_t leader = 0;
    std::uint64_t lastIndex = 1;

private:
    bool isRunning(std::size_t host) const;
    bool reaches(std::size_t from, std::size_t to) const;
    bool hasMajority(std::size_t control) const;
    void tickConsensus();
    void elect(std::size_t host);
    void resign(SyncProcess &process);
    void applyCommitted(std::size_t host);
    void tickHost(std::size_t host);
    void send(std::size_t from, const SyncAction &action);
    void deliver(std::size_t from, std::size_t to, const SyncRequest &request, TimeMs sentAt, std::uint64_t incarnation);
    void transmit(std::size_t from, std::size_t to, const std::function<void()> &arrive);
    void check();

    std::size_t m_controls;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked;
    std::multimap<TimeMs, std::function<void()>> m_events;
    TimeMs m_leaderContact = 0;
    std::set<std::uint64_t> m_withdrawn; ///< indices whose former state must be refused everywhere
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_highest; ///< incarnation and index by host
};
}
