#pragma once

#include "base/secret.h"
#include "protocol/jsoncodec.h"
#include "support/address.h"
#include "support/fleet.h"
#include "support/wait.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <vector>

namespace Yuccagrade::Test
{
/// Upper bound of the product for a configuration change and for the withdrawal of a key.
constexpr double inForceBoundMs = 8000;

/// Three domains with a control host and a node each, all peer connections behind the fault proxy.
struct ControlMesh : Fleet {
    TeamKey team;

    ControlMesh()
        : Fleet({{domain("d1"), domain("d2"), domain("d3")}, true})
    {
        start();
        apply(manifest(1));
        team = giveKey("north");
        waitUntilServing("/status", team.key);
    }
    /// A manifest whose open route /v<version> exists in this version only, so that a call tells the version in force.
    static std::string manifest(int version, const std::string &comment = {})
    {
        const std::string name = "v" + std::to_string(version);
        return "[manifest]\nversion = " + std::to_string(version) + "\n# " + comment
            + "\n[domain d1]\nregion = r1\n[domain d2]\nregion = r1\n[domain d3]\nregion = r1\n[service status]\n"
              "[route "
            + name + "]\nmethod = POST\npath = /" + name
            + "\nservice = status\nopen = yes\nidempotent = yes\n"
              "[route open]\nmethod = POST\npath = /open\nservice = status\nopen = yes\nidempotent = yes\n"
              "[route status]\nmethod = POST\npath = /status\nservice = status\nteams = *\nidempotent = yes\n"
              "[route island]\nmethod = POST\npath = /island\nservice = status\nteams = *\nisolated = serve\nidempotent = yes\n"
              "[route north]\nmethod = POST\npath = /north\nservice = status\nteams = north\nidempotent = yes\n"
              "[team north]\nrate = 100000\nburst = 100000\n[team south]\nrate = 100000\nburst = 100000\n";
    }
    static bool serves(const Host &node, int version)
    {
        return call(node, "/v" + std::to_string(version), {}, "x").status == 200;
    }
    /// Waits until each of @p nodes serves @p version. Returns the time in ms, or -1 after the bound.
    static double waitForVersion(const std::vector<Host *> &nodes, int version, double boundMs = inForceBoundMs)
    {
        const double start = steadyMs();
        const bool done = waitFor(
            [&] {
                return std::all_of(nodes.begin(), nodes.end(), [version](const Host *node) {
                    return serves(*node, version);
                });
            },
            boundMs);
        return done ? steadyMs() - start : -1;
    }
    /// Sends an operator call to @p address without a search for the leader.
    HttpAnswer
    operatorCallAt(const std::string &address, const std::string &method, const std::string &path, const Json::Value &body = {}, long timeoutMs = 5000) const
    {
        std::ifstream file(folder() + "/operator-secret");
        const std::string secret{std::istreambuf_iterator<char>(file), {}};
        HttpRequest request{method, address, path, body.isNull() ? std::string() : toText(body)};
        request.headers = {"Authorization: Bearer " + secret, "Content-Type: application/json"};
        request.sourceIp = "127.0.0.1";
        request.timeoutMs = timeoutMs;
        return httpCall(request);
    }
    static Json::Value json(const HttpAnswer &answer)
    {
        Json::Value value;
        return parseJson(answer.body, value) && value.isObject() ? value : Json::Value(Json::objectValue);
    }
    /// Number of keys in the committed state.
    unsigned keyCount()
    {
        return mustOperatorCall("GET", "/v1/keys")["keys"].size();
    }
    int versionAtLeader()
    {
        return mustOperatorCall("GET", "/v1/manifest")["version"].asInt();
    }
    /// Hosts that are not in @p domain.
    std::vector<Host *> hostsOutside(const std::string &domainName)
    {
        std::vector<Host *> result;
        for (Host *host : allHosts()) {
            if (host->domain != domainName) {
                result.push_back(host);
            }
        }
        return result;
    }
    std::vector<Host *> allHosts()
    {
        std::vector<Host *> result = controls();
        for (Host *node : nodes()) {
            result.push_back(node);
        }
        return result;
    }
    std::vector<Host *> hostsIn(const std::string &domainName)
    {
        return {&host(domainName + "-c1"), &host(domainName + "-n1")};
    }
    /// Cuts a domain off from the others in both directions.
    void isolate(const std::string &domainName)
    {
        FaultRule cut;
        cut.cut = FaultRule::Cut::Stall;
        partition(hostsIn(domainName), hostsOutside(domainName), cut);
    }
    /// The control hosts that do not lead.
    std::vector<Host *> followers()
    {
        std::vector<Host *> result = controls();
        std::erase(result, leader());
        return result;
    }
    /// Waits until the leader is one of @p candidates.
    bool waitForLeaderAmong(const std::vector<Host *> &candidates)
    {
        return waitFor(
            [&] {
                return std::find(candidates.begin(), candidates.end(), leader()) != candidates.end();
            },
            10000);
    }

private:
    static DomainPlan domain(const std::string &name)
    {
        return {name, "r1", 1, {NodePlan{"status"}}};
    }
};
}
