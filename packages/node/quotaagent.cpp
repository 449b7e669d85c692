#include "quotaagent.h"

#include "base/errc.h"

#include <algorithm>
#include <set>

namespace Yuccagrade
{
namespace
{
constexpr auto borrowMethod = "borrow";
constexpr TimeMs tickPeriodMs = 20;
constexpr TimeMs waitingPeriodMs = 2; // runs only while requests wait for tokens
constexpr TimeMs waitLimitMs = 20; // longest wait of a request for a token
constexpr TimeMs borrowTimeoutMs = 200;
constexpr TimeMs lenderBackoffMs = 500; // a lender that did not respond is not used for this time
}

QuotaAgent::QuotaAgent(EventLoop &loop, PeerLink &link, Metrics &metrics, ControlPlane &plane, const PeerIdentity &identity)
    : m_loop(loop)
    , m_link(link)
    , m_metrics(metrics)
    , m_plane(plane)
    , m_client(identity.id, identity.incarnation)
    , m_coordinator(identity.id + ';' + std::to_string(identity.incarnation), loop.clock().now())
{
    m_link.serve(borrowMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return serveBorrow(parameters);
    });
}

void QuotaAgent::start()
{
    m_loop.every(tickPeriodMs, [this] {
        tick();
    });
}

void QuotaAgent::stateChanged()
{
    const TimeMs now = m_loop.clock().now();
    const auto manifest = m_plane.state().manifest();
    for (const TeamSpec &team : manifest->teams) {
        m_coordinator.setLimits(team.name, m_plane.state().manifestIndex(), {team.rate, team.burst}, now);
    }
}

void QuotaAgent::takeToken(const std::string &team, Callback callback)
{
    const TimeMs now = m_loop.clock().now();
    if (m_client.arrive(team, 1, now)) {
        callback(true);
        return;
    }
    m_waitingRequests.push_back({team, std::move(callback), now + waitLimitMs});
    requestLoans();
    scheduleWaitingTick();
}

// The short period is used only while requests wait; otherwise an idle node would spend most of its CPU time on empty ticks.
void QuotaAgent::scheduleWaitingTick()
{
    if (m_waitingTickScheduled || m_waitingRequests.empty()) {
        return;
    }
    m_waitingTickScheduled = true;
    m_loop.after(waitingPeriodMs, [this] {
        m_waitingTickScheduled = false;
        requestLoans();
        serveWaiting();
        scheduleWaitingTick();
    });
}

void QuotaAgent::tick()
{
    requestLoans();
    if (m_plane.isCoordinator()) {
        requestPeerLoans();
    }
}

void QuotaAgent::viewChanged()
{
    m_coordinators.clear();
    for (const Member &member : m_plane.view().upMembers()) {
        if (member.coordinator && member.id != m_plane.self().id) {
            m_coordinators.push_back({member.id, member.peerAddress});
        }
    }
}

// Returns the address of the domain's coordinator, or of another domain's coordinator while the own one does not respond. Without
// this fallback, every call with a key would be refused in a domain that lost its coordinator until the lease expires.
std::string QuotaAgent::lenderAddress(TimeMs now) const
{
    const auto isUsable = [&](const std::string &address) {
        const auto backoff = m_lenderBackoffUntil.find(address);
        return !address.empty() && (backoff == m_lenderBackoffUntil.end() || now >= backoff->second);
    };
    std::string own = m_plane.coordinatorAddress();
    if (isUsable(own)) {
        return own;
    }
    const auto other = std::find_if(m_coordinators.begin(), m_coordinators.end(), [&](const Coordinator &coordinator) {
        return isUsable(coordinator.address);
    });
    return other == m_coordinators.end() ? own : other->address;
}

