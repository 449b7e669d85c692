#pragma once

#include "base/eventlog.h"
#include "base/finding.h"
#include "config/optiontable.h"

#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
enum class Role { Node, Control };
std::string_view roleName(Role role);

/// A control host of the first group.
struct MemberAddress {
    std::string id;
    std::string address; ///< peer address
    bool operator==(const MemberAddress &) const = default;
};

/// Settings of one yuccagraded process. Addresses have the form `ip:port`.
struct Settings {
    Role role = Role::Node;
    std::string id;
    std::string domain;
    std::string region;
    std::string callerAddress; ///< node only
    std::string peerAddress;
    std::string peerAdvertise; ///< peerAddress if not set
    std::string operatorAddress;
    std::string sourceAddress; ///< IP of outgoing connections; the IP of peerAdvertise if not set
    std::vector<std::string> seeds; ///< peer addresses of control hosts
    std::vector<MemberAddress> members; ///< control only
    std::string clusterSecretFile;
    std::string operatorSecretFile;
    std::string dataFolder; ///< control only
    std::string eventFile; ///< empty for none
    Severity logLevel = Severity::Info;
};

/// Options of the settings file; it has no sections.
const FileFormat &settingsFormat();
/// Parses and checks INI text. The result is valid only if no finding was added.
Settings parseSettings(const std::string &text, const std::string &file, Findings &findings);
/// Reads and parses a file. An unreadable file is a finding.
Settings readSettings(const std::string &path, Findings &findings);
}
