#pragma once

#include "callmeta.h"
#include "policy/attemptbudget.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Yuccagrade
{
/// A call that an upstream of this host serves. Nested calls take their identity and attempts from it.
struct RunningCall {
    std::string contextId; ///< random, known to the upstream only
    CallMeta meta;
    TimeMs deadline = 0; ///< on the monotonic clock of this process
    AttemptBudget budget{0}; ///< unused retries of this call's tree
};

/// The calls that run now, found by the Yuccagrade-Context value of a nested call.
class RunningCalls
{
public:
    /// Adds a call with a new random context identifier.
    std::shared_ptr<RunningCall> begin(const CallMeta &meta, TimeMs deadline);
    /// Ends a call; its context identifier is invalid from now on.
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
