#pragma once

#include <string>

namespace Yuccagrade
{
/// What a program was built from, so that a log or an answer tells which sources it belongs to.
struct BuildInfo {
    std::string version;
    std::string sources; ///< digest of the sources, as printed by scripts/sources.sh
    std::string build; ///< compiler, processor and build type
};

/// Returns the build of this program.
const BuildInfo &buildInfo();
/// Returns the answer of @p program to --version.
std::string versionText(const std::string &program);
}
