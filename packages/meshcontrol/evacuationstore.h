#pragma once

#include <cstdint>
#include <json/json.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// An operator's order to evacuate a failure domain or to take it back: the command of a log entry.
struct EvacuationOrder {
    enum class Kind { Start, End };
    Kind kind = Kind::Start;
    std::string domain;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, EvacuationOrder &out);
};

std::string_view evacuationOrderKindName(EvacuationOrder::Kind kind);

enum class EvacuationResult { Applied, InvalidDomain, TooManyDomains };

std::string_view evacuationResultName(EvacuationResult result);

/// The evacuated failure domains, as a part of the replicated state of the control hosts. The load: the callers of a whole failure
/// domain, which are served by the upstreams of the others meanwhile. The last order for a domain in the log applies.
class EvacuationStore
{
public:
    /// Returns the result that apply() would give in the current state.
    EvacuationResult check(const EvacuationOrder &order) const;
    /// Applies an order committed at log index @p index.
    EvacuationResult apply(std::uint64_t index, const EvacuationOrder &order);
    /// Returns the evacuated domains in the order of their names.
    std::vector<std::string> domains() const
    {
        return {m_domains.begin(), m_domains.end()};
    }
    /// Returns the log index of the last change, 0 if there was none.
    std::uint64_t index() const
    {
        return m_index;
    }

    /// Serializes the state for load().
    Json::Value save() const;
    /// Replaces the state by a serialized one. Returns false and leaves the state unchanged if it is malformed.
    bool load(const Json::Value &json);

private:
    std::uint64_t m_index = 0;
    std::set<std::string> m_domains;
};
}
