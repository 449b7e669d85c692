#pragma once

#include "environment.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Answer of the control hosts after redirections and retries.
struct ControlAnswer {
    int status = 0; ///< 0 if no control host gave a usable answer in time
    Json::Value value{Json::objectValue};
    std::string error; ///< what each host answered last, if status is 0
    bool mayHaveRun = false; ///< status is 0, but a request may have been carried out
};

/// Calls the operator interface of the control hosts.
class OperatorClient
{
public:
    /// @param addresses operator addresses of control hosts; @param timeoutMs limit for one call with all its retries.
    OperatorClient(const Environment &environment, std::vector<std::string> addresses, std::string secret, TimeMs timeoutMs);

    /// Limit for one call with all its retries.
    void setTimeout(TimeMs timeoutMs);

    /// Sends the request to the leader. A lost answer and a host that is not the leader lead to a resend of the same
    /// body, so a write must carry a submission id.
    ControlAnswer call(const std::string &method, const std::string &path, const Json::Value &body = {});

private:
    void follow(const Json::Value &value, std::size_t &failures);

    const Environment &m_environment;
    std::vector<std::string> m_addresses; // the one to try next comes first
    std::string m_secret;
    TimeMs m_timeoutMs;
};
}
