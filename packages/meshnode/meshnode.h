#pragma once

#include "mesh/dialect.h"
#include "mesh/meshsettings.h"

#include <functional>

namespace Yuccagrade::Mesh
{
/// Reloads the settings on SIGHUP. Returns settings without seeds if they cannot be read.
using SettingsReader = std::function<MeshSettings()>;

/// Runs a node until it has drained after SIGTERM. Returns the exit code.
int runMeshNode(const MeshSettings &settings, const Dialect &dialect, const SettingsReader &reloadSettings);
}
