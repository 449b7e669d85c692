#include "meshcontrol.h"

#include "base/compress.h"
#include "base/metrics.h"
#include "base/secret.h"
#include "controlgroup.h"
#include "directoryhistory.h"
#include "documentstore.h"
#include "fleetregistry.h"
#include "levelcontroller.h"
#include "mesh/memoryguard.h"
#include "mesh/portlimits.h"
#include "net/httpport.h"
#include "tokenledger.h"

#include <algorithm>
#include <optional>
#include <set>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs reportPeriodMs = 300;
constexpr TimeMs allocationPeriodMs = 250;
constexpr TimeMs ledgerPeriodMs = 50;
// Changes within this time are sent together.
constexpr TimeMs pushDelayMs = 20;
// Longer delay while the nodes send their first reports to a new leader, since each of these changes the directory.
constexpr TimeMs collectionPushDelayMs = 100;
// Documents that are kept for nodes with an earlier configuration.
constexpr std::size_t maxDocuments = 8;
// A node without a report for this time reports to another host and ignores updates of this one.
constexpr TimeMs updateValidMs = 1'000;
constexpr TimeMs nodeTimeoutCheckPeriodMs = 500;
// Time after SIGTERM for which operator requests are still answered.
constexpr TimeMs stopGraceMs = 300;
constexpr TimeMs orderDelayMs = 1;
// Characters of a refused domain name that are logged.
constexpr std::size_t maxLoggedDomain = 64;

/// Connection of a process that reports to this host.
struct Session {
    std::shared_ptr<FrameLink> link;
    std::string peerAddress; ///< of a node; empty before its first report
    std::uint64_t configIndex = 0;
    bool awaitsDrained = false; ///< the node reported drains, or asked for those from before its start
    DirectoryCursor directory;
    std::uint64_t evacuationIndex = 0; ///< of the evacuated domains that were sent
    TimeMs reportedAt = 0;
};

class ControlHost
{
public:
    ControlHost(const MeshSettings &settings, const ProtocolAdapter &adapter, std::function<MeshSettings()> rereadSettings);
    bool open();
    int run();

private:
    using ExchangePtr = std::shared_ptr<PortExchange>;

    void acceptPeer(std::shared_ptr<TcpStream> stream);
    void countSentFrame(FrameType type, std::size_t bytes, bool compressed);
    void handlePeerFrame(std::uint64_t linkId, FrameType type, std::string_view payload);
    void handleControlLinkFrame(FrameType type, std::string_view payload);
    void handleSync(std::uint64_t linkId, const SyncMessage &message);
    SyncReplyMessage makeReply(Session &session, std::uint64_t sequence, bool needsFullDemand = false);
    void pushUpdates();
    void schedulePush();
    void directoryChanged();
    void reportToLeader();
    void sendReport(const std::string &address);
    void handleOperatorCall(const ExchangePtr &exchange);
    void redirect(const ExchangePtr &exchange);
    void answerDocument(const ExchangePtr &exchange);
    void publish(const ExchangePtr &exchange, const OperatorCall &call);
    void proposalFinished(const ExchangePtr &exchange, const Submission &submission, std::error_code error, std::uint64_t index);
    void answerSubmission(const ExchangePtr &exchange, const Submission &submission, SubmissionResult result);
    void orderEvacuation(const ExchangePtr &exchange, const OperatorCall &call);
    void answerEvacuation(const ExchangePtr &exchange, const EvacuationOrder &order, std::error_code error, std::optional<EvacuationResult> result);
    void applyEvacuation(std::uint64_t index, const EvacuationOrder &order);
    void answerMetrics(const ExchangePtr &exchange);
    void loadConfig();
    LevelController makeLevelController();
    void storeDrains(const SyncMessage &message);
    void guardMemory();
    void limitConnections();
    std::vector<std::shared_ptr<FrameLink>> acceptedLinks() const;
    std::vector<std::shared_ptr<FrameLink>> peerLinks() const;
    void addDocument(SyncReplyMessage &reply, Session &session);
    void recordDocument();
    void addDirectory(SyncReplyMessage &reply, Session &session);
    const std::string &compressedDirectory(std::uint64_t base);
    std::string leaderAddress() const;

