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
    double loss = 0; ///< chance that a message is lost
    double duplicate = 0; ///< chance that a message arrives twice
    TimeMs maxDelayMs = 2; ///< messages take 1 to maxDelayMs, so larger values reorder them
    double crash = 0; ///< chance per processed step that a host stops before or after it syncs
};

/// Hosts with cores and disks in memory, in simulated time. Broken invariants are collected as texts.
class SimCluster
{
public:
    SimCluster(int hosts, std::uint64_t seed);

    void run(TimeMs duration);
    bool runUntil(const std::function<bool()> &condition, TimeMs limit);
    /// Crashes, partitions, disk losses, member changes and proposals at random for @p duration.
    void chaos(TimeMs duration);
    /// Ends all faults, starts all hosts and admits new disks; true if all hosts then agree and take a proposal.
    bool heals();
    void crash(int host);
    void start(int host);
    /// Crashes the host and gives it an empty disk with a new id.
    void loseDisk(int host);
    void isolate(int host);
    void connectAll();
    /// Proposes a new command on every host that leads.
    void propose();
    /// Admits hosts whose disk is new, and removed hosts, through the leader.
    void admit();
    /// Returns the leader of the highest term among the running hosts, -1 if none.
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
        std::unique_ptr<RaftCore> core;
        int incarnation = 0;
        std::string state; ///< chain over all applied entries
        std::uint64_t applied = 0;
    };
    struct Message {
        int from = 0;
        int to = 0;
        int incarnation = 0; ///< of the receiver of a response
        std::variant<RaftRequest, Response> body;
    };

    int indexOf(const std::string &id) const;
    void step();
    void send(const Message &message);
    void deliver(const Message &message);
    void serve(const Message &message, const RaftRequest &request);
    void take(const Message &message, const Response &response);
    bool perform(int host, RaftActions actions);
    void store(Host &host, const RaftActions &actions);
    void apply(Host &host, const LogEntry &entry);
    void compact(int host);
    void checkLeaders();
    bool mayLoseDisk(int host) const;
    bool hasMajority(const std::vector<GroupMember> &members, int without) const;
    void randomFault();

    Random m_random;
    TimeMs m_now = 0;
    int m_nextDisk = 0;
    int m_nextCommand = 0;
    std::vector<Host> m_hosts;
    std::vector<GroupMember> m_initial;
    std::multimap<TimeMs, Message> m_messages;
    std::set<std::pair<int, int>> m_blocked;
    std::map<std::uint64_t, std::pair<int, TimeMs>> m_leaders; ///< by term: host and time of election
    std::map<std::uint64_t, LogEntry> m_committed;
    std::map<std::uint64_t, std::string> m_states; ///< state after each index
};
}
