#include "operator.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>

namespace Yuccagrade::Soak
{
namespace
{
constexpr TimeMs orderPeriodMs = 900;
constexpr TimeMs orderTimeoutMs = 1'000;
constexpr TimeMs readPeriodMs = 60;
// A read sent later than this after an acknowledgement returns nothing older.
constexpr double applyMs = 2'000;
constexpr TimeMs resendPeriodMs = 350;
constexpr std::uint64_t raceOneIn = 3; // orders that race with a second one on the same base
constexpr std::uint64_t allKeysOneIn = 3; // changes that withdraw all keys, while they may
constexpr std::size_t maxKeys = 4;
constexpr std::size_t maxRoutes = 3;
constexpr std::size_t rememberedRoutes = 6;

// Removes a random member and returns it.
std::string takeRandom(std::set<std::string> &names, Random &random)
{
    const auto found = std::next(names.begin(), static_cast<std::ptrdiff_t>(random.below(names.size())));
    std::string name = *found;
    names.erase(found);
    return name;
}

// Answers that end an order: anything but a redirect and a promise that the call may be repeated.
bool isRefusal(int status)
{
    return status >= 400 && status < 500 && status != 408 && status != 421 && status != 429;
}

std::string documentOf(std::uint64_t version, const Configuration &configuration)
{
    std::vector<RoutePlan> routes{{"read", "safe", "front"}, {"pay", "unsafe", "front"}, {"deep", "safe", "deep", true}};
    for (const std::string &name : configuration.routes) {
        routes.push_back({name, "safe", "front"});
    }
    std::string document = renderConfiguration(version, routes, {configuration.keys.begin(), configuration.keys.end()});
    if (configuration.teams == TeamList::Present) {
        return document;
    }
    return withTeams(std::move(document), configuration.teams == TeamList::Empty ? "[]" : "");
}
}

std::string versionText(std::uint64_t version)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(version));
    return text.data();
}