    MeshSettings m_settings;
    const ProtocolAdapter &m_adapter;
    std::function<MeshSettings()> m_rereadSettings;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    LinkPool m_links;
    ControlGroup m_group;
    DocumentStore m_store;
    FleetRegistry m_registry;
    TokenLedger m_ledger;
    LevelController m_levels;
    HttpPort m_operatorPort;
    HttpPort m_metricsPort;
    TcpListener m_peerListener;
    std::map<std::uint64_t, Session> m_sessions;
    MemoryGuard m_memoryGuard;
    const PortLimits m_portLimits;
    ConnectionLimitReport m_connectionLimitReport;
    std::uint64_t m_lastLinkId = 0;
    std::set<std::string> m_proposedDrains; ///< peer addresses of the nodes whose drains are being stored
    std::map<std::uint64_t, SubmissionResult> m_submissionResults; ///< by log index, for operators waiting on this host
    std::map<std::uint64_t, EvacuationResult> m_evacuationResults; ///< as m_submissionResults
    std::shared_ptr<const FleetConfig> m_config; ///< the accepted one, while this host leads
    std::map<std::uint64_t, std::string> m_documents; ///< the present one and some before it, by log index
    std::map<std::uint64_t, std::string> m_compressedDocuments; ///< the present one, by SyncReplyMessage::documentBase
    DirectoryHistory m_directoryHistory;
    std::map<std::uint64_t, std::string> m_compressedDirectories; ///< of the recorded version, by DirectoryMessage base
    std::string m_leaderHint; ///< peer address of the leader according to another control host
    int m_formerFleetSize = 0; ///< TokenLedger::fleetSize() of the leader
    TimeMs m_formerFleetSizeAt = 0; ///< time of its reply
    bool m_leads = false;
    TimeMs m_leadsSince = 0;
    std::uint64_t m_directoryVersion = 1;
    TimeMs m_sharesAllocatedAt = 0;
    bool m_pushScheduled = false;
    bool m_stopping = false;
};

ControlHost::ControlHost(const MeshSettings &settings, const ProtocolAdapter &adapter, std::function<MeshSettings()> rereadSettings)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_rereadSettings(std::move(rereadSettings))
    , m_log(m_loop.clock(), settings.name, "-")
    , m_links(m_loop, settings.hostIp)
    , m_group(m_loop, m_links, m_log, m_settings)
    , m_registry(m_loop.clock().now())
    , m_ledger(m_loop.clock().now(), settings.fleetLimits.shareLeaseMs(), 0, settings.fleetLimits.reserveTokens())
    , m_levels(makeLevelController())
    , m_operatorPort(m_loop,
                     [this](const ExchangePtr &exchange) {
                         handleOperatorCall(exchange);
                     })
    , m_metricsPort(m_loop,
                    [this](const ExchangePtr &exchange) {
                        answerMetrics(exchange);
                    })
    , m_peerListener(m_loop,
                     [this](std::shared_ptr<TcpStream> stream) {
                         acceptPeer(std::move(stream));
                     })
    , m_memoryGuard(m_loop, m_log, m_metrics, settings.maxHeldBytes())
    , m_portLimits(portLimits(HostRole::Control, raiseDescriptorLimit(), settings.maxHeldBytes()))
    , m_connectionLimitReport(m_loop.clock(), m_log, m_metrics)
{
    m_log.writeBuild();
    m_metrics.gaugeBuild("build_info");
    guardMemory();
    limitConnections();
    m_links.onFrame = [this](const std::string &, FrameType type, std::string_view payload) {
        handleControlLinkFrame(type, payload);
    };
    m_links.onClosed = [this](const std::string &address, bool /*connected*/) {
        m_group.linkClosed(address);
    };
    m_links.onSent = [this](FrameType type, std::size_t bytes, bool compressed) {
        countSentFrame(type, bytes, compressed);
    };
    m_links.isBusy = [this](const std::string &address) {
        return m_group.expectsReply(address);
    };
    m_group.onApply = [this](std::uint64_t index, const Json::Value &command) {
        DrainReport drains;
        if (command.isObject() && DrainReport::fromJson(command, drains)) {
            m_store.drains().apply(index, drains);
            schedulePush();
            return;
        }
        EvacuationOrder evacuation;
        if (command.isObject() && EvacuationOrder::fromJson(command, evacuation)) {
            applyEvacuation(index, evacuation);
            return;
        }
        Submission submission;
        if (command.isNull() || !Submission::fromJson(command, submission)) {
            return;
        }
        const SubmissionResult result = m_store.apply(index, submission);
        if (m_leads) {
            m_submissionResults[index] = result;
        }
        if (result == SubmissionResult::Accepted) {
            m_log.write(Event::ManifestAccepted, {{"index", std::to_string(index)}, {"version", std::to_string(submission.version)}});
            loadConfig();
            schedulePush();
        }
    };
    m_group.onRestore = [this](std::uint64_t index, const std::string &state) {
        if (!m_store.load(state)) {
            m_log.write(Event::StorageDamaged, {{"index", std::to_string(index)}, {"cause", "snapshot state is malformed"}});
        }
    };
    m_group.saveState = [this] {
        return m_store.save();
    };
    m_group.onReopen = [this] {
        m_store = DocumentStore();
        m_documents.clear();
    };
    m_group.onLeadership = [this](bool leads) {
        m_leadsSince = m_loop.clock().now();
        if (m_leads) {
            m_formerFleetSize = m_ledger.fleetSize(m_leadsSince);
            m_formerFleetSizeAt = m_leadsSince;
        }
        m_leads = leads;
        m_registry = FleetRegistry(m_leadsSince);
        const TimeMs leaseMs = m_settings.fleetLimits.shareLeaseMs();
        m_ledger =
            TokenLedger(m_leadsSince, leaseMs, m_leadsSince - m_formerFleetSizeAt <= leaseMs ? m_formerFleetSize : 0, m_settings.fleetLimits.reserveTokens());
        m_levels = makeLevelController();
        loadConfig();
        m_submissionResults.clear();
        m_evacuationResults.clear();
        m_proposedDrains.clear();
        m_directoryHistory = DirectoryHistory();
        m_compressedDirectories.clear();
        if (leads) {
            m_loop.after(FleetRegistry::reportCollectionMs, [this] {
                directoryChanged();
            });
        }
    };
}

