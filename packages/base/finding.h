#pragma once

#include <string>
#include <vector>

namespace Yuccagrade
{
/// One defect of an input file with its place.
struct Finding {
    std::string file;
    int line = 0; ///< from 1; 0 if the whole file is meant
    std::string message; ///< what was found and what was expected
};

using Findings = std::vector<Finding>;

/// Returns one line "file:line: message" for each finding.
std::string toText(const Findings &findings);
}
