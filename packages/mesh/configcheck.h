#pragma once

#include "fleetconfig.h"

#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Whether the control hosts refuse a configuration for a remark, or an operator should look at it.
enum class RemarkKind { Error, Warning, Difference };
std::string_view remarkKindName(RemarkKind kind);

/// One result of a check of a configuration.
struct ConfigRemark {
    RemarkKind kind = RemarkKind::Warning;
    std::string subject; ///< such as "route checkout"
    std::string message;
    bool operator==(const ConfigRemark &) const = default;
};
using ConfigRemarks = std::vector<ConfigRemark>;

/// Returns the @p findings of the reader as errors, followed by warnings: entries without effect and limits that contradict each
/// other. Warns only of what is certain from the configuration alone.
ConfigRemarks checkConfig(const FleetConfig &config, const Findings &findings);
/// Returns what @p config changes compared to @p inForce, and a warning if its version is not higher.
ConfigRemarks compareConfigs(const FleetConfig &config, const FleetConfig &inForce);
}