std::string renderConfiguration(std::uint64_t version, const std::vector<RoutePlan> &routes, const std::vector<std::string> &keys, double ratePerS)
{
    const auto list = [](const auto &items, const auto &render) {
        std::string text;
        for (const auto &item : items) {
            text += (text.empty() ? "" : ",") + render(item);
        }
        return text;
    };
    const auto route = [](const RoutePlan &plan) {
        return "{\"name\":\"" + plan.name + "\",\"host\":\"a.example\",\"pathPrefix\":\"/" + plan.name + "/\",\"routeType\":\"" + plan.kind
            + "\",\"timeoutS\":2,\"targetLatencyS\":0.5,\"priority\":1,\"maxAttempts\":2,\"public\":" + (plan.open ? "true" : "false") + ",\"service\":\""
            + plan.service + "\"}";
    };
    const auto service = [](const std::string &name) {
        return "{\"name\":\"" + name + R"(","healthCheck":"/healthz","maxConnections":200,"protocol":"h1","tls":false})";
    };
    const std::string rate = std::to_string(static_cast<int>(ratePerS));
    const auto quoted = [](const std::string &key) {
        return '"' + key + '"';
    };
    return "{\"version\":\"" + versionText(version) + "\",\"routes\":[" + list(routes, route) + "],\"services\":["
        + list(std::array<std::string, 2>{"front", "deep"}, service)
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},)" + R"("tenants":[{"name":"red","apiKeys":[)"
        + list(keys, quoted) + "],\"priority\":1,\"ratePerS\":" + rate + ",\"burst\":" + rate + "}]}";
}

std::string withTeams(std::string configuration, const std::string &teams)
{
    configuration.erase(configuration.find(R"(,"tenants":)"));
    return configuration + (teams.empty() ? std::string() : R"(,"tenants":)" + teams) + '}';
}

bool Configuration::allows(const Ledger::Request &request) const
{
    if (!request.route.empty() && !routes.contains(request.route)) {
        return false;
    }
    return request.open || (request.key.empty() ? teams == TeamList::LeftOut : keys.contains(request.key));
}

Operator::Operator(EventLoop &loop, Ledger &ledger, Fleet &fleet, Random random)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_fleet(fleet)
    , m_random(random)
{
}

void Operator::start()
{
    m_loop.every(orderPeriodMs, [this] {
        order();
    });
    m_loop.every(readPeriodMs, [this] {
        read();
    });
    m_loop.every(resendPeriodMs, [this] {
        resend();
    });
}

bool Operator::isServed(double boundMs) const
{
    if (m_acknowledged == 0) {
        return false;
    }
    return m_open.empty() || m_loop.clock().preciseMs() - m_configurations.at(m_acknowledged).acknowledgedMs <= boundMs;
}

// All from the newest one that must have been in force at a time, but for those that had lost their race by then.
std::vector<const Configuration *> Operator::possiblyInForce(double sentMs) const
{
    auto first = m_configurations.begin();
    for (auto next = m_configurations.begin(); next != m_configurations.end(); ++next) {
        if (next->second.acknowledgedMs + Ledger::withdrawalMs <= sentMs) {
            first = next;
        }
    }
    std::vector<const Configuration *> result;
    for (; first != m_configurations.end(); ++first) {
        if (first->second.refusedMs > sentMs) {
            result.push_back(&first->second);
        }
    }
    return result;
}

bool Operator::everyConfigurationAllows(const Ledger::Request &request) const
{
    const auto configurations = possiblyInForce(request.sentMs);
    return std::all_of(configurations.begin(), configurations.end(), [&request](const Configuration *configuration) {
        return configuration->allows(request);
    });
}

bool Operator::someConfigurationAllows(const Ledger::Request &request) const
{
    const auto configurations = possiblyInForce(request.key.empty() ? 0 : request.sentMs);
    return request.open || std::any_of(configurations.begin(), configurations.end(), [&request](const Configuration *configuration) {
               return configuration->allows(request);
           });
}

const Host &Operator::randomControl()
{
    std::vector<const Host *> found;
    for (const Host &host : m_fleet.hosts()) {
        if (host.control) {
            found.push_back(&host);
        }
    }
    return *found.at(m_random.below(found.size()));
}

const Host &Operator::nextControl()
{
    const std::vector<Host> &hosts = m_fleet.hosts();
    do {
        m_nextControl = (m_nextControl + 1) % hosts.size();
    } while (!hosts[m_nextControl].control);
    return hosts[m_nextControl];
}

// Gives a key, and adds or drops a route or withdraws a key; at times withdraws all of them instead.
void Operator::addChange(const Configuration &base)
{
    m_version += 1 + m_random.below(3);
    Configuration next{.base = m_acknowledged, .keys = base.keys, .keptKey = base.keptKey, .routes = base.routes};
    if (m_withdrawsAllKeys && !base.keys.empty() && m_random.below(allKeysOneIn) == 0) {
        next.teams = m_random.below(2) == 0 ? TeamList::Empty : TeamList::LeftOut;
        next.keys.clear();
        next.keptKey.clear();
    } else {
        next.keys.erase(next.keptKey);
        if (!next.keys.empty() && (next.keys.size() >= maxKeys || m_random.below(2) == 0)) {
            takeRandom(next.keys, m_random);
        }
        const std::string given = "key-" + std::to_string(m_version);
        next.keptKey = base.keptKey.empty() ? given : base.keptKey;
        next.keys.insert({next.keptKey, given});
        m_keys.push_back(given);
    }
    if (!next.routes.empty() && (next.routes.size() >= maxRoutes || m_random.below(3) == 0)) {
        takeRandom(next.routes, m_random);
    }
    if (m_random.below(2) == 0) {
        m_routes.push_back("more-" + std::to_string(m_version));
        next.routes.insert(m_routes.back());
    }
    next.document = documentOf(m_version, next);
    m_configurations[m_version] = std::move(next);
    m_open.insert(m_version);
}

// An order is sent unchanged, to any control host, until it is acknowledged or another one on the same base is.
void Operator::order()
{
    if (m_open.empty()) {
        const Configuration base = m_acknowledged == 0 ? Configuration{.keys = {"key-0"}, .keptKey = "key-0"} : m_configurations.at(m_acknowledged);
        addChange(base);
        if (m_acknowledged != 0 && m_random.below(raceOneIn) == 0) {
            addChange(base);
        }
    }
    for (const std::uint64_t version : m_open) {
        sendOrder(version, randomControl().operatorAddress, 2);
    }
}

// What was acknowledged and is still the newest is acknowledged again, or gets no clear answer, at every control host.
void Operator::resend()
{
    if (m_acknowledged != 0) {
        sendOrder(m_acknowledged, nextControl().operatorAddress, 2);
    }
}

void Operator::sendOrder(std::uint64_t version, const std::string &address, int redirects)
{
    const auto connection = CallerConnection::open(m_loop, address, m_ledger);
    if (!connection) {
        return;
    }
    m_calls.insert(connection);
    const Configuration &configuration = m_configurations.at(version);
    connection->send(renderRequest("POST",
                                   "/Config.Put",
                                   {{"X-Yuccagrade-Base-Version", configuration.base == 0 ? "0" : versionText(configuration.base)}},
                                   configuration.document),
                     orderTimeoutMs,
                     [this, connection, redirects, version, address](const std::optional<HttpMessage> &answer) {
                         m_calls.erase(connection);
                         if (!answer) {
                             return;
                         }
                         const std::string *location = answer->field("Location");
                         if (answer->status == 307 && location && redirects > 0) {
                             const std::string rest = location->substr(std::string("http://").size());
                             // The operators' address of the leader is not behind the proxy.
                             for (const Host &host : m_fleet.hosts()) {
                                 if (host.control && rest.starts_with(host.ip + ':')) {
                                     sendOrder(version, host.operatorAddress, redirects - 1);
                                 }
                             }
                         } else {
                             handleAnswer(version, answer->status, address);
                         }
                     });
}

void Operator::handleAnswer(std::uint64_t version, int status, const std::string &address)
{
    Configuration &configuration = m_configurations.at(version);
    const double nowMs = m_loop.clock().preciseMs();
    const bool acknowledged = configuration.acknowledgedMs <= nowMs;
    const bool refused = configuration.refusedMs <= nowMs;
    const std::string order = "order " + std::to_string(version) + " on top of " + std::to_string(configuration.base);
    if (status == 200 && refused) {
        m_ledger.violation(order + " is acknowledged after it was refused or lost its race");
    } else if (status == 200 && !acknowledged) {
        accept(version);
        if (configuration.keys.empty() && onAllKeysWithdrawn) {
            onAllKeysWithdrawn(address);
        }
    } else if (isRefusal(status) && acknowledged) {
        m_ledger.violation(order + " is refused with " + std::to_string(status) + " after it was acknowledged");
    } else if (isRefusal(status) && !refused && m_open.size() == 1) {
        m_ledger.violation(order + " is refused with " + std::to_string(status) + ", and no other change is on top of that");
    } else if (isRefusal(status) && !refused) {
        configuration.refusedMs = nowMs;
        m_open.erase(version);
    }
}

// At most one change on top of a version is accepted: all others on the same base have lost.
void Operator::accept(std::uint64_t version)
{
    const double nowMs = m_loop.clock().preciseMs();
    m_configurations.at(version).acknowledgedMs = nowMs;
    m_open.erase(version);
    for (const std::uint64_t lost : m_open) {
        m_configurations.at(lost).refusedMs = nowMs;
    }
    m_open.clear();
    m_acknowledged = version;
    const Configuration &configuration = m_configurations.at(version);
    std::erase_if(m_keys, [&](const std::string &key) {
        if (configuration.keys.contains(key)) {
            return false;
        }
        m_ledger.keyWithdrawn(key);
        m_withdrawnKeys.push_back(key);
        return true;
    });
    for (const std::string &route : m_routes) {
        if (!configuration.routes.contains(route)) {
            m_ledger.routeDropped(route);
        }
    }
    // Callers go on with the last routes that were dropped.
    while (m_routes.size() > rememberedRoutes) {
        m_routes.erase(std::find_if(m_routes.begin(), m_routes.end(), [&configuration](const std::string &route) {
            return !configuration.routes.contains(route);
        }));
    }
}

void Operator::read()
{
    const Host &host = randomControl();
    const auto connection = CallerConnection::open(m_loop, host.operatorAddress, m_ledger);
    if (!connection) {
        return;
    }
    m_calls.insert(connection);
    const double sentMs = m_loop.clock().preciseMs();
    std::uint64_t expected = 0;
    for (const auto &[version, configuration] : m_configurations) {
        if (configuration.acknowledgedMs + applyMs < sentMs) {
            expected = version;
        }
    }
    connection->send(renderRequest("GET", "/Config.Get", {}, {}), orderTimeoutMs, [this, connection, expected, sentMs, name = host.name](const auto &answer) {
        m_calls.erase(connection);
        if (!answer || answer->status != 200) {
            return;
        }
        const std::uint64_t version = std::stoull(answer->body.substr(std::string("{\"version\":\"").size(), 8), nullptr, 16);
        if (version < expected) {
            m_ledger.violation(name + " returns version " + std::to_string(version) + " after " + std::to_string(expected) + " was acknowledged");
        }
        const auto found = m_configurations.find(version);
        if (version != 0 && found == m_configurations.end()) {
            m_ledger.violation(name + " returns version " + std::to_string(version) + ", which nobody sent");
        } else if (version != 0 && found->second.refusedMs + applyMs < sentMs) {
            m_ledger.violation(name + " returns version " + std::to_string(version) + ", which was refused or lost its race");
        }
    });
}
}
