#include "meshcheck.h"
#include "statuspage.h"
#include "subcommand.h"
#include "timeline.h"

#include "config/manifest.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
namespace
{
constexpr int statusOk = 200;

Json::Value toJsonValue(const Findings &findings)
{
    Json::Value list(Json::arrayValue);
    for (const Finding &finding : findings) {
        Json::Value item;
        item["file"] = finding.file;
        item["line"] = finding.line;
        item["message"] = finding.message;
        list.append(item);
    }
    return list;
}

std::string summary(const Manifest &manifest)
{
    return "version " + std::to_string(manifest.version) + ": " + std::to_string(manifest.domains.size()) + " domains, "
        + std::to_string(manifest.services.size()) + " services, " + std::to_string(manifest.routes.size()) + " routes, "
        + std::to_string(manifest.teams.size()) + " teams\n";
}

// Returns false after reporting the problem.
bool fetch(const Invocation &invocation, const std::string &path, Json::Value &value, ExitCode &code)
{
    auto client = invocation.client();
    if (!client) {
        code = ExitCode::Usage;
        return false;
    }
    const ControlAnswer answer = client->call("GET", path);
    if (answer.status != statusOk) {
        code = invocation.report(answer, {});
        return false;
    }
    value = answer.value;
    return true;
}

struct KeyLine {
    std::string keyId;
    std::string team;
    std::uint64_t withdrawnIndex = 0;

    static bool fromJson(const Json::Value &value, KeyLine &line)
    {
        return JsonReader(value).read("keyId", line.keyId).read("team", line.team).read("withdrawnIndex", line.withdrawnIndex).ok();
    }
};

ExitCode malformed(const Invocation &invocation)
{
    return invocation.fail(ExitCode::NoAnswer, "the answer of the control host is malformed; are both programs of the same version?");
}
}

ExitCode runCheck(const Invocation &invocation)
{
    const std::string path = invocation.arguments().front();
    const auto text = invocation.readFile(path);
    if (!text) {
        return ExitCode::Unreadable;
    }
    if (isMeshConfig(*text)) {
        return checkMeshConfig(invocation, path, *text);
    }
    if (!invocation.text("against").empty()) {
        return invocation.fail(ExitCode::Usage, "--against needs a configuration of the mesh, but " + path + " is no JSON object");
    }
    Findings findings;
    const Manifest manifest = parseManifest(*text, path, findings);
    Json::Value value;
    value["findings"] = toJsonValue(findings);
    value["version"] = Json::UInt64{manifest.version};
    invocation.print(value, findings.empty() ? summary(manifest) : toText(findings));
    return findings.empty() ? ExitCode::Success : ExitCode::HasFindings;
}

ExitCode runShow(const Invocation &invocation)
{
    const auto arguments = invocation.arguments();
    const std::string what = arguments.empty() ? "manifest" : arguments.front();
    if (what != "manifest" && what != "keys") {
        return invocation.fail(ExitCode::Usage, "cannot show '" + what + "': expected manifest or keys");
    }
    Json::Value value;
    auto code = ExitCode::Success;
    if (!fetch(invocation, "/v1/" + what, value, code)) {
        return code;
    }
    std::string text;
    std::vector<KeyLine> keys;
    if (what == "manifest" ? !JsonReader(value).read("text", text).ok() : !JsonReader(value).readList("keys", keys).ok()) {
        return malformed(invocation);
    }
    for (const KeyLine &key : keys) {
        text += key.keyId + "  " + key.team + (key.withdrawnIndex > 0 ? "  withdrawn\n" : "  valid\n");
    }
    invocation.print(value, text);
    return ExitCode::Success;
}

ExitCode runStatus(const Invocation &invocation)
{
    Json::Value value;
    auto code = ExitCode::Success;
    if (!fetch(invocation, "/v1/status", value, code)) {
        return code;
    }
    StatusPage page;
    if (!StatusPage::fromJson(value, page)) {
        return malformed(invocation);
    }
    invocation.print(value, page.text());
    return ExitCode::Success;
}

ExitCode runDrain(const Invocation &invocation)
{
    const std::string address = invocation.arguments().front();
    std::string ip;
    int port = 0;
    if (!splitAddress(address, ip, port)) {
        return invocation.fail(ExitCode::Usage, "'" + address + "': expected the operator-address of a process as ip:port");
    }
    const auto secret = invocation.secret();
    if (!secret) {
        return ExitCode::Usage;
    }
    // A second drain has no effect, so it is safe to send it again after a lost answer.
    OperatorClient client(invocation.environment(), {address}, *secret, invocation.seconds("timeout-s"));
    const ControlAnswer answer = client.call("POST", "/v1/drain", Json::Value(Json::objectValue));
    if (answer.status < 200 || answer.status >= 300) {
        return invocation.report(answer, {});
    }
    invocation.print(answer.value, address + " drains: it takes no new work and exits when its running calls have ended\n");
    return ExitCode::Success;
}

ExitCode runTimeline(const Invocation &invocation)
{
    Timeline timeline({invocation.text("request"),
                       invocation.text("team"),
                       invocation.text("key"),
                       invocation.text("version"),
                       invocation.text("event"),
                       invocation.text("process")});
    Findings findings;
    for (const std::string &path : invocation.arguments()) {
        const auto text = invocation.readFile(path);
        if (!text) {
            return ExitCode::HasFindings;
        }
        timeline.add(*text, path, findings);
    }
    for (const TimelineEvent &event : timeline.merged()) {
        invocation.print(event.toJson(), event.text() + '\n');
    }
    // A process that was killed leaves a torn last line, so such lines do not fail the command.
    invocation.environment().err << toText(findings);
    return ExitCode::Success;
}
}
