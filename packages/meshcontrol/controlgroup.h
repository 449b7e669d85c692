#pragma once

#include "base/eventlog.h"
#include "consensus/replica.h"
#include "mesh/framelink.h"
#include "mesh/meshsettings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Yuccagrade::Mesh
{
/// Runs this host's replica of the consensus group. The leader adjusts the group's membership without an operator: it adds
/// hosts while live voters are missing, adds a host again whose disk was replaced, and removes unreachable hosts once
/// replacements are in the group.
class ControlGroup
{
public:
    ControlGroup(EventLoop &loop, LinkPool &links, EventLog &log, const MeshSettings &settings, FileHooks fileHooks = {});
    ~ControlGroup();
    ControlGroup(const ControlGroup &) = delete;
    ControlGroup &operator=(const ControlGroup &) = delete;

    /// Called for each committed entry; the command is null for entries of other kinds.
    std::function<void(std::uint64_t index, const Json::Value &command)> onApply;
    std::function<void(std::uint64_t index, const std::string &state)> onRestore;
    std::function<std::string()> saveState;
    std::function<void(bool leads)> onLeadership;
    /// Called before the data folder is opened again after a failed write; the state applied so far is to be dropped.
    std::function<void()> onReopen;

    /// Opens the data folder and starts the replica. While the disk refuses writes, the host takes no part in the group and
    /// tries again. Returns false if the host cannot run: the folder is damaged or used by another process.
    bool open();
    /// Handles a request of another control host. Returns false if there is no response to send.
    bool serve(const ConsensusMessage &request, ConsensusMessage &response);
    void received(const ConsensusMessage &response);
    void linkClosed(const std::string &address);
    bool expectsReply(const std::string &address) const;
    /// Records a report of another control host.
    void recordHostReport(const std::string &address, const std::string &diskId);
    /// Returns the peer addresses of this host, the group members and the control hosts that reported recently.
    std::vector<std::string> hosts() const;

    Replica &replica()
    {
        return *m_replica;
    }
    /// True if this host leads and was in contact with a majority so recently that no other host can have been elected; its
    /// state is then the latest.
    bool isCurrent() const;
    /// Returns the time in ms since the last contact with a majority; negative if this host does not lead.
    double contactAgeMs() const;
    std::string leaderAddress() const
    {
        return m_replica->leaderAddress();
    }

private:
    struct Host {
        std::string diskId;
        TimeMs lastReportAt = 0;
    };
    struct PendingRequest {
        std::string peer;
        std::string method;
        TimeMs sentAt = 0;
    };
    std::error_code startReplica();
    ReplicaHooks replicaHooks();
    void handleStorageFailure(std::error_code error);
    void scheduleReopen();
    void reopen();
    void send(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params);
    void tick();
    void updateMembership();
    bool isLive(const std::string &address, TimeMs now) const;

    EventLoop &m_loop;
    LinkPool &m_links;
    EventLog &m_log;
    const MeshSettings &m_settings;
    FileHooks m_fileHooks;
    std::unique_ptr<Replica> m_replica;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Host> m_hosts; ///< by peer address
    std::map<std::string, TimeMs> m_lastContact; ///< time of the last request or response, by peer address
    TimeMs m_membershipCheckedAt = 0;
    TimeMs m_leadsSince = 0;
    TimerId m_timer = 0;
    TimerId m_reopenTimer = 0;
};
}
