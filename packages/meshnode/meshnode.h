#pragma once

#include "mesh/meshsettings.h"
#include "mesh/protocoladapter.h"

#include <functional>

namespace Yuccagrade::Mesh
{
/// Reloads the settings on SIGHUP. Returns settings without seeds if they cannot be read.
using SettingsReader = std::function<MeshSettings()>;

/// Runs a node until it has drained after SIGTERM. Returns the exit code.
int runMeshNode(const MeshSettings &settings, const ProtocolAdapter &adapter, const SettingsReader &reloadSettings);
}
