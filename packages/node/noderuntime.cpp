#include "noderuntime.h"

#include "ingresshandler.h"
#include "quotaagent.h"
#include "runtime/processhost.h"

namespace Yuccagrade
{
namespace
{
constexpr auto announcePath = "/yuccagrade/announce";
constexpr auto callPath = "/call";
constexpr int exitCannotStart = 1;

/// Owns and connects the components of a node process.
class NodeRuntime
{
public:
    explicit NodeRuntime(ProcessHost &host);

    bool open();
    /// Handles a call forwarded by another node.
    void handleCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        m_forwarder.handle(exchange);
    }
    void drain();
    bool isDrained() const;

private:
    ControlPlaneHooks hooks();
    void stateChanged();
    void viewChanged();
    void handleCaller(const std::shared_ptr<HttpExchange> &exchange);
    void refreshMetrics(Metrics &metrics) const;

    ProcessHost &m_host;
    ControlPlane m_plane;
    RunningCalls m_calls;
    UpstreamDispatcher m_dispatcher;
    Forwarder m_forwarder;
    ClaimAgent m_claims;
    QuotaAgent m_quota;
    IngressHandler m_ingress;
    HttpServer m_callerServer;
};

NodeRuntime::NodeRuntime(ProcessHost &host)
    : m_host(host)
    , m_plane(host.loop(), host.link(), host.log(), host.settings(), host.identity(), hooks())
    , m_dispatcher(host.loop(), host.client(), host.log(), host.metrics(), m_plane, m_calls)
    , m_forwarder(host.loop(), host.client(), host.auth(), host.log(), m_dispatcher)
    , m_claims(host.loop(), host.link(), host.log(), m_plane, host.identity())
    , m_quota(host.loop(), host.link(), host.metrics(), m_plane, host.identity())
    , m_ingress({host.loop(),
                 host.log(),
                 host.metrics(),
                 m_plane,
                 m_dispatcher,
                 m_forwarder,
                 m_claims,
                 m_calls,
                 [this](const std::string &team, std::function<void(bool)> done) {
                     m_quota.takeToken(team, std::move(done));
                 }},
                host.identity().id,
                host.settings().domain)
    , m_callerServer(host.loop(), [this](const auto &exchange) {
        handleCaller(exchange);
    })
{
}

ControlPlaneHooks NodeRuntime::hooks()
{
    ControlPlaneHooks hooks;
    hooks.stateChanged = [this] {
        stateChanged();
    };
    hooks.viewChanged = [this] {
        viewChanged();
    };
    hooks.freshnessChanged = [](bool) {};
    hooks.share = [this] {
        return m_quota.share();
    };
    hooks.shareGranted = [this](const ShareMessage &grant, TimeMs sentAt) {
        m_quota.shareGranted(grant, sentAt);
    };
    return hooks;
}

bool NodeRuntime::open()
{
    m_host.metricsHook = [this](Metrics &metrics) {
        refreshMetrics(metrics);
    };
    if (const auto error = m_callerServer.listen(m_host.settings().callerAddress)) {
        m_host.log().write(Event::ListenFailed, {{"address", m_host.settings().callerAddress}, {"reason", error.message()}});
        return false;
    }
    m_host.ownerServer = &m_callerServer;
    m_plane.start();
    m_dispatcher.start();
    m_claims.start();
    m_quota.start();
    return true;
}

void NodeRuntime::stateChanged()
{
    m_ingress.stateChanged();
    m_dispatcher.stateChanged();
    m_claims.stateChanged();
    m_quota.stateChanged();
}

void NodeRuntime::viewChanged()
{
    m_ingress.viewChanged();
    m_quota.viewChanged();
}

void NodeRuntime::handleCaller(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.path != announcePath) {
        m_ingress.handle(exchange);
        return;
    }
    // Announcements are accepted from this host only.
    const bool isLocal = request.remoteAddress == ipOf(m_callerServer.address()) || request.remoteAddress == "127.0.0.1";
    exchange->respond(isLocal && request.method == "POST" ? m_dispatcher.announce(request) : HttpResponse{403, {}, {}});
}

void NodeRuntime::drain()
{
    m_quota.drain();
    m_plane.drain();
    m_ingress.drain();
    m_dispatcher.drain();
}

bool NodeRuntime::isDrained() const
{
    return m_ingress.activeRequestCount() == 0 && m_dispatcher.activeCallCount() == 0;
}

void NodeRuntime::refreshMetrics(Metrics &metrics) const
{
    const LoadReport load = m_dispatcher.load();
    metrics.gauge("yuccagrade_upstream_in_flight", load.inFlight);
    metrics.gauge("yuccagrade_upstream_limit", load.limit);
    metrics.gauge("yuccagrade_upstream_queued", load.queued);
    metrics.gauge("yuccagrade_requests_active", static_cast<double>(m_ingress.activeRequestCount()));
    metrics.gauge("yuccagrade_state_index", static_cast<double>(m_plane.state().index()));
    metrics.gauge("yuccagrade_fresh", m_plane.isFresh() ? 1 : 0);
    metrics.gauge("yuccagrade_coordinator", m_plane.isCoordinator() ? 1 : 0);
    metrics.gauge("yuccagrade_members_up", static_cast<double>(m_plane.view().upMembers().size()));
    metrics.gauge("yuccagrade_claim_replicas_abstaining", m_claims.abstainingCount());
    const auto share = m_quota.share();
    metrics.gauge("yuccagrade_floor_fraction", share && share->floorMs > 0 ? share->floorFraction : 0);
}
}

int runNode(const Settings &settings)
{
    ProcessHost host(settings);
    std::unique_ptr<NodeRuntime> node;
    if (!host.open()) {
        return exitCannotStart;
    }
    node = std::make_unique<NodeRuntime>(host);
    host.peerHandler = [&](const auto &exchange) {
        if (exchange->request().path == callPath && exchange->request().method == "POST") {
            node->handleCall(exchange);
        } else {
            exchange->respond({404, {}, {}});
        }
    };
    host.drainHook = [&] {
        node->drain();
    };
    host.isDrained = [&] {
        return node->isDrained();
    };
    return node->open() ? host.run() : exitCannotStart;
}
}
