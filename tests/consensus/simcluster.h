#pragma once

#include "consensus/raftcore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Yuccagrade
{
/// Faults of the simulated network and hosts.
struct SimFaults {
    double loss = 0; ///< probability that a message is lost
    double duplicate = 0; ///< probability that a message is delivered twice
    TimeMs maxDelayMs = 2; ///< a message is delayed by 1 to maxDelayMs; larger values reorder messages
    double crash = 0; ///< probability, each time that a host executes actions, that it crashes before or after syncing them
};

/// Simulates hosts with a RaftCore and an in-memory disk each, in simulated time. Violated invariants are collected as
/// texts.
class SimCluster
{
public:
    SimCluster(int hosts, std::uint64_t seed);

    void run(TimeMs duration);
    bool runUntil(const std::function<bool()> &condition, TimeMs limit);
    /// Injects random crashes, partitions, disk losses, member changes and proposals for @p duration.
    void injectFaults(TimeMs duration);
    /// Ends all faults, starts all hosts and admits new disks. Returns true if a proposal is then committed and all hosts
    /// have applied it with the same state.
    bool recoversFromFaults();
    void crash(int host);
    void start(int host);
    /// Crashes the host and replaces its disk by an empty one with a new id.
    void loseDisk(int host);
    /// Crashes the host and swaps its disk with its previous one, as if the wrong disk had been mounted.
    void returnDisk(int host);
    void isolate(int host);
    void connectAll();
    /// Proposes a new command on every host that is a leader.
    void propose();
    /// Adds all removed hosts and all hosts with a new disk to the group through the leader.
    void admit();
    /// Returns the running leader with the highest term; -1 if none.
    int leader() const;
    bool allAgree() const;
    RaftCore &core(int host);
    bool isUp(int host) const;
    std::uint64_t committed() const;
    TimeMs now() const;

    SimFaults faults;
    std::uint64_t compactAfter = 20; ///< entries after which a host takes a snapshot
    std::vector<std::string> violations;

private:
    using Response = std::variant<HelloResponse, VoteResponse, AppendResponse>;
    struct Host {
        std::string id;
        std::string diskId;
        StoredState disk;
        std::vector<std::pair<std::string, StoredState>> previousDisks;
        std::unique_ptr<RaftCore> core;
        int incarnation = 0;
        std::string state; ///< hash chain over all applied entries
        std::uint64_t applied = 0;
    };
    struct Message {
        int from = 0;
        int to = 0;
        int incarnation = 0; ///< of the requesting process; its response is dropped if the process has restarted since
        std::variant<RaftRequest, Response> body;
    };

    int indexOf(const std::string &id) const;
    void step();
    void send(const Message &message);
    void deliver(const Message &message);
    void handleRequest(const Message &message, const RaftRequest &request);
    void handleResponse(const Message &message, const Response &response);
    bool execute(int host, RaftActions actions);
    void store(Host &host, const RaftActions &actions);
    void apply(Host &host, const LogEntry &entry);
    void compact(int host);
    void checkLeaders();
    bool mayLoseDisk(int host) const;
    bool hasMajority(const std::vector<GroupMember> &members, int without) const;
    void randomFault();

    Random m_random;
    TimeMs m_now = 0;
    int m_nextDiskNumber = 0;
    int m_nextCommand = 0;
    std::vector<Host> m_hosts;
    std::vector<GroupMember> m_initialMembers;
    std::multimap<TimeMs, Message> m_messages;
    std::set<std::pair<int, int>> m_blocked;
    std::map<std::uint64_t, std::pair<int, TimeMs>> m_leaders; ///< host and election time, by term
    std::map<std::uint64_t, LogEntry> m_committed;
    std::map<std::uint64_t, std::string> m_states; ///< state after each index
};
}
