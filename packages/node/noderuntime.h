#pragma once

#include "config/settings.h"

namespace Yuccagrade
{
/// Runs a node until it has drained after SIGTERM, SIGINT or an operator's drain call. Returns the exit code.
int runNode(const Settings &settings);
}
