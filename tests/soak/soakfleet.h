#pragma once

#include "standins.h"
#include "support/faultproxy.h"
#include "support/process.h"

#include <atomic>
#include <thread>

namespace Yuccagrade::Soak
{
/// Syncs a file again and again and tells how long the disk of this machine stalled. All control hosts share that disk, and
/// none of them can commit while it stalls.
class DiskProbe
{
public:
    explicit DiskProbe(const std::string &folder);
    ~DiskProbe();
    DiskProbe(const DiskProbe &) = delete;
    DiskProbe &operator=(const DiskProbe &) = delete;

    /// Returns the time of all stalls so far, one that goes on included, in ms.
    double stalledMs() const;

private:
    void run(const std::string &path);

    std::atomic<bool> m_stop = false;
    std::atomic<double> m_stalledMs = 0;
    std::atomic<double> m_startedMs = 0; ///< of the present sync; 0 between syncs
    std::thread m_thread;
};

/// One process of the mesh behind the proxy.
struct Host {
    std::string name;
    std::string domain;
    std::string ip; ///< as other processes know it; the proxy listens here
    std::string listenIp;
    std::string callerAddress; ///< node only
    std::string operatorAddress; ///< control only
    std::string folder; ///< of its settings and data
    bool control = false;
    bool frozen = false;
    bool stopping = false; ///< got SIGTERM
    bool signalled = false; ///< got SIGTERM or SIGHUP since its start
    std::uintmax_t logBytesBefore = 0; ///< written by earlier processes of the host
    bool large = false; ///< its process has exceeded the memory bound
    std::unique_ptr<Test::Process> process;
};

/// The real processes of a mesh with stand-in servers: three domains, each with a control host and two nodes.
class Fleet
{
public:
    /// @param extraSettings lines that are appended to the settings of all hosts
    Fleet(EventLoop &loop, Ledger &ledger, const std::string &program, const std::string &folder, std::uint64_t seed, const std::string &extraSettings = {});
    ~Fleet();

    std::vector<Host> &hosts()
    {
        return m_hosts;
    }
    Server &server(std::size_t index)
    {
        return *m_servers.at(index);
    }
    std::size_t servers() const
    {
        return m_servers.size();
    }
    /// Starts the process of a host. @p first is true only when the whole system starts for the first time.
    void start(Host &host, bool first);
    void kill(Host &host);
    /// Returns the peak of the resident memory of a host's process in KiB, 0 if it has none.
    static long peakKiB(const Host &host);
    /// Sends SIGTERM.
    static void stop(Host &host);
    /// Sends SIGHUP.
    static void hangUp(Host &host);
    /// Returns true if the process of the host has written to its log.
    static bool hasBegun(const Host &host);
    /// Kills a control host and removes its data.
    void wipe(Host &host);
    /// Sets the rule of the path between two hosts, in the direction of the connection.
    void setPath(const Host &from, const Host &to, const Test::FaultRule &rule);
    /// Sets the rule between a node and its server.
    void setServerPath(std::size_t index, const Test::FaultRule &rule);
    /// Removes all faults of the network.
    void heal();
    /// Service of the server beside a node.
    std::string serviceOf(const Host &node) const;

private:
    void writeSettings(const Host &host, bool first) const;

    EventLoop &m_loop;
    Ledger &m_ledger;
    std::string m_program;
    std::string m_extraSettings;
    std::vector<Host> m_hosts; ///< control hosts first
    std::vector<std::unique_ptr<Server>> m_servers; ///< one for each node, in their order
    std::unique_ptr<Test::FaultProxy> m_proxy;
};
}
