#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Yuccagrade
{
/// Returns true if @p name is a token, as the names of fields are (RFC 9110 5.6.2).
bool isToken(std::string_view name);

/// Checks the lines of an HTTP/1.1 response by the grammar of RFC 9112. http_parser accepts more: any number as a status code, folded
/// fields in the head, and any bytes in the place of the line ends of chunks.
class ResponseSyntax
{
public:
    /// Checks the next bytes and returns how many of them were checked: those up to the end of the head or of a chunked body, or all.
    std::size_t check(std::string_view data);
    /// Continues behind the head.
    void startBody(bool chunked);

    bool isBroken() const
    {
        return !m_defect.empty();
    }
    /// Returns what is wrong with the response, empty if nothing is.
    std::string_view defect() const
    {
        return m_defect;
    }
    /// Returns the broken line.
    const std::string &line() const
    {
        return m_line;
    }
    /// Returns the memory held for an unfinished line.
    std::size_t heldBytes() const
    {
        return m_line.capacity();
    }

private:
    enum class Part { StatusLine, FieldLine, HeadEnd, PlainBody, ChunkSize, ChunkData, ChunkDataEnd, Trailer, FurtherTrailer, End };

    std::size_t checkLine(std::string_view data);
    std::size_t checkChunkDataEnd(std::string_view data);
    void checkWholeLine(std::string_view line);
    void checkTrailerLine(std::string_view line);
    bool startChunk(std::string_view line);
    void setBroken(std::string_view defect, std::string_view line);

    Part m_part = Part::StatusLine;
    std::string m_line; ///< unfinished or broken
    std::string_view m_defect;
    std::uint64_t m_chunkBytes = 0; ///< of the present chunk that are still to come
};
}
