#include "meshnode.h"

#include "base/compress.h"
#include "callbroker.h"
#include "healthprobe.h"
#include "leaderclient.h"
#include "mesh/memoryguard.h"
#include "mesh/portlimits.h"

#include <algorithm>
#include <unistd.h>

namespace Yuccagrade::Mesh
{
namespace
{
// Fraction of the withdrawal time for which keys are accepted without contact to the leader. The rest covers the delay of
// the acknowledgement and requests that were read before the end of this time.
constexpr double keyFreshnessShare = 0.85;
// New requests are still served for this time after SIGTERM, until callers and other nodes have switched to other hosts.
constexpr TimeMs listenerDrainMs = 2'600;
// Time after SIGTERM until the upstreams of this host are reported as draining to other nodes.
constexpr TimeMs upstreamDrainDelayMs = 1'700;
// Subtracted from the permitted stop time, for sending the last responses.
constexpr TimeMs exitMarginMs = 250;
constexpr TimeMs drainCheckMs = 50;
// Health probes for an upstream that sent no announcement since the start of this process.
constexpr int maxProbes = 4;
constexpr TimeMs probePeriodMs = 300;
constexpr std::size_t maxDocumentBytes = 128U << 20U;
// Announcements are answered within this time; the upstream gives up after a second.
constexpr TimeMs acknowledgementTimeoutMs = 800;
// State changes within this time are sent in one message.
constexpr TimeMs statusDelayMs = 5;

void acknowledge(const std::shared_ptr<PortExchange> &exchange)
{
    exchange->respond(responseHead(200, {{"Content-Type", "application/json"}}), "{}");
}

class Node
{
public:
    Node(const MeshSettings &settings, const ProtocolAdapter &adapter, SettingsReader reloadSettings);

    bool open();
    int run();

private:
    void acceptPeer(std::shared_ptr<TcpStream> stream);
    void countSentFrame(FrameType type, std::size_t bytes, bool compressed);
    void handlePeerFrame(std::uint64_t linkId, FrameType type, std::string_view payload);
    void handleLinkFrame(const std::string &address, FrameType type, std::string_view payload);
    void logMalformed(const std::string &source);
    SyncMessage buildReport();
    void applySyncReply(const SyncReplyMessage &reply, double sentMs);
    void applyEvacuations(const SyncReplyMessage &reply);
    void applyDocument(const SyncReplyMessage &reply);
    void applyDirectory(const SyncReplyMessage &reply);
    void handleAnnouncement(const std::shared_ptr<PortExchange> &exchange);
    void holdAcknowledgement(const std::shared_ptr<PortExchange> &exchange, const std::string &upstreamId);
    void acknowledgeStoredDrains();
    void answerReadiness(const std::shared_ptr<PortExchange> &exchange);
    void guardMemory();
    void limitConnections();
    std::vector<std::shared_ptr<FrameLink>> acceptedLinks() const;
    std::vector<std::shared_ptr<FrameLink>> peerLinks() const;
    void answerMetrics(const std::shared_ptr<PortExchange> &exchange);
    void scheduleStatus();
    void sendStatus();
    void logKeyFreshness();
    void probeUpstream();
    void drain();
    void checkDrained();
    std::size_t unsentToPeers() const;
    bool isReady() const;

    /// An announcement of a drain that is not stored yet.
    struct HeldAcknowledgement {
        std::shared_ptr<PortExchange> exchange;
        std::string upstreamId;
    };

