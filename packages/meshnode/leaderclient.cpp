#include "leaderclient.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// Shares and the validity of keys are updated within a few periods.
constexpr TimeMs reportPeriodMs = 250;
// The next control host is tried after this time without a reply.
constexpr TimeMs answerTimeoutMs = 700;
}

LeaderClient::LeaderClient(EventLoop &loop, LinkPool &links, EventLog &log, std::vector<std::string> seeds)
    : m_loop(loop)
    , m_links(links)
    , m_log(log)
    , m_seeds(std::move(seeds))
    , m_controlHosts(m_seeds)
{
}

void LeaderClient::start()
{
    m_answeredAt = m_loop.clock().now();
    m_loop.every(reportPeriodMs, [this] {
        tick();
    });
    tick();
}

void LeaderClient::setSeeds(const std::vector<std::string> &seeds)
{
    m_seeds = seeds;
    for (const std::string &seed : seeds) {
        if (std::find(m_controlHosts.begin(), m_controlHosts.end(), seed) == m_controlHosts.end()) {
            m_controlHosts.push_back(seed);
        }
    }
}

void LeaderClient::setContact(bool inContact)
{
    if (inContact != m_inContact) {
        m_inContact = inContact;
        m_log.write(inContact ? Event::LeaderContactRegained : Event::LeaderContactLost, {{"control", m_target}});
    }
}

void LeaderClient::switchTarget()
{
    setContact(false);
    if (onTargetLost) {
        onTargetLost();
    }
    m_sentAt.clear();
    if (m_controlHosts.empty()) {
        return;
    }
    m_target = m_controlHosts[m_nextHost % m_controlHosts.size()];
    ++m_nextHost;
    m_answeredAt = m_loop.clock().now();
}

void LeaderClient::tick()
{
    if (m_target.empty() || m_loop.clock().now() - m_answeredAt > answerTimeoutMs) {
        switchTarget();
    }
    send();
}

void LeaderClient::reportNow()
{
    if (!m_target.empty()) {
        send();
    }
}

void LeaderClient::send()
{
    FrameLink *link = m_target.empty() ? nullptr : m_links.link(m_target);
    if (!link) {
        switchTarget();
        return;
    }
    SyncMessage message = report();
    message.sequence = ++m_sequence;
    m_sentAt[m_sequence] = m_loop.clock().preciseMs();
    link->send(FrameType::Sync, encode(message));
}

void LeaderClient::handleSyncReply(const std::string &address, const SyncReplyMessage &reply)
{
    if (address != m_target) {
        return;
    }
    double sentAt = 0;
    if (const auto found = m_sentAt.find(reply.sequence); found != m_sentAt.end()) {
        sentAt = found->second;
        m_sentAt.erase(m_sentAt.begin(), std::next(found));
    }
    if (!reply.leads) {
        const std::string leader = reply.leaderAddress;
        switchTarget();
        if (!leader.empty() && leader != address) {
            m_target = leader;
            send();
        }
        return;
    }
    // A leader of an earlier term was replaced but has not yet received the newer term.
    if (reply.directoryTerm < m_term) {
        switchTarget();
        return;
    }
    m_term = reply.directoryTerm;
    m_answeredAt = m_loop.clock().now();
    m_controlHosts = m_seeds;
    for (const std::string &host : reply.controlHosts) {
        if (std::find(m_controlHosts.begin(), m_controlHosts.end(), host) == m_controlHosts.end()) {
            m_controlHosts.push_back(host);
        }
    }
    setContact(true);
    onReply(reply, sentAt);
}

void LeaderClient::linkClosed(const std::string &address)
{
    if (address == m_target) {
        switchTarget();
    }
}
}
