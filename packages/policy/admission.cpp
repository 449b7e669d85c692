#include "admission.h"

namespace Yuccagrade
{
namespace
{
AdmissionAction refusal(const QueuedRequest &request, RefusalReason reason, double nowMs)
{
    return {false, reason, request.id, nowMs - request.queuedMs};
}
}

Admission::Admission(const QueueOptions &options)
    : m_queue(options)
{
}

void Admission::announce(int slots, int connections)
{
    m_limit.announce(slots, connections);
}

void Admission::setWeight(const std::string &team, double weight)
{
    m_queue.setWeight(team, weight);
}

AdmissionActions Admission::offer(QueuedRequest request, double nowMs)
{
    request.queuedMs = nowMs;
    if (m_draining) {
        return {refusal(request, RefusalReason::Draining, nowMs)};
    }
    if (request.deadlineMs <= nowMs) {
        return {refusal(request, RefusalReason::DeadlineExceeded, nowMs)};
    }
    // Start queued requests first, so that a full queue evicts nothing while a slot is free.
    AdmissionActions actions = startQueued(nowMs);
    const std::optional<QueuedRequest> evicted = m_queue.push(std::move(request), nowMs);
    if (evicted) {
        actions.push_back(refusal(*evicted, RefusalReason::Shed, nowMs));
    }
    const AdmissionActions started = startQueued(nowMs);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

AdmissionActions Admission::finished(CallResult result, double latencyMs, double nowMs)
{
    m_limit.finished(result, latencyMs, m_inFlight, nowMs);
    --m_inFlight;
    return startQueued(nowMs);
}

AdmissionActions Admission::tick(double nowMs)
{
    AdmissionActions actions;
    for (const QueuedRequest &request : m_queue.expire(nowMs)) {
        const bool pastDeadline = nowMs >= request.deadlineMs;
        actions.push_back(refusal(request, pastDeadline ? RefusalReason::DeadlineExceeded : RefusalReason::Shed, nowMs));
    }
    const AdmissionActions started = startQueued(nowMs);
    actions.insert(actions.end(), started.begin(), started.end());
    return actions;
}

bool Admission::cancel(std::uint64_t id)
{
    return m_queue.cancel(id);
}

AdmissionActions Admission::drain(double nowMs)
{
    m_draining = true;
    AdmissionActions actions;
    for (const QueuedRequest &request : m_queue.clear()) {
        actions.push_back(refusal(request, RefusalReason::Draining, nowMs));
    }
    return actions;
}

void Admission::resume()
{
    m_draining = false;
}

// Starts nothing while draining: drain() has emptied the queue, and offer() adds nothing to it.
AdmissionActions Admission::startQueued(double nowMs)
{
    AdmissionActions actions;
    while (m_inFlight < m_limit.limit()) {
        const std::optional<QueuedRequest> next = m_queue.pop(nowMs);
        if (!next) {
            break;
        }
        ++m_inFlight;
        actions.push_back({true, RefusalReason::None, next->id, nowMs - next->queuedMs});
    }
    return actions;
}

int Admission::inFlight() const
{
    return m_inFlight;
}

int Admission::limit() const
{
    return m_limit.limit();
}

std::size_t Admission::queued() const
{
    return m_queue.size();
}

bool Admission::isDraining() const
{
    return m_draining;
}
}
