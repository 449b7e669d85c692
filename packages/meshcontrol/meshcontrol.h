#pragma once

#include "mesh/meshsettings.h"
#include "mesh/protocoladapter.h"

#include <functional>

namespace Yuccagrade::Mesh
{
/// Runs a control host until SIGTERM. SIGHUP calls @p rereadSettings. Returns the exit code.
int runMeshControl(const MeshSettings &settings, const ProtocolAdapter &adapter, const std::function<MeshSettings()> &rereadSettings);
}
