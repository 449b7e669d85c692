#include "meshcontrol.h"

#include "base/compress.h"
#include "base/metrics.h"
#include "base/secret.h"
#include "controlgroup.h"
#include "documentstore.h"
#include "fleetregistry.h"
#include "levelcontroller.h"
#include "net/httpport.h"

#include <algorithm>
#include <set>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr TimeMs reportPeriodMs = 300;
constexpr TimeMs dividePeriodMs = 250;
// Changes within this time go out together.
constexpr TimeMs pushDelayMs = 20;
// The same while nodes report to a new leader for the first time: each report changes the directory.
constexpr TimeMs collectPushMs = 100;
constexpr TimeMs expirePeriodMs = 500;
// After SIGTERM operators' calls are answered for this time.
constexpr TimeMs stopDelayMs = 300;

/// A node that reports to this host.
struct Session {
    std::shared_ptr<FrameLink> link;
    std::string peerAddress; ///< empty before the first report
    std::uint64_t configIndex = 0;
    std::uint64_t directoryVersion = 0;
    std::uint64_t directoryTerm = 0;
};

class ControlHost
{
public:
    ControlHost(const MeshSettings &settings, const Dialect &dialect, std::function<MeshSettings()> readAgain);
    bool open();
    int run();

private:
    using ExchangePtr = std::shared_ptr<PortExchange>;

    void acceptPeer(std::shared_ptr<TcpStream> stream);
    void peerFrame(std::uint64_t linkId, FrameType type, std::string_view payload);
    void linkFrame(FrameType type, std::string_view payload);
    void synced(std::uint64_t linkId, const SyncMessage &message);
    SyncReplyMessage replyFor(Session &session);
    void push();
    void schedulePush();
    void directoryChanged();
    void reportToLeader();
    void sendReport(const std::string &address);
    void operatorCall(const ExchangePtr &exchange);
    void redirect(const ExchangePtr &exchange);
    void readDocument(const ExchangePtr &exchange);
    void publish(const ExchangePtr &exchange, const OperatorCall &call);
    void submitted(const ExchangePtr &exchange, const Submission &submission, std::error_code error, std::uint64_t index);
    void answerSubmission(const ExchangePtr &exchange, const Submission &submission, SubmissionResult result);
    void answerMetrics(const ExchangePtr &exchange);
    void loadRates();
    const std::string &packedDocument();
    const std::string &packedDirectory();
    std::string leaderAddress() const;

    MeshSettings m_settings;
    const Dialect &m_dialect;
    std::function<MeshSettings()> m_readAgain;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    LinkPool m_links;
    ControlGroup m_group;
    DocumentStore m_store;
    FleetRegistry m_registry;
    LevelController m_levels;
    HttpPort m_operators;
    HttpPort m_metricsPort;
    TcpListener m_peers;
    std::map<std::uint64_t, Session> m_sessions;
    std::uint64_t m_lastLink = 0;
    std::map<std::uint64_t, SubmissionResult> m_results; ///< of entries proposed here
    std::string m_packedDocument; ///< compressed, of log index m_packedIndex
    std::uint64_t m_packedIndex = 0;
    std::string m_packedDirectory; ///< compressed, of version m_packedDirectoryVersion
    std::uint64_t m_packedDirectoryVersion = 0;
    std::string m_leaderHint; ///< leader as another control host named it
    bool m_leads = false;
    TimeMs m_leadsSince = 0;
    std::uint64_t m_directoryVersion = 1;
    TimeMs m_dividedAt = 0;
    bool m_pushScheduled = false;
    bool m_stopping = false;
};

