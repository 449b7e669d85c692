#pragma once

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace Yuccagrade
{
/// Compresses a sequence of messages that resemble each other: each one refers to those before it. Every result has to
/// reach the decompressor, in order.
class StreamCompressor
{
public:
    /// @throws std::bad_alloc if zlib has no memory.
    StreamCompressor();
    ~StreamCompressor();
    StreamCompressor(const StreamCompressor &) = delete;
    StreamCompressor &operator=(const StreamCompressor &) = delete;

    std::string add(std::string_view message);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

/// Restores the messages of a StreamCompressor.
class StreamDecompressor
{
public:
    /// @throws std::bad_alloc if zlib has no memory.
    StreamDecompressor();
    ~StreamDecompressor();
    StreamDecompressor(const StreamDecompressor &) = delete;
    StreamDecompressor &operator=(const StreamDecompressor &) = delete;

    /// Returns false on malformed data or if the message exceeds @p maxBytes; the decompressor cannot be used any more then.
    bool add(std::string_view data, std::size_t maxBytes, std::string &message);

private:
    std::unique_ptr<z_stream_s> m_stream;
};
}
