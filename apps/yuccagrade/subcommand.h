#pragma once

#include "environment.h"
#include "operatorclient.h"

#include <boost/program_options.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// Parsed command line of one subcommand.
class Invocation
{
public:
    Invocation(const Environment &environment, boost::program_options::variables_map values);

    const Environment &environment() const;
    /// Value of an option; empty if it is not set.
    std::string text(const std::string &option) const;
    /// Whole seconds of an option in ms.
    TimeMs seconds(const std::string &option) const;
    /// Arguments that are no options.
    std::vector<std::string> arguments() const;
    bool isJson() const;

    /// Writes @p message to the error stream and returns @p code.
    ExitCode fail(ExitCode code, const std::string &message) const;
    /// Writes a line about the progress, unless the format is JSON.
    void progress(const std::string &message) const;
    /// Writes JSON or the text to the output stream, depending on the format.
    void print(const Json::Value &value, const std::string &text) const;
    /// Reads a whole file. Reports a problem and returns nullopt if that fails.
    std::optional<std::string> readFile(const std::string &path) const;
    /// Reads the operator secret. Reports a problem and returns nullopt if that fails.
    std::optional<std::string> secret() const;
    /// Returns a client for the `--control` addresses, or nullopt after reporting a wrong option.
    std::optional<OperatorClient> client() const;
    /// Reports why a call was refused or had no answer. @p submission is empty for a read.
    ExitCode report(const ControlAnswer &answer, const std::string &submission) const;

private:
    const Environment &m_environment;
    boost::program_options::variables_map m_values;
};

/// Options that a subcommand takes besides help and format.
enum OptionGroup : unsigned {
    NoOptions = 0,
    ControlOptions = 1, ///< addresses, secret, timeout
    SubmissionOptions = 2,
    WaitOptions = 4,
    FilterOptions = 8,
    SecretOptions = 16, ///< secret and timeout only
    CheckOptions = 32,
};

struct Subcommand {
    std::string_view name;
    std::string_view arguments; ///< for the help text
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    unsigned options = NoOptions;
    std::string_view help;
    ExitCode (*run)(const Invocation &);
};

ExitCode runCheck(const Invocation &invocation);
ExitCode runShow(const Invocation &invocation);
ExitCode runStatus(const Invocation &invocation);
ExitCode runDrain(const Invocation &invocation);
ExitCode runTimeline(const Invocation &invocation);
ExitCode runApply(const Invocation &invocation);
ExitCode runKeyGive(const Invocation &invocation);
ExitCode runKeyWithdraw(const Invocation &invocation);
}
