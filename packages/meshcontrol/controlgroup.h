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
/// Membership of the consensus group, kept by the leader without an operator: admits hosts while voters are missing,
/// re-admits a host whose disk came back empty, and removes hosts that are gone once others take their place.
class ControlGroup
{
public:
    ControlGroup(EventLoop &loop, LinkPool &links, EventLog &log, const MeshSettings &settings);
    ~ControlGroup();
    ControlGroup(const ControlGroup &) = delete;
    ControlGroup &operator=(const ControlGroup &) = delete;

    /// Called with each committed entry; a null value for entries that are not commands.
    std::function<void(std::uint64_t index, const Json::Value &command)> onApply;
    std::function<void(std::uint64_t index, const std::string &state)> onRestore;
    std::function<std::string()> saveState;
    std::function<void(bool leads)> onLeadership;

    /// Opens the data folder. Returns false if the host cannot run.
    bool open();
    /// Serves a request of another control host; returns the response, or false if there is none.
    bool serve(const ConsensusMessage &request, ConsensusMessage &response);
    void received(const ConsensusMessage &response);
    void linkClosed(const std::string &address);
    bool expectsReply(const std::string &address) const;
    /// Another control host reported itself to this one.
    void noteHost(const std::string &address, const std::string &diskId);
    /// Peer addresses of the control hosts that were heard lately, and of the group.
    std::vector<std::string> hosts() const;

    Replica &replica()
    {
        return *m_replica;
    }
    /// True if this host leads and no other can have been elected since, so that its state is the newest.
    bool isCurrent() const;
    /// Age of the last contact with a majority in ms; negative if this host does not lead.
    double contactAgeMs() const;
    std::string leaderAddress() const
    {
        return m_replica->leaderAddress();
    }

private:
    struct Host {
        std::string diskId;
        TimeMs heardAt = 0;
    };
    struct Pending {
        std::string peer;
        std::string method;
        TimeMs sentAt = 0;
    };
    void send(const std::string &peer, const std::string &address, const std::string &method, const Json::Value &params);
    void tick();
    void manage();
    bool isLive(const std::string &address, TimeMs now) const;

    EventLoop &m_loop;
    LinkPool &m_links;
    EventLog &m_log;
    const MeshSettings &m_settings;
    std::unique_ptr<Replica> m_replica;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Host> m_hosts; ///< by peer address
    std::map<std::string, TimeMs> m_heard; ///< answers and requests of group members
    TimeMs m_managedAt = 0;
    TimeMs m_leadsSince = 0;
    TimerId m_timer = 0;
};
}
