// The part of CallBroker that refuses requests which the configuration does not allow.

#include "callbroker.h"

#include "base/secret.h"

#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr int badRequest = 400;
constexpr int unavailable = 503;
// A request that may be denied waits up to this time for the confirmation of the configuration, a round trip to the
// leader. Many such requests share one confirmation.
constexpr double maxConfirmationWaitMs = 400;
constexpr double confirmationIntervalMs = 250;
constexpr TimeMs denialCheckMs = 25;
constexpr std::size_t maxPendingDenials = 1'024;
// Tells keys apart in the log without revealing them.
constexpr std::size_t keyDigestLength = 8;
}

// Callers do not repeat a request after a 404 or 401, so a configuration that may be outdated is no ground for one: the
// request may follow a change that was accepted and has not reached this node.
void CallBroker::prepareDenial(const CallPtr &call, const CallerRequest &request, const std::string &key, const std::string &reason)
{
    if (m_pendingDenials.size() >= maxPendingDenials) {
        refuse(*call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "too many requests wait for the configuration");
        return;
    }
    m_pendingDenials.push_back({call, {call->requestId, request.host, call->exchange->request().path(), key, m_config->version, now()}, reason});
    requestConfirmation();
    if (!m_denialCheckScheduled) {
        m_denialCheckScheduled = true;
        m_loop.after(denialCheckMs, [this] {
            expirePendingDenials();
        });
    }
}

void CallBroker::requestConfirmation()
{
    if (onConfirmationNeeded && now() - m_confirmationRequestedMs >= confirmationIntervalMs) {
        m_confirmationRequestedMs = now();
        onConfirmationNeeded();
    }
}

void CallBroker::confirmConfig(double asOfMs)
{
    while (!m_pendingDenials.empty() && m_pendingDenials.front().call->arrivedMs <= asOfMs) {
        PendingDenial pending = std::move(m_pendingDenials.front());
        m_pendingDenials.pop_front();
        deny(std::move(pending));
    }
}

void CallBroker::expirePendingDenials()
{
    m_denialCheckScheduled = false;
    const double at = now();
    while (!m_pendingDenials.empty()) {
        const CallPtr call = m_pendingDenials.front().call;
        if (!call->exchange->isFinished() && at - call->arrivedMs <= maxConfirmationWaitMs) {
            break;
        }
        m_pendingDenials.pop_front();
        if (!call->exchange->isFinished()) {
            refuse(*call, 503, isolatedRetryAfterMs, Event::RequestRefusedIsolated, "configuration not confirmed by the leader");
        }
    }
    if (!m_pendingDenials.empty()) {
        requestConfirmation();
        m_denialCheckScheduled = true;
        m_loop.after(denialCheckMs, [this] {
            expirePendingDenials();
        });
    }
}

void CallBroker::deny(PendingDenial pending)
{
    Call &call = *pending.call;
    Denial &denial = pending.denial;
    if (call.exchange->isFinished()) {
        return;
    }
    const bool routeUnknown = denial.key.empty();
    m_log.write(routeUnknown ? Event::RouteUnknown : Event::KeyUnknown,
                {{"request", call.requestId},
                 {"route", call.route ? call.route->name : std::string()},
                 {"host", denial.host},
                 {"method", call.exchange->request().method},
                 {"path", denial.path},
                 {"key_digest", routeUnknown ? std::string() : sha256(denial.key).substr(0, keyDigestLength)},
                 {"took_ms", std::to_string(static_cast<int>(now() - call.arrivedMs))},
                 {"config", std::to_string(denial.configVersion)},
                 {"config_ms_ago", std::to_string(static_cast<int>(now() - m_configAtMs))},
                 {"proof_left_ms", std::to_string(m_keysFreshUntil - m_loop.clock().now())},
                 {"last_known_to", std::to_string(m_denials.lastVersionKnowing(denial))},
                 {"reason", pending.reason}});
    const int status = routeUnknown ? 404 : 401;
    m_denials.record(std::move(denial));
    countRefusal(status, pending.reason);
    call.exchange->respond(m_adapter.renderRefusal(call.requestId, status, -1), {});
}

std::string CallBroker::refuseUnreadable(const UnreadableRequest &request)
{
    const CallerRequest caller = m_adapter.readRequest(request.message);
    m_metrics.count("requests_unreadable_total", "status=\"" + std::to_string(request.status) + "\",defect=\"" + std::string(request.defect) + '"');
    const bool noMemory = request.status == unavailable;
    m_log.write(request.status == badRequest ? Event::RequestMalformed
                    : noMemory               ? Event::RequestShed
                                             : Event::RequestTooLarge,
                {{"request", caller.requestId},
                 {"host", caller.host},
                 {"target", request.message.target},
                 {"status", std::to_string(request.status)},
                 {"defect", std::string(request.defect)},
                 {"body_bytes", std::to_string(request.message.body.size())},
                 {"max_header_bytes", std::to_string(request.limits.maxHeaderBytes)},
                 {"max_body_bytes", std::to_string(request.limits.maxBodyBytes)},
                 {"requests_before", std::to_string(request.requestsBefore)}});
    // The limits of the configuration may allow a request that exceeds those in use before the first one arrives.
    if (!m_config && request.status != badRequest) {
        return m_adapter.renderRefusal(caller.requestId, 503, isolatedRetryAfterMs);
    }
    return m_adapter.renderRefusal(caller.requestId, request.status, noMemory ? retryAfterMs() : -1);
}
}