void ControlHost::guardMemory()
{
    m_memoryGuard.addPort(m_operatorPort, "requests", "unread responses");
    m_memoryGuard.addPort(m_metricsPort, "metrics requests", "unread metrics");
    m_memoryGuard.add({"peers",
                       [this] {
                           return heldByLinks(peerLinks());
                       },
                       [this] {
                           return closeLargestLink(peerLinks());
                       }});
}

void ControlHost::limitConnections()
{
    const auto limit = [this](HttpPort &port, const std::string &name, std::size_t connections) {
        port.setMaxConnections(connections);
        port.onTooManyConnections = [this, name, connections] {
            m_connectionLimitReport.closed(name, connections);
        };
    };
    limit(m_operatorPort, "operators", m_portLimits.callers);
    limit(m_metricsPort, "metrics", m_portLimits.small);
    m_metricsPort.setLimits({HttpReaderLimits().maxHeaderBytes, maxSmallBodyBytes}, {});
}

std::vector<std::shared_ptr<FrameLink>> ControlHost::acceptedLinks() const
{
    std::vector<std::shared_ptr<FrameLink>> links;
    for (const auto &[id, session] : m_sessions) {
        if (session.link) {
            links.push_back(session.link);
        }
    }
    return links;
}

std::vector<std::shared_ptr<FrameLink>> ControlHost::peerLinks() const
{
    std::vector<std::shared_ptr<FrameLink>> links = m_links.links();
    const auto accepted = acceptedLinks();
    links.insert(links.end(), accepted.begin(), accepted.end());
    return links;
}

bool ControlHost::open()
{
    const auto listen = [this](auto &port, const std::string &address) {
        const auto error = address.empty() ? std::error_code() : port.listen(address);
        if (error) {
            m_log.write(Event::ListenFailed, {{"address", address}, {"error", error.message()}});
        }
        return !error;
    };
    return m_group.open() && listen(m_peerListener, m_settings.peerListenAddress) && listen(m_operatorPort, m_settings.operatorAddress)
        && listen(m_metricsPort, m_settings.metricsAddress);
}

