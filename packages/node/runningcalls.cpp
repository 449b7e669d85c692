#include "runningcalls.h"

#include "base/secret.h"

namespace Yuccagrade
{
namespace
{
constexpr int contextBytes = 16;
}

std::shared_ptr<RunningCall> RunningCalls::begin(const CallMeta &meta, TimeMs deadline)
{
    auto call = std::make_shared<RunningCall>(RunningCall{randomToken(contextBytes), meta, deadline, AttemptBudget(meta.retries)});
    m_calls.emplace(call->contextId, call);
    return call;
}

void RunningCalls::end(const RunningCall &call)
{
    m_calls.erase(call.contextId);
}

std::shared_ptr<RunningCall> RunningCalls::find(const std::string &contextId) const
{
    const auto found = m_calls.find(contextId);
    return found == m_calls.end() ? nullptr : found->second;
}
}
