#include "base/buildinfo.h"
#include "control/controlruntime.h"
#include "net/eventloop.h"
#include "node/noderuntime.h"
#include "platform/boot.h"

#include <boost/program_options.hpp>

#include <iostream>

using namespace Yuccagrade;
namespace po = boost::program_options;

namespace
{
constexpr int exitUsage = 2;
constexpr int exitFindings = 3;

int run(const std::string &path)
{
    Findings findings;
    const Settings settings = readSettings(path, findings);
    if (!findings.empty()) {
        std::cerr << toText(findings);
        return exitFindings;
    }
    return settings.role == Role::Control ? runControl(settings) : runNode(settings);
}
}

int main(int argc, char **argv)
{
    EventLoop::holdSignals();
    po::options_description options(
        "Usage: yuccagraded [--settings] FILE\n\nExit codes: 0 drained, 1 cannot start, 2 usage, 3 findings in the settings\n\nOptions");
    options.add_options()("settings", po::value<std::string>(), "INI file with the settings of this process")(
        "platform",
        "run on the users' platform, which names the settings file")("help", "show this text")("version", "show the version and the digest of the sources");
    try {
        po::variables_map values;
        po::positional_options_description positional;
        positional.add("settings", 1);
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << versionText("yuccagraded");
            return 0;
        }
        if (values.count("platform") > 0) {
            return Platform::run();
        }
        if (values.count("settings") == 0) {
            std::cerr << "yuccagraded: the settings file is missing; see --help\n";
            return exitUsage;
        }
        return run(values["settings"].as<std::string>());
    } catch (const po::error &error) {
        std::cerr << "yuccagraded: " << error.what() << "; see --help\n";
        return exitUsage;
    }
}
