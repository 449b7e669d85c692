#include "commandline.h"

#include "base/buildinfo.h"
#include "subcommand.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace Yuccagrade
{
namespace
{
namespace po = boost::program_options;

const std::array<Subcommand, 8> subcommands{{
    {"check", "FILE", 1, 1, CheckOptions, "Checks a manifest or a configuration of the mesh and prints all findings.", runCheck},
    {"apply", "FILE", 1, 1, ControlOptions | SubmissionOptions | WaitOptions, "Sends a manifest and waits until it is in force everywhere.", runApply},
    {"show", "[manifest|keys]", 0, 1, ControlOptions, "Shows the manifest in force or the keys.", runShow},
    {"key give", "TEAM", 1, 1, ControlOptions | SubmissionOptions, "Gives a team a new key and prints it once.", runKeyGive},
    {"key withdraw", "KEYID", 1, 1, ControlOptions | SubmissionOptions | WaitOptions, "Withdraws a key and waits until it works nowhere.", runKeyWithdraw},
    {"status", "", 0, 0, ControlOptions, "Shows leader, processes and what is in force.", runStatus},
    {"drain", "ADDRESS", 1, 1, SecretOptions, "Drains the process with this operator-address.", runDrain},
    {"timeline", "FILE...", 1, 100'000, FilterOptions, "Merges event files of many processes into one order; - is standard input.", runTimeline},
}};

po::options_description visibleOptions(const Subcommand &subcommand)
{
    po::options_description options("Options");
    options.add_options()("help", "print this help");
    options.add_options()("format", po::value<std::string>()->default_value("text"), "text or json");
    if (subcommand.options & ControlOptions) {
        options.add_options()("control", po::value<std::vector<std::string>>()->composing(), "operator-address of a control host; may be repeated");
    }
    if (subcommand.options & (ControlOptions | SecretOptions)) {
        options.add_options()("secret-file", po::value<std::string>(), "file with the operator secret, mode 0600");
        options.add_options()("timeout-s", po::value<unsigned>()->default_value(15), "time for an answer with all retries");
    }
    if (subcommand.options & SubmissionOptions) {
        options.add_options()("submission", po::value<std::string>(), "submission id of an earlier run whose answer was lost");
    }
    if (subcommand.options & WaitOptions) {
        options.add_options()("wait-s", po::value<unsigned>()->default_value(30), "time until it must be in force everywhere; 0 does not wait");
    }
    if (subcommand.options & FilterOptions) {
        options.add_options()("request", po::value<std::string>(), "only this request and its nested calls");
        options.add_options()("team", po::value<std::string>(), "only this team");
        options.add_options()("key", po::value<std::string>(), "only this key id");
        options.add_options()("version", po::value<std::string>(), "only this manifest version");
        options.add_options()("event", po::value<std::string>(), "only this event, by number or name");
        options.add_options()("process", po::value<std::string>(), "only this process");
    }
    if (subcommand.options & CheckOptions) {
        options.add_options()("against", po::value<std::string>(), "configuration of the mesh in force, to print the differences");
        options.add_options()("json", "same as --format json");
    }
    return options;
}

void printHelp(const Subcommand &subcommand, std::ostream &out)
{
    out << "Usage: yuccagrade " << subcommand.name << " [options] " << subcommand.arguments << '\n'
        << subcommand.help << '\n'
        << visibleOptions(subcommand)
        << (subcommand.options & CheckOptions ? "Exit codes: 0 no findings, 1 findings (mesh: warnings only), 2 usage (mesh: errors), 3 a file cannot be read\n"
                                              : "Exit codes: 0 success, 1 findings, 2 usage, 3 refused, 4 no answer, 5 not in force in time\n");
}

void printOverview(std::ostream &out)
{
    out << "Usage: yuccagrade SUBCOMMAND [options]\nSubcommands:\n";
    for (const Subcommand &subcommand : subcommands) {
        out << "  " << std::left << std::setw(14) << subcommand.name << subcommand.help << '\n';
    }
    out << "'yuccagrade SUBCOMMAND --help' lists the options, 'yuccagrade --version' prints the version.\n";
}

// Removes the name of the subcommand, which has one or two words, from the arguments.
const Subcommand *takeSubcommand(std::vector<std::string> &arguments)
{
    for (const std::size_t words : {std::size_t{1}, std::size_t{2}}) {
        if (arguments.size() < words) {
            break;
        }
        const std::string name = words == 1 ? arguments[0] : arguments[0] + ' ' + arguments[1];
        const auto found = std::find_if(subcommands.begin(), subcommands.end(), [&](const Subcommand &subcommand) {
            return subcommand.name == name;
        });
        if (found != subcommands.end()) {
            arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
            return &*found;
        }
    }
    return nullptr;
}

po::variables_map parse(const Subcommand &subcommand, const std::vector<std::string> &arguments)
{
    po::options_description all = visibleOptions(subcommand);
    all.add_options()("argument", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("argument", -1);
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
    po::notify(values);
    return values;
}

ExitCode runSubcommand(const Subcommand &subcommand, const std::vector<std::string> &arguments, const Environment &environment)
{
    po::variables_map values;
    try {
        values = parse(subcommand, arguments);
    } catch (const po::error &error) {
        environment.err << "yuccagrade " << subcommand.name << ": " << error.what() << "; see 'yuccagrade " << subcommand.name << " --help'\n";
        return ExitCode::Usage;
    }
    if (values.count("help") > 0) {
        printHelp(subcommand, environment.out);
        return ExitCode::Success;
    }
    const Invocation invocation(environment, std::move(values));
    const std::size_t count = invocation.arguments().size();
    if (count < subcommand.minArguments || count > subcommand.maxArguments) {
        printHelp(subcommand, environment.err);
        return ExitCode::Usage;
    }
    if (const std::string format = invocation.text("format"); format != "text" && format != "json") {
        return invocation.fail(ExitCode::Usage, "--format '" + format + "': expected text or json");
    }
    return subcommand.run(invocation);
}
}

ExitCode runCommandLine(const std::vector<std::string> &arguments, const Environment &environment)
{
    std::vector<std::string> rest = arguments;
    if (const Subcommand *subcommand = takeSubcommand(rest)) {
        return runSubcommand(*subcommand, rest, environment);
    }
    if (arguments == std::vector<std::string>{"--version"}) {
        environment.out << versionText("yuccagrade");
        return ExitCode::Success;
    }
    const bool help = arguments == std::vector<std::string>{"--help"};
    if (!help && !arguments.empty()) {
        environment.err << "yuccagrade: unknown subcommand '" << arguments.front() << "'\n";
    }
    printOverview(help ? environment.out : environment.err);
    return help ? ExitCode::Success : ExitCode::Usage;
}
}
