#pragma once

#include "base/eventlog.h"
#include "mesh/framelink.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Connects a process to the leader of the control hosts: sends reports of its state, and receives the configuration,
/// directory and shares. Finds the leader through the seeds and the control hosts in the replies of leaders.
class LeaderClient
{
public:
    LeaderClient(EventLoop &loop, LinkPool &links, EventLog &log, std::vector<std::string> seeds);

    /// Returns the next report; LeaderClient sets its sequence.
    std::function<SyncMessage()> report;
    /// Called with a reply or an update of the leader. @p sentMs is the send time of the report, 0 for an update.
    std::function<void(const SyncReplyMessage &, double sentMs)> onReply;

    /// Called when the contact with the present target ends, before another one is chosen.
    std::function<void()> onTargetLost;

    /// Starts the periodic reports.
    void start();
    /// Sends a report before the next period, such as after a state change.
    void reportNow();
    void handleSyncReply(const std::string &address, const SyncReplyMessage &reply);
    void linkClosed(const std::string &address);
    void setSeeds(const std::vector<std::string> &seeds);
    /// Returns true if a report to @p address is unanswered.
    bool expectsReply(const std::string &address) const
    {
        return address == m_target && !m_sentAt.empty();
    }
    /// Peer address of the leader, empty without contact.
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
    std::vector<std::string> m_controlHosts; ///< seeds, and control hosts from a leader's reply
    std::size_t m_nextHost = 0;
    std::string m_target;
    bool m_inContact = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_term = 0; ///< newest term of a leader that answered
    TimeMs m_answeredAt = 0;
    std::map<std::uint64_t, double> m_sentAt; ///< send times of unanswered reports by sequence
};
}
