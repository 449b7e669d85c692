#pragma once

#include "config/settings.h"

namespace Yuccagrade
{
/// Runs a control host until it has drained after SIGTERM, SIGINT or a drain request of an operator. Returns the exit code.
int runControl(const Settings &settings);
}