// Borrows tokens from the coordinator of the domain, which may be this node.
void QuotaAgent::requestLoans()
{
    const TimeMs now = m_loop.clock().now();
    const bool isSelf = m_plane.isCoordinator();
    const std::string lender = isSelf ? std::string() : lenderAddress(now);
    if (!isSelf && lender.empty()) {
        return;
    }
    const auto request = m_client.poll(now);
    if (!request) {
        return;
    }
    if (isSelf) {
        onLoans(m_coordinator.answer(*request, now), now);
        if (m_coordinator.hasUnmetDemand()) {
            requestPeerLoans();
        }
        return;
    }
    m_link.call(lender, borrowMethod, request->toJson(), borrowTimeoutMs, [this, lender, now](std::error_code error, const Json::Value &result) {
        BorrowResponse response;
        if (!error && BorrowResponse::fromJson(result, response)) {
            onLoans(response, now);
        } else {
            m_lenderBackoffUntil[lender] = m_loop.clock().now() + lenderBackoffMs;
        }
    });
}

void QuotaAgent::onLoans(const BorrowResponse &response, TimeMs sentAt)
{
    m_client.answered(response, sentAt);
    serveWaiting();
}

// Grants tokens to waiting requests in order of arrival and refuses requests that exceeded the wait limit.
void QuotaAgent::serveWaiting()
{
    const TimeMs now = m_loop.clock().now();
    std::deque<WaitingRequest> remaining;
    std::vector<std::pair<Callback, bool>> finished;
    std::set<std::string> exhaustedTeams;
    for (WaitingRequest &entry : m_waitingRequests) {
        const bool granted = !exhaustedTeams.contains(entry.team) && m_client.retry(entry.team, 1, now);
        if (!granted) {
            exhaustedTeams.insert(entry.team);
        }
        if (granted || now >= entry.deadline) {
            m_client.stopWaiting(entry.team, 1);
            finished.emplace_back(std::move(entry.callback), granted);
        } else {
            remaining.push_back(std::move(entry));
        }
    }
    m_waitingRequests = std::move(remaining);
    for (const auto &[callback, granted] : finished) {
        callback(granted);
    }
}

// As a coordinator that is short of tokens, borrows from the coordinators of other domains.
void QuotaAgent::requestPeerLoans()
{
    const TimeMs now = m_loop.clock().now();
    std::vector<std::string> peers;
    std::map<std::string, std::string> addresses;
    for (const Coordinator &coordinator : m_coordinators) {
        peers.push_back(coordinator.id);
        addresses[coordinator.id] = coordinator.address;
    }
    for (const auto &[peer, request] : m_coordinator.borrowRequests(peers, now)) {
        m_link.call(addresses[peer],
                    borrowMethod,
                    request.toJson(),
                    borrowTimeoutMs,
                    [this, peer = peer, now](std::error_code error, const Json::Value &result) {
                        BorrowResponse response;
                        if (!error && BorrowResponse::fromJson(result, response)) {
                            m_coordinator.answered(peer, response, now, m_loop.clock().now());
                            requestLoans();
                        }
                    });
    }
}

Json::Value QuotaAgent::serveBorrow(const Json::Value &parameters)
{
    BorrowRequest request;
    if (!BorrowRequest::fromJson(parameters, request)) {
        return Json::Value(Json::objectValue);
    }
    const BorrowResponse response = m_coordinator.answer(request, m_loop.clock().now());
    if (m_coordinator.hasUnmetDemand() && !request.coordinator) {
        requestPeerLoans();
    }
    return response.toJson();
}

std::optional<ShareMessage> QuotaAgent::share() const
{
    return m_returnedShare ? m_returnedShare : m_coordinator.share().report(m_loop.clock().now());
}

void QuotaAgent::shareGranted(const ShareMessage &grant, TimeMs sentAt)
{
    if (!m_returnedShare) {
        m_coordinator.takeShare(grant, sentAt, m_loop.clock().now());
    }
}

void QuotaAgent::drain()
{
    m_returnedShare = m_coordinator.handBack(m_loop.clock().now());
}
}
