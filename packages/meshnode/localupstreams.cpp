#include "localupstreams.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
// Fraction of an upstream's slots that is used: some upstreams become slower when nearly all slots are in use.
constexpr double usedSlotShare = 0.95;
constexpr int defaultSlots = 8; // for upstreams that announce none
constexpr double sweepPeriodMs = 20;
constexpr double maxSweepDelayMs = 100;
// Connections within one host are usually established within a few ms.
constexpr double connectTimeoutMs = 300;
// An upstream is marked unreachable after no response for this time and for multiples of its mean service time and of the interval of
// its announcements. Its calls go on, since an upstream that is silent may be at work.
constexpr double minSilenceMs = 1'000;
constexpr double silenceFactor = 5;
constexpr double missedAnnouncements = 2.5;
constexpr double announcePeriodDecay = 0.1; // of a longer interval, with each shorter one
// Interval between trial calls to an unreachable upstream.
constexpr double trialPauseMs = 400;
// An upstream responds at the deadline by itself. This time is allowed for the transfer of that response.
constexpr double deadlineGraceMs = 60;
// Weights of a new value in the exponential moving averages.
constexpr double smoothing = 0.05;
constexpr double kindSmoothing = 0.1; // higher, since each kind of call has fewer samples
constexpr double demandSmoothing = 0.4; // of the demand, one value for each report
// Idle upstreams are removed after this time without an announcement or response.
constexpr double removeAfterSilenceMs = 60'000;
// Drains of earlier upstreams of this host that are kept.
constexpr std::size_t maxFormerDrains = 8;
// Limit for all responses that are being read, less than a third of the memory of the smallest process.
constexpr std::size_t maxHeldResponseBytes = 48U << 20U;
constexpr double msPerSecond = 1'000;
constexpr int firstServerError = 500;
// An upstream that is assumed to be cold is listed with a remaining time, also if its service specifies none.
constexpr double minAssumedColdMs = 1'000;
}

LocalUpstreams::LocalUpstreams(EventLoop &loop, const ProtocolAdapter &adapter, EventLog &log, Metrics &metrics, Identity identity)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_log(log)
    , m_metrics(metrics)
    , m_identity(std::move(identity))
{
    m_responseMemory.onGrown = [this] {
        boundResponses();
    };
}

void LocalUpstreams::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
    for (auto &[id, upstream] : m_upstreams) {
        updateRate(id, upstream);
    }
}

int LocalUpstreams::limitOf(const Upstream &upstream) const
{
    const int slots = upstream.info.slots > 0 ? upstream.info.slots : defaultSlots;
    int limit = std::max(1, static_cast<int>(std::floor(slots * usedSlotShare)));
    const ServiceSpec *spec = m_config ? m_config->service(upstream.info.service) : nullptr;
    if (spec && spec->maxConnections > 0) {
        limit = std::min(limit, spec->maxConnections);
    }
    return limit;
}

UpstreamState LocalUpstreams::stateOf(const Upstream &upstream) const
{
    if (m_draining || m_evacuated || upstream.departed || upstream.leaving || upstream.info.draining) {
        return UpstreamState::Draining;
    }
    return upstream.reachable ? UpstreamState::Ready : UpstreamState::Unreachable;
}

// A departure is recorded for an unknown upstream too: an announcement that was sent before it may arrive after it.
bool LocalUpstreams::announceDeparture(const Announcement &announcement)
{
    const auto found = m_upstreams.find(announcement.id);
    if (found == m_upstreams.end()) {
        if (!isFormerlyDrained(announcement)) {
            recordFormerDrain({announcement.id, announcement.startedAt, 0, true});
            onStateChanged();
        }
        return true;
    }
    Upstream &upstream = found->second;
    // Ignores a delayed departure of an earlier process with the same id.
    if (announcement.startedAt != 0 && announcement.startedAt < upstream.info.startedAt) {
        return false;
    }
    upstream.info.startedAt = std::max(upstream.info.startedAt, announcement.startedAt); // unknown after a health probe
    upstream.departed = true;
    m_log.write(Event::UpstreamDraining, {{"upstream", announcement.id}, {"cause", "departure"}});
    for (OfferedCall &call : upstream.queue.takeAll()) {
        refuse(call, "upstream departed");
    }
    onStateChanged();
    return true;
}

