#include "compress.h"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t firstBufferBytes = 65'536;
}

std::string compress(std::string_view data)
{
    uLongf length = ::compressBound(data.size());
    std::string result(length, '\0');
    if (::compress(reinterpret_cast<Bytef *>(result.data()), &length, reinterpret_cast<const Bytef *>(data.data()), data.size()) != Z_OK) {
        throw std::runtime_error("zlib has no memory to compress " + std::to_string(data.size()) + " bytes");
    }
    result.resize(length);
    return result;
}

bool decompress(std::string_view data, std::size_t maxBytes, std::string &result)
{
    for (std::size_t size = std::min(firstBufferBytes, maxBytes); size <= maxBytes; size *= 2) {
        result.resize(size);
        uLongf length = size;
        const int status = ::uncompress(reinterpret_cast<Bytef *>(result.data()), &length, reinterpret_cast<const Bytef *>(data.data()), data.size());
        if (status == Z_OK) {
            result.resize(length);
            return true;
        }
        if (status != Z_BUF_ERROR) {
            return false;
        }
    }
    return false;
}
}
