#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// What a value must look like.
enum class OptionType {
    Name, ///< letters, digits, `.`, `_` and `-`; at most 40 bytes
    NameList, ///< names, or the single value `*`
    Integer,
    Real,
    Choice, ///< one of Option::choices
    UrlPath, ///< `/a/b`, or `/a/*` for every path that starts with `/a/`
    File, ///< path of a file or folder
    IpAddress,
    Address, ///< `ip:port`, IPv6 as `[ip]:port`
    AddressList,
    MemberList, ///< `id=ip:port`
    NamedTextList, ///< `name=text`; the text may be empty and has no comma
};

/// One option of a file. Feeds the check, the help text and docs/MANIFEST.md.
struct Option {
    std::string_view section = {}; ///< kind of section
    std::string_view name = {};
    OptionType type = OptionType::Name;
    std::string_view unit = {}; ///< empty for none
    double minimum = 0; ///< of Integer and Real
    double maximum = 0;
    std::string_view choices = {}; ///< separated by `|`
    std::string_view fallback = {}; ///< default; empty for none
    bool required = false;
    std::string_view help = {};
};

/// One kind of section.
struct SectionKind {
    std::string_view name = {}; ///< empty for entries before any section
    bool named = false; ///< `[kind NAME]`, may occur several times
    bool required = false;
};

/// Sections and options of one kind of file.
struct FileFormat {
    std::span<const SectionKind> sections;
    std::span<const Option> options;

    const SectionKind *section(std::string_view name) const;
    const Option *option(std::string_view sectionName, std::string_view optionName) const;
};

/// True for list types, whose entries may be repeated and hold comma separated items.
bool isList(OptionType type);
/// Returns what the option accepts, such as `1 to 60000 ms` or `yes|no`.
std::string rangeText(const Option &option);
/// Returns an empty text if @p value is acceptable, else what is wrong and what is expected.
std::string checkValue(const Option &option, const std::string &value);
/// True if @p text is a valid name of a team, service, process or submission.
bool isName(std::string_view text);
/// Splits `ip:port` and checks both parts. Returns false on a malformed text.
bool splitAddress(std::string_view text, std::string &ip, int &port);
/// Returns the items of a comma separated list without surrounding blanks.
std::vector<std::string> splitList(std::string_view text);
/// Returns one paragraph per option as plain text.
std::string helpText(const FileFormat &format);
/// Returns one Markdown table row per option, in the order of the format.
std::string markdownRows(const FileFormat &format);
}