int ControlHost::run()
{
    m_log.write(Event::ProcessStarted, {{"role", "control"}, {"peer", m_settings.peerAddress}, {"config", std::to_string(m_store.version())}});
    m_loop.onTerminate([this] {
        m_stopping = true;
        m_log.write(Event::DrainStarted);
        m_operatorPort.closeAfterResponses();
        m_loop.after(stopGraceMs, [this] {
            m_operatorPort.stopListening();
            m_loop.stop();
        });
    });
    m_loop.onHangup([this] {
        const MeshSettings settings = m_rereadSettings();
        m_settings.seeds = settings.seeds.empty() ? m_settings.seeds : settings.seeds;
        m_log.write(Event::SettingsReloaded, {{"seeds", std::to_string(settings.seeds.size())}});
    });
    m_loop.every(reportPeriodMs, [this] {
        reportToLeader();
    });
    m_loop.every(ledgerPeriodMs, [this] {
        if (m_leads) {
            m_ledger.advance(m_loop.clock().now());
        }
    });
    m_loop.every(nodeTimeoutCheckPeriodMs, [this] {
        if (m_leads && m_registry.expire(m_loop.clock().now())) {
            directoryChanged();
        }
    });
    m_loop.run();
    m_log.write(Event::ProcessStopped);
    return 0;
}

void ControlHost::countSentFrame(FrameType type, std::size_t bytes, bool compressed)
{
    m_metrics.count("frame_bytes_total",
                    "kind=\"" + std::string(frameTypeName(type)) + "\",compressed=\"" + (compressed ? "yes" : "no") + '"',
                    static_cast<double>(bytes));
}

void ControlHost::acceptPeer(std::shared_ptr<TcpStream> stream)
{
    if (m_sessions.size() >= m_portLimits.peers) {
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
        m_sessions.erase(id);
    };
    m_sessions[id].link = link;
}

void ControlHost::handlePeerFrame(std::uint64_t linkId, FrameType type, std::string_view payload)
{
    const auto link = m_sessions[linkId].link;
    if (type == FrameType::Sync) {
        SyncMessage message;
        if (decode(payload, message)) {
            handleSync(linkId, message);
            return;
        }
    } else if (type == FrameType::TokenRequest) {
        TokenRequest request;
        if (decode(payload, request)) {
            // A host that may not lead any more sends no answer, since two leaders would grant more than the rate; the node
            // finds the leader by its own reports.
            if (m_leads && m_group.isCurrent()) {
                if (const auto grant = m_ledger.grant(m_sessions[linkId].peerAddress, request, m_loop.clock().now())) {
                    link->send(FrameType::TokenGrant, encode(*grant));
                }
            }
            return;
        }
    } else if (type == FrameType::ConsensusRequest) {
        ConsensusMessage request;
        ConsensusMessage response;
        if (decode(payload, request)) {
            if (m_group.serve(request, response)) {
                link->send(FrameType::ConsensusResponse, encode(response));
            }
            return;
        }
    }
    m_log.write(Event::PeerRejected, {{"source", "peer link"}, {"cause", "malformed frame"}});
}

void ControlHost::handleControlLinkFrame(FrameType type, std::string_view payload)
{
    if (type == FrameType::ConsensusResponse) {
        ConsensusMessage response;
        if (decode(payload, response)) {
            m_group.received(response);
            return;
        }
    } else if (type == FrameType::SyncReply) {
        SyncReplyMessage reply;
        if (decode(payload, reply)) {
            m_leaderHint = reply.leaderAddress;
            if (reply.leads) {
                m_formerFleetSize = reply.fleetSize;
                m_formerFleetSizeAt = m_loop.clock().now();
            }
            return;
        }
    }
    m_log.write(Event::PeerRejected, {{"source", "control link"}, {"cause", "malformed frame"}});
}

std::string ControlHost::leaderAddress() const
{
    const std::string leader = m_group.leaderAddress();
    return leader.empty() ? m_leaderHint : leader;
}

// Control hosts report to the leader too, so that it can add them to the group.
void ControlHost::reportToLeader()
{
    if (m_leads) {
        return;
    }
    const std::string leader = leaderAddress();
    if (!leader.empty() && leader != m_settings.peerAddress) {
        m_leaderHint.clear();
        sendReport(leader);
        return;
    }
    for (const std::string &seed : m_settings.seeds) {
        if (seed != m_settings.peerAddress) {
            sendReport(seed);
        }
    }
}

