#include "finding.h"

namespace Yuccagrade
{
std::string toText(const Findings &findings)
{
    std::string text;
    for (const auto &finding : findings) {
        text += finding.file + ':' + std::to_string(finding.line) + ": " + finding.message + '\n';
    }
    return text;
}
}
