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
constexpr TimeMs waitingPeriodMs = 2; // while requests wait for tokens
constexpr TimeMs waitLimitMs = 20; // longest wait of a request for a token
constexpr TimeMs borrowTimeoutMs = 200;
constexpr TimeMs avoidLenderMs = 500; // then the coordinator of the domain is tried again
}

QuotaAgent::QuotaAgent(EventLoop &loop, PeerLink &link, Metrics &metrics, ControlPlane &plane, const PeerIdentity &identity)
    : m_loop(loop)
    , m_link(link)
    , m_metrics(metrics)
    , m_plane(plane)
    , m_client(identity.id, identity.incarnation)
    , m_desk(identity.id + ';' + std::to_string(identity.incarnation), loop.clock().now())
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
        m_desk.setLimits(team.name, m_plane.state().manifestIndex(), {team.rate, team.burst}, now);
    }
}

void QuotaAgent::take(const std::string &team, Callback callback)
{
    const TimeMs now = m_loop.clock().now();
    if (m_client.arrive(team, 1, now)) {
        callback(true);
        return;
    }
    m_waiting.push_back({team, std::move(callback), now + waitLimitMs});
    ask();
    tickWaiting();
}

// Runs often only while a request waits; an idle node would spend most of its time on empty ticks.
void QuotaAgent::tickWaiting()
{
    if (m_waitingTimer || m_waiting.empty()) {
        return;
    }
    m_waitingTimer = true;
    m_loop.after(waitingPeriodMs, [this] {
        m_waitingTimer = false;
        ask();
        payWaiting();
        tickWaiting();
    });
}

void QuotaAgent::tick()
{
    ask();
    if (m_plane.isCoordinator()) {
        askPeers();
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

// Returns the coordinator of the domain, or while that does not answer one of another domain. Without this, the loss of a
// coordinator refuses every keyed call of its domain until the lease has run out.
std::string QuotaAgent::lenderAddress(TimeMs now) const
{
    const auto isUsable = [&](const std::string &address) {
        const auto avoided = m_avoidUntil.find(address);
        return !address.empty() && (avoided == m_avoidUntil.end() || now >= avoided->second);
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

// Asks the coordinator of the domain, which may be this node.
void QuotaAgent::ask()
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
        takeLoans(m_desk.answer(*request, now), now);
        if (m_desk.hasUnmetDemand()) {
            askPeers();
        }
        return;
    }
    m_link.call(lender, borrowMethod, request->toJson(), borrowTimeoutMs, [this, lender, now](std::error_code error, const Json::Value &result) {
        BorrowResponse response;
        if (!error && BorrowResponse::fromJson(result, response)) {
            takeLoans(response, now);
        } else {
            m_avoidUntil[lender] = m_loop.clock().now() + avoidLenderMs;
        }
    });
}

void QuotaAgent::takeLoans(const BorrowResponse &response, TimeMs sentAt)
{
    m_client.answered(response, sentAt);
    payWaiting();
}

// Pays waiting requests in the order of their arrival and refuses those that have waited too long.
void QuotaAgent::payWaiting()
{
    const TimeMs now = m_loop.clock().now();
    std::deque<Waiting> left;
    std::vector<std::pair<Callback, bool>> finished;
    std::set<std::string> exhausted;
    for (Waiting &entry : m_waiting) {
        const bool paid = !exhausted.contains(entry.team) && m_client.retry(entry.team, 1, now);
        if (!paid) {
            exhausted.insert(entry.team);
        }
        if (paid || now >= entry.deadline) {
            m_client.stopWaiting(entry.team, 1);
            finished.emplace_back(std::move(entry.callback), paid);
        } else {
            left.push_back(std::move(entry));
        }
    }
    m_waiting = std::move(left);
    for (const auto &[callback, paid] : finished) {
        callback(paid);
    }
}

// Coordinators that are short borrow from those of other domains.
void QuotaAgent::askPeers()
{
    const TimeMs now = m_loop.clock().now();
    std::vector<std::string> peers;
    std::map<std::string, std::string> addresses;
    for (const Coordinator &coordinator : m_coordinators) {
        peers.push_back(coordinator.id);
        addresses[coordinator.id] = coordinator.address;
    }
    for (const auto &[peer, request] : m_desk.borrowRequests(peers, now)) {
        m_link.call(addresses[peer],
                    borrowMethod,
                    request.toJson(),
                    borrowTimeoutMs,
                    [this, peer = peer, now](std::error_code error, const Json::Value &result) {
                        BorrowResponse response;
                        if (!error && BorrowResponse::fromJson(result, response)) {
                            m_desk.answered(peer, response, now, m_loop.clock().now());
                            ask();
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
    const BorrowResponse response = m_desk.answer(request, m_loop.clock().now());
    if (m_desk.hasUnmetDemand() && !request.coordinator) {
        askPeers();
    }
    return response.toJson();
}

std::optional<ShareMessage> QuotaAgent::share() const
{
    return m_handedBack ? m_handedBack : m_desk.share().report(m_loop.clock().now());
}

void QuotaAgent::shareGranted(const ShareMessage &grant, TimeMs sentAt)
{
    if (!m_handedBack) {
        m_desk.takeShare(grant, sentAt, m_loop.clock().now());
    }
}

void QuotaAgent::drain()
{
    m_handedBack = m_desk.handBack(m_loop.clock().now());
}
}