bool LocalUpstreams::announce(const Announcement &announcement)
{
    if (announcement.kind == Announcement::Kind::Departure) {
        return announceDeparture(announcement);
    }
    if (announcement.service != m_identity.service && !m_identity.service.empty()) {
        return false;
    }
    if (isFormerlyDrained(announcement)) {
        return false;
    }
    Upstream &upstream = m_upstreams[announcement.id];
    const bool known = upstream.lastContactMs > 0;
    const bool restarted = known && upstream.info.startedAt > 0 && announcement.startedAt > upstream.info.startedAt;
    if (known && !restarted && (announcement.startedAt < upstream.info.startedAt || announcement.sequence <= upstream.info.sequence)) {
        return false;
    }
    // A process that started later may use the address of an announcement that was delayed by a network partition.
    for (auto &[id, other] : m_upstreams) {
        if (id != announcement.id && other.lastContactMs > 0 && other.info.address == announcement.address) {
            if (other.info.startedAt > announcement.startedAt) {
                if (!known) {
                    m_upstreams.erase(announcement.id);
                }
                return false;
            }
            other.departed = true;
        }
    }
    const UpstreamState before = known ? stateOf(upstream) : UpstreamState::Unreachable;
    endFormerDrain(announcement);
    const bool continuesDrain = known && !restarted && upstream.info.draining && announcement.draining;
    upstream.drainSequence = continuesDrain ? upstream.drainSequence : announcement.sequence;
    const bool changed = !known || restarted || upstream.info.slots != announcement.slots || upstream.info.draining != announcement.draining;
    upstream.info = announcement;
    if (known && !restarted) {
        const double period = now() - upstream.lastAnnouncedMs;
        upstream.announcePeriodMs = std::max(period, upstream.announcePeriodMs - (upstream.announcePeriodMs - period) * announcePeriodDecay);
    }
    upstream.lastAnnouncedMs = now();
    upstream.lastContactMs = now();
    upstream.coldStart.recordStatement(announcement.warmUpLeftMs, announcement.startedAt, now());
    if (restarted) {
        upstream.departed = false;
        upstream.leaving = false;
        upstream.namedPerS.reset();
        updateRate(announcement.id, upstream); // before the abandoned calls let queued ones start
        for (const auto &connection : std::exchange(upstream.connections, {})) {
            connection->abandon("upstream restarted");
        }
    }
    if (!known || restarted) {
        m_log.write(Event::UpstreamAnnounced,
                    {{"upstream", announcement.id},
                     {"service", announcement.service},
                     {"address", announcement.address},
                     {"slots", std::to_string(announcement.slots)}});
    }
    updateRate(announcement.id, upstream);
    setReachable(announcement.id, upstream, true, "announced");
    if (stateOf(upstream) == UpstreamState::Draining) {
        for (OfferedCall &call : upstream.queue.takeAll()) {
            refuse(call, "upstream drains");
        }
        if (before != UpstreamState::Draining && !m_evacuated) {
            m_log.write(Event::UpstreamDraining, {{"upstream", announcement.id}, {"cause", "announced"}});
        }
    }
    if (changed || before != stateOf(upstream)) {
        onStateChanged();
    }
    return true;
}

void LocalUpstreams::addProbedUpstream(const std::string &id, const std::string &address, int slots, std::optional<double> coldLeftMs)
{
    if (hasUpstreams() || m_formerlyDrained.contains(id)) {
        return;
    }
    Announcement announcement;
    announcement.id = id;
    announcement.service = m_identity.service;
    announcement.address = address;
    announcement.domain = m_identity.domain;
    announcement.slots = slots;
    announcement.warmUpLeftMs = coldLeftMs.value_or(0);
    announce(announcement);
    if (const auto found = m_upstreams.find(id); found != m_upstreams.end() && !coldLeftMs) {
        assumeCold(id, found->second, ColdStart::Cause::Probed);
    }
}

