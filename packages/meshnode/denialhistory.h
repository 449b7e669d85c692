#pragma once

#include "mesh/fleetconfig.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Key of a denied request that had none.
constexpr auto noKey = "-";

/// A request that was refused because the configuration did not know its route or its key.
struct Denial {
    std::string requestId;
    std::string host;
    std::string path;
    std::string key; ///< noKey if it had none; empty if the route was unknown
    std::uint64_t configVersion = 0;
    double atMs = 0;
};

/// Remembers recent configurations and denials, to tell a denial by an outdated configuration from one of a wrong request.
class DenialHistory
{
public:
    /// Makes @p config the present configuration. Returns the recent denials that it would not have caused, each once.
    std::vector<Denial> setConfig(std::shared_ptr<const FleetConfig> config);
    void record(Denial denial);
    /// Returns the version of the newest former configuration that knew the route and key, 0 if none did.
    std::uint64_t lastVersionKnowing(const Denial &denial) const;

private:
    std::deque<std::shared_ptr<const FleetConfig>> m_configs; ///< newest first
    std::deque<Denial> m_denials;
};
}
