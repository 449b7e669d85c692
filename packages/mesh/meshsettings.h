#pragma once

#include "base/clock.h"
#include "base/finding.h"
#include "config/optiontable.h"

#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
enum class HostRole { Node, Control };
std::string_view hostRoleName(HostRole role);

/// Limits that hold for all nodes together.
struct FleetTerms {
    double retryRatio = 0; ///< sends beyond the first, per request of a service
    double retryPerWindow = 0; ///< further sends of a service in each window
    TimeMs retryWindowMs = 0;
    TimeMs withdrawalMs = 0; ///< a withdrawn key must not work later than this after it was acknowledged
    TimeMs stopMs = 0; ///< from SIGTERM to the end of the process
    int toleratedHosts = 0; ///< control hosts whose loss is survived
};

/// Settings of one process of the mesh. Addresses have the form `ip:port`.
struct MeshSettings {
    HostRole role = HostRole::Node;
    std::string name;
    std::string domain;
    std::string hostIp;
    std::string peerAddress; ///< by which other processes know this one
    std::string peerListenAddress; ///< where it accepts them
    std::string metricsAddress;
    std::string callerAddress; ///< node only
    std::string readinessAddress; ///< node only
    std::string announcementAddress; ///< node only: upstreams announce themselves here
    std::string upstreamAddress; ///< node only: of the upstream on this host, empty if only announcements tell
    std::string service; ///< node only: service of the upstream on this host
    std::string operatorAddress; ///< control only
    std::string dataFolder; ///< control only
    bool foundGroup = false; ///< control only: the whole system starts for the first time
    std::vector<std::string> seeds; ///< peer addresses of control hosts
    FleetTerms terms;
};

/// Options of the settings file; it has no sections.
const FileFormat &meshSettingsFormat();
/// Parses and checks INI text. The result is valid only if no finding was added.
MeshSettings parseMeshSettings(const std::string &text, const std::string &file, Findings &findings);
/// Reads and parses a file. An unreadable file is a finding.
MeshSettings readMeshSettings(const std::string &path, Findings &findings);
/// Returns the IP number of an address "ip:port".
std::string hostOf(const std::string &address);
}