std::string LocalUpstreams::refusalReason(const Upstream *upstream, const CallMessage &message) const
{
    if (!upstream) {
        return "unknown upstream";
    }
    if (!m_knowsStoredDrains) {
        return "former drains unknown";
    }
    if (upstream->info.service != message.service) {
        return "upstream of another service";
    }
    if (m_evacuated) {
        return "domain evacuated";
    }
    switch (stateOf(*upstream)) {
    case UpstreamState::Draining:
        return "upstream drains";
    case UpstreamState::Unreachable:
        return upstream->trialRunning || now() < upstream->retryAtMs ? "upstream unreachable" : std::string();
    case UpstreamState::Ready:
        break;
    }
    return message.timeLeftMs <= 0 ? "no time left" : std::string();
}

void LocalUpstreams::offer(CallMessage message, std::uint64_t senderId, ReplyHandler reply)
{
    const auto found = m_upstreams.find(message.upstreamId);
    Upstream *upstream = found == m_upstreams.end() ? nullptr : &found->second;
    OfferedCall call{std::move(message), std::move(reply), 0, 0, 0, senderId};
    setTimeBounds(call, now());
    const std::string reason = refusalReason(upstream, call.message);
    if (!reason.empty()) {
        refuse(call, reason);
        return;
    }
    upstream->newCalls += call.message.offeredBefore ? 0 : 1;
    updateRate(found->first, *upstream);
    if (exceedsRate(*upstream, call)) {
        refuse(call, upstream->wasCold ? "upstream is cold" : "limit named by the upstream");
        return;
    }
    if (mayStart(*upstream) && upstream->queue.empty()) {
        start(found->first, *upstream, std::move(call));
        return;
    }
    upstream->queue.add(std::move(call));
    scheduleSweep();
}

bool LocalUpstreams::mayStart(const Upstream &upstream) const
{
    return upstream.active < limitOf(upstream) && upstream.pacer.waitMs(0, now()) <= 0;
}

bool LocalUpstreams::exceedsRate(const Upstream &upstream, const OfferedCall &call) const
{
    const double wait = upstream.pacer.waitMs(upstream.queue.size(), now());
    return wait > 0 && now() + wait > call.startByMs;
}

double LocalUpstreams::coldRatePerS(const Upstream &upstream) const
{
    const ServiceSpec *spec = m_config ? m_config->service(upstream.info.service) : nullptr;
    return spec ? spec->coldRatePerS : 0;
}

void LocalUpstreams::updateRate(const std::string &id, Upstream &upstream)
{
    const double coldPerS = coldRatePerS(upstream);
    upstream.pacer.setRate(upstream.coldStart.ratePerS(upstream.namedPerS, coldPerS, now()), now());
    const bool isCold = coldPerS > 0 && upstream.coldStart.isCold(now());
    if (std::exchange(upstream.wasCold, isCold) != isCold) {
        m_metrics.gauge("upstream_cold", isCold ? 1 : 0, "upstream=\"" + id + '"');
        m_log.write(Event::UpstreamCold, {{"upstream", id}, {"cold", isCold ? "yes" : "no"}, {"per_s", std::to_string(coldPerS)}});
        onStateChanged();
    }
}

void LocalUpstreams::assumeCold(const std::string &id, Upstream &upstream, ColdStart::Cause cause)
{
    upstream.coldStart.assumeCold(cause, upstream.info.startedAt);
    updateRate(id, upstream);
}

int LocalUpstreams::usableSlots(const Upstream &upstream) const
{
    const int limit = limitOf(upstream);
    if (!upstream.pacer.isLimited()) {
        return limit;
    }
    const double serviceMs = upstream.serviceMs * upstream.workTime.factor(now());
    return std::clamp(static_cast<int>(std::ceil(upstream.pacer.ratePerS() * serviceMs / msPerSecond)), 1, limit);
}

