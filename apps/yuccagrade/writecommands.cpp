#include "statuspage.h"
#include "subcommand.h"

#include "base/secret.h"
#include "config/manifest.h"
#include "protocol/jsoncodec.h"

#include <algorithm>
#include <functional>

namespace Yuccagrade
{
namespace
{
constexpr int statusOk = 200;
// A change reaches every process in about 1.2 s.
constexpr TimeMs pollMs = 250;
constexpr int submissionBytes = 12;

// Returns an empty text after reporting a malformed option.
std::string submissionId(const Invocation &invocation)
{
    std::string given = invocation.text("submission");
    if (given.empty()) {
        return "cli-" + randomToken(submissionBytes);
    }
    if (!isName(given)) {
        invocation.fail(ExitCode::Usage, "--submission '" + given + "': expected 1 to 40 letters, digits, '.', '_' and '-'");
        return {};
    }
    return given;
}

using IsDone = std::function<bool(const StatusPage &)>;

// Polls the status until the change is in force. Lost polls are repeated until the time is over.
ExitCode waitInForce(const Invocation &invocation, OperatorClient &client, std::uint64_t index, const IsDone &isDone, Json::Value &result)
{
    const Environment &environment = invocation.environment();
    const TimeMs waitMs = invocation.seconds("wait-s");
    const TimeMs deadline = environment.now() + waitMs;
    std::string last;
    std::string problem = "no control host gave its status";
    while (waitMs > 0) {
        StatusPage page;
        client.setTimeout(std::min(invocation.seconds("timeout-s"), std::max(deadline - environment.now(), pollMs)));
        const ControlAnswer answer = client.call("GET", "/v1/status");
        if (answer.status == statusOk && StatusPage::fromJson(answer.value, page) && page.index >= index) {
            problem = "in force on " + std::to_string(page.confirmedIndex(index)) + " of " + std::to_string(page.processes.size()) + " processes";
            result["confirmed"] = Json::UInt64{page.confirmedIndex(index)};
            result["known"] = Json::UInt64{page.processes.size()};
            if (problem != last) {
                invocation.progress(problem);
            }
            last = problem;
            if (isDone(page)) {
                result["inForce"] = true;
                return ExitCode::Success;
            }
        }
        if (environment.now() >= deadline) {
            result["inForce"] = false;
            return invocation.fail(ExitCode::NotInForce,
                                   "accepted, but not yet in force everywhere (" + problem + "); 'yuccagrade status' shows which process lags");
        }
        environment.pause(pollMs);
    }
    result["inForce"] = false;
    return ExitCode::Success;
}

struct Write {
    std::string path;
    Json::Value body;
};

// Sends a write with a submission id. Returns false after reporting the problem.
bool send(const Invocation &invocation, OperatorClient &client, Write write, Json::Value &result, ExitCode &code)
{
    const std::string submission = submissionId(invocation);
    if (submission.empty()) {
        code = ExitCode::Usage;
        return false;
    }
    write.body["submission"] = submission;
    const ControlAnswer answer = client.call("POST", write.path, write.body);
    std::uint64_t index = 0;
    if (answer.status != statusOk || !JsonReader(answer.value).read("index", index).ok()) {
        code = answer.status == statusOk ? invocation.fail(ExitCode::NoAnswer, "the answer holds no state index; are both programs of the same version?")
                                         : invocation.report(answer, submission);
        return false;
    }
    result = answer.value;
    result["submission"] = submission;
    return true;
}

// A new leader does not list all processes yet, so the count of those that confirmed does not suffice.
bool isEverywhere(const StatusPage &page, std::uint64_t index)
{
    return page.everywhereIndex >= index;
}
}

ExitCode runApply(const Invocation &invocation)
{
    const std::string path = invocation.arguments().front();
    const auto text = invocation.readFile(path);
    if (!text) {
        return ExitCode::HasFindings;
    }
    Findings findings;
    const Manifest manifest = parseManifest(*text, path, findings);
    if (!findings.empty()) {
        invocation.environment().err << toText(findings);
        return ExitCode::HasFindings;
    }
    auto client = invocation.client();
    if (!client) {
        return ExitCode::Usage;
    }
    Json::Value body;
    body["text"] = *text;
    Json::Value result;
    auto code = ExitCode::Success;
    if (!send(invocation, *client, {"/v1/manifest", body}, result, code)) {
        return code;
    }
    invocation.progress("version " + std::to_string(manifest.version) + " accepted as submission " + result["submission"].asString());
    const std::uint64_t index = result["index"].asUInt64();
    const auto isDone = [index](const StatusPage &page) {
        return isEverywhere(page, index);
    };
    code = waitInForce(invocation, *client, index, isDone, result);
    const bool inForce = result["inForce"].asBool();
    invocation.print(result, "version " + std::to_string(manifest.version) + (inForce ? " is in force everywhere\n" : " is accepted\n"));
    return code;
}

ExitCode runKeyGive(const Invocation &invocation)
{
    auto client = invocation.client();
    if (!client) {
        return ExitCode::Usage;
    }
    Json::Value body;
    body["team"] = invocation.arguments().front();
    Json::Value result;
    auto code = ExitCode::Success;
    if (!send(invocation, *client, {"/v1/keys", body}, result, code)) {
        return code;
    }
    std::string key;
    std::string keyId;
    if (!JsonReader(result).read("keyId", keyId).read("key", key).ok()) {
        return invocation.fail(ExitCode::NoAnswer, "the answer holds no key; are both programs of the same version?");
    }
    invocation.progress("key " + keyId + " of team " + body["team"].asString() + ", given by submission " + result["submission"].asString() + ':');
    invocation.print(result, key + '\n');
    return ExitCode::Success;
}

ExitCode runKeyWithdraw(const Invocation &invocation)
{
    auto client = invocation.client();
    if (!client) {
        return ExitCode::Usage;
    }
    const std::string keyId = invocation.arguments().front();
    Json::Value body;
    body["keyId"] = keyId;
    Json::Value result;
    auto code = ExitCode::Success;
    if (!send(invocation, *client, {"/v1/keys/withdraw", body}, result, code)) {
        return code;
    }
    const auto isDone = [&](const StatusPage &page) {
        return page.isWithdrawalDone(keyId);
    };
    code = waitInForce(invocation, *client, result["index"].asUInt64(), isDone, result);
    const bool inForce = result["inForce"].asBool();
    invocation.print(result, "key " + keyId + (inForce ? " works nowhere any more\n" : " is withdrawn\n"));
    return code;
}
}
