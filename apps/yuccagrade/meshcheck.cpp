#include "meshcheck.h"

#include "mesh/configcheck.h"
#include "platform/protocoladapter.h"
#include "protocol/jsoncodec.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
using Mesh::ConfigRemarks;
using Mesh::FleetConfig;
using Mesh::RemarkKind;

Json::Value toJsonValue(const ConfigRemarks &remarks)
{
    Json::Value list(Json::arrayValue);
    for (const auto &remark : remarks) {
        Json::Value item;
        item["kind"] = std::string(Mesh::remarkKindName(remark.kind));
        item["subject"] = remark.subject;
        item["message"] = remark.message;
        list.append(item);
    }
    return list;
}

std::string toText(const std::string &path, const ConfigRemarks &remarks)
{
    std::string text;
    for (const auto &remark : remarks) {
        text += path + ": " + std::string(Mesh::remarkKindName(remark.kind)) + ": " + remark.subject + ": " + remark.message + '\n';
    }
    return text;
}

std::string summary(const FleetConfig &config)
{
    return std::to_string(config.services.size()) + " services, " + std::to_string(config.routes.size()) + " routes, " + std::to_string(config.teams.size())
        + " teams\n";
}

bool has(const ConfigRemarks &remarks, RemarkKind kind)
{
    return std::any_of(remarks.begin(), remarks.end(), [kind](const auto &remark) {
        return remark.kind == kind;
    });
}
}

bool isMeshConfig(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

ExitCode checkMeshConfig(const Invocation &invocation, const std::string &path, const std::string &text)
{
    FleetConfig config;
    Findings findings;
    Platform::readDocument(text, config, findings);
    ConfigRemarks remarks = Mesh::checkConfig(config, findings);
    if (const std::string otherPath = invocation.text("against"); !otherPath.empty()) {
        const auto otherText = invocation.readFile(otherPath);
        if (!otherText) {
            return ExitCode::Unreadable;
        }
        FleetConfig inForce;
        Findings otherFindings;
        Platform::readDocument(*otherText, inForce, otherFindings);
        for (const Finding &finding : otherFindings) {
            remarks.push_back({RemarkKind::Warning, "version in force", finding.file + ": " + finding.message});
        }
        for (auto &remark : Mesh::compareConfigs(config, inForce)) {
            remarks.push_back(std::move(remark));
        }
    }
    const auto code = has(remarks, RemarkKind::Error) ? ExitCode::HasErrors : has(remarks, RemarkKind::Warning) ? ExitCode::HasWarnings : ExitCode::Success;
    Json::Value value;
    value["file"] = path;
    value["version"] = Json::UInt64{config.version};
    value["findings"] = toJsonValue(remarks);
    invocation.print(value, toText(path, remarks) + (code == ExitCode::Success ? summary(config) : std::string()));
    return code;
}
}