void LocalUpstreams::applyAnswer(const std::string &id, const UpstreamAnswer &answer)
{
    Upstream &upstream = m_upstreams[id];
    if (answer.load) {
        upstream.workTime.record(answer.load->workTimeFactor, now());
    }
    if (std::exchange(upstream.namedPerS, answer.limitPerS) != answer.limitPerS) {
        m_metrics.gauge("upstream_limit_per_s", answer.limitPerS.value_or(-1), "upstream=\"" + id + '"');
        m_log.write(Event::UpstreamLimited, {{"upstream", id}, {"per_s", answer.limitPerS ? std::to_string(*answer.limitPerS) : "none"}});
    }
    updateRate(id, upstream);
    if (answer.leaving && !upstream.leaving) {
        upstream.leaving = true;
        m_log.write(Event::UpstreamDraining, {{"upstream", id}, {"cause", "response"}});
        for (OfferedCall &call : upstream.queue.takeAll()) {
            refuse(call, "upstream drains");
        }
        onStateChanged();
    }
}

void LocalUpstreams::refuse(const OfferedCall &call, const std::string &reason)
{
    ReplyMessage reply;
    reply.callId = call.message.callId;
    reply.outcome = CallOutcome::NotOffered;
    reply.reason = reason;
    const auto found = m_upstreams.find(call.message.upstreamId);
    const bool known = found != m_upstreams.end();
    m_log.write(Event::CallRefusedAtUpstream,
                {{"request", call.message.requestId},
                 {"upstream", call.message.upstreamId},
                 {"waited_ms", std::to_string(static_cast<int>(now() - call.arrivedMs))},
                 {"active", std::to_string(known ? found->second.active : 0)},
                 {"queued", std::to_string(known ? found->second.queue.size() : 0)},
                 {"limit", std::to_string(known ? limitOf(found->second) : 0)},
                 {"heard_ms_ago", std::to_string(known ? static_cast<int>(now() - found->second.lastContactMs) : -1)},
                 {"reason", reason}});
    m_metrics.count("upstream_refused_total", "reason=\"" + reason + '"');
    deliver(call, std::move(reply));
}

void LocalUpstreams::deliver(const OfferedCall &call, ReplyMessage reply)
{
    reply.load = load();
    call.reply(std::move(reply));
}

std::shared_ptr<UpstreamConnection> LocalUpstreams::connectionFor(const std::string &id, Upstream &upstream, const std::string &requestId)
{
    const double at = now();
    for (auto entry = upstream.connections.begin(); entry != upstream.connections.end();) {
        auto connection = *entry;
        if (connection->isReusableFor(requestId, at)) {
            upstream.connections.splice(upstream.connections.begin(), upstream.connections, entry);
            return connection;
        }
        if (!connection->call() && !connection->isReusable(at)) {
            connection->close();
            entry = upstream.connections.erase(entry);
        } else {
            ++entry;
        }
    }
    auto connection = UpstreamConnection::open(m_loop, m_adapter, m_responseMemory, upstream.info.address, m_identity.sourceIp);
    if (!connection) {
        return nullptr;
    }
    m_metrics.count("upstream_connections_total");
    connection->onDone = [this, id](const std::shared_ptr<UpstreamConnection> &self, OfferedCall call, ReplyMessage reply, bool connectFailed) {
        handleCallDone(id, self, std::move(call), std::move(reply), connectFailed);
    };
    connection->onUnsigned = [this, id](const HttpMessage &response, const UpstreamAnswer &answer) {
        m_metrics.count("upstream_unsigned_total", "status=\"" + std::to_string(response.status) + '"');
        m_log.write(Event::ResponseUnsigned,
                    {{"upstream", id},
                     {"request", answer.requestId},
                     {"status", std::to_string(response.status)},
                     {"not_executed", answer.notExecuted ? "yes" : "no"},
                     {"signed", answer.hasSignature ? "yes" : "no"},
                     {"body_bytes", std::to_string(response.body.size())}});
    };
    connection->onAnswer = [this, id](const UpstreamAnswer &answer) {
        applyAnswer(id, answer);
    };
    connection->onIdleClosed = [this, id](const std::shared_ptr<UpstreamConnection> &self) {
        if (const auto found = m_upstreams.find(id); found != m_upstreams.end()) {
            found->second.connections.remove(self);
        }
    };
    upstream.connections.push_front(connection);
    return connection;
}

