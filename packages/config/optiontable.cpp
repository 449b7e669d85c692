#include "optiontable.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <sstream>

namespace Yuccagrade
{
namespace
{
// inih keeps a section header of at most 49 bytes; "service " and a name fit in.
constexpr std::size_t maxNameBytes = 40;
constexpr int maxPort = 65'535;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        parts.emplace_back(trimmed(text.substr(start, end - start)));
        start = end + 1;
    }
    return parts;
}

bool isIpAddress(const std::string &text)
{
    unsigned char binary[sizeof(in6_addr)];
    return inet_pton(AF_INET, text.c_str(), binary) == 1 || inet_pton(AF_INET6, text.c_str(), binary) == 1;
}

bool isAddress(std::string_view text)
{
    std::string ip;
    int port = 0;
    return splitAddress(text, ip, port);
}

bool isMember(std::string_view text)
{
    const auto separator = text.find('=');
    return separator != std::string_view::npos && isName(text.substr(0, separator)) && isAddress(text.substr(separator + 1));
}

bool isNamedText(std::string_view text)
{
    const auto separator = text.find('=');
    return separator != std::string_view::npos && isName(text.substr(0, separator)) && std::none_of(text.begin(), text.end(), [](unsigned char c) {
               return c < ' ';
           });
}

// A blank could start a comment for inih, and `*` stands for a prefix at the end only.
bool isUrlPath(std::string_view text)
{
    if (text.size() >= 2 && text.ends_with("/*")) {
        text.remove_suffix(1);
    }
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return c > ' ' && c < 0x7f && c != '*' && c != '?' && c != '#' && c != ';';
           });
}

bool isFilePath(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](unsigned char c) {
        return c < ' ';
    });
}

template<typename Number>
bool isInRange(const Option &option, const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    // The comparisons are false for NaN.
    return parsed.ec == std::errc() && parsed.ptr == end && static_cast<double>(number) >= option.minimum && static_cast<double>(number) <= option.maximum;
}

bool isItemValid(const Option &option, const std::string &item)
{
    switch (option.type) {
    case OptionType::Name:
        return isName(item);
    case OptionType::NameList:
        return isName(item) || item == "*";
    case OptionType::Integer:
        return isInRange<long long>(option, item);
    case OptionType::Real:
        return isInRange<double>(option, item);
    case OptionType::Choice: {
        const auto choices = split(option.choices, '|');
        return std::find(choices.begin(), choices.end(), item) != choices.end();
    }
    case OptionType::UrlPath:
        return isUrlPath(item);
    case OptionType::File:
        return isFilePath(item);
    case OptionType::IpAddress:
        return isIpAddress(item);
    case OptionType::Address:
    case OptionType::AddressList:
        return isAddress(item);
    case OptionType::MemberList:
        return isMember(item);
    case OptionType::NamedTextList:
        return isNamedText(item);
    }
    return false;
}

std::string quoted(std::string_view text)
{
    return '`' + std::string(text) + '`';
}

std::string number(double value)
{
    std::ostringstream out;
    out.precision(16);
    out << value;
    return out.str();
}
}

const SectionKind *FileFormat::section(std::string_view name) const
{
    const auto found = std::find_if(sections.begin(), sections.end(), [name](const SectionKind &kind) {
        return kind.name == name;
    });
    return found == sections.end() ? nullptr : &*found;
}

const Option *FileFormat::option(std::string_view sectionName, std::string_view optionName) const
{
    const auto found = std::find_if(options.begin(), options.end(), [&](const Option &option) {
        return option.name == optionName && option.section == sectionName;
    });
    return found == options.end() ? nullptr : &*found;
}

bool isList(OptionType type)
{
    return type == OptionType::NameList || type == OptionType::AddressList || type == OptionType::MemberList || type == OptionType::NamedTextList;
}

std::string rangeText(const Option &option)
{
    const std::string unit = option.unit.empty() ? std::string() : ' ' + std::string(option.unit);
    switch (option.type) {
    case OptionType::Name:
        return "name of letters, digits, '.', '_' and '-', at most 40 bytes";
    case OptionType::NameList:
        return "names separated by commas, or *";
    case OptionType::Integer:
        return "whole number from " + number(option.minimum) + " to " + number(option.maximum) + unit;
    case OptionType::Real:
        return "number from " + number(option.minimum) + " to " + number(option.maximum) + unit;
    case OptionType::Choice:
        return std::string(option.choices);
    case OptionType::UrlPath:
        return "/path, or /path/* for a prefix";
    case OptionType::File:
        return "path";
    case OptionType::IpAddress:
        return "IP address";
    case OptionType::Address:
        return "ip:port, port from 1 to 65535";
    case OptionType::AddressList:
        return "ip:port separated by commas";
    case OptionType::MemberList:
        return "id=ip:port separated by commas";
    case OptionType::NamedTextList:
        return "name=text separated by commas";
    }
    return {};
}

std::string checkValue(const Option &option, const std::string &value)
{
    const auto items = isList(option.type) ? splitList(value) : std::vector<std::string>{value};
    for (const std::string &item : items) {
        if (!isItemValid(option, item)) {
            return std::string(option.name) + " = '" + item + "': expected " + rangeText(option);
        }
    }
    return {};
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

bool splitAddress(std::string_view text, std::string &ip, int &port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    // Without brackets the port of an IPv6 address cannot be told from its last group.
    if (!bracketed && host.find(':') != std::string_view::npos) {
        return false;
    }
    ip = bracketed ? host.substr(1, host.size() - 2) : host;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return isIpAddress(ip) && (ip.find(':') != std::string::npos) == bracketed && parsed.ec == std::errc() && parsed.ptr == end && port >= 1 && port <= maxPort;
}

std::vector<std::string> splitList(std::string_view text)
{
    return split(text, ',');
}

std::string helpText(const FileFormat &format)
{
    std::string text;
    std::string_view last = "-";
    for (const Option &option : format.options) {
        if (option.section != last && !option.section.empty()) {
            const SectionKind *kind = format.section(option.section);
            text += '[' + std::string(option.section) + (kind && kind->named ? " NAME]\n" : "]\n");
        }
        last = option.section;
        text += "  " + std::string(option.name) + " = " + rangeText(option);
        text += option.required ? " (required)" : option.fallback.empty() ? "" : " (default " + std::string(option.fallback) + ')';
        text += "\n      " + std::string(option.help) + '\n';
    }
    return text;
}

std::string markdownRows(const FileFormat &format)
{
    std::string rows;
    for (const Option &option : format.options) {
        std::string range = rangeText(option);
        for (auto bar = range.find('|'); bar != std::string::npos; bar = range.find('|', bar + 4)) {
            range.replace(bar, 1, " or ");
        }
        const std::string fallback = option.required ? "required" : option.fallback.empty() ? "-" : quoted(option.fallback);
        const std::string section = option.section.empty() ? "-" : quoted(option.section);
        const std::string name = quoted(option.name);
        const std::string_view unit = option.unit.empty() ? "-" : option.unit;
        for (const std::string_view cell :
             {std::string_view(section), std::string_view(name), unit, std::string_view(range), std::string_view(fallback), option.help}) {
            rows.append("| ").append(cell).append(" ");
        }
        rows += "|\n";
    }
    return rows;
}
}
