#pragma once

#include "environment.h"

namespace Yuccagrade
{
/// Returns an exchange over libcurl. Its calls block.
Exchange curlExchange();
}