ControlHost::ControlHost(const MeshSettings &settings, const Dialect &dialect, std::function<MeshSettings()> readAgain)
    : m_settings(settings)
    , m_dialect(dialect)
    , m_readAgain(std::move(readAgain))
    , m_log(m_loop.clock(), settings.name, "-")
    , m_links(m_loop, settings.hostIp)
    , m_group(m_loop, m_links, m_log, m_settings)
    , m_registry(m_loop.clock().now())
    , m_operators(m_loop,
                  [this](const ExchangePtr &exchange) {
                      operatorCall(exchange);
                  })
    , m_metricsPort(m_loop,
                    [this](const ExchangePtr &exchange) {
                        answerMetrics(exchange);
                    })
    , m_peers(m_loop, [this](std::shared_ptr<TcpStream> stream) {
        acceptPeer(std::move(stream));
    })
{
    m_links.onFrame = [this](const std::string &, FrameType type, std::string_view payload) {
        linkFrame(type, payload);
    };
    m_links.onClosed = [this](const std::string &address, bool /*connected*/) {
        m_group.linkClosed(address);
    };
    m_links.isBusy = [this](const std::string &address) {
        return m_group.expectsReply(address);
    };
    m_group.onApply = [this](std::uint64_t index, const Json::Value &command) {
        Submission submission;
        if (command.isNull() || !Submission::fromJson(command, submission)) {
            return;
        }
        const SubmissionResult result = m_store.apply(index, submission);
        if (m_leads) {
            m_results[index] = result;
        }
        if (result == SubmissionResult::Accepted) {
            m_log.write(Event::ManifestAccepted, {{"index", std::to_string(index)}, {"version", std::to_string(submission.version)}});
            loadRates();
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
    m_group.onLeadership = [this](bool leads) {
        m_leads = leads;
        m_leadsSince = m_loop.clock().now();
        m_registry = FleetRegistry(m_leadsSince);
        m_levels = LevelController();
        loadRates();
        m_results.clear();
        m_packedDirectoryVersion = 0; // of a former term
        if (leads) {
            m_loop.after(FleetRegistry::collectMs, [this] {
                directoryChanged();
            });
        }
    };
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
    return m_group.open() && listen(m_peers, m_settings.peerListenAddress) && listen(m_operators, m_settings.operatorAddress)
        && listen(m_metricsPort, m_settings.metricsAddress);
}

int ControlHost::run()
{
    m_log.write(Event::ProcessStarted, {{"role", "control"}, {"peer", m_settings.peerAddress}, {"config", std::to_string(m_store.version())}});
    m_loop.onTerminate([this] {
        m_stopping = true;
        m_log.write(Event::DrainStarted);
        m_operators.closeAfterResponses();
        m_loop.after(stopDelayMs, [this] {
            m_operators.stopListening();
            m_loop.stop();
        });
    });
    m_loop.onHangup([this] {
        const MeshSettings settings = m_readAgain();
        m_settings.seeds = settings.seeds.empty() ? m_settings.seeds : settings.seeds;
        m_log.write(Event::SettingsReloaded, {{"seeds", std::to_string(settings.seeds.size())}});
    });
    m_loop.every(reportPeriodMs, [this] {
        reportToLeader();
    });
    m_loop.every(expirePeriodMs, [this] {
        if (m_leads && m_registry.expire(m_loop.clock().now())) {
            directoryChanged();
        }
    });
    m_loop.run();
    m_log.write(Event::ProcessStopped);
    return 0;
}

void ControlHost::acceptPeer(std::shared_ptr<TcpStream> stream)
{
    const std::uint64_t id = ++m_lastLink;
    const auto link = FrameLink::open(std::move(stream), m_loop.clock());
    link->onFrame = [this, id](FrameType type, std::string_view payload) {
        peerFrame(id, type, payload);
    };
    link->onClosed = [this, id] {
        m_sessions.erase(id);
    };
    m_sessions[id].link = link;
}

void ControlHost::peerFrame(std::uint64_t linkId, FrameType type, std::string_view payload)
{
    const auto link = m_sessions[linkId].link;
    if (type == FrameType::Sync) {
        SyncMessage message;
        if (decode(payload, message)) {
            synced(linkId, message);
            return;
        }
    } else if (type == FrameType::TokenRequest) {
        TokenRequest request;
        if (decode(payload, request)) {
            // A host that does not lead grants nothing, and says nothing: the node turns to the leader by itself.
            if (m_leads && m_group.replica().isReady()) {
                link->send(FrameType::TokenGrant, encode(m_registry.grant(request, m_loop.clock().now())));
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

void ControlHost::linkFrame(FrameType type, std::string_view payload)
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

// Other control hosts report too, so that the leader can admit them.
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
    if (FrameLink *link = m_links.link(address)) {
        SyncMessage message;
        message.name = m_settings.name;
        message.peerAddress = m_settings.peerAddress;
        message.operatorAddress = m_settings.operatorAddress;
        message.diskId = m_group.replica().diskId();
        link->send(FrameType::Sync, encode(message));
    }
}

void ControlHost::synced(std::uint64_t linkId, const SyncMessage &message)
{
    Session &session = m_sessions[linkId];
    const TimeMs now = m_loop.clock().now();
    if (!message.diskId.empty()) {
        m_group.noteHost(message.peerAddress, message.diskId);
    } else {
        session.peerAddress = message.peerAddress;
        session.configIndex = message.configIndex;
        session.directoryVersion = message.directoryVersion;
        session.directoryTerm = message.directoryTerm;
        m_levels.report(message, now);
        if (m_leads && m_registry.report(message, now)) {
            directoryChanged();
        }
    }
    if (now - m_dividedAt > dividePeriodMs) {
        m_dividedAt = now;
        m_registry.divide(now);
    }
    SyncReplyMessage reply = replyFor(session);
    reply.sequence = message.sequence;
    session.link->send(FrameType::SyncReply, encode(reply));
}

const std::string &ControlHost::packedDocument()
{
    if (m_packedIndex != m_store.index()) {
        m_packedIndex = m_store.index();
        m_packedDocument = compress(m_store.document());
    }
    return m_packedDocument;
}

const std::string &ControlHost::packedDirectory()
{
    if (m_packedDirectoryVersion != m_directoryVersion) {
        m_packedDirectoryVersion = m_directoryVersion;
        m_packedDirectory = compress(encode(DirectoryMessage{m_registry.directory()}));
    }
    return m_packedDirectory;
}

// The leader needs the teams' rates.
void ControlHost::loadRates()
{
    if (!m_leads || m_store.index() == 0) {
        return;
    }
    const auto config = std::make_shared<FleetConfig>();
    Findings findings;
    m_dialect.readDocument(m_store.document(), *config, findings);
    m_registry.setConfig(config);
}

SyncReplyMessage ControlHost::replyFor(Session &session)
{
    SyncReplyMessage reply;
    reply.leads = m_leads && m_group.replica().isReady() && !m_stopping;
    reply.leaderAddress = m_leads ? m_settings.peerAddress : leaderAddress();
    if (!reply.leads || session.peerAddress.empty()) {
        return reply;
    }
    const std::uint64_t term = m_group.replica().core()->term();
    reply.proofAgeMs = m_group.contactAgeMs();
    reply.configIndex = m_store.index();
    reply.directoryTerm = term;
    reply.directoryVersion = m_directoryVersion;
    if (session.configIndex < m_store.index()) {
        reply.hasDocument = true;
        reply.document = packedDocument();
        session.configIndex = m_store.index();
    }
    if (session.directoryVersion != m_directoryVersion || session.directoryTerm != term) {
        reply.hasDirectory = true;
        reply.directoryComplete = m_registry.isComplete(m_loop.clock().now());
        reply.directory = packedDirectory();
        session.directoryVersion = m_directoryVersion;
        session.directoryTerm = term;
    }
    reply.controlHosts = m_group.hosts();
    reply.levels = m_levels.levels(m_loop.clock().now());
    reply.shares = m_registry.shares(session.peerAddress, m_loop.clock().now());
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
    m_loop.after(m_registry.isComplete(m_loop.clock().now()) ? pushDelayMs : collectPushMs, [this] {
        m_pushScheduled = false;
        push();
    });
}

void ControlHost::push()
{
    for (auto &[id, session] : m_sessions) {
        if (session.peerAddress.empty()) {
            continue;
        }
        const SyncReplyMessage reply = replyFor(session);
        if (reply.hasDocument || reply.hasDirectory) {
            session.link->send(FrameType::SyncReply, encode(reply));
        }
    }
}

void ControlHost::operatorCall(const ExchangePtr &exchange)
{
    const OperatorCall call = m_dialect.readOperatorCall(exchange->request());
    if (call.kind == OperatorCall::Kind::Unknown) {
        exchange->respond(responseHead(404), {});
    } else if (!m_leads || !m_group.replica().isReady() || m_stopping) {
        redirect(exchange);
    } else if (call.kind == OperatorCall::Kind::Read) {
        readDocument(exchange);
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

void ControlHost::readDocument(const ExchangePtr &exchange)
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
    m_dialect.readDocument(submission.document, config, findings);
    if (!findings.empty()) {
        m_log.write(Event::ManifestRefused, {{"version", std::to_string(config.version)}, {"findings", toText(findings)}});
        exchange->respond(responseHead(400, {{"Content-Type", "text/plain"}}), toText(findings));
        return;
    }
    submission.version = config.version;
    const SubmissionResult result = m_store.check(submission);
    if (result != SubmissionResult::Accepted) {
        answerSubmission(exchange, submission, result);
        return;
    }
    const auto error = m_group.replica().propose(submission.toJson(), [this, exchange, submission](std::error_code outcome, std::uint64_t index) {
        submitted(exchange, submission, outcome, index);
    });
    if (error) {
        exchange->respond(responseHead(503), {});
    }
}

void ControlHost::submitted(const ExchangePtr &exchange, const Submission &submission, std::error_code error, std::uint64_t index)
{
    const auto found = m_results.find(index);
    if (error || found == m_results.end()) {
        // The entry may still be committed by another leader; the operator sends the same again.
        m_log.write(Event::ManifestRefused, {{"version", std::to_string(submission.version)}, {"cause", error ? error.message() : "no result"}});
        exchange->respond(responseHead(503), {});
        return;
    }
    const SubmissionResult result = found->second;
    m_results.erase(found);
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
                 {"cause", conflict ? "builds on another version" : "version is not above the current one"}});
    exchange->respond(responseHead(conflict ? 412 : 400), {});
}

void ControlHost::answerMetrics(const ExchangePtr &exchange)
{
    m_metrics.gauge("leads", m_leads ? 1 : 0);
    m_metrics.gauge("config_version", static_cast<double>(m_store.version()));
    m_metrics.gauge("majority_contact_age_ms", m_group.contactAgeMs());
    m_metrics.gauge("nodes_reporting", static_cast<double>(m_registry.nodes()));
    m_metrics.gauge("directory_version", static_cast<double>(m_directoryVersion));
    exchange->respond(responseHead(200, {{"Content-Type", "text/plain; version=0.0.4"}}), m_metrics.text());
}
}

int runMeshControl(const MeshSettings &settings, const Dialect &dialect, const std::function<MeshSettings()> &readAgain)
{
    ControlHost host(settings, dialect, readAgain);
    return host.open() ? host.run() : 1;
}
}
