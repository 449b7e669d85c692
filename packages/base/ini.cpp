#include "ini.h"

#include <cstring>
#include <ini.h>

namespace Yuccagrade
{
namespace
{
// inih keeps a line in a buffer of INI_MAX_LINE bytes (200) and cuts longer ones without an error.
constexpr int maxLineBytes = 198;

struct Reader {
    const std::string &text;
    std::size_t position = 0;
    int line = 0;
    std::string file;
    Findings &findings;
    std::vector<IniEntry> entries;
};

// Hands one line to inih. inih calls this once per line, so counting the calls gives the line of each entry.
char *readLine(char *buffer, int size, void *context)
{
    auto &reader = *static_cast<Reader *>(context);
    if (reader.position >= reader.text.size()) {
        return nullptr;
    }
    auto end = reader.text.find('\n', reader.position);
    end = end == std::string::npos ? reader.text.size() : end;
    ++reader.line;
    std::string line = reader.text.substr(reader.position, end - reader.position);
    reader.position = end + 1;
    if (line.size() > static_cast<std::size_t>(std::min(size - 2, maxLineBytes))) {
        reader.findings.push_back({reader.file, reader.line, "line is longer than " + std::to_string(maxLineBytes) + " bytes"});
        line.clear();
    }
    if (line.find('\0') != std::string::npos) {
        reader.findings.push_back({reader.file, reader.line, "line contains a NUL byte"});
        line.clear();
    }
    line += '\n';
    std::memcpy(buffer, line.c_str(), line.size() + 1);
    return buffer;
}

int handleEntry(void *context, const char *section, const char *name, const char *value)
{
    auto &reader = *static_cast<Reader *>(context);
    reader.entries.push_back({section, name, value ? value : "", reader.line});
    return 1;
}
}

std::vector<IniEntry> parseIni(const std::string &text, const std::string &file, Findings &findings)
{
    Reader reader{text, 0, 0, file, findings, {}};
    const int firstBadLine = ini_parse_stream(readLine, &reader, handleEntry, &reader);
    if (firstBadLine > 0) {
        findings.push_back({file, firstBadLine, "expected '[section]', 'name = value' or a comment"});
    }
    return std::move(reader.entries);
}
}
