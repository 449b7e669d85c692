#include "controlplane.h"

#include "base/buildinfo.h"
#include "base/errc.h"

namespace Yuccagrade
{
namespace
{
constexpr TimeMs pollPeriodMs = 100;
constexpr TimeMs syncTimeoutMs = 1'000;
constexpr auto syncMethod = "sync";
}

ControlPlane::ControlPlane(EventLoop &loop, PeerLink &link, EventLog &log, const Settings &settings, const PeerIdentity &identity, ControlPlaneHooks hooks)
    : m_loop(loop)
    , m_link(link)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_random(identity.incarnation ^ std::hash<std::string>{}(identity.id))
    , m_feed([this] {
        return StateSnapshot{m_state.index(), m_state.toSnapshot()};
    })
    , m_view(identity.id + ';' + std::to_string(identity.incarnation))
    , m_receiver(stateHooks(), m_feed)
    , m_client(makeSelf(settings, identity), settings.seeds, m_view, m_proofs, m_receiver, m_lease)
    , m_server(settings.domain, m_view, m_proofs, m_feed)
{
    m_link.serve(syncMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return serveSync(parameters);
    });
}

Member ControlPlane::makeSelf(const Settings &settings, const PeerIdentity &identity)
{
    Member self;
    self.id = identity.id;
    self.incarnation = identity.incarnation;
    self.domain = settings.domain;
    self.region = settings.region;
    self.sources = buildInfo().sources;
    self.peerAddress = identity.address;
    return self;
}

StateHooks ControlPlane::stateHooks()
{
    return {[this] {
                return m_state.index();
            },
            [this](std::uint64_t index, const Json::Value &command) {
                m_state.apply(index, command);
            },
            [this](const std::string &text) {
                return m_state.fromSnapshot(text);
            }};
}

void ControlPlane::start()
{
    m_loop.every(pollPeriodMs, [this] {
        detectChanges();
        sync();
    });
}

bool ControlPlane::isFresh() const
{
    return m_proofs.isValid(m_state.index(), m_loop.clock().now());
}

bool ControlPlane::isCoordinator() const
{
    return !m_draining && m_lease.isHeld(m_loop.clock().now());
}

// In an isolated domain the coordinator lease expires after 4 s, while tokens of the quota floor may be granted for 600 s.
std::string ControlPlane::coordinatorAddress() const
{
    std::string coordinator = m_client.contacts(m_loop.clock().now()).coordinatorAddress;
    const auto &floors = m_state.floorHolders();
    const auto floor = floors.find(self().domain);
    if (!coordinator.empty() || floor == floors.end()) {
        return coordinator;
    }
    const Member *holder = m_view.find(floor->second.holder);
    return holder ? holder->peerAddress : std::string();
}

void ControlPlane::setUpstream(const std::optional<UpstreamAnnouncement> &upstream)
{
    m_client.self().upstream = upstream;
}

void ControlPlane::drain()
{
    m_draining = true;
    m_client.self().draining = true;
    m_lease.release(m_loop.clock().now());
}

Json::Value ControlPlane::serveSync(const Json::Value &parameters)
{
    SyncRequest request;
    if (!SyncRequest::fromJson(parameters, request)) {
        m_log.write(Event::MalformedRequest, {{"method", syncMethod}});
        return Json::Value(Json::objectValue);
    }
    const TimeMs now = m_loop.clock().now();
    const std::uint64_t version = m_view.version();
    const SyncResponse response = m_server.answer(request, m_client.role(now), m_client.contacts(now), now);
    if (m_view.version() != version && m_hooks.viewChanged) {
        m_hooks.viewChanged();
    }
    return response.toJson();
}

void ControlPlane::sync()
{
    const TimeMs now = m_loop.clock().now();
    m_client.setShare(m_hooks.share ? m_hooks.share() : std::nullopt);
    const auto action = m_client.poll(now, m_random);
    if (!action) {
        return;
    }
    m_link.call(action->address, syncMethod, action->request.toJson(), syncTimeoutMs, [this, now](std::error_code error, const Json::Value &result) {
        onSyncResponse(error, result, now);
    });
}

void ControlPlane::onSyncResponse(std::error_code error, const Json::Value &result, TimeMs sentAt)
{
    const TimeMs now = m_loop.clock().now();
    SyncResponse response;
    if (error || !SyncResponse::fromJson(result, response)) {
        m_client.failed(now);
        return;
    }
    const std::uint64_t index = m_state.index();
    const std::uint64_t version = m_view.version();
    m_client.answered(response, sentAt, now);
    if (response.share && m_hooks.shareGranted) {
        m_hooks.shareGranted(*response.share, sentAt);
    }
    if (m_state.index() != index) {
        m_log.write(Event::StateApplied, {{"index", std::to_string(m_state.index())}, {"manifest", std::to_string(m_state.manifest()->version)}});
        m_hooks.stateChanged();
    }
    if (m_view.version() != version && m_hooks.viewChanged) {
        m_hooks.viewChanged();
    }
    detectChanges();
}

// Detects changes that occur without a message: expired proofs and leases, members that stopped reporting.
void ControlPlane::detectChanges()
{
    const TimeMs now = m_loop.clock().now();
    const auto down = m_server.expire(m_client.role(now), now);
    for (const Member &member : down) {
        m_log.write(Event::MemberDown, {{"member", member.id}});
    }
    if (!down.empty() && m_hooks.viewChanged) {
        m_hooks.viewChanged();
    }
    if (isFresh() != m_reportedFresh) {
        m_reportedFresh = !m_reportedFresh;
        m_log.write(m_reportedFresh ? Event::ProofRegained : Event::ProofLost, {{"index", std::to_string(m_state.index())}});
        m_hooks.freshnessChanged(m_reportedFresh);
    }
    if (isCoordinator() != m_reportedCoordinator) {
        m_reportedCoordinator = !m_reportedCoordinator;
        m_client.self().coordinator = m_reportedCoordinator;
        m_log.write(m_reportedCoordinator ? Event::CoordinatorLeaseGained : Event::CoordinatorLeaseLost);
    }
}
}
