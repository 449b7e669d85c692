#include "claimagent.h"

#include "base/errc.h"
#include "base/secret.h"
#include "claims/actionhash.h"

#include <algorithm>
#include <cstring>
#include <set>

namespace Yuccagrade
{
namespace
{
constexpr TimeMs tickPeriodMs = 100;
constexpr TimeMs copyTimeoutMs = 1'000;
constexpr TimeMs releaseTimeoutMs = 1'000;
constexpr auto claimMethod = "claim";
constexpr auto releaseMethod = "release";
constexpr auto copyMethod = "claim.copy";

// Claim tokens must be unique across processes, so their generator is seeded from the operating system.
std::uint64_t systemSeed()
{
    std::string bytes;
    base64UrlDecode(randomToken(sizeof(std::uint64_t)), bytes);
    std::uint64_t seed = 0;
    std::memcpy(&seed, bytes.data(), sizeof seed);
    return seed;
}

std::vector<std::string> addressesOf(const std::vector<ClaimReplicaSpec> &replicas)
{
    std::vector<std::string> addresses;
    addresses.reserve(replicas.size());
    for (const auto &replica : replicas) {
        addresses.push_back(replica.address);
    }
    return addresses;
}
}

ClaimAgent::ClaimAgent(EventLoop &loop, PeerLink &link, EventLog &log, ControlPlane &plane, const PeerIdentity &identity)
    : m_loop(loop)
    , m_link(link)
    , m_log(log)
    , m_plane(plane)
    , m_identity(identity)
    , m_random(systemSeed())
{
    m_link.serve(claimMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return serveClaim(parameters);
    });
    m_link.serve(releaseMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return serveRelease(parameters);
    });
    m_link.serve(copyMethod, [this](const PeerSender &, const Json::Value &parameters) {
        return serveCopy(parameters);
    });
}

void ClaimAgent::start()
{
    m_loop.every(tickPeriodMs, [this] {
        tick();
    });
}

// Claims are kept in memory. A replica is complete from the start only if the state lists the current incarnation of this process;
// after a restart it has lost its claims.
void ClaimAgent::stateChanged()
{
    for (const ClaimGroup &group : m_plane.state().claimGroups()) {
        const auto self = std::find_if(group.replicas.begin(), group.replicas.end(), [this](const auto &replica) {
            return replica.id == m_identity.id;
        });
        for (auto &[key, hosted] : m_hostedReplicas) {
            if (key.first == group.number && key.second < group.epoch) {
                hosted.replica->seal();
            }
        }
        if (group.epoch == 0 || self == group.replicas.end() || m_hostedReplicas.contains({group.number, group.epoch})) {
            continue;
        }
        const bool isSameIncarnation = self->incarnation == m_identity.incarnation;
        hostReplica(group, !isSameIncarnation ? ReplicaStart::Restarted : group.epoch == 1 ? ReplicaStart::FirstEpoch : ReplicaStart::NewEpoch);
    }
}

void ClaimAgent::hostReplica(const ClaimGroup &group, ReplicaStart start)
{
    ReplicaOptions options;
    options.group = group.number;
    options.epoch = static_cast<std::int64_t>(group.epoch);
    options.formerEpoch = options.epoch - 1;
    options.start = start;
    options.windowMs = m_plane.state().manifest()->limits.claimWindowMs;
    HostedReplica hosted;
    hosted.replica = std::make_unique<ClaimReplica>(options, m_loop.clock().now());
    if (start == ReplicaStart::NewEpoch) {
        hosted.sources = addressesOf(group.formerReplicas);
    } else if (start == ReplicaStart::Restarted) {
        hosted.sources = addressesOf(group.replicas);
        std::erase(hosted.sources, m_identity.address);
    }
    hosted.abstainingReported = hosted.replica->isAbstaining();
    if (hosted.abstainingReported) {
        m_log.write(Event::ClaimReplicaAbstains, {{"group", std::to_string(group.number)}, {"epoch", std::to_string(group.epoch)}});
    }
    const auto groupNumber = group.number;
    // Replicas of the current epoch copy from the directly preceding epoch only, so older epochs are removed.
    std::erase_if(m_hostedReplicas, [&](const auto &entry) {
        return entry.first.first == groupNumber && entry.first.second + 1 < group.epoch;
    });
    m_hostedReplicas.emplace(GroupEpoch{group.number, group.epoch}, std::move(hosted));
}