void LocalUpstreams::start(const std::string &id, Upstream &upstream, OfferedCall call)
{
    upstream.trialRunning = !upstream.reachable;
    const auto connection = connectionFor(id, upstream, call.message.requestId);
    if (!connection) {
        refuse(call, "no descriptor left");
        return;
    }
    ++upstream.active;
    upstream.pacer.recordSent(now());
    m_treePriorities[call.message.requestId] = call.message.treePriority;
    connection->send(std::move(call));
    scheduleSweep();
}

void LocalUpstreams::handleCallDone(const std::string &id,
                                    const std::shared_ptr<UpstreamConnection> &connection,
                                    OfferedCall call,
                                    ReplyMessage reply,
                                    bool connectFailed)
{
    Upstream &upstream = m_upstreams[id];
    m_treePriorities.erase(call.message.requestId);
    upstream.active = std::max(0, upstream.active - 1);
    upstream.trialRunning = false;
    if (!connection->isOpen()) {
        upstream.connections.remove(connection);
    }
    if (reply.outcome == CallOutcome::MayHaveRun) {
        m_log.write(Event::UpstreamAnswerBroken,
                    {{"request", call.message.requestId},
                     {"upstream", id},
                     {"address", upstream.info.address},
                     {"received", printable(connection->defectiveBytes())},
                     {"sent_ms_ago", std::to_string(static_cast<int>(now() - connection->sentAtMs()))},
                     {"heard_ms_ago", std::to_string(static_cast<int>(now() - upstream.lastContactMs))},
                     {"reason", reply.reason}});
    }
    if (connectFailed) {
        upstream.retryAtMs = now() + trialPauseMs;
        assumeCold(id, upstream, ColdStart::Cause::Refused);
        setReachable(id, upstream, false, reply.reason);
    } else if (reply.outcome == CallOutcome::Answered || reply.outcome == CallOutcome::Declined) {
        const double took = now() - connection->sentAtMs();
        if (reply.outcome == CallOutcome::Answered) {
            upstream.serviceMs += (took - upstream.serviceMs) * smoothing;
            // An error response within a short time says nothing about the time that work takes. Counted as service time, it
            // would attract calls.
            auto ofKind = upstream.serviceMsOfKind.find(call.message.kind);
            if (reply.status < firstServerError || (ofKind != upstream.serviceMsOfKind.end() && took > ofKind->second)) {
                ofKind = upstream.serviceMsOfKind.emplace(call.message.kind, took).first;
                upstream.workTime.recordServiceTime(ofKind->second > 0 ? took / ofKind->second : 1);
                ofKind->second += (took - ofKind->second) * kindSmoothing;
            }
            reply.serviceMs = ofKind == upstream.serviceMsOfKind.end() ? 0 : ofKind->second;
        }
        if (reply.reason != "wrong upstream") {
            upstream.declinedShare.record(reply.outcome == CallOutcome::Declined, now());
        }
        upstream.lastContactMs = now();
        m_metrics.sample("upstream_service_ms", took);
        setReachable(id, upstream, true, "answered");
        if (reply.reason == "wrong upstream") {
            upstream.departed = true;
            onStateChanged();
        }
    }
    if (!upstream.reachable) {
        for (OfferedCall &waiting : upstream.queue.takeAll()) {
            refuse(waiting, "upstream unreachable");
        }
    }
    startQueuedCalls(id, upstream);
    deliver(call, std::move(reply));
}

bool LocalUpstreams::abandonLargestResponse()
{
    std::shared_ptr<UpstreamConnection> largest;
    for (const auto &[id, upstream] : m_upstreams) {
        for (const auto &connection : upstream.connections) {
            if (connection->heldBytes() > (largest ? largest->heldBytes() : 0)) {
                largest = connection;
            }
        }
    }
    if (largest) {
        largest->abandon("responses exceed the memory limit");
    }
    return largest != nullptr;
}

// Abandons the largest responses, so that those of other calls can be read.
void LocalUpstreams::boundResponses()
{
    while (m_responseMemory.heldBytes > maxHeldResponseBytes && abandonLargestResponse()) { }
}

std::size_t LocalUpstreams::heldCallBytes() const
{
    std::size_t sum = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        sum += upstream.queue.bodyBytes();
        for (const auto &connection : upstream.connections) {
            sum += connection->unsent();
        }
    }
    return sum;
}