void ControlHost::sendReport(const std::string &address)
{
    if (m_group.replica().diskId().empty()) {
        return; // the disk could not be read yet
    }
    if (FrameLink *link = m_links.link(address)) {
        SyncMessage message;
        message.name = m_settings.name;
        message.peerAddress = m_settings.peerAddress;
        message.operatorAddress = m_settings.operatorAddress;
        message.diskId = m_group.replica().diskId();
        link->send(FrameType::Sync, encode(message));
    }
}

void ControlHost::handleSync(std::uint64_t linkId, const SyncMessage &message)
{
    Session &session = m_sessions[linkId];
    const TimeMs now = m_loop.clock().now();
    bool needsFullDemand = false;
    if (!message.diskId.empty()) {
        m_group.recordHostReport(message.peerAddress, message.diskId);
    } else {
        session.peerAddress = message.peerAddress;
        session.configIndex = message.configIndex;
        session.directory.report(message.directoryVersion, message.directoryTerm);
        session.reportedAt = now;
        session.awaitsDrained = message.needsDrained || !message.drained.empty();
        m_levels.report(message, now);
        if (m_leads) {
            needsFullDemand = !m_ledger.report(message, linkId, now);
            if (needsFullDemand) {
                m_log.write(Event::ReportIncomplete, {{"node", message.peerAddress}, {"sequence", std::to_string(message.sequence)}});
            }
            if (m_registry.report(message, now)) {
                directoryChanged();
            }
            storeDrains(message);
        }
    }
    if (now - m_sharesAllocatedAt > allocationPeriodMs) {
        m_sharesAllocatedAt = now;
        m_ledger.allocateShares(now);
    }
    const SyncReplyMessage reply = makeReply(session, message.sequence, needsFullDemand);
    session.link->send(FrameType::SyncReply, encode(reply));
}

// Proposes the drains of a report that are not stored yet. The node reports them until they are.
void ControlHost::storeDrains(const SyncMessage &message)
{
    const std::string &node = message.peerAddress;
    const DrainReport missing{node, m_store.drains().missing({node, message.drained})};
    if (missing.drained.empty() || !m_proposedDrains.insert(node).second) {
        return;
    }
    const auto error = m_group.replica().propose(missing.toJson(), [this, node](std::error_code /*outcome*/, std::uint64_t /*index*/) {
        m_proposedDrains.erase(node);
    });
    if (error) {
        m_proposedDrains.erase(node);
    }
}

// Keeps the present document as it is sent to nodes, since later ones are compressed by it.
void ControlHost::recordDocument()
{
    if (m_documents.contains(m_store.index())) {
        return;
    }
    const bool withoutKeys = m_config && m_config->requiresKeys && m_config->teams.empty();
    m_documents[m_store.index()] = withoutKeys ? m_adapter.renderWithoutKeys(m_store.document()) : m_store.document();
    m_compressedDocuments.clear();
    if (m_documents.size() > maxDocuments) {
        m_documents.erase(m_documents.begin());
    }
}

// Adds the document, compressed by the one that the node has if that is known.
void ControlHost::addDocument(SyncReplyMessage &reply, Session &session)
{
    recordDocument();
    const auto base = m_documents.find(session.configIndex);
    reply.hasDocument = true;
    reply.documentBase = base == m_documents.end() ? 0 : base->first;
    std::string &text = m_compressedDocuments[reply.documentBase];
    if (text.empty()) {
        const std::string &document = m_documents.at(m_store.index());
        text = reply.documentBase > 0 ? compressChanges(document, base->second) : compress(document);
    }
    reply.document = text;
    session.configIndex = m_store.index();
}

const std::string &ControlHost::compressedDirectory(std::uint64_t base)
{
    if (m_directoryHistory.version() != m_directoryVersion) {
        m_directoryHistory.record(m_directoryVersion, m_registry.directory());
        m_compressedDirectories.clear();
    }
    std::string &text = m_compressedDirectories[base];
    if (text.empty()) {
        text = compress(encode(m_directoryHistory.changesSince(base)));
    }
    return text;
}

