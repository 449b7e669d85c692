#include "buildinfo.h"

namespace Yuccagrade
{
const BuildInfo &buildInfo()
{
    static const BuildInfo info{YUCCAGRADE_VERSION, YUCCAGRADE_SOURCES, YUCCAGRADE_BUILD};
    return info;
}

std::string versionText(const std::string &program)
{
    const BuildInfo &info = buildInfo();
    return program + ' ' + info.version + "\nsources " + info.sources + "\nbuild " + info.build + '\n';
}
}
