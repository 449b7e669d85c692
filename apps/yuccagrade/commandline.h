#pragma once

#include "environment.h"

#include <string>
#include <vector>

namespace Yuccagrade
{
/// Runs yuccagrade with the arguments after the program name.
ExitCode runCommandLine(const std::vector<std::string> &arguments, const Environment &environment);
}
