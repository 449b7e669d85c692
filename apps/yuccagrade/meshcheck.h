#pragma once

#include "subcommand.h"

#include <string>

namespace Yuccagrade
{
/// True if @p text is a configuration of the mesh, a JSON object, and no manifest.
bool isMeshConfig(const std::string &text);
/// Checks a configuration of the mesh and prints all findings, and the differences from the file of the option `against`.
ExitCode checkMeshConfig(const Invocation &invocation, const std::string &path, const std::string &text);
}