void LocalUpstreams::startQueuedCalls(const std::string &id, Upstream &upstream)
{
    while (!upstream.queue.empty() && mayStart(upstream)) {
        OfferedCall call = upstream.queue.takeNext();
        m_metrics.sample("upstream_wait_ms", now() - call.arrivedMs);
        start(id, upstream, std::move(call));
    }
}

void LocalUpstreams::measureDemand()
{
    const double elapsed = now() - m_demandMeasuredMs;
    m_demandMeasuredMs = now();
    for (auto &[id, upstream] : m_upstreams) {
        updateRate(id, upstream);
        const double slots = elapsed > 0 ? upstream.newCalls * upstream.serviceMs / elapsed : 0;
        upstream.demandSlots += (slots - upstream.demandSlots) * demandSmoothing;
        const double callsPerS = elapsed > 0 ? upstream.newCalls * msPerSecond / elapsed : 0;
        upstream.newCallsPerS += (callsPerS - upstream.newCallsPerS) * demandSmoothing;
        upstream.newCalls = 0;
    }
}

void LocalUpstreams::setReachable(const std::string &id, Upstream &upstream, bool reachable, const std::string &reason)
{
    if (upstream.reachable == reachable) {
        return;
    }
    upstream.reachable = reachable;
    m_log.write(reachable ? Event::UpstreamAnnounced : Event::UpstreamSilent,
                {{"upstream", id},
                 {"cause", reason},
                 {"heard_ms_ago", std::to_string(static_cast<int>(now() - upstream.lastContactMs))},
                 {"service_ms", std::to_string(static_cast<int>(upstream.serviceMs))},
                 {"active", std::to_string(upstream.active)}});
    onStateChanged();
}

void LocalUpstreams::cancel(std::uint64_t senderId, std::uint64_t callId)
{
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.queue.remove(senderId, callId)) {
            return;
        }
        for (const auto &connection : upstream.connections) {
            const auto &call = connection->call();
            if (call && call->senderId == senderId && call->message.callId == callId) {
                recordCancelledCall(upstream, call->message.kind, now() - connection->sentAtMs());
                if (call->message.idempotent) {
                    m_treePriorities.erase(call->message.requestId);
                    const auto kept = connection;
                    kept->close();
                    upstream.connections.remove(kept);
                    upstream.active = std::max(0, upstream.active - 1);
                    upstream.trialRunning = false;
                    startQueuedCalls(id, upstream);
                }
                return;
            }
        }
    }
}

// Includes cancelled calls in the mean service time. Otherwise an upstream that exceeds the timeout on all calls would keep
// a low mean.
void LocalUpstreams::recordCancelledCall(Upstream &upstream, std::uint32_t kind, double elapsedMs)
{
    double &ofKind = upstream.serviceMsOfKind.emplace(kind, elapsedMs).first->second;
    ofKind += std::max(0.0, elapsedMs - ofKind) * kindSmoothing;
}

void LocalUpstreams::drain()
{
    m_draining = true;
    onStateChanged();
}

void LocalUpstreams::setEvacuated(bool evacuated)
{
    if (std::exchange(m_evacuated, evacuated) == evacuated) {
        return;
    }
    for (auto &[id, upstream] : m_upstreams) {
        if (!evacuated) {
            assumeCold(id, upstream, ColdStart::Cause::EvacuationEnded);
        }
        for (OfferedCall &call : evacuated ? upstream.queue.takeAll() : std::vector<OfferedCall>()) {
            refuse(call, "domain evacuated");
        }
    }
    onStateChanged();
}

void LocalUpstreams::scheduleSweep()
{
    if (m_sweepScheduled) {
        return;
    }
    m_sweepScheduled = true;
    m_sweepDueMs = now() + sweepPeriodMs;
    m_loop.after(static_cast<TimeMs>(sweepPeriodMs), [this] {
        m_sweepScheduled = false;
        sweep();
    });
}