// Adds the directory, or what changed since the version that the node has.
void ControlHost::addDirectory(SyncReplyMessage &reply, Session &session)
{
    reply.hasDirectory = true;
    reply.directoryComplete = m_registry.isDirectoryComplete(m_loop.clock().now());
    reply.directoryBase = session.directory.advance(m_directoryVersion, reply.directoryTerm, reply.directoryComplete);
    reply.directory = compressedDirectory(reply.directoryBase);
}

LevelController ControlHost::makeLevelController()
{
    const FleetLimits &limits = m_settings.fleetLimits;
    RetryShortage shortage(limits.retryRatio, limits.retryPerWindow, limits.retryWindowMs);
    shortage.onChanged = [this](const std::string &service, bool isShort) {
        m_metrics.gauge("retries_scarce", isShort ? 1 : 0, "service=\"" + service + '"');
        m_log.write(Event::RetriesScarce, {{"service", service}, {"scarce", isShort ? "yes" : "no"}});
    };
    return LevelController(std::move(shortage));
}

// Reads the accepted configuration, for the rate limits of its teams.
void ControlHost::loadConfig()
{
    if (!m_leads || m_store.index() == 0) {
        return;
    }
    const auto config = std::make_shared<FleetConfig>();
    Findings findings;
    m_adapter.readDocument(m_store.document(), *config, findings);
    m_ledger.setConfig(config);
    m_config = config;
}

// Makes the reply to the report @p sequence, or an update if it is 0. A reply that asks for the full demand contains no tokens.
SyncReplyMessage ControlHost::makeReply(Session &session, std::uint64_t sequence, bool needsFullDemand)
{
    SyncReplyMessage reply;
    reply.sequence = sequence;
    reply.leads = m_leads && m_group.replica().isReady() && !m_stopping;
    reply.leaderAddress = m_leads ? m_settings.peerAddress : leaderAddress();
    if (reply.leads) {
        reply.fleetSize = m_ledger.fleetSize(m_loop.clock().now());
    }
    if (!reply.leads || session.peerAddress.empty()) {
        return reply;
    }
    const std::uint64_t term = m_group.replica().core()->term();
    reply.majorityContactAgeMs = m_group.contactAgeMs();
    reply.configIndex = m_store.index();
    reply.directoryTerm = term;
    reply.directoryVersion = m_directoryVersion;
    if (session.configIndex < m_store.index()) {
        addDocument(reply, session);
    }
    if (!session.directory.isAt(m_directoryVersion, term)) {
        addDirectory(reply, session);
    }
    // Another leader may have stored further drains.
    if (session.awaitsDrained && m_group.isCurrent()) {
        reply.hasDrained = true;
        reply.drained = m_store.drains().drained(session.peerAddress);
    }
    reply.evacuatedDomains = m_store.evacuations().domains();
    session.evacuationIndex = m_group.isCurrent() ? m_store.evacuations().index() : session.evacuationIndex;
    reply.controlHosts = m_group.hosts();
    reply.levels = m_levels.levels(m_loop.clock().now());
    reply.needsFullDemand = needsFullDemand;
    if (m_group.isCurrent() && !needsFullDemand) {
        reply.shares = m_ledger.shares(session.peerAddress, sequence, m_loop.clock().now());
        reply.account = m_ledger.account(session.peerAddress);
    }
    return reply;
}

void ControlHost::directoryChanged()
{
    ++m_directoryVersion;
    schedulePush();
}

void ControlHost::schedulePush()
{
    if (m_pushScheduled || !m_leads) {
        return;
    }
    m_pushScheduled = true;
    m_loop.after(m_registry.isDirectoryComplete(m_loop.clock().now()) ? pushDelayMs : collectionPushDelayMs, [this] {
        m_pushScheduled = false;
        pushUpdates();
    });
}

void ControlHost::pushUpdates()
{
    for (auto &[id, session] : m_sessions) {
        if (session.peerAddress.empty() || m_loop.clock().now() - session.reportedAt > updateValidMs) {
            continue;
        }
        const std::uint64_t sentEvacuations = session.evacuationIndex;
        const SyncReplyMessage reply = makeReply(session, 0);
        if (reply.hasDocument || reply.hasDirectory || reply.hasDrained || session.evacuationIndex != sentEvacuations) {
            session.link->send(FrameType::SyncReply, encode(reply));
        }
    }
}

