#pragma once

#include <string>
#include <string_view>

namespace Yuccagrade
{
/// Returns @p data compressed with zlib. Configurations shrink to about a tenth.
std::string compress(std::string_view data);
/// Decompresses what compress() returned. Returns false on malformed data or if the result exceeds @p maxBytes.
bool decompress(std::string_view data, std::size_t maxBytes, std::string &result);
/// Returns @p data compressed by its similarity to @p base, such as an earlier version of the same text. Parts that moved by
/// more than 8 KB are compressed as new ones.
/// @throws std::bad_alloc if zlib has no memory.
std::string compressChanges(std::string_view data, std::string_view base);
/// Restores what compressChanges() made with the same @p base. Returns false on malformed data, on another base, or if the
/// result exceeds @p maxBytes.
bool restoreChanges(std::string_view data, std::string_view base, std::size_t maxBytes, std::string &result);
}
