#include "responsesyntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace Yuccagrade
{
namespace
{
constexpr std::string_view blanks = " \t";
constexpr std::string_view lineEnd = "\r\n";
constexpr std::size_t statusDigits = 3;
// Kept of a broken line.
constexpr std::size_t maxShownBytes = 128;

bool isDigit(char c)
{
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

bool isControl(char c)
{
    return c != '\t' && std::iscntrl(static_cast<unsigned char>(c)) != 0;
}

bool hasControl(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), isControl);
}

// A response of a later minor version is read as one of HTTP/1.1 (RFC 9110 2.5). The classes of status codes are 1 to 5 (RFC 9110 15). A
// reader may accept several blanks, and no blank in the place of an empty reason (RFC 9112 4).
bool isStatusLine(std::string_view line)
{
    constexpr std::string_view majorVersion = "HTTP/1.";
    if (!line.starts_with(majorVersion) || line.size() <= majorVersion.size() || !isDigit(line[majorVersion.size()])) {
        return false;
    }
    line.remove_prefix(majorVersion.size() + 1);
    const std::size_t blankCount = std::min(line.find_first_not_of(' '), line.size());
    line.remove_prefix(blankCount);
    const std::string_view code = line.substr(0, statusDigits);
    const std::string_view reason = line.substr(code.size());
    return blankCount > 0 && code.size() == statusDigits && std::all_of(code.begin(), code.end(), isDigit) && code.front() >= '1' && code.front() <= '5'
        && (reason.empty() || reason.front() == ' ') && !hasControl(reason);
}

bool isFieldValue(std::string_view value)
{
    return value.find('\r') == std::string_view::npos && value.find('\0') == std::string_view::npos;
}

// A folded line begins with a blank, as does a name with one in front. A gateway may refuse responses with either (RFC 9112 5.2).
bool isFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && isFieldValue(line.substr(colon));
}
}

bool isToken(std::string_view name)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [punctuation](unsigned char c) {
        return std::isalnum(c) || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

std::size_t ResponseSyntax::check(std::string_view data)
{
    std::size_t used = 0;
    while (used < data.size() && !isBroken()) {
        const std::string_view rest = data.substr(used);
        switch (m_part) {
        case Part::HeadEnd:
        case Part::End:
            return used;
        case Part::PlainBody:
            return data.size();
        case Part::ChunkData: {
            const auto bytes = static_cast<std::size_t>(std::min<std::uint64_t>(m_chunkBytes, rest.size()));
            m_chunkBytes -= bytes;
            m_part = m_chunkBytes > 0 ? Part::ChunkData : Part::ChunkDataEnd;
            used += bytes;
            break;
        }
        case Part::ChunkDataEnd:
            used += checkChunkDataEnd(rest);
            break;
        default:
            used += checkLine(rest);
            break;
        }
    }
    return used;
}

void ResponseSyntax::startBody(bool chunked)
{
    if (m_part == Part::HeadEnd) {
        m_part = chunked ? Part::ChunkSize : Part::PlainBody;
    }
}

// Checks the line that begins or continues with the data once it is whole.
std::size_t ResponseSyntax::checkLine(std::string_view data)
{
    const std::size_t end = data.find('\n');
    if (end == std::string_view::npos) {
        const std::size_t unsearched = std::max<std::size_t>(m_line.size(), 1) - 1;
        m_line.append(data);
        // The parser takes any byte behind a carriage return for the line feed, and so for the end of the line.
        if (m_line.find('\r', unsearched) < m_line.size() - 1) {
            setBroken("carriage return within a line", std::exchange(m_line, {}));
        }
        return data.size();
    }
    const std::string_view piece = data.substr(0, end + 1);
    if (m_line.empty()) {
        checkWholeLine(piece);
    } else {
        m_line.append(piece);
        checkWholeLine(std::exchange(m_line, {}));
    }
    return piece.size();
}

// The line end behind the data of a chunk is checked byte by byte: the server may send no further line end.
std::size_t ResponseSyntax::checkChunkDataEnd(std::string_view data)
{
    m_line.push_back(data.front());
    if (!lineEnd.starts_with(m_line)) {
        setBroken("data behind the end of a chunk", data.substr(0, data.find('\n')));
    } else if (m_line == lineEnd) {
        m_line.clear();
        m_part = Part::ChunkSize;
    }
    return 1;
}

// A single line feed may end a status line or a field line (RFC 9112 2.2), but not the size of a chunk.
void ResponseSyntax::checkWholeLine(std::string_view line)
{
    const bool endsWithBoth = line.ends_with(lineEnd);
    const std::string_view text = line.substr(0, line.size() - (endsWithBoth ? lineEnd.size() : 1));
    switch (m_part) {
    case Part::StatusLine:
        // http_parser skips empty lines before a response.
        if (text.empty()) {
            return;
        }
        m_part = Part::FieldLine;
        if (!isStatusLine(text)) {
            setBroken("invalid status line", text);
        }
        return;
    case Part::ChunkSize:
        if (!endsWithBoth || !startChunk(text)) {
            setBroken("invalid size of a chunk", text);
        }
        return;
    case Part::FieldLine:
        if (text.empty()) {
            m_part = Part::HeadEnd;
        } else if (!isFieldLine(text)) {
            setBroken("invalid field line", text);
        }
        return;
    default:
        checkTrailerLine(text);
        return;
    }
}

// Trailer fields are dropped, so a folded line does no harm there.
void ResponseSyntax::checkTrailerLine(std::string_view line)
{
    if (line.empty()) {
        m_part = Part::End;
    } else if (isFieldLine(line) || (m_part == Part::FurtherTrailer && blanks.find(line.front()) != std::string_view::npos && isFieldValue(line))) {
        m_part = Part::FurtherTrailer;
    } else {
        setBroken("invalid trailer line", line);
    }
}

// Reads the size line of a chunk, whose extensions are ignored. Returns false if it is invalid.
bool ResponseSyntax::startChunk(std::string_view line)
{
    const auto size = std::from_chars(line.data(), line.data() + line.size(), m_chunkBytes, 16);
    if (size.ec != std::errc()) {
        return false;
    }
    const std::string_view behind = line.substr(static_cast<std::size_t>(size.ptr - line.data()));
    const std::string_view extensions = behind.substr(std::min(behind.find_first_not_of(blanks), behind.size()));
    m_part = m_chunkBytes > 0 ? Part::ChunkData : Part::Trailer;
    return behind.empty() || (extensions.starts_with(';') && !hasControl(extensions));
}

void ResponseSyntax::setBroken(std::string_view defect, std::string_view line)
{
    m_defect = defect;
    m_line = line.substr(0, maxShownBytes);
}
}
