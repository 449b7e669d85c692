#include "compress.h"

#include <algorithm>
#include <new>
#include <stdexcept>
#include <zlib.h>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t firstBufferBytes = 65'536;
// Texts are compressed in segments, each with the part of the base around its position as the dictionary. Both together fit
// the window of zlib, in which a match can be found.
constexpr std::size_t segmentBytes = 14'000;
constexpr std::size_t dictionaryMargin = 8'192;
constexpr std::size_t lengthBytes = 4;

std::string_view dictionaryAt(std::string_view base, std::size_t offset)
{
    const std::size_t begin = std::min(base.size(), offset - std::min(offset, dictionaryMargin));
    return base.substr(begin, offset + segmentBytes + dictionaryMargin - begin);
}

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

std::string deflateSegment(std::string_view data, std::string_view dictionary)
{
    z_stream stream{};
    if (::deflateInit(&stream, Z_BEST_COMPRESSION) != Z_OK) {
        throw std::bad_alloc();
    }
    if (!dictionary.empty()) {
        ::deflateSetDictionary(&stream, bytesOf(dictionary), static_cast<uInt>(dictionary.size()));
    }
    std::string result(::deflateBound(&stream, data.size()), '\0');
    stream.next_in = const_cast<Bytef *>(bytesOf(data));
    stream.avail_in = static_cast<uInt>(data.size());
    stream.next_out = reinterpret_cast<Bytef *>(result.data());
    stream.avail_out = static_cast<uInt>(result.size());
    ::deflate(&stream, Z_FINISH);
    result.resize(stream.total_out);
    ::deflateEnd(&stream);
    return result;
}

bool inflateSegment(std::string_view data, std::string_view dictionary, std::string &result)
{
    z_stream stream{};
    if (::inflateInit(&stream) != Z_OK) {
        throw std::bad_alloc();
    }
    std::string buffer(segmentBytes, '\0');
    stream.next_in = const_cast<Bytef *>(bytesOf(data));
    stream.avail_in = static_cast<uInt>(data.size());
    stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
    stream.avail_out = static_cast<uInt>(buffer.size());
    int status = ::inflate(&stream, Z_FINISH);
    // zlib checks that the dictionary is the one used for the compression.
    if (status == Z_NEED_DICT && ::inflateSetDictionary(&stream, bytesOf(dictionary), static_cast<uInt>(dictionary.size())) == Z_OK) {
        status = ::inflate(&stream, Z_FINISH);
    }
    const bool isWhole = status == Z_STREAM_END && stream.avail_in == 0;
    buffer.resize(stream.total_out);
    ::inflateEnd(&stream);
    result += buffer;
    return isWhole;
}
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

std::string compressChanges(std::string_view data, std::string_view base)
{
    std::string result;
    for (std::size_t offset = 0; offset < data.size(); offset += segmentBytes) {
        const std::string segment = deflateSegment(data.substr(offset, segmentBytes), dictionaryAt(base, offset));
        for (std::size_t i = lengthBytes; i > 0; --i) {
            result.push_back(static_cast<char>(segment.size() >> (8 * (i - 1))));
        }
        result += segment;
    }
    return result;
}

bool restoreChanges(std::string_view data, std::string_view base, std::size_t maxBytes, std::string &result)
{
    result.clear();
    for (std::size_t offset = 0; !data.empty(); offset += segmentBytes) {
        if (data.size() < lengthBytes || result.size() != offset) {
            return false;
        }
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length = length << 8U | static_cast<unsigned char>(data[i]);
        }
        data.remove_prefix(lengthBytes);
        if (length > data.size() || !inflateSegment(data.substr(0, length), dictionaryAt(base, offset), result) || result.size() > maxBytes) {
            return false;
        }
        data.remove_prefix(length);
    }
    return true;
}
}
