#pragma once

#include "mesh/dialect.h"
#include "mesh/meshsettings.h"

#include <functional>

namespace Yuccagrade::Mesh
{
/// Runs a control host until SIGTERM. SIGHUP calls @p rereadSettings. Returns the exit code.
int runMeshControl(const MeshSettings &settings, const Dialect &dialect, const std::function<MeshSettings()> &rereadSettings);
}
