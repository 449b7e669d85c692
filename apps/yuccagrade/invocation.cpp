#include "subcommand.h"

#include "base/errc.h"
#include "base/finding.h"
#include "base/secret.h"
#include "config/optiontable.h"
#include "protocol/jsoncodec.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace Yuccagrade
{
namespace
{
std::string refusal(const ControlAnswer &answer)
{
    std::string message;
    JsonReader(answer.value).read("message", message);
    Findings findings;
    const Json::Value *list = answer.value.find("findings", "findings" + 8);
    for (Json::ArrayIndex i = 0; list && list->isArray() && i < list->size(); ++i) {
        Finding finding;
        JsonReader((*list)[i]).read("line", finding.line).read("message", finding.message);
        message += "\n  line " + std::to_string(finding.line) + ": " + finding.message;
    }
    return message;
}

std::string advice(int status)
{
    switch (status) {
    case 401:
        return "; the operator secret differs from that of the control hosts, check --secret-file";
    case 409:
        return "; run 'yuccagrade show' to see what is in force";
    default:
        return {};
    }
}
}

Invocation::Invocation(const Environment &environment, boost::program_options::variables_map values)
    : m_environment(environment)
    , m_values(std::move(values))
{
}

const Environment &Invocation::environment() const
{
    return m_environment;
}

std::string Invocation::text(const std::string &option) const
{
    return m_values.count(option) == 0 ? std::string() : m_values[option].as<std::string>();
}

TimeMs Invocation::seconds(const std::string &option) const
{
    return TimeMs{1000} * m_values[option].as<unsigned>();
}

std::vector<std::string> Invocation::arguments() const
{
    return m_values.count("argument") == 0 ? std::vector<std::string>() : m_values["argument"].as<std::vector<std::string>>();
}

bool Invocation::isJson() const
{
    return text("format") == "json" || m_values.count("json") > 0;
}

ExitCode Invocation::fail(ExitCode code, const std::string &message) const
{
    m_environment.err << "yuccagrade: " << message << '\n';
    return code;
}

void Invocation::progress(const std::string &message) const
{
    if (!isJson()) {
        m_environment.err << message << std::endl;
    }
}

void Invocation::print(const Json::Value &value, const std::string &text) const
{
    m_environment.out << (isJson() ? toText(value) + '\n' : text);
}

std::optional<std::string> Invocation::readFile(const std::string &path) const
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(m_environment.in), {});
    }
    std::ifstream file(path, std::ios::binary);
    // A folder can be opened, but reading it throws.
    if (std::error_code ignored; !file || std::filesystem::is_directory(path, ignored)) {
        fail(ExitCode::HasFindings, "cannot read '" + path + "'");
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<std::string> Invocation::secret() const
{
    const std::string path = text("secret-file");
    if (path.empty()) {
        fail(ExitCode::Usage, "--secret-file is missing; it names the file with the operator secret");
        return std::nullopt;
    }
    std::string secret;
    if (const auto error = readSecretFile(path, secret)) {
        fail(ExitCode::Usage, "--secret-file '" + path + "': " + error.message() + (error == Errc::InsecureFile ? "; run chmod 600 on it" : ""));
        return std::nullopt;
    }
    return secret;
}

std::optional<OperatorClient> Invocation::client() const
{
    if (m_values.count("control") == 0) {
        fail(ExitCode::Usage, "--control is missing; give the operator-address of one or more control hosts");
        return std::nullopt;
    }
    const auto addresses = m_values["control"].as<std::vector<std::string>>();
    for (const std::string &address : addresses) {
        std::string ip;
        int port = 0;
        if (!splitAddress(address, ip, port)) {
            fail(ExitCode::Usage, "--control '" + address + "': expected ip:port");
            return std::nullopt;
        }
    }
    const auto value = secret();
    return value ? std::optional<OperatorClient>(std::in_place, m_environment, addresses, *value, seconds("timeout-s")) : std::nullopt;
}

ExitCode Invocation::report(const ControlAnswer &answer, const std::string &submission) const
{
    if (answer.status != 0) {
        const std::string message = refusal(answer);
        return fail(ExitCode::Refused,
                    "refused with status " + std::to_string(answer.status) + (message.empty() ? "" : ": " + message) + advice(answer.status));
    }
    std::string message = "no control host gave a usable answer (" + answer.error + ")";
    if (!submission.empty()) {
        message += answer.mayHaveRun ? "\nThe request may have been accepted. Run the same command with --submission " + submission + " to learn the outcome."
                                     : "\nNothing was changed. Check the --control addresses and run the command again.";
    }
    return fail(ExitCode::NoAnswer, message);
}
}
