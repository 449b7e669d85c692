#include "operatorclient.h"

#include "config/optiontable.h"
#include "protocol/jsoncodec.h"

#include <algorithm>
#include <map>

namespace Yuccagrade
{
namespace
{
// An election takes about 1 s; a few rounds fit into it without loading the hosts.
constexpr TimeMs pauseMs = 200;
// A write waits for a quorum; a longer silence means that the answer is lost.
constexpr TimeMs attemptTimeoutMs = 4000;
constexpr int statusNotLeader = 421;
constexpr int statusServerError = 500;

bool isAddress(const std::string &text)
{
    std::string ip;
    int port = 0;
    return splitAddress(text, ip, port);
}

std::string describe(const OperatorAnswer &answer)
{
    if (answer.status == 0) {
        return answer.error;
    }
    return answer.status == statusNotLeader ? "is not the leader" : "answered with status " + std::to_string(answer.status);
}
}

OperatorClient::OperatorClient(const Environment &environment, std::vector<std::string> addresses, std::string secret, TimeMs timeoutMs)
    : m_environment(environment)
    , m_addresses(std::move(addresses))
    , m_secret(std::move(secret))
    , m_timeoutMs(timeoutMs)
{
}

void OperatorClient::setTimeout(TimeMs timeoutMs)
{
    m_timeoutMs = timeoutMs;
}

ControlAnswer OperatorClient::call(const std::string &method, const std::string &path, const Json::Value &body)
{
    const TimeMs deadline = m_environment.now() + m_timeoutMs;
    const std::string text = body.isNull() ? std::string() : toText(body);
    std::map<std::string, std::string> problems;
    ControlAnswer result;
    std::size_t failures = 0;
    for (TimeMs left = m_timeoutMs; left > 0; left = deadline - m_environment.now()) {
        const std::string address = m_addresses.front();
        const OperatorAnswer answer = m_environment.exchange({method, address, path, text, m_secret, std::min(left, attemptTimeoutMs)});
        Json::Value value;
        const bool decoded = parseJson(answer.body, value) && value.isObject();
        const bool retry = answer.status == 0 || answer.status == statusNotLeader || answer.status >= statusServerError;
        if (!retry && (decoded || answer.status >= 300)) {
            return {answer.status, decoded ? value : Json::Value(Json::objectValue), {}, false};
        }
        // 421 is certain not to have run. After 503 the entry may still be committed by a later leader.
        result.mayHaveRun = result.mayHaveRun || answer.status != statusNotLeader;
        problems[address] = retry ? describe(answer) : "gave an answer that is not JSON";
        follow(value, failures);
    }
    for (const auto &[address, problem] : problems) {
        result.error += (result.error.empty() ? "" : "; ") + address + ": " + problem;
    }
    return result;
}

// Puts the named leader first, or else moves to the next address; pauses after a round without success.
void OperatorClient::follow(const Json::Value &value, std::size_t &failures)
{
    std::string leader;
    if (JsonReader(value).read("leader", leader).ok() && isAddress(leader) && leader != m_addresses.front()) {
        std::erase(m_addresses, leader);
        m_addresses.insert(m_addresses.begin(), leader);
    } else {
        std::rotate(m_addresses.begin(), m_addresses.begin() + 1, m_addresses.end());
    }
    if (++failures % m_addresses.size() == 0) {
        m_environment.pause(pauseMs);
    }
}
}
