#include "support/fleet.h"
#include "base/secret.h"
#include "protocol/jsoncodec.h"
#include "support/address.h"
#include "support/wait.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Yuccagrade::Test
{
namespace
{
void writeFile(const std::string &path, const std::string &text, bool secret = false)
{
    std::ofstream file(path);
    if (secret) {
        std::filesystem::permissions(path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
    }
    file << text;
}

std::string daemonProgram()
{
    const char *other = std::getenv("YUCCAGRADE_DAEMON");
    return other ? other : YUCCAGRADED_PROGRAM;
}

std::string joined(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

Json::Value json(const HttpAnswer &answer)
{
    Json::Value value;
    return parseJson(answer.body, value) && value.isObject() ? value : Json::Value(Json::objectValue);
}
}

Fleet::Fleet(const FleetPlan &plan)
    : m_operatorSecret(randomToken(32))
    , m_upstreams(plan.upstreams)
    , m_proxy(plan.proxied ? std::make_unique<FaultProxy>() : nullptr)
{
    writeFile(folder() + "/cluster-secret", randomToken(32), true);
    writeFile(folder() + "/operator-secret", m_operatorSecret, true);
    for (const DomainPlan &domain : plan.domains) {
        for (int i = 1; i <= domain.controls; ++i) {
            addHost(domain, true, i, {});
        }
        int number = 0;
        for (const NodePlan &node : domain.nodes) {
            addHost(domain, false, ++number, node);
        }
    }
    for (const auto &host : m_hosts) {
        writeSettings(*host);
    }
}

Fleet::~Fleet()
{
    m_hosts.clear();
}

void Fleet::addHost(const DomainPlan &domain, bool isControl, int number, const NodePlan &plan)
{
    const std::string id = domain.name + (isControl ? "-c" : "-n") + std::to_string(number);
    auto host = std::make_unique<Host>(Host{id, domain.name, domain.region, isControl, plan, nextLoopbackIp()});
    for (std::string *address : {&host->callerAddress, &host->peerAddress, &host->operatorAddress, &host->upstreamAddress}) {
        *address = freeAddress(host->ip);
    }
    host->peerAdvertise = host->peerAddress;
    if (m_proxy) {
        host->peerAdvertise = freeAddress();
        m_proxy->addTarget(host->peerAdvertise, host->peerAddress);
    }
    m_hosts.push_back(std::move(host));
}

std::string Fleet::path(const Host &host, const std::string &suffix) const
{
    return folder() + '/' + host.id + suffix;
}

void Fleet::writeSettings(const Host &host) const
{
    std::vector<std::string> members;
    std::vector<std::string> seeds;
    for (const auto &other : m_hosts) {
        if (other->isControl) {
            members.push_back(other->id + '=' + other->peerAdvertise);
            seeds.push_back(other->peerAdvertise);
        }
    }
    std::string text = "role = " + std::string(host.isControl ? "control" : "node");
    const auto add = [&text](const std::string &name, const std::string &value) {
        text += '\n' + name + " = " + value;
    };
    add("id", host.id);
    add("domain", host.domain);
    add("region", host.region);
    add("peer-address", host.peerAddress);
    add("peer-advertise", host.peerAdvertise);
    add("operator-address", host.operatorAddress);
    add("source-address", host.ip);
    add("seeds", joined(seeds));
    add("cluster-secret-file", folder() + "/cluster-secret");
    add("operator-secret-file", folder() + "/operator-secret");
    add("event-file", path(host, ".events"));
    if (host.isControl) {
        add("members", joined(members));
        add("data-folder", path(host, ".data"));
        std::filesystem::create_directory(path(host, ".data"));
    } else {
        add("caller-address", host.callerAddress);
    }
    writeFile(path(host, ".ini"), text + '\n');
}

void Fleet::start()
{
    for (const auto &host : m_hosts) {
        start(*host);
    }
}

void Fleet::start(Host &host)
{
    if (!host.daemon || !host.daemon->running()) {
        host.daemon = std::make_unique<Process>(std::vector<std::string>{daemonProgram(), "--settings", path(host, ".ini")}, path(host, ".log"));
    }
    if (host.isControl || !m_upstreams || (host.upstream && host.upstream->running())) {
        return;
    }
    std::vector<std::string> arguments{TESTUPSTREAM_PROGRAM, "--service", host.plan.service, "--listen", host.upstreamAddress, "--node", host.callerAddress};
    const auto add = [&arguments](const std::string &name, const std::string &value) {
        arguments.insert(arguments.end(), {name, value});
    };
    add("--slots", std::to_string(host.plan.slots));
    add("--connections", std::to_string(host.plan.connections));
    add("--service-ms", std::to_string(host.plan.serviceMs));
    add("--execution-log", path(host, ".executions"));
    for (const std::string &nested : host.plan.nested) {
        add("--nested", nested);
    }
    if (host.plan.exponential) {
        arguments.emplace_back("--exponential");
    }
    host.upstream = std::make_unique<Process>(arguments, path(host, ".upstream.log"));
}

void Fleet::kill(Host &host)
{
    for (Process *process : {host.daemon.get(), host.upstream.get()}) {
        if (process) {
            process->kill();
        }
    }
}

Host &Fleet::host(const std::string &id)
{
    for (const auto &host : m_hosts) {
        if (host->id == id) {
            return *host;
        }
    }
    throw std::out_of_range("no host " + id);
}

std::vector<Host *> Fleet::controls()
{
    std::vector<Host *> result;
    for (const auto &host : m_hosts) {
        if (host->isControl) {
            result.push_back(host.get());
        }
    }
    return result;
}

std::vector<Host *> Fleet::nodes(const std::string &service)
{
    std::vector<Host *> result;
    for (const auto &host : m_hosts) {
        if (!host->isControl && (service.empty() || host->plan.service == service)) {
            result.push_back(host.get());
        }
    }
    return result;
}

std::vector<std::string> Fleet::callerAddresses()
{
    std::vector<std::string> result;
    for (Host *node : nodes()) {
        if (node->daemon && node->daemon->running()) {
            result.push_back(node->callerAddress);
        }
    }
    return result;
}

bool Fleet::allControlsEnded()
{
    const std::vector<Host *> all = controls();
    return std::all_of(all.begin(), all.end(), [](const Host *control) {
        return control->daemon && !control->daemon->running();
    });
}

HttpAnswer Fleet::operatorCall(const std::string &method, const std::string &path, Json::Value body, double boundMs)
{
    if (method == "POST") {
        // The same submission in all attempts: an attempt whose answer is lost may have been committed.
        body["submission"] = "test-" + randomToken(12);
    }
    HttpAnswer answer;
    const auto attempt = [&](const std::string &address) {
        HttpRequest request{method, address, path, body.isNull() ? std::string() : toText(body)};
        request.headers = {"Authorization: Bearer " + m_operatorSecret, "Content-Type: application/json"};
        answer = httpCall(request);
        m_leaderAddress = answer.status == 421 ? json(answer)["leader"].asString() : address;
        return answer.error == CURLE_OK && answer.status != 421 && answer.status != 503;
    };
    const auto attemptAll = [&] {
        if (allControlsEnded()) {
            throw std::runtime_error("all control processes have ended, with exit code " + std::to_string(*controls().front()->daemon->exitCode()));
        }
        if (!m_leaderAddress.empty() && attempt(m_leaderAddress)) {
            return true;
        }
        for (const Host *control : controls()) {
            if (attempt(control->operatorAddress)) {
                return true;
            }
        }
        return false;
    };
    if (!waitFor(attemptAll, boundMs)) {
        throw std::runtime_error("no control host answers " + path + "; last status " + std::to_string(answer.status));
    }
    return answer;
}

Json::Value Fleet::mustOperatorCall(const std::string &method, const std::string &path, const Json::Value &body)
{
    const HttpAnswer answer = operatorCall(method, path, body);
    if (answer.status / 100 != 2) {
        throw std::runtime_error(path + " was answered with " + std::to_string(answer.status) + ": " + answer.body);
    }
    return json(answer);
}

std::uint64_t Fleet::apply(const std::string &manifest)
{
    Json::Value body;
    body["text"] = manifest;
    return mustOperatorCall("POST", "/v1/manifest", body)["index"].asUInt64();
}

TeamKey Fleet::giveKey(const std::string &team)
{
    Json::Value body;
    body["team"] = team;
    const Json::Value answer = mustOperatorCall("POST", "/v1/keys", body);
    return {answer["keyId"].asString(), answer["key"].asString()};
}

void Fleet::withdrawKey(const std::string &keyId)
{
    Json::Value body;
    body["keyId"] = keyId;
    mustOperatorCall("POST", "/v1/keys/withdraw", body);
}

Host *Fleet::leader()
{
    const std::string name = mustOperatorCall("GET", "/v1/status")["leader"].asString();
    for (Host *control : controls()) {
        if (name == control->id || name == control->operatorAddress || name == control->peerAdvertise) {
            return control;
        }
    }
    return nullptr;
}

void Fleet::waitUntilServing(const std::string &path, const std::string &key, double boundMs)
{
    HttpAnswer last;
    for (const Host *node : nodes()) {
        if (!node->daemon || !node->daemon->running()) {
            continue;
        }
        const auto serves = [&] {
            last = call(*node, path, key, "probe");
            return last.status == 200;
        };
        if (!waitFor(serves, boundMs)) {
            throw std::runtime_error(node->id + " does not serve " + path + ": status " + std::to_string(last.status) + ' ' + last.body);
        }
    }
}

HttpAnswer Fleet::call(const Host &node, const std::string &path, const std::string &key, const std::string &body, const std::string &action)
{
    HttpRequest request{"POST", node.callerAddress, path, body};
    if (!key.empty()) {
        request.headers.push_back("Authorization: Bearer " + key);
    }
    if (!action.empty()) {
        request.headers.push_back("Idempotency-Key: " + action);
    }
    return httpCall(request);
}

std::vector<Execution> Fleet::executions() const
{
    std::vector<Execution> result;
    for (const auto &host : m_hosts) {
        if (!host->upstream) {
            continue;
        }
        std::ifstream file(path(*host, ".executions"));
        if (!file) {
            throw std::runtime_error("no record of the executions at " + host->id);
        }
        Execution execution;
        execution.host = host->id;
        while (file >> execution.atMs >> execution.path >> execution.action >> execution.body) {
            result.push_back(execution);
        }
    }
    return result;
}

Json::Value Fleet::upstreamStats(const Host &node)
{
    return json(httpCall({"GET", node.upstreamAddress, "/control/stats"}));
}

void Fleet::partition(const std::vector<Host *> &one, const std::vector<Host *> &other, const FaultRule &rule)
{
    for (const Host *a : one) {
        for (const Host *b : other) {
            m_proxy->setRule(a->ip, b->peerAdvertise, rule);
            m_proxy->setRule(b->ip, a->peerAdvertise, rule);
        }
    }
}
}
