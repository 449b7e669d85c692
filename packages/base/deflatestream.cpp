#include "deflatestream.h"

#include <array>
#include <new>
#include <zlib.h>

namespace Yuccagrade
{
namespace
{
// Raw deflate with a window of 4 KB, which holds some ten messages: 24 KB for a compressor, 11 KB for a decompressor. A
// process has two of each for every link to another domain.
constexpr int windowBits = -12;
constexpr int memoryLevel = 4;
// The lowest level halves the time of the default one; the messages before give most of the gain.
constexpr int compressionLevel = 1;
// A flushed message always ends with these bytes, so they are not sent.
constexpr std::string_view flushMark("\0\0\xff\xff", 4);
constexpr std::size_t chunkBytes = 4'096;

void setInput(z_stream &stream, std::string_view data)
{
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(data.data()));
    stream.avail_in = static_cast<uInt>(data.size());
}
}

StreamCompressor::StreamCompressor()
    : m_stream(std::make_unique<z_stream_s>())
{
    if (::deflateInit2(m_stream.get(), compressionLevel, Z_DEFLATED, windowBits, memoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        throw std::bad_alloc();
    }
}

StreamCompressor::~StreamCompressor()
{
    ::deflateEnd(m_stream.get());
}

std::string StreamCompressor::add(std::string_view message)
{
    std::string result;
    std::array<char, chunkBytes> chunk;
    setInput(*m_stream, message);
    do {
        m_stream->next_out = reinterpret_cast<Bytef *>(chunk.data());
        m_stream->avail_out = chunk.size();
        ::deflate(m_stream.get(), Z_SYNC_FLUSH);
        result.append(chunk.data(), chunk.size() - m_stream->avail_out);
    } while (m_stream->avail_out == 0);
    if (result.ends_with(flushMark)) {
        result.resize(result.size() - flushMark.size());
    }
    return result;
}

StreamDecompressor::StreamDecompressor()
    : m_stream(std::make_unique<z_stream_s>())
{
    if (::inflateInit2(m_stream.get(), windowBits) != Z_OK) {
        throw std::bad_alloc();
    }
}

StreamDecompressor::~StreamDecompressor()
{
    ::inflateEnd(m_stream.get());
}

bool StreamDecompressor::add(std::string_view data, std::size_t maxBytes, std::string &message)
{
    message.clear();
    std::array<char, chunkBytes> chunk;
    for (const std::string_view part : {data, flushMark}) {
        setInput(*m_stream, part);
        do {
            m_stream->next_out = reinterpret_cast<Bytef *>(chunk.data());
            m_stream->avail_out = chunk.size();
            const int status = ::inflate(m_stream.get(), Z_SYNC_FLUSH);
            if (status != Z_OK && status != Z_BUF_ERROR) {
                return false;
            }
            message.append(chunk.data(), chunk.size() - m_stream->avail_out);
            if (message.size() > maxBytes) {
                return false;
            }
        } while (m_stream->avail_out == 0);
    }
    return m_stream->avail_in == 0;
}
}
