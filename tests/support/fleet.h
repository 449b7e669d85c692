#pragma once

#include "support/faultproxy.h"
#include "support/process.h"
#include "support/testfolder.h"
#include "support/transfer.h"

#include <json/json.h>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// A host with a node and its upstream.
struct NodePlan {
    std::string service;
    std::vector<std::string> nested = {}; ///< paths that the upstream calls through its node
    int slots = 20;
    int connections = 200;
    double serviceMs = 2;
    bool exponential = false;
};

struct DomainPlan {
    std::string name;
    std::string region;
    int controls; ///< number of control hosts
    std::vector<NodePlan> nodes;
};

struct FleetPlan {
    std::vector<DomainPlan> domains;
    bool proxied = false; ///< puts the fault proxy in front of every peer address
    bool upstreams = true; ///< starts an upstream process beside every node
};

/// One host: its settings and processes. Ids are "<domain>-c<n>" for control and "<domain>-n<n>" for nodes, from 1.
struct Host {
    std::string id;
    std::string domain;
    std::string region;
    bool isControl = false;
    NodePlan plan = {};
    std::string ip = {}; ///< source address of all its connections
    std::string callerAddress = {}; ///< node only
    std::string peerAddress = {};
    std::string peerAdvertise = {};
    std::string operatorAddress = {};
    std::string upstreamAddress = {}; ///< node only
    std::unique_ptr<Process> daemon = {};
    std::unique_ptr<Process> upstream = {}; ///< node only
};

/// One execution at a stand-in upstream, also of one that was killed since.
struct Execution {
    std::string host = {};
    double atMs = 0; ///< steadyMs() at the start of the work
    std::string path = {};
    std::string action = {}; ///< Idempotency-Key, "-" for none
    std::string body = {}; ///< up to the first dot, space or line end; must not be empty
};

struct TeamKey {
    std::string id;
    std::string key;
};

/// A whole mesh in a temporary folder (TestFolder).
/// The environment variable YUCCAGRADE_DAEMON names another daemon program, for trials with a mechanism switched off.
/// The waiting functions throw std::runtime_error when their bound has passed.
class Fleet
{
public:
    /// Writes the settings; start() starts the processes.
    explicit Fleet(const FleetPlan &plan);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void start();
    /// Starts the processes of a host that do not run.
    void start(Host &host);
    /// Kills the processes of a host with SIGKILL.
    static void kill(Host &host);
    Host &host(const std::string &id);
    std::vector<Host *> controls();
    /// Hosts with a node, all or those of one service.
    std::vector<Host *> nodes(const std::string &service = {});
    /// Caller addresses of the nodes that run.
    std::vector<std::string> callerAddresses();
    const std::string &folder() const
    {
        return m_folder.path();
    }

    /// Sends an operator call to the leader; searches it until one answers with neither 421 nor 503.
    HttpAnswer operatorCall(const std::string &method, const std::string &path, Json::Value body = {}, double boundMs = 10000);
    /// Like operatorCall() for a call that must succeed. Returns the answer's JSON.
    Json::Value mustOperatorCall(const std::string &method, const std::string &path, const Json::Value &body = {});
    /// Submits a manifest. Returns the state index of the entry.
    std::uint64_t apply(const std::string &manifest);
    TeamKey giveKey(const std::string &team);
    void withdrawKey(const std::string &keyId);
    /// Returns the control host that leads, nullptr if it is none of this fleet.
    Host *leader();
    /// Waits until every running node answers POST @p path with status 200.
    void waitUntilServing(const std::string &path, const std::string &key, double boundMs = 20000);
    /// Sends POST @p path to a node; @p action is the Idempotency-Key, empty for none.
    static HttpAnswer call(const Host &node, const std::string &path, const std::string &key, const std::string &body, const std::string &action = {});
    static Json::Value upstreamStats(const Host &node);
    /// Executions at all upstreams since the start of the fleet.
    std::vector<Execution> executions() const;

    /// Sets the rule for all connections between both groups, in both directions; only with FleetPlan::proxied.
    void partition(const std::vector<Host *> &one, const std::vector<Host *> &other, const FaultRule &rule);
    FaultProxy &proxy()
    {
        return *m_proxy;
    }

private:
    void addHost(const DomainPlan &domain, bool isControl, int number, const NodePlan &plan);
    bool allControlsEnded();
    void writeSettings(const Host &host) const;
    std::string path(const Host &host, const std::string &suffix) const;

    TestFolder m_folder;
    std::string m_operatorSecret;
    bool m_upstreams;
    std::unique_ptr<FaultProxy> m_proxy;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::string m_leaderAddress; ///< operator address to try first
};
}