// Groups are assigned to regions by group number, so that the group of an action depends only on the manifest's regions and on the
// team's home region. The state machine refuses manifests that change either.
std::vector<int> ClaimAgent::groupsOf(const std::string &team) const
{
    const auto manifest = m_plane.state().manifest();
    std::set<std::string> regions;
    for (const DomainSpec &domain : manifest->domains) {
        regions.insert(domain.region);
    }
    const TeamSpec *spec = manifest->team(team);
    const std::string home = spec ? spec->homeRegion : std::string();
    const auto position = std::distance(regions.begin(), regions.find(home));
    std::vector<int> groups;
    for (int number = 0; number < claimGroupCount; ++number) {
        const bool isHome = !regions.empty() && number % static_cast<int>(regions.size()) == position;
        if (home.empty() || isHome) {
            groups.push_back(number);
        }
    }
    return groups;
}

void ClaimAgent::claim(const std::string &team, const std::string &key, TimeMs timeoutMs, Callback callback)
{
    const TimeMs now = m_loop.clock().now();
    ClaimRequest request;
    // The route is not part of the hash, so that an action is not executed again after its route was renamed.
    request.action = actionHash(team, {}, key);
    request.token = claimToken(m_random);
    const auto number = claimGroupOf(request.action, groupsOf(team));
    const ClaimGroup *group = number ? m_plane.state().claimGroup(*number) : nullptr;
    if (!group || group->replicas.size() != claimReplicaCount) {
        callback(nullptr);
        return;
    }
    request.group = group->number;
    request.epoch = static_cast<std::int64_t>(group->epoch);
    auto ticket = std::make_shared<ClaimTicket>(ClaimTicket{ClaimCoordinator(request, now, timeoutMs), addressesOf(group->replicas)});
    auto pending = std::make_shared<PendingClaim>(PendingClaim{ticket, std::move(callback)});
    m_pendingClaims.push_back(pending);
    const Json::Value message = request.toJson();
    for (int i = 0; i < static_cast<int>(ticket->addresses.size()); ++i) {
        m_link.call(ticket->addresses[static_cast<std::size_t>(i)],
                    claimMethod,
                    message,
                    timeoutMs,
                    [this, pending, i](std::error_code error, const Json::Value &result) {
                        ClaimAnswer answer;
                        const bool ok = !error && ClaimAnswer::fromJson(result, answer);
                        ClaimCoordinator &claim = pending->ticket->claim;
                        applyAction(pending, ok ? claim.onAnswer(i, answer) : claim.onFailure(i));
                    });
    }
}

void ClaimAgent::applyAction(const std::shared_ptr<PendingClaim> &pending, ClaimAction action)
{
    if (action == ClaimAction::Release) {
        sendRelease(*pending->ticket);
    }
    if (pending->ticket->claim.state() == ClaimState::Pending || !pending->callback) {
        return;
    }
    std::erase(m_pendingClaims, pending);
    const Callback callback = std::exchange(pending->callback, nullptr);
    callback(pending->ticket);
}

void ClaimAgent::releaseUnused(ClaimTicket &ticket)
{
    if (ticket.claim.abandon() == ClaimAction::Release) {
        sendRelease(ticket);
    }
}

void ClaimAgent::sendRelease(const ClaimTicket &ticket)
{
    const Json::Value message = ticket.claim.request().toJson();
    for (const std::string &address : ticket.addresses) {
        m_link.call(address, releaseMethod, message, releaseTimeoutMs, [](std::error_code, const Json::Value &) {});
    }
}