void LocalUpstreams::sweep()
{
    // After a late turn of the loop, answers may wait in the sockets: the silence is this process's own.
    const bool isLate = now() - m_sweepDueMs > maxSweepDelayMs;
    bool busy = false;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        Upstream &upstream = entry->second;
        sweepUpstream(entry->first, upstream, isLate);
        busy = busy || upstream.active > 0 || !upstream.queue.empty();
        const bool idle = upstream.active == 0 && upstream.queue.empty();
        if (idle && now() - upstream.lastContactMs > removeAfterSilenceMs) {
            if (const auto drained = drainOf(entry->first, upstream)) {
                recordFormerDrain(*drained);
            }
            entry = m_upstreams.erase(entry);
        } else {
            ++entry;
        }
    }
    if (busy) {
        scheduleSweep();
    }
}

void LocalUpstreams::sweepUpstream(const std::string &id, Upstream &upstream, bool isLate)
{
    const double at = now();
    for (OfferedCall &call : upstream.queue.takeExpired(at)) {
        refuse(call, "no slot in time");
    }
    const bool wasLimited = upstream.pacer.isLimited();
    updateRate(id, upstream);
    if (wasLimited) {
        startQueuedCalls(id, upstream);
    }
    const double maxSilence = maxSilenceMs(upstream);
    const bool silent = !isLate && at - upstream.lastContactMs > maxSilence;
    const auto connections = upstream.connections;
    for (const auto &connection : connections) {
        if (!connection->call()) {
            continue;
        }
        if (!connection->isConnected() && at - connection->sentAtMs() > connectTimeoutMs) {
            connection->abandon("connection to the upstream timed out");
        } else if (at > connection->call()->deadlineMs + deadlineGraceMs) {
            connection->abandon("time ran out at the upstream");
        } else if (silent && connection->awaitsFirstByte() && at - connection->sentAtMs() > maxSilence) {
            upstream.retryAtMs = at + trialPauseMs;
            assumeCold(id, upstream, ColdStart::Cause::Unreachable);
            setReachable(id, upstream, false, "no answer");
        }
    }
}

double LocalUpstreams::maxSilenceMs(const Upstream &upstream)
{
    return std::max({minSilenceMs, upstream.serviceMs * silenceFactor, upstream.announcePeriodMs * missedAnnouncements});
}

bool LocalUpstreams::isFormerlyDrained(const Announcement &announcement) const
{
    const auto found = m_formerlyDrained.find(announcement.id);
    return found != m_formerlyDrained.end() && found->second.outdates(announcement.startedAt, announcement.sequence);
}

void LocalUpstreams::recordFormerDrain(const DrainedUpstream &drained)
{
    m_formerlyDrained[drained.id] = drained;
    if (m_formerlyDrained.size() > maxFormerDrains) {
        m_formerlyDrained.erase(std::min_element(m_formerlyDrained.begin(), m_formerlyDrained.end(), [](const auto &a, const auto &b) {
            return a.second.startedAt < b.second.startedAt;
        }));
    }
}

void LocalUpstreams::endFormerDrain(const Announcement &announcement)
{
    const auto former = m_formerlyDrained.find(announcement.id);
    if (former == m_formerlyDrained.end()) {
        return;
    }
    m_log.write(Event::UpstreamDrainEnded,
                {{"upstream", announcement.id},
                 {"drained_started_at", std::to_string(former->second.startedAt)},
                 {"drained_sequence", std::to_string(former->second.sequence)},
                 {"started_at", std::to_string(announcement.startedAt)},
                 {"sequence", std::to_string(announcement.sequence)}});
    m_formerlyDrained.erase(former);
}

std::optional<DrainedUpstream> LocalUpstreams::drainOf(const std::string &id, const Upstream &upstream)
{
    const bool isFinal = upstream.departed || upstream.leaving;
    if (!isFinal && !upstream.info.draining) {
        return std::nullopt;
    }
    return DrainedUpstream{id, upstream.info.startedAt, isFinal ? upstream.info.sequence : upstream.drainSequence, isFinal};
}

bool LocalUpstreams::isStored(const DrainedUpstream &drained) const
{
    return std::any_of(m_storedDrains.begin(), m_storedDrains.end(), [&drained](const DrainedUpstream &stored) {
        return stored.covers(drained);
    });
}

