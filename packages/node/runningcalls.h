#pragma once

#include "callmeta.h"
#include "policy/attemptbudget.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Yuccagrade
{
/// A call that the upstream on this host is executing. Nested calls inherit its team, priority, deadline and retry budget.
struct RunningCall {
    std::string contextId; ///< random; sent to the upstream only
    CallMeta meta;
    TimeMs deadline = 0; ///< on the monotonic clock of this process
    AttemptBudget budget{0}; ///< retries left for this call and its nested calls
};

/// The calls being executed, indexed by the Yuccagrade-Context value that their nested calls carry.
class RunningCalls
{
public:
    /// Adds a call with a new random context identifier.
    std::shared_ptr<RunningCall> begin(const CallMeta &meta, TimeMs deadline);
    /// Removes a call and invalidates its context identifier.
    void end(const RunningCall &call);
    /// Returns the call of a context identifier, null if it is unknown or has ended.
    std::shared_ptr<RunningCall> find(const std::string &contextId) const;
    std::size_t size() const
    {
        return m_calls.size();
    }

private:
    std::unordered_map<std::string, std::shared_ptr<RunningCall>> m_calls;
};
}