void ClaimAgent::tick()
{
    const TimeMs now = m_loop.clock().now();
    const auto pending = m_pendingClaims;
    for (const auto &entry : pending) {
        applyAction(entry, entry->ticket->claim.tick(now));
    }
    tickReplicas(now);
}

void ClaimAgent::tickReplicas(TimeMs now)
{
    for (auto &[key, hosted] : m_hostedReplicas) {
        for (const CopySend &send : hosted.replica->tick(now, m_random)) {
            sendCopyRequest(key, send);
        }
        if (hosted.abstainingReported && !hosted.replica->isAbstaining()) {
            hosted.abstainingReported = false;
            m_log.write(
                Event::ClaimReplicaReady,
                {{"group", std::to_string(key.first)}, {"epoch", std::to_string(key.second)}, {"claims", std::to_string(hosted.replica->claimCount())}});
        }
    }
}

void ClaimAgent::sendCopyRequest(const GroupEpoch &key, const CopySend &send)
{
    const auto found = m_hostedReplicas.find(key);
    if (found == m_hostedReplicas.end() || send.source >= static_cast<int>(found->second.sources.size())) {
        return;
    }
    const std::string address = found->second.sources[static_cast<std::size_t>(send.source)];
    m_link.call(address, copyMethod, send.request.toJson(), copyTimeoutMs, [this, key, source = send.source](std::error_code error, const Json::Value &result) {
        CopyAnswer answer;
        const auto hosted = m_hostedReplicas.find(key);
        if (error || hosted == m_hostedReplicas.end() || !CopyAnswer::fromJson(result, answer)) {
            return;
        }
        if (const auto next = hosted->second.replica->onCopyAnswer(source, answer, m_loop.clock().now())) {
            sendCopyRequest(key, *next);
        }
    });
}

ClaimAgent::HostedReplica *ClaimAgent::findReplica(int group, std::int64_t epoch)
{
    const auto found = m_hostedReplicas.find({group, static_cast<std::uint64_t>(epoch)});
    return found == m_hostedReplicas.end() ? nullptr : &found->second;
}

ClaimAgent::HostedReplica *ClaimAgent::newestReplica(int group)
{
    HostedReplica *result = nullptr;
    for (auto &[key, hosted] : m_hostedReplicas) {
        if (key.first == group) {
            result = &hosted; // the map is ordered by epoch
        }
    }
    return result;
}

Json::Value ClaimAgent::serveClaim(const Json::Value &parameters)
{
    ClaimRequest request;
    HostedReplica *hosted = ClaimRequest::fromJson(parameters, request) ? newestReplica(request.group) : nullptr;
    return (hosted ? hosted->replica->claim(request, m_loop.clock().now()) : ClaimAnswer{}).toJson();
}

Json::Value ClaimAgent::serveRelease(const Json::Value &parameters)
{
    ClaimRequest request;
    if (ClaimRequest::fromJson(parameters, request)) {
        if (HostedReplica *hosted = findReplica(request.group, request.epoch)) {
            hosted->replica->release(request, m_loop.clock().now());
        }
    }
    return Json::Value(Json::objectValue);
}

Json::Value ClaimAgent::serveCopy(const Json::Value &parameters)
{
    CopyRequest request;
    if (!CopyRequest::fromJson(parameters, request)) {
        return Json::Value(Json::objectValue);
    }
    HostedReplica *hosted = findReplica(request.group, request.epoch);
    if (!hosted) {
        return CopyAnswer{request.group, request.epoch, request.nonce, request.from, 0, true, false, {}}.toJson();
    }
    return hosted->replica->copy(request, m_loop.clock().now()).toJson();
}

int ClaimAgent::abstainingCount() const
{
    return static_cast<int>(std::count_if(m_hostedReplicas.begin(), m_hostedReplicas.end(), [](const auto &entry) {
        return entry.second.replica->isAbstaining();
    }));
}
}