std::vector<DrainedUpstream> LocalUpstreams::unstoredDrains() const
{
    std::vector<DrainedUpstream> result;
    for (const auto &[id, former] : m_formerlyDrained) {
        if (!isStored(former)) {
            result.push_back(former);
        }
    }
    for (const auto &[id, upstream] : m_upstreams) {
        const auto drained = drainOf(id, upstream);
        if (drained && !isStored(*drained)) {
            result.push_back(*drained);
        }
    }
    return result;
}

bool LocalUpstreams::hasUnstoredDrain(const std::string &id) const
{
    const std::vector<DrainedUpstream> unstored = unstoredDrains();
    return std::any_of(unstored.begin(), unstored.end(), [&id](const DrainedUpstream &drained) {
        return drained.id == id;
    });
}

void LocalUpstreams::setStoredDrains(const std::vector<DrainedUpstream> &drained)
{
    const bool isFirst = !std::exchange(m_knowsStoredDrains, true);
    m_storedDrains = drained;
    for (const DrainedUpstream &stored : drained) {
        const auto found = m_upstreams.find(stored.id);
        const auto former = m_formerlyDrained.find(stored.id);
        if (found != m_upstreams.end() ? !stored.outdates(found->second.info.startedAt, found->second.info.sequence)
                                       : former != m_formerlyDrained.end() && former->second.covers(stored)) {
            continue;
        }
        const auto known = found == m_upstreams.end() ? std::nullopt : drainOf(stored.id, found->second);
        if (known && known->covers(stored)) {
            continue;
        }
        m_log.write(Event::UpstreamDrainRestored,
                    {{"upstream", stored.id}, {"started_at", std::to_string(stored.startedAt)}, {"sequence", std::to_string(stored.sequence)}});
        if (found == m_upstreams.end()) {
            recordFormerDrain(stored);
        } else {
            found->second.departed = found->second.departed || stored.isFinal;
            found->second.info.draining = true;
            found->second.info.sequence = stored.sequence;
            found->second.drainSequence = stored.sequence;
            onStateChanged();
        }
    }
    if (isFirst) {
        onStateChanged();
    }
}

std::optional<int> LocalUpstreams::treePriorityOf(const std::string &requestId) const
{
    const auto found = m_treePriorities.find(requestId);
    return found == m_treePriorities.end() ? std::nullopt : std::optional<int>(found->second);
}

std::vector<UpstreamEntry> LocalUpstreams::entries() const
{
    std::vector<UpstreamEntry> result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.lastContactMs > 0 && !upstream.departed) {
            const ServiceSpec *spec = m_config ? m_config->service(upstream.info.service) : nullptr;
            const bool isLimited = spec && spec->coldRatePerS > 0;
            const double coldLeft = isLimited ? upstream.coldStart.coldLeftMs(std::max(static_cast<double>(spec->warmUpMs), minAssumedColdMs), now())
                                              : std::max(0.0, upstream.info.warmUpLeftMs - (now() - upstream.lastContactMs));
            result.push_back({id,
                              upstream.info.service,
                              m_identity.domain,
                              m_identity.peerAddress,
                              stateOf(upstream),
                              upstream.info.slots,
                              (isLimited ? std::ceil(coldLeft / msPerSecond) : std::round(coldLeft / msPerSecond)) * msPerSecond});
        }
    }
    return result;
}

LoadReport LocalUpstreams::load() const
{
    LoadReport report;
    report.makesCalls = !makesCalls || makesCalls();
    double workTime = 0; // weighted by slots, as the share of declined calls is
    double declined = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (stateOf(upstream) == UpstreamState::Ready) {
            report.busy += upstream.active + static_cast<int>(upstream.queue.size());
            const int slots = usableSlots(upstream);
            report.limit += slots;
            report.offeredLoad += upstream.demandSlots;
            workTime += slots * upstream.workTime.factor(now());
            declined += slots * upstream.declinedShare.value(now());
            report.newCallsPerS += upstream.newCallsPerS;
        }
    }
    if (report.limit > 0) {
        report.workTimeFactor = workTime / report.limit;
        report.declinedShare = declined / report.limit;
    }
    return report;
}

std::size_t LocalUpstreams::pending() const
{
    std::size_t count = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        count += static_cast<std::size_t>(upstream.active) + upstream.queue.size();
    }
    return count;
}
}
