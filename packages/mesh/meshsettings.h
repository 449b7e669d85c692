#pragma once

#include "base/clock.h"
#include "base/finding.h"
#include "config/optiontable.h"

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
enum class HostRole { Node, Control };
std::string_view hostRoleName(HostRole role);

/// Limits and time bounds that apply to the whole fleet.
struct FleetLimits {
    double retryRatio = 0; ///< retries per request of a service
    double retryPerWindow = 0; ///< additional retries of a service in each window
    TimeMs retryWindowMs = 0;
    double rateSlack = 0; ///< tokens beyond its rate limit that a team may use in a window
    TimeMs withdrawalMs = 0; ///< a withdrawn key must be refused everywhere this long after the withdrawal was acknowledged
    TimeMs stopMs = 0; ///< time from SIGTERM to the exit of the process
    int toleratedHosts = 0; ///< number of control hosts that may fail

    /// Time since the last contact with the leader for which a node may use its share of the teams' rates.
    TimeMs shareLeaseMs() const;
    /// Tokens of each team that nodes keep in reserve; the rest of the slack covers what is not counted exactly.
    double reserveTokens() const;
};

/// Settings of one process of the mesh. Addresses have the form `ip:port`.
struct MeshSettings {
    HostRole role = HostRole::Node;
    std::string name;
    std::string domain;
    std::string hostIp;
    std::string peerAddress; ///< under which other processes reach this one
    std::string peerListenAddress; ///< on which it accepts connections of other processes
    std::string metricsAddress;
    std::string callerAddress; ///< node only
    std::string readinessAddress; ///< node only
    std::string announcementAddress; ///< node only: receives announcements of upstreams
    std::string upstreamAddress; ///< node only: of the upstream on this host; empty if known from announcements only
    std::string service; ///< node only: service of the upstream on this host
    std::string operatorAddress; ///< control only
    std::string dataFolder; ///< control only
    bool bootstrapGroup = false; ///< control only: create the consensus group, as all hosts start for the first time
    std::map<std::string, std::string, std::less<>> regionOfDomain; ///< node only: of the domains that belong to a region
    std::vector<std::string> seeds; ///< peer addresses of control hosts
    std::size_t memoryBytes = 0; ///< that the process may use
    FleetLimits fleetLimits;

    /// Memory that may be held for callers, upstreams and other processes together. The rest covers the process itself and
    /// what arrives between two checks.
    std::size_t maxHeldBytes() const
    {
        return memoryBytes / 5 * 2;
    }
};

/// Describes the options of the settings file, which has no sections.
const FileFormat &meshSettingsFormat();
/// Parses and checks INI text. The result is valid only if no finding was added.
MeshSettings parseMeshSettings(const std::string &text, const std::string &file, Findings &findings);
/// Reads and parses a file. Adds a finding if the file cannot be read.
MeshSettings readMeshSettings(const std::string &path, Findings &findings);
/// Returns the IP address of an address "ip:port".
std::string hostOf(const std::string &address);
}
