#include "inisections.h"

#include "base/ini.h"

#include <algorithm>
#include <charconv>

namespace Yuccagrade
{
namespace
{
// inih cuts longer headers without an error, so two long names could become one.
constexpr std::size_t maxHeaderBytes = 49;

struct Header {
    std::string text;
    int line = 0;
};

// inih reports entries only, so a section without entries is found here.
std::vector<Header> sectionHeaders(const std::string &text)
{
    std::vector<Header> headers;
    int line = 0;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        ++line;
        const auto close = text.find(']', start);
        if (text[start] == '[' && close < end) {
            headers.push_back({text.substr(start + 1, close - start - 1), line});
        }
        start = end + 1;
    }
    return headers;
}

template<typename Number>
Number parsed(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end ? number : Number{};
}
}

IniSection::IniSection(const FileFormat &format, const SectionKind &kind, std::string name, int line)
    : m_format(&format)
    , m_kind(&kind)
    , m_name(std::move(name))
    , m_line(line)
{
}

std::string_view IniSection::kind() const
{
    return m_kind->name;
}

const std::string &IniSection::name() const
{
    return m_name;
}

int IniSection::line() const
{
    return m_line;
}

int IniSection::line(std::string_view option) const
{
    const auto found = m_values.find(option);
    return found == m_values.end() ? m_line : found->second.line;
}

bool IniSection::isSet(std::string_view option) const
{
    return m_values.contains(option);
}

std::string IniSection::text(std::string_view option) const
{
    if (const auto found = m_values.find(option); found != m_values.end()) {
        return found->second.text;
    }
    const Option *entry = m_format->option(m_kind->name, option);
    return entry ? std::string(entry->fallback) : std::string();
}

bool IniSection::flag(std::string_view option) const
{
    return text(option) == "yes";
}

std::int64_t IniSection::integer(std::string_view option) const
{
    return parsed<std::int64_t>(text(option));
}

double IniSection::real(std::string_view option) const
{
    return parsed<double>(text(option));
}

std::vector<std::string> IniSection::list(std::string_view option) const
{
    const std::string value = text(option);
    return value.empty() ? std::vector<std::string>() : splitList(value);
}

/// Collects the sections of one file.
class SectionReader
{
public:
    SectionReader(const std::string &file, const FileFormat &format, Findings &findings)
        : m_file(file)
        , m_format(format)
        , m_findings(findings)
    {
    }

    void addHeader(const Header &header)
    {
        if (header.text.size() > maxHeaderBytes) {
            report(header.line, "section header is longer than 49 bytes");
        } else if (m_positions.contains(header.text)) {
            report(header.line, "section [" + header.text + "] occurs twice; put its entries together");
        } else {
            open(header.text, header.line);
        }
    }

    void addEntry(const IniEntry &entry)
    {
        if (!m_positions.contains(entry.section)) {
            open(entry.section, entry.line);
        }
        const int position = m_positions[entry.section];
        if (position < 0) {
            return;
        }
        IniSection &section = m_sections[position];
        const Option *option = m_format.option(section.kind(), entry.name);
        if (!option) {
            report(entry.line, "unknown name '" + entry.name + "'" + inSection(section));
            return;
        }
        const std::string problem = checkValue(*option, entry.value);
        if (!problem.empty()) {
            report(entry.line, problem);
        }
        store(section, *option, entry);
    }

    std::vector<IniSection> finish()
    {
        for (const SectionKind &kind : m_format.sections) {
            const bool found = std::any_of(m_sections.begin(), m_sections.end(), [&](const IniSection &section) {
                return section.kind() == kind.name;
            });
            if (kind.required && !found) {
                report(0, "section [" + std::string(kind.name) + (kind.named ? " NAME]" : "]") + " is missing");
            }
        }
        for (const IniSection &section : m_sections) {
            checkRequired(section);
        }
        return std::move(m_sections);
    }

private:
    void report(int line, std::string message)
    {
        m_findings.push_back({m_file, line, std::move(message)});
    }

    static std::string inSection(const IniSection &section)
    {
        return section.kind().empty() ? std::string() : " in section [" + std::string(section.kind()) + ']';
    }

    void open(const std::string &header, int line)
    {
        m_positions[header] = -1;
        const auto blank = std::min(header.find(' '), header.size());
        const std::string kindName = header.substr(0, blank);
        const std::string name = blank < header.size() ? header.substr(header.find_last_of(' ') + 1) : std::string();
        const SectionKind *kind = m_format.section(kindName);
        if (!kind) {
            report(line, "unknown section [" + header + ']');
        } else if (kind->named && !(isName(name) && header == kindName + ' ' + name)) {
            report(line, "section [" + header + "]: expected [" + kindName + " NAME] with a name of letters, digits, '.', '_' and '-', at most 40 bytes");
        } else if (!kind->named && header != kindName) {
            report(line, "section [" + kindName + "] takes no name");
        } else {
            m_positions[header] = static_cast<int>(m_sections.size());
            m_sections.emplace_back(m_format, *kind, name, line);
        }
    }

    void store(IniSection &section, const Option &option, const IniEntry &entry)
    {
        const auto found = section.m_values.find(entry.name);
        if (found == section.m_values.end()) {
            section.m_values[entry.name] = {entry.value, entry.line};
        } else if (isList(option.type)) {
            found->second.text += ',' + entry.value;
            found->second.line = entry.line;
        } else {
            report(entry.line, "'" + entry.name + "' occurs twice, first in line " + std::to_string(found->second.line));
        }
    }

    void checkRequired(const IniSection &section)
    {
        for (const Option &option : m_format.options) {
            if (option.section == section.kind() && option.required && !section.isSet(option.name)) {
                report(section.line(), "'" + std::string(option.name) + "' is missing" + inSection(section));
            }
        }
    }

    const std::string &m_file;
    const FileFormat &m_format;
    Findings &m_findings;
    std::vector<IniSection> m_sections;
    std::map<std::string, int> m_positions; // header to index in m_sections; -1 for a reported one
};

void sortByLine(Findings &findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &a, const Finding &b) {
        return a.line < b.line;
    });
}

std::vector<IniSection> readSections(const std::string &text, const std::string &file, const FileFormat &format, Findings &findings)
{
    SectionReader reader(file, format, findings);
    if (format.section("")) {
        reader.addHeader({"", 0});
    }
    for (const Header &header : sectionHeaders(text)) {
        reader.addHeader(header);
    }
    for (const IniEntry &entry : parseIni(text, file, findings)) {
        reader.addEntry(entry);
    }
    return reader.finish();
}
}
