#pragma once

#include "base/finding.h"
#include "config/optiontable.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// One section of a file with its checked values. Reading an option that is not set gives its default.
class IniSection
{
public:
    IniSection(const FileFormat &format, const SectionKind &kind, std::string name, int line);

    std::string_view kind() const;
    const std::string &name() const;
    /// Line of the header; 0 if there is none.
    int line() const;
    /// Line of the option's last entry, or of the header if it is not set.
    int line(std::string_view option) const;
    bool isSet(std::string_view option) const;

    std::string text(std::string_view option) const;
    /// True if the value is `yes`.
    bool flag(std::string_view option) const;
    /// 0 if the value is malformed, which was reported as a finding.
    std::int64_t integer(std::string_view option) const;
    double real(std::string_view option) const;
    /// Items of all entries of a list.
    std::vector<std::string> list(std::string_view option) const;

private:
    friend class SectionReader;
    struct Value {
        std::string text;
        int line = 0;
    };
    const FileFormat *m_format;
    const SectionKind *m_kind;
    std::string m_name;
    int m_line;
    std::map<std::string, Value, std::less<>> m_values;
};

/// Parses INI text and checks names, values and required options against @p format. Defects are added to
/// @p findings; what remains is returned in the order of the file.
std::vector<IniSection> readSections(const std::string &text, const std::string &file, const FileFormat &format, Findings &findings);
/// Puts the findings of one file into the order of their lines.
void sortByLine(Findings &findings);
}