void ControlHost::handleOperatorCall(const ExchangePtr &exchange)
{
    const OperatorCall call = m_adapter.readOperatorCall(exchange->request());
    if (call.kind == OperatorCall::Kind::Unknown) {
        exchange->respond(responseHead(404), {});
    } else if (!m_leads || !m_group.replica().isReady() || m_stopping) {
        redirect(exchange);
    } else if (call.kind == OperatorCall::Kind::Read) {
        answerDocument(exchange);
    } else if (call.kind == OperatorCall::Kind::StartEvacuation || call.kind == OperatorCall::Kind::EndEvacuation) {
        // The operators send an order again after a second. One whose caller has left meanwhile may have been overtaken by the opposite
        // order, so it is proposed only if its connection is still open in the next turn of the loop.
        m_loop.after(orderDelayMs, [this, exchange, call] {
            if (!exchange->isFinished()) {
                orderEvacuation(exchange, call);
            }
        });
    } else {
        publish(exchange, call);
    }
}

void ControlHost::redirect(const ExchangePtr &exchange)
{
    const std::string leader = leaderAddress();
    if (leader.empty() || leader == m_settings.peerAddress) {
        exchange->respond(responseHead(503), {});
        return;
    }
    const std::string port = m_settings.operatorAddress.substr(m_settings.operatorAddress.rfind(':'));
    exchange->respond(responseHead(307, {{"Location", "http://" + hostOf(leader) + port + exchange->request().target}}), {});
}

void ControlHost::answerDocument(const ExchangePtr &exchange)
{
    if (!m_group.isCurrent() || m_store.index() == 0) {
        exchange->respond(responseHead(503), {});
        return;
    }
    exchange->respond(responseHead(200, {{"Content-Type", "application/json"}}), m_store.document());
}

void ControlHost::publish(const ExchangePtr &exchange, const OperatorCall &call)
{
    Submission submission;
    submission.base = call.baseVersion;
    submission.document = exchange->request().body;
    submission.digest = sha256(submission.document);
    if (m_store.isAccepted(submission.digest)) {
        answerSubmission(exchange, submission, SubmissionResult::Accepted);
        return;
    }
    FleetConfig config;
    Findings findings;
    m_adapter.readDocument(submission.document, config, findings);
    if (!findings.empty()) {
        m_log.write(Event::ManifestRefused, {{"version", std::to_string(config.version)}, {"findings", toText(findings)}});
        exchange->respond(responseHead(400, {{"Content-Type", "text/plain"}}), toText(findings));
        return;
    }
    submission.version = config.version;
    const SubmissionResult result = m_store.check(submission);
    if (result != SubmissionResult::Accepted) {
        // Another leader may have accepted this submission, or the version that it builds on.
        if (m_group.isCurrent()) {
            answerSubmission(exchange, submission, result);
        } else {
            exchange->respond(responseHead(503), {});
        }
        return;
    }
    const auto error = m_group.replica().propose(submission.toJson(), [this, exchange, submission](std::error_code outcome, std::uint64_t index) {
        proposalFinished(exchange, submission, outcome, index);
    });
    if (error) {
        exchange->respond(responseHead(503), {});
    }
}

void ControlHost::proposalFinished(const ExchangePtr &exchange, const Submission &submission, std::error_code error, std::uint64_t index)
{
    const auto found = m_submissionResults.find(index);
    if (error || found == m_submissionResults.end()) {
        // Another leader may still commit the entry, so the operator has to submit the same document again.
        m_log.write(Event::ManifestRefused,
                    {{"version", std::to_string(submission.version)}, {"cause", error ? error.message() : "no result for the log entry"}});
        exchange->respond(responseHead(503), {});
        return;
    }
    const SubmissionResult result = found->second;
    m_submissionResults.erase(found);
    answerSubmission(exchange, submission, result);
}

void ControlHost::answerSubmission(const ExchangePtr &exchange, const Submission &submission, SubmissionResult result)
{
    if (result == SubmissionResult::Accepted) {
        exchange->respond(responseHead(200, {{"Content-Type", "application/json"}}), "{}");
        return;
    }
    const bool conflict = result == SubmissionResult::Conflict;
    m_log.write(Event::ManifestRefused,
                {{"version", std::to_string(submission.version)},
                 {"base", std::to_string(submission.base)},
                 {"current", std::to_string(m_store.version())},
                 {"cause", conflict ? "base version is not the current version" : "version is not above the current version"}});
    exchange->respond(responseHead(conflict ? 412 : 400), {});
}

