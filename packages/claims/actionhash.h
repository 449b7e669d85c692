#pragma once

#include "base/random.h"
#include "protocol/claimmessages.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// Identity of an action: the first 128 bits of SHA-256 over the three lengths and texts.
Id128 actionHash(std::string_view team, std::string_view route, std::string_view key);
/// Chooses one of @p groups (those of the team's home region, in any fixed order). Empty if there is none.
std::optional<int> claimGroupOf(const Id128 &action, const std::vector<int> &groups);
/// Returns a new token for one claimer. The generator must be seeded from the operating system.
Id128 claimToken(Random &random);
}