    MeshSettings m_settings;
    const ProtocolAdapter &m_adapter;
    SettingsReader m_reloadSettings;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    LinkPool m_links;
    LocalUpstreams m_upstreams;
    CallBroker m_broker;
    LeaderClient m_leader;
    HealthProbe m_probe;
    int m_probesLeft = maxProbes;
    std::vector<HeldAcknowledgement> m_heldAcknowledgements;
    HttpPort m_callerPort;
    HttpPort m_readinessPort;
    HttpPort m_announcementPort;
    HttpPort m_metricsPort;
    TcpListener m_peerListener;
    std::map<std::uint64_t, std::shared_ptr<FrameLink>> m_peerLinks;
    MemoryGuard m_memoryGuard;
    const PortLimits m_portLimits;
    ConnectionLimitReport m_connectionLimitReport;
    std::uint64_t m_lastLinkId = 0;
    std::shared_ptr<const FleetConfig> m_config;
    std::uint64_t m_configIndex = 0;
    std::string m_document; ///< of m_configIndex
    std::uint64_t m_directoryVersion = 0;
    std::uint64_t m_directoryTerm = 0;
    std::uint64_t m_configVersion = 0;
    std::vector<std::string> m_evacuatedDomains;
    std::uint64_t m_evacuationTerm = 0; ///< of the leader that sent them
    bool m_keysWereFresh = false;
    bool m_statusScheduled = false;
    TimeMs m_drainingSince = 0; ///< 0 while not draining
    bool m_listening = true;
};

Node::Node(const MeshSettings &settings, const ProtocolAdapter &adapter, SettingsReader reloadSettings)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_reloadSettings(std::move(reloadSettings))
    , m_log(m_loop.clock(), settings.name, "-")
    , m_links(m_loop, settings.hostIp)
    , m_upstreams(m_loop, adapter, m_log, m_metrics, {settings.domain, settings.service, settings.peerAddress, settings.hostIp})
    , m_broker(m_loop,
               adapter,
               m_log,
               m_metrics,
               {settings.service, settings.domain, settings.peerAddress},
               settings.fleetLimits,
               m_upstreams,
               m_links,
               Random(std::hash<std::string>()(settings.name) ^ static_cast<std::uint64_t>(m_loop.clock().wall())))
    , m_leader(m_loop, m_links, m_log, settings.seeds)
    , m_probe(m_loop, adapter)
    , m_callerPort(m_loop,
                   [this](const auto &exchange) {
                       m_broker.handle(exchange);
                   })
    , m_readinessPort(m_loop,
                      [this](const auto &exchange) {
                          answerReadiness(exchange);
                      })
    , m_announcementPort(m_loop,
                         [this](const auto &exchange) {
                             handleAnnouncement(exchange);
                         })
    , m_metricsPort(m_loop,
                    [this](const auto &exchange) {
                        answerMetrics(exchange);
                    })
    , m_peerListener(m_loop,
                     [this](std::shared_ptr<TcpStream> stream) {
                         acceptPeer(std::move(stream));
                     })
    , m_memoryGuard(m_loop, m_log, m_metrics, settings.maxHeldBytes())
    , m_portLimits(portLimits(HostRole::Node, raiseDescriptorLimit(), settings.maxHeldBytes()))
    , m_connectionLimitReport(m_loop.clock(), m_log, m_metrics)
{
    m_log.writeBuild();
    m_metrics.gaugeBuild("build_info");
    guardMemory();
    limitConnections();
    m_broker.directory().setRegions(settings.regionOfDomain);
    m_links.onFrame = [this](const std::string &address, FrameType type, std::string_view payload) {
        handleLinkFrame(address, type, payload);
    };
    m_links.onClosed = [this](const std::string &address, bool connected) {
        m_broker.linkClosed(address, connected);
        m_leader.linkClosed(address);
    };
    m_links.onSent = [this](FrameType type, std::size_t bytes, bool compressed) {
        countSentFrame(type, bytes, compressed);
    };
    m_links.isBusy = [this](const std::string &address) {
        return m_broker.expectsReply(address) || m_leader.expectsReply(address);
    };
    // Traffic between domains costs more than the CPU time for its compression.
    m_links.isCompressed = [this](const std::string &address) {
        return !m_broker.directory().isInOwnDomain(address);
    };
    m_callerPort.onUnreadable = [this](const UnreadableRequest &request) {
        return m_broker.refuseUnreadable(request);
    };
    m_broker.onConfirmationNeeded = [this] {
        m_leader.reportNow();
    };
    m_upstreams.onStateChanged = [this] {
        scheduleStatus();
    };
    m_upstreams.makesCalls = [this] {
        return m_broker.makesNestedCalls();
    };
    m_broker.teamRateLimiter().requestTokens = [this](const TokenRequest &request) {
        const std::string leader = m_leader.leader();
        FrameLink *link = leader.empty() ? nullptr : m_links.link(leader);
        if (link) {
            link->send(FrameType::TokenRequest, encode(request));
        }
        return link != nullptr;
    };
    m_broker.teamRateLimiter().onUsage = [this](const std::string &team, const TeamRateLimiter::Usage &usage, double share, double unusedTokens) {
        m_metrics.count("team_tokens_taken_total", "source=\"share\"", usage.fromShare);
        m_log.write(Event::TeamTokensTaken,
                    {{"team", team},
                     {"from_grants", std::to_string(static_cast<int>(usage.fromGrants))},
                     {"from_share", std::to_string(static_cast<int>(usage.fromShare))},
                     {"refused", std::to_string(static_cast<int>(usage.refused))},
                     {"received", std::to_string(static_cast<int>(usage.received))},
                     {"share", std::to_string(share)},
                     {"unused", std::to_string(unusedTokens)},
                     {"leader", m_leader.leader()}});
    };
    m_probe.onHealthy = [this](const std::string &id, int slots, std::optional<double> coldLeftMs) {
        m_upstreams.addProbedUpstream(id, m_settings.upstreamAddress, slots, coldLeftMs);
    };
    m_probe.onMalformed = [this](const std::string &address, const std::string &defect) {
        m_log.write(Event::UpstreamAnswerBroken, {{"request", "health"}, {"address", address}, {"reason", "malformed response: " + defect}});
    };
    m_leader.onTargetLost = [this] {
        m_broker.teamRateLimiter().startAccount();
    };
    m_leader.report = [this] {
        return buildReport();
    };
    m_leader.onReply = [this](const SyncReplyMessage &reply, double sentMs) {
        applySyncReply(reply, sentMs);
    };
}

void Node::guardMemory()
{
    m_memoryGuard.add({"responses",
                       [this] {
                           return m_upstreams.heldResponseBytes();
                       },
                       [this] {
                           return m_upstreams.abandonLargestResponse();
                       }});
    m_memoryGuard.add({"calls",
                       [this] {
                           return m_upstreams.heldCallBytes();
                       },
                       nullptr});
    m_memoryGuard.addPort(m_callerPort, "requests", "unread responses");
    m_memoryGuard.addPort(m_readinessPort, "readiness requests", "unread readiness responses");
    m_memoryGuard.addPort(m_announcementPort, "announcements", "unread announcement responses");
    m_memoryGuard.addPort(m_metricsPort, "metrics requests", "unread metrics");
    m_memoryGuard.add({"peers",
                       [this] {
                           return heldByLinks(peerLinks());
                       },
                       [this] {
                           return closeLargestLink(peerLinks());
                       }});
}

void Node::limitConnections()
{
    const auto limit = [this](HttpPort &port, const std::string &name, std::size_t connections) {
        port.setMaxConnections(connections);
        port.onTooManyConnections = [this, name, connections] {
            m_connectionLimitReport.closed(name, connections);
        };
    };
    limit(m_callerPort, "callers", m_portLimits.callers);
    limit(m_readinessPort, "readiness", m_portLimits.small);
    limit(m_announcementPort, "announcements", m_portLimits.small);
    limit(m_metricsPort, "metrics", m_portLimits.small);
    for (HttpPort *port : {&m_readinessPort, &m_announcementPort, &m_metricsPort}) {
        port->setLimits({HttpReaderLimits().maxHeaderBytes, maxSmallBodyBytes}, {});
    }
}

std::vector<std::shared_ptr<FrameLink>> Node::acceptedLinks() const
{
    std::vector<std::shared_ptr<FrameLink>> links;
    for (const auto &[id, link] : m_peerLinks) {
        links.push_back(link);
    }
    return links;
}

std::vector<std::shared_ptr<FrameLink>> Node::peerLinks() const
{
    std::vector<std::shared_ptr<FrameLink>> links = m_links.links();
    const auto accepted = acceptedLinks();
    links.insert(links.end(), accepted.begin(), accepted.end());
    return links;
}

bool Node::open()
{
    const auto listen = [this](auto &port, const std::string &address) {
        const auto error = address.empty() ? std::error_code() : port.listen(address);
        if (error) {
            m_log.write(Event::ListenFailed, {{"address", address}, {"error", error.message()}});
        }
        return !error;
    };
    return listen(m_peerListener, m_settings.peerListenAddress) && listen(m_callerPort, m_settings.callerAddress)
        && listen(m_readinessPort, m_settings.readinessAddress) && listen(m_announcementPort, m_settings.announcementAddress)
        && listen(m_metricsPort, m_settings.metricsAddress);
}

int Node::run()
{
    m_log.write(Event::ProcessStarted, {{"role", "node"}, {"service", m_settings.service}, {"peer", m_settings.peerAddress}});
    m_loop.onTerminate([this] {
        drain();
    });
    m_loop.onHangup([this] {
        const MeshSettings settings = m_reloadSettings();
        m_log.write(Event::SettingsReloaded, {{"seeds", std::to_string(settings.seeds.size())}});
        m_leader.setSeeds(settings.seeds);
    });
    m_leader.start();
    m_loop.run();
    m_log.write(Event::ProcessStopped);
    return 0;
}

void Node::logMalformed(const std::string &source)
{
    m_log.write(Event::PeerRejected, {{"source", source}, {"cause", "malformed frame"}});
}

void Node::countSentFrame(FrameType type, std::size_t bytes, bool compressed)
{
    m_metrics.count("frame_bytes_total",
                    "kind=\"" + std::string(frameTypeName(type)) + "\",compressed=\"" + (compressed ? "yes" : "no") + '"',
                    static_cast<double>(bytes));
    if (bytes > framePieceBytes) {
        m_metrics.count("large_frames_total", "kind=\"" + std::string(frameTypeName(type)) + '"');
        m_log.write(Event::LargeFrameSent, {{"kind", std::string(frameTypeName(type))}, {"bytes", std::to_string(bytes)}});
    }
}

void Node::acceptPeer(std::shared_ptr<TcpStream> stream)
{
    if (m_peerLinks.size() >= m_portLimits.peers) {
        m_connectionLimitReport.closed("peers", m_portLimits.peers);
        if (!closeSilentLink(acceptedLinks())) {
            stream->close();
            return;
        }
    }
    const std::uint64_t id = ++m_lastLinkId;
    const auto link = FrameLink::open(std::move(stream), m_loop.clock());
    link->onFrame = [this, id](FrameType type, std::string_view payload) {
        handlePeerFrame(id, type, payload);
    };
    link->onSent = [this, raw = link.get()](FrameType type, std::size_t bytes) {
        countSentFrame(type, bytes, raw->isCompressing());
    };
    link->onClosed = [this, id] {
        m_peerLinks.erase(id);
    };
    m_peerLinks[id] = link;
}

// Processes a call or cancellation from another node.
void Node::handlePeerFrame(std::uint64_t linkId, FrameType type, std::string_view payload)
{
    if (type == FrameType::Call) {
        CallMessage message;
        if (!decode(payload, message)) {
            logMalformed("peer link");
            return;
        }
        const std::weak_ptr<FrameLink> link = m_peerLinks[linkId];
        m_upstreams.offer(std::move(message), linkId, [link](const ReplyMessage &reply) {
            if (const auto open = link.lock()) {
                open->send(FrameType::Reply, encode(reply));
            }
        });
        return;
    }
    CancelMessage cancel;
    if (type == FrameType::Cancel && decode(payload, cancel)) {
        m_upstreams.cancel(linkId, cancel.callId);
        return;
    }
    logMalformed("peer link");
}

void Node::handleLinkFrame(const std::string &address, FrameType type, std::string_view payload)
{
    if (type == FrameType::Reply) {
        ReplyMessage reply;
        if (decode(payload, reply)) {
            m_broker.handleReply(address, reply);
            return;
        }
    } else if (type == FrameType::SyncReply) {
        SyncReplyMessage reply;
        if (decode(payload, reply)) {
            m_leader.handleSyncReply(address, reply);
            return;
        }
    } else if (type == FrameType::TokenGrant) {
        TokenGrant grant;
        if (decode(payload, grant)) {
            m_broker.handleTokenGrant(grant);
            return;
        }
    } else if (type == FrameType::Status) {
        StatusMessage status;
        if (decode(payload, status)) {
            m_broker.directory().update(status.upstreams);
            return;
        }
    }
    logMalformed(address);
}

SyncMessage Node::buildReport()
{
    logKeyFreshness();
    SyncMessage message;
    message.name = m_settings.name;
    message.peerAddress = m_settings.peerAddress;
    message.configIndex = m_document.empty() ? 0 : m_configIndex; // 0 asks for the whole document
    message.directoryVersion = m_directoryVersion;
    message.directoryTerm = m_directoryTerm;
    message.upstreams = m_upstreams.entries();
    message.drained = m_upstreams.unstoredDrains();
    message.needsDrained = !m_upstreams.knowsStoredDrains();
    message.service = m_settings.service;
    m_upstreams.measureDemand();
    message.load = m_upstreams.load();
    message.calledServices = m_broker.calledServices();
    message.ownLevel = m_broker.ownLevel();
    m_broker.teamRateLimiter().fillReport(message, m_loop.clock().preciseMs());
    return message;
}

void Node::applySyncReply(const SyncReplyMessage &reply, double sentMs)
{
    applyEvacuations(reply); // before the drains, which let this node use its upstream
    if (reply.hasDrained) {
        m_upstreams.setStoredDrains(reply.drained); // before the document, which lets this node probe its upstream
        acknowledgeStoredDrains();
    }
    if (reply.hasDocument) {
        applyDocument(reply);
    }
    if (reply.hasDirectory) {
        applyDirectory(reply);
    }
    if (sentMs > 0 && reply.isCurrent() && m_configIndex == reply.configIndex && m_configIndex > 0) {
        m_broker.confirmConfig(sentMs);
    }
    if (reply.isCurrent()) {
        const double leaseEndMs = sentMs + static_cast<double>(m_settings.fleetLimits.shareLeaseMs());
        m_broker.teamRateLimiter().applyReply(reply, sentMs > 0 ? leaseEndMs : 0, m_loop.clock().preciseMs());
    }
    if (reply.needsFullDemand) {
        m_broker.teamRateLimiter().requestFullReport();
        m_leader.reportNow();
    }
    m_broker.setLevels(reply.levels);
    // The validity starts at the leader's last contact with a majority, which was majorityContactAgeMs before it handled the report.
    // The delays between the nodes are unknown, so the send time of the report is the latest safe start.
    if (sentMs > 0 && reply.majorityContactAgeMs >= 0 && m_configIndex == reply.configIndex && m_configIndex > 0) {
        const auto validMs = static_cast<TimeMs>(static_cast<double>(m_settings.fleetLimits.withdrawalMs) * keyFreshnessShare - reply.majorityContactAgeMs);
        m_broker.setKeysFreshUntil(static_cast<TimeMs>(sentMs) + validMs);
    }
    logKeyFreshness();
}

// Ignores the lists of a host that another one may have replaced as leader. The stored drains are only sent by a host that none has
// replaced.
void Node::applyEvacuations(const SyncReplyMessage &reply)
{
    if (!(reply.isCurrent() || reply.hasDrained) || reply.directoryTerm < m_evacuationTerm) {
        return;
    }
    m_evacuationTerm = reply.directoryTerm;
    if (reply.evacuatedDomains == m_evacuatedDomains) {
        return;
    }
    m_evacuatedDomains = reply.evacuatedDomains;
    const bool isOwn = std::find(m_evacuatedDomains.begin(), m_evacuatedDomains.end(), m_settings.domain) != m_evacuatedDomains.end();
    std::string names;
    for (const std::string &domain : m_evacuatedDomains) {
        names += (names.empty() ? "" : " ") + domain;
    }
    m_log.write(Event::DomainsEvacuated, {{"domains", names}, {"own", isOwn ? "yes" : "no"}});
    m_broker.directory().setEvacuatedDomains(m_evacuatedDomains);
    m_upstreams.setEvacuated(isOwn);
}

void Node::applyDirectory(const SyncReplyMessage &reply)
{
    std::string text;
    DirectoryMessage directory;
    if (!decompress(reply.directory, maxDocumentBytes, text) || !decode(text, directory)) {
        logMalformed("directory");
        return;
    }
    const bool isKnownBase = reply.directoryTerm == m_directoryTerm && reply.directoryBase <= m_directoryVersion;
    if (reply.directoryBase > 0 && !isKnownBase) {
        m_log.write(Event::PeerRejected, {{"source", "directory"}, {"cause", "changes of an unknown version"}});
        m_directoryVersion = 0; // asks for all upstreams
        m_leader.reportNow();
        return;
    }
    m_directoryVersion = reply.directoryVersion;
    m_directoryTerm = reply.directoryTerm;
    if (reply.directoryComplete && reply.directoryBase == 0) {
        m_broker.directory().replace(directory.upstreams);
    } else {
        m_broker.directory().change(directory.upstreams, directory.removed);
    }
    if (reply.directoryComplete) {
        m_broker.retryBudget().setNodes(m_broker.directory().size());
    }
}

void Node::logKeyFreshness()
{
    const bool valid = m_broker.areKeysFresh();
    if (valid != m_keysWereFresh) {
        m_keysWereFresh = valid;
        m_log.write(valid ? Event::ProofRegained : Event::ProofLost, {{"config", std::to_string(m_configVersion)}});
    }
}

void Node::applyDocument(const SyncReplyMessage &reply)
{
    if (reply.configIndex <= m_configIndex) {
        return;
    }
    const auto config = std::make_shared<FleetConfig>();
    Findings findings;
    std::string document;
    if (reply.documentBase > 0 && reply.documentBase != m_configIndex) {
        m_leader.reportNow(); // names the present index
        return;
    }
    const bool isRead = reply.documentBase > 0 ? restoreChanges(reply.document, m_document, maxDocumentBytes, document)
                                               : decompress(reply.document, maxDocumentBytes, document);
    if (!isRead) {
        logMalformed("configuration");
        m_document.clear();
        return;
    }
    m_adapter.readDocument(document, *config, findings);
    if (!findings.empty()) {
        m_log.write(Event::ManifestRefused, {{"index", std::to_string(reply.configIndex)}, {"findings", toText(findings)}});
        return;
    }
    m_configIndex = reply.configIndex;
    m_document = std::move(document);
    m_configVersion = config->version;
    m_config = config;
    m_broker.setConfig(config);
    m_upstreams.setConfig(config);
    m_callerPort.setLimits({config->limits.maxHeaderBytes, config->limits.maxBodyBytes}, {config->limits.headerTimeoutMs, config->limits.idleTimeoutMs});
    if (m_probesLeft == maxProbes) {
        probeUpstream();
    }
    m_log.write(Event::StateApplied,
                {{"index", std::to_string(m_configIndex)},
                 {"config", std::to_string(config->version)},
                 {"routes", std::to_string(config->routes.size())},
                 {"teams", std::to_string(config->teams.size())},
                 {"keys", std::to_string(config->keyCount())}});
}

void Node::probeUpstream()
{
    const ServiceSpec *spec = m_config->service(m_settings.service);
    if (m_probesLeft <= 0 || m_upstreams.hasUpstreams() || m_settings.upstreamAddress.empty() || !spec || spec->healthPath.empty()) {
        return;
    }
    --m_probesLeft;
    m_probe.sendRequest(m_settings.upstreamAddress, spec->healthPath, m_settings.hostIp);
    m_loop.after(probePeriodMs, [this] {
        probeUpstream();
    });
}

void Node::handleAnnouncement(const std::shared_ptr<PortExchange> &exchange)
{
    std::string error;
    const auto announcement = m_adapter.readAnnouncement(exchange->request(), error);
    if (!announcement) {
        m_log.write(Event::MalformedRequest, {{"source", "announcement"}, {"cause", error}});
        exchange->respond(responseHead(400), {});
        return;
    }
    if (!m_upstreams.announce(*announcement)) {
        m_log.write(Event::MalformedRequest, {{"source", "announcement"}, {"upstream", announcement->id}, {"cause", "outdated or from another service"}});
    }
    if (m_upstreams.hasUnstoredDrain(announcement->id)) {
        holdAcknowledgement(exchange, announcement->id);
        return;
    }
    acknowledge(exchange);
}

// An acknowledged drain outlives this process, so it is acknowledged once it is stored by a majority of the control hosts.
void Node::holdAcknowledgement(const std::shared_ptr<PortExchange> &exchange, const std::string &upstreamId)
{
    m_heldAcknowledgements.push_back({exchange, upstreamId});
    m_leader.reportNow();
    m_loop.after(acknowledgementTimeoutMs, [this, exchange] {
        if (!exchange->isFinished()) {
            m_metrics.count("drains_unacknowledged_total");
            exchange->respond(responseHead(503), {});
        }
        std::erase_if(m_heldAcknowledgements, [&exchange](const HeldAcknowledgement &held) {
            return held.exchange == exchange;
        });
    });
}

void Node::acknowledgeStoredDrains()
{
    std::erase_if(m_heldAcknowledgements, [this](const HeldAcknowledgement &held) {
        if (m_upstreams.hasUnstoredDrain(held.upstreamId)) {
            return false;
        }
        acknowledge(held.exchange);
        return true;
    });
}

bool Node::isReady() const
{
    return m_configIndex > 0 && m_broker.areKeysFresh() && m_drainingSince == 0;
}

void Node::answerReadiness(const std::shared_ptr<PortExchange> &exchange)
{
    logKeyFreshness();
    const bool known = exchange->request().target == m_adapter.readinessPath;
    exchange->respond(responseHead(!known ? 404 : isReady() ? 200 : 503), {});
}

void Node::answerMetrics(const std::shared_ptr<PortExchange> &exchange)
{
    m_memoryGuard.updateMetrics();
    m_metrics.gauge("calls_pending", static_cast<double>(m_broker.pending()));
    m_metrics.gauge("upstream_calls_pending", static_cast<double>(m_upstreams.pending()));
    m_metrics.gauge("caller_connections", static_cast<double>(m_callerPort.connections()));
    m_metrics.gauge("peer_unsent_bytes", static_cast<double>(unsentToPeers()));
    m_metrics.gauge("config_version", static_cast<double>(m_configVersion));
    m_metrics.gauge("evacuated_domains", static_cast<double>(m_evacuatedDomains.size()));
    m_metrics.gauge("key_proof_valid", m_broker.areKeysFresh() ? 1 : 0);
    m_metrics.gauge("directory_upstreams", static_cast<double>(m_broker.directory().size()));
    for (const auto &[service, ratio] : m_broker.directory().loadRatios(m_loop.clock().preciseMs())) {
        m_metrics.gauge("upstream_load_ratio", ratio, "service=\"" + service + '"');
    }
    exchange->respond(responseHead(200, {{"Content-Type", "text/plain; version=0.0.4"}}), m_metrics.text());
}

void Node::scheduleStatus()
{
    if (m_statusScheduled) {
        return;
    }
    m_statusScheduled = true;
    m_loop.after(statusDelayMs, [this] {
        m_statusScheduled = false;
        sendStatus();
    });
}

// Sends a state change directly to the nodes with a link to this host; all others get it through the leader.
void Node::sendStatus()
{
    const std::string status = encode(StatusMessage{m_upstreams.entries(), m_upstreams.load()});
    for (const auto &[id, link] : m_peerLinks) {
        link->send(FrameType::Status, status);
    }
    m_broker.directory().update(m_upstreams.entries());
    m_leader.reportNow();
}

void Node::drain()
{
    if (m_drainingSince > 0) {
        return;
    }
    m_drainingSince = m_loop.clock().now();
    m_log.write(Event::DrainStarted, {{"pending", std::to_string(m_broker.pending())}});
    m_callerPort.closeAfterResponses();
    m_broker.drain(static_cast<double>(m_drainingSince + listenerDrainMs), static_cast<double>(m_drainingSince + m_settings.fleetLimits.stopMs - exitMarginMs));
    // The upstream keeps running. Its slots are withdrawn late, so that they are unused only while its last calls end.
    m_loop.after(upstreamDrainDelayMs, [this] {
        m_upstreams.drain();
    });
    m_loop.every(drainCheckMs, [this] {
        checkDrained();
    });
}

std::size_t Node::unsentToPeers() const
{
    std::size_t sum = 0;
    for (const auto &link : peerLinks()) {
        sum += link->unsent();
    }
    return sum;
}

void Node::checkDrained()
{
    const TimeMs elapsed = m_loop.clock().now() - m_drainingSince;
    if (elapsed < listenerDrainMs) {
        return;
    }
    if (m_listening) {
        m_listening = false;
        m_callerPort.stopListening();
    }
    const bool idle = m_callerPort.pending() == 0 && m_upstreams.pending() == 0 && unsentToPeers() == 0;
    if (idle || elapsed > m_settings.fleetLimits.stopMs - exitMarginMs) {
        m_log.write(Event::DrainFinished, {{"pending", std::to_string(m_broker.pending())}});
        m_loop.stop();
    }
}
}

int runMeshNode(const MeshSettings &settings, const ProtocolAdapter &adapter, const SettingsReader &reloadSettings)
{
    limitRetainedMemory();
    Node node(settings, adapter, reloadSettings);
    return node.open() ? node.run() : 1;
}
}
