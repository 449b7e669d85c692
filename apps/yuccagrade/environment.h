#pragma once

#include "base/clock.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>

namespace Yuccagrade
{
/// Exit codes of yuccagrade; docs/yuccagrade.1.md lists them.
enum class ExitCode {
    Success = 0,
    HasFindings = 1, ///< an input file has findings or cannot be read
    Usage = 2, ///< the command line is wrong
    Refused = 3, ///< the request was refused; nothing changed
    NoAnswer = 4, ///< no usable answer in time; a write may have been accepted
    NotInForce = 5, ///< accepted, but not confirmed by every process in time
    // `check` of a file:
    HasWarnings = 1, ///< a configuration of the mesh has warnings only
    HasErrors = 2, ///< the control hosts would refuse a configuration of the mesh
    Unreadable = 3, ///< a file cannot be read
};

/// One HTTP request to an operator-address.
struct OperatorRequest {
    std::string method;
    std::string address; ///< `ip:port`
    std::string path;
    std::string body; ///< JSON; empty for none
    std::string secret;
    TimeMs timeoutMs = 0;
};

struct OperatorAnswer {
    int status = 0; ///< 0 if there was no complete answer
    std::string body;
    std::string error; ///< reason if status is 0
};

using Exchange = std::function<OperatorAnswer(const OperatorRequest &)>;

/// What the subcommands need from outside. Tests replace it.
struct Environment {
    Exchange exchange;
    std::function<TimeMs()> now;
    std::function<void(TimeMs)> pause;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};
}
