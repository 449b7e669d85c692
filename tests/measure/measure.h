#pragma once

#include "support/fleet.h"

#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// Returns the value that a fraction @p q of @p values does not exceed; 0 without values.
double quantile(std::vector<double> values, double q);
/// Load averages of the machine over 1, 5 and 15 minutes.
std::string machineLoad();
/// Returns the first argument of the program as a number, @p fallback without one.
int firstArgument(int argc, char **argv, int fallback);
/// Returns a manifest with @p domains, one open-to-all-teams route "/<service>" per service, and one team "north" whose
/// rate does not limit.
std::string simpleManifest(const std::vector<std::string> &domains, const std::vector<std::string> &services);
}
