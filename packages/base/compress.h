#pragma once

#include <string>
#include <string_view>

namespace Yuccagrade
{
/// Returns @p data compressed with zlib. Configurations shrink to about a tenth.
std::string compress(std::string_view data);
/// Decompresses what compress() returned. Returns false on malformed data or if the result exceeds @p maxBytes.
bool decompress(std::string_view data, std::size_t maxBytes, std::string &result);
}
