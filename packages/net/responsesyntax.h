#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Yuccagrade
{
/// Returns true if @p name is a token, as the names of fields are (RFC 9110 5.6.2).
bool isToken(std::string_view name);

/// Checks the head of an HTTP/1.1 response by the grammar of RFC 9112. http_parser accepts more, such as any number as a status code and
/// folded fields.
class ResponseSyntax
{
public:
    /// Checks the next bytes and returns how many of them were checked.
    std::size_t check(std::string_view data);

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
    enum class Part { StatusLine, FieldLine, Body };

    std::size_t checkLine(std::string_view data);
    void checkWholeLine(std::string_view line);
    void setBroken(std::string_view defect, std::string_view line);

    Part m_part = Part::StatusLine;
    std::string m_line; ///< unfinished or broken
    std::string_view m_defect;
};
}
