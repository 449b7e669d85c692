#pragma once

#include "base/eventlog.h"
#include "mesh/framelink.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Keeps a process in contact with the leading control host: reports its state, and receives configuration, directory
/// and shares. Finds the leader through the seeds and the control hosts that a leader named.
class LeaderClient
{
public:
    LeaderClient(EventLoop &loop, LinkPool &links, EventLog &log, std::vector<std::string> seeds);

    /// Fills in the report; the sequence is set afterwards.
    std::function<SyncMessage()> report;
    /// An answer or an update of the leader. @p sentMs is when the question was sent, 0 for an update.
    std::function<void(const SyncReplyMessage &, TimeMs sentMs)> onReply;

    /// Starts the periodic reports.
    void start();
    /// Reports at once, such as after a change of state.
    void reportNow();
    void handleSyncReply(const std::string &address, const SyncReplyMessage &reply);
    void linkClosed(const std::string &address);
    void setSeeds(const std::vector<std::string> &seeds);
    bool expectsReply(const std::string &address) const
    {
        return address == m_target && !m_sentAt.empty();
    }
    /// Peer address of the leader, empty if not in contact.
    std::string leader() const
    {
        return m_inContact ? m_target : std::string();
    }

private:
    void tick();
    void send();
    void switchTarget();
    void setContact(bool inContact);

    EventLoop &m_loop;
    LinkPool &m_links;
    EventLog &m_log;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_controlHosts; ///< seeds and hosts that a leader named
    std::size_t m_nextHost = 0;
    std::string m_target;
    bool m_inContact = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_term = 0; ///< newest term of a leader that answered
    TimeMs m_answeredAt = 0;
    std::map<std::uint64_t, TimeMs> m_sentAt; ///< unanswered reports
};
}