void ControlHost::applyEvacuation(std::uint64_t index, const EvacuationOrder &order)
{
    const EvacuationResult result = m_store.evacuations().apply(index, order);
    if (m_leads) {
        m_evacuationResults[index] = result;
    }
    m_log.write(Event::EvacuationOrdered,
                {{"domain", order.domain},
                 {"order", std::string(evacuationOrderKindName(order.kind))},
                 {"result", std::string(evacuationResultName(result))},
                 {"index", std::to_string(index)},
                 {"evacuated", std::to_string(m_store.evacuations().domains().size())}});
    schedulePush();
}

// An order that repeats the present state is proposed too: its commit proves that a majority has stored that state.
void ControlHost::orderEvacuation(const ExchangePtr &exchange, const OperatorCall &call)
{
    const bool starts = call.kind == OperatorCall::Kind::StartEvacuation;
    const EvacuationOrder order{starts ? EvacuationOrder::Kind::Start : EvacuationOrder::Kind::End, call.domain};
    const EvacuationResult expected = m_store.evacuations().check(order);
    if (expected != EvacuationResult::Applied) {
        // Another leader may have taken domains back meanwhile.
        const bool isFinal = expected == EvacuationResult::InvalidDomain || m_group.isCurrent();
        answerEvacuation(exchange, order, {}, isFinal ? std::optional(expected) : std::nullopt);
        return;
    }
    const auto error = m_group.replica().propose(order.toJson(), [this, exchange, order](std::error_code outcome, std::uint64_t index) {
        const auto found = m_evacuationResults.extract(index);
        answerEvacuation(exchange, order, outcome, found ? std::optional(found.mapped()) : std::nullopt);
    });
    if (error) {
        answerEvacuation(exchange, order, error, std::nullopt);
    }
}

// Without a result the order may still be committed by another leader, so the operator has to send it again.
void ControlHost::answerEvacuation(const ExchangePtr &exchange, const EvacuationOrder &order, std::error_code error, std::optional<EvacuationResult> result)
{
    if (!error && result == EvacuationResult::Applied) {
        m_metrics.count("evacuation_orders_total", "result=\"applied\"");
        exchange->respond(responseHead(200, {{"Content-Type", "application/json"}}), "{}");
        return;
    }
    const bool isUnknown = error || !result;
    const std::string cause = isUnknown ? (error ? error.message() : "no result for the log entry") : std::string(evacuationResultName(*result));
    m_metrics.count("evacuation_orders_total", isUnknown ? "result=\"unknown\"" : "result=\"refused\"");
    m_log.write(Event::EvacuationOrdered,
                {{"domain", order.domain.substr(0, maxLoggedDomain)}, {"order", std::string(evacuationOrderKindName(order.kind))}, {"result", cause}});
    exchange->respond(responseHead(isUnknown ? 503 : 400), {});
}

void ControlHost::answerMetrics(const ExchangePtr &exchange)
{
    m_metrics.gauge("evacuated_domains", static_cast<double>(m_store.evacuations().domains().size()));
    m_memoryGuard.updateMetrics();
    m_metrics.gauge("leads", m_leads ? 1 : 0);
    m_metrics.gauge("config_version", static_cast<double>(m_store.version()));
    m_metrics.gauge("majority_contact_age_ms", m_group.contactAgeMs());
    m_metrics.gauge("nodes_reporting", static_cast<double>(m_registry.nodeCount()));
    m_metrics.gauge("directory_version", static_cast<double>(m_directoryVersion));
    exchange->respond(responseHead(200, {{"Content-Type", "text/plain; version=0.0.4"}}), m_metrics.text());
}
}

int runMeshControl(const MeshSettings &settings, const ProtocolAdapter &adapter, const std::function<MeshSettings()> &rereadSettings)
{
    limitRetainedMemory();
    ControlHost host(settings, adapter, rereadSettings);
    return host.open() ? host.run() : 1;
}
}
