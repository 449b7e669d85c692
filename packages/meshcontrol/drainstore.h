#pragma once

#include "mesh/messages.h"

#include <json/json.h>
#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Drains that a node reported: the command of a log entry.
struct DrainReport {
    std::string peerAddress; ///< of the node
    std::vector<DrainedUpstream> drained;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, DrainReport &out);
};

/// The drained upstreams of all hosts, as a part of the replicated state of the control hosts. A drain that was acknowledged
/// so outlives the processes of its node and the leader.
class DrainStore
{
public:
    /// Returns the drains of a report that are not stored.
    std::vector<DrainedUpstream> missing(const DrainReport &report) const;
    /// Applies a report committed at log index @p index.
    void apply(std::uint64_t index, const DrainReport &report);
    /// Returns the drains of a host, the oldest first.
    std::vector<DrainedUpstream> drained(const std::string &peerAddress) const;

    /// Serializes the state for load().
    Json::Value save() const;
    /// Replaces the state by a serialized one. Returns false and leaves the state unchanged if it is malformed.
    bool load(const Json::Value &json);

private:
    struct Host {
        std::uint64_t index = 0; ///< of the last report
        std::vector<DrainedUpstream> drained;
    };
    std::map<std::string, Host> m_hosts; ///< by peer address
};
}
