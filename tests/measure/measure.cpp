#include "measure.h"

#include <algorithm>
#include <cmath>
#include <fstream>

namespace Yuccagrade::Test
{
double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(q * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::clamp(rank, 1.0, static_cast<double>(values.size()))) - 1];
}

std::string machineLoad()
{
    std::ifstream file("/proc/loadavg");
    std::string text;
    std::getline(file, text);
    return text.substr(0, text.find(' ', text.find(' ', text.find(' ') + 1) + 1));
}

int firstArgument(int argc, char **argv, int fallback)
{
    return argc > 1 ? std::stoi(argv[1]) : fallback;
}

std::string simpleManifest(const std::vector<std::string> &domains, const std::vector<std::string> &services)
{
    std::string text = "[manifest]\nversion = 1\n";
    for (const std::string &domain : domains) {
        text += "[domain " + domain + "]\nregion = r1\n";
    }
    for (const std::string &service : services) {
        text += "[service " + service + "]\n";
        text += "[route " + service + "]\nmethod = POST\n";
        text += "path = /" + service + '\n';
        text += "service = " + service + '\n';
        text += "teams = *\npriority = critical\nidempotent = yes\n";
    }
    return text + "[team north]\nrate = 100000\nburst = 100000\n";
}
}
