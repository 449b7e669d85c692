#pragma once

#include "finding.h"

#include <string>
#include <vector>

namespace Yuccagrade
{
/// One `name = value` entry of an INI file.
struct IniEntry {
    std::string section;
    std::string name;
    std::string value;
    int line = 0; ///< from 1
};

/// Parses INI text. Malformed and over-long lines are added to @p findings; the other entries are still returned.
std::vector<IniEntry> parseIni(const std::string &text, const std::string &file, Findings &findings);
}
