// The cases of the second review that are no days of the bench. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "standins.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iterator>

namespace
{
using namespace Review;

constexpr int ruleBroken = 1;
constexpr int ruleHeld = 0;
constexpr int couldNotRun = 2;
constexpr double startTimeoutS = 30;
constexpr int coreMemoryMb = 256;
const std::string firstBase = "00000000";
const std::string firstVersion = "00000003";
const std::string secondVersion = "00000008";
const std::string key = "6wsjnbanfqasnmgkcuyj";
const std::vector<std::string> zones{"north-a", "north-b", "north-c"};

std::string oneTenant(const std::string &keys)
{
    return R"([{"name":"pulo780","apiKeys":[)" + keys + R"(],"priority":1,"ratePerS":1000,"burst":1000}])";
}

Fields requestFields(const std::string &id, int deadlineMs, const std::string &withKey)
{
    Fields fields{{"Host", "hulo84.example"}, {"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Deadline-Ms", std::to_string(deadlineMs)}};
    if (!withKey.empty()) {
        fields.emplace_back("Authorization", "Bearer " + withKey);
    }
    return fields;
}

/// A small deployment: three core machines in three zones, and machines with servers.
class Deployment
{
public:
    explicit Deployment(Record &record)
        : m_record(record)
        , m_platform(record)
    {
        for (const std::string &zone : zones) {
            m_platform.add("core-" + zone, zone, {}, coreMemoryMb);
        }
    }

    Machine &add(const std::string &service, int memoryMb, const Server::Plan &plan)
    {
        const std::string &zone = zones[m_nodes.size() % zones.size()];
        Machine &machine = m_platform.add("sidecar-" + std::to_string(m_nodes.size()) + '-' + service, zone, service, memoryMb);
        m_nodes.push_back(&machine);
        m_plans.push_back(plan);
        return machine;
    }

    // Returns false if the deployment does not serve in time.
    bool start(const std::string &state)
    {
        m_platform.start();
        startServers();
        return m_platform.put(state, firstBase, startTimeoutS) && std::all_of(m_nodes.begin(), m_nodes.end(), [this](const Machine *machine) {
                   return m_platform.waitReady(*machine, startTimeoutS);
               });
    }

    void startServers()
    {
        m_servers.resize(m_nodes.size());
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_plans[i].startsLater) {
                startServer(i, 0);
            }
        }
    }

    // Starts the server of a machine, under its id if it ran before.
    Server &startServer(std::size_t index, int clockAheadMs)
    {
        Server::Plan &plan = m_plans.at(index);
        plan.clockAheadMs = clockAheadMs;
        m_servers.at(index) = std::make_unique<Server>(m_record, m_runs, *m_nodes.at(index), plan);
        plan.id = m_servers.at(index)->id();
        m_record.line("server " + plan.id + ": starts with a clock that is " + std::to_string(clockAheadMs) + " ms ahead");
        return *m_servers.at(index);
    }

    void crashServer(std::size_t index)
    {
        m_record.line("server " + m_plans.at(index).id + ": crashes");
        m_servers.at(index).reset();
    }

    // Repeats a read until it is answered with 200, since a new node first has to learn of the servers.
    bool waitServed(const Machine &machine, const std::string &path)
    {
        const double untilS = elapsedS() + startTimeoutS;
        while (elapsedS() < untilS) {
            const Message answer = call(machine.callers(), "GET", path, requestFields(newId(), 2'000, key), {}, 3);
            if (answer.status() == 200) {
                return true;
            }
            pause(0.2);
        }
        return false;
    }

    Platform &platform()
    {
        return m_platform;
    }
    Runs &runs()
    {
        return m_runs;
    }

private:
    Record &m_record;
    Platform m_platform;
    Runs m_runs;
    std::vector<Machine *> m_nodes;
    std::vector<Server::Plan> m_plans;
    std::vector<std::unique_ptr<Server>> m_servers;
};

/// Clients that send orders one after the other on a kept connection, and count the connections that end without an answer.
class Orders
{
public:
    Orders(Record &record, Runs &runs, const Machine &machine)
        : m_record(record)
        , m_runs(runs)
        , m_machine(machine)
        , m_thread([this] {
            work();
        })
    {
    }
    ~Orders()
    {
        m_stopping = true;
        m_thread.join();
    }
    Orders(const Orders &) = delete;
    Orders &operator=(const Orders &) = delete;

    int served() const
    {
        return m_served;
    }
    /// Orders from a kept connection that a server ran and whose connection was closed without an answer.
    int lost() const
    {
        return m_lost;
    }

private:
    void work()
    {
        constexpr double timeoutS = 6;
        while (!m_stopping) {
            Connection connection(m_machine.callers());
            bool isKept = false;
            bool goesOn = connection.isOpen();
            while (goesOn && !m_stopping) {
                const std::string id = newId();
                m_record.line("client of " + m_machine.name + ": sends order " + id);
                goesOn = connection.send(renderRequest("POST", "/order/1", requestFields(id, 5'000, key), "heater on"), timeoutS);
                const auto answer = goesOn ? connection.read(timeoutS) : std::nullopt;
                m_record.line("client of " + m_machine.name + ": order " + id + " gets "
                              + (answer ? answer->startLine : std::string("no answer, the connection is closed")) + ", runs "
                              + std::to_string(m_runs.count(id)));
                m_served += answer && answer->status() == 200 ? 1 : 0;
                m_lost += !answer && isKept && m_runs.count(id) > 0 ? 1 : 0;
                goesOn = answer && answer->field("Connection") != "close";
                isKept = true;
                pause(0.02);
            }
            pause(0.2);
        }
    }

    Record &m_record;
    Runs &m_runs;
    const Machine &m_machine;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_lost = 0;
    std::thread m_thread;
};

// Single uploads within the limit of the desired state, one at a time.
int uploads(Record &record)
{
    constexpr int memoryMb = 160;
    constexpr std::size_t legalBytes = 48U << 20U; // the limit is 64 MiB
    constexpr std::size_t usualBytes = 36'000;
    constexpr int uploadsOfMachine = 3;
    constexpr int endsThatCount = 3;
    constexpr int machinesThatCount = 2;
    constexpr int lostThatCount = 3;
    Deployment deployment(record);
    const Server::Plan plan{.workS = 0.4};
    Machine *const entries[] = {&deployment.add("stato", memoryMb, plan), &deployment.add("stato", memoryMb, plan)};
    deployment.add("archivio", memoryMb, plan);
    deployment.add("archivio", memoryMb, plan);
    const std::string state = renderState(firstVersion,
                                          {{"read", "safe", "archivio", 5}, {"order", "unsafe", "archivio", 5}, {"upload", "unsafe", "archivio", 5}},
                                          {"archivio", "stato"},
                                          oneTenant('"' + key + '"'));
    if (!deployment.start(state) || !deployment.waitServed(*entries[0], "/read/1") || !deployment.waitServed(*entries[1], "/read/1")) {
        return couldNotRun;
    }
    std::vector<std::unique_ptr<Orders>> clients;
    for (const Machine *entry : entries) {
        for (int i = 0; i < 2; ++i) {
            clients.push_back(std::make_unique<Orders>(record, deployment.runs(), *entry));
        }
    }
    pause(1.5);
    const std::string body(isTroubled() ? legalBytes : usualBytes, 'u');
    for (int i = 0; i < uploadsOfMachine; ++i) {
        for (const Machine *entry : entries) {
            const std::string id = newId();
            record.line("client of " + entry->name + ": sends upload " + id + " of " + std::to_string(body.size()) + " bytes");
            const Message answer = call(entry->callers(), "POST", "/upload/1", requestFields(id, 5'000, key), body, 6);
            record.line("client of " + entry->name + ": upload " + id + " gets "
                        + (answer.status() > 0 ? answer.startLine : std::string("no answer, the connection is closed")));
            pause(1);
            if (!deployment.platform().waitReady(*entry, startTimeoutS)) {
                record.line("case: " + entry->name + " does not get ready again");
            }
            pause(1.5);
        }
    }
    int machines = 0;
    for (const Machine *entry : entries) {
        record.line("case: " + entry->name + " was ended " + std::to_string(entry->memoryEnds) + " times because of its memory");
        machines += entry->memoryEnds >= endsThatCount ? 1 : 0;
    }
    int served = 0;
    int lost = 0;
    for (const auto &client : clients) {
        served += client->served();
        lost += client->lost();
    }
    const bool isFault = machines >= machinesThatCount; // recorded only
    const bool isLost = lost > lostThatCount;
    record.line("case: " + std::to_string(served) + " orders served; " + std::to_string(lost) + " ran and their kept connection was closed without an answer");
    record.line(std::string("case: rule Fault ") + (isFault ? "broken" : "held") + ", rule LOST " + (isLost ? "broken" : "held"));
    if (served == 0) {
        return couldNotRun;
    }
    return isLost ? ruleBroken : ruleHeld;
}

// Downloads that a client asks for ahead on a kept connection, read at the speed of a machine's link.
int downloads(Record &record)
{
    constexpr int memoryMb = 160;
    constexpr std::size_t answerBytes = 6'000'000;
    constexpr int connections = 6;
    constexpr int requestsAhead = 4;
    constexpr double askPauseS = 0.015; // all are sent before the first one is answered
    constexpr double bytesPerS = 12e6; // a link of 120 Mbit/s carries 15e6
    constexpr int receiveBytes = 262'144;
    constexpr double timeoutS = 20;
    constexpr int lostThatCount = 3;
    Deployment deployment(record);
    const Machine &entry = deployment.add("timetable", memoryMb, {});
    for (int i = 0; i < 2; ++i) {
        deployment.add("manifest", memoryMb, {.workS = 0.1, .answerBytes = answerBytes});
    }
    const std::string state =
        renderState(firstVersion, {{"manifest", "download", "manifest", timeoutS}}, {"manifest", "timetable"}, oneTenant('"' + key + '"'));
    if (!deployment.start(state) || !deployment.waitServed(entry, "/manifest/1")) {
        return couldNotRun;
    }
    int whole = 0;
    int lost = 0;
    int closed = 0; // connections
    for (int i = 0; i < connections; ++i) {
        Connection connection(entry.callers(), receiveBytes);
        const auto ask = [&](const std::string &id) {
            record.line("client: asks for " + id + " on connection " + std::to_string(i));
            return connection.send(renderRequest("GET", "/manifest/1", requestFields(id, static_cast<int>(timeoutS * 1'000), key)), timeoutS);
        };
        const auto readAnswer = [&](const std::string &id) {
            const auto answer = connection.read(timeoutS, bytesPerS);
            record.line("client: " + id + " gets "
                        + (answer ? answer->startLine + ", body of " + std::to_string(answer->body.size()) + " bytes" : "no whole answer") + ", runs "
                        + std::to_string(deployment.runs().count(id)));
            return answer && answer->status() == 200 && answer->body.size() == answerBytes;
        };
        // The first request makes the connection a kept one.
        const std::string first = newId();
        if (!ask(first) || !readAnswer(first)) {
            return couldNotRun;
        }
        std::vector<std::string> ids;
        std::vector<std::string> unanswered;
        for (int j = 0; j < requestsAhead; ++j) {
            ids.push_back(newId());
            ask(ids.back());
            if (!isTroubled() && !readAnswer(ids.back())) {
                unanswered.push_back(ids.back());
            }
            pause(askPauseS);
        }
        if (isTroubled()) {
            std::copy_if(ids.begin(), ids.end(), std::back_inserter(unanswered), [&](const std::string &id) {
                return !readAnswer(id);
            });
        }
        whole += static_cast<int>(ids.size() - unanswered.size());
        const auto ran = std::count_if(unanswered.begin(), unanswered.end(), [&](const std::string &id) {
            return deployment.runs().count(id) > 0;
        });
        lost += static_cast<int>(ran);
        closed += ran > 0 ? 1 : 0;
    }
    record.line("case: " + std::to_string(whole) + " of " + std::to_string(connections * requestsAhead) + " whole answers; " + std::to_string(lost)
                + " requests ran and got none, on " + std::to_string(closed) + " kept connections that were closed");
    return closed > lostThatCount ? ruleBroken : ruleHeld;
}

// The last tenant leaves: its key is taken away with it.
int lastTenant(Record &record)
{
    constexpr int memoryMb = 260;
    constexpr double revokeS = 5;
    constexpr int tries = 10;
    const std::string otherKey = "8pjbvk9m68k7b2ex5wa5";
    const std::string unknownKey = "aaaabbbbccccddddeeee";
    Deployment deployment(record);
    Machine *const entries[] = {&deployment.add("stato", memoryMb, {}), &deployment.add("comando", memoryMb, {})};
    const auto state = [](const std::string &version, const std::string &tenants) {
        return renderState(version, {{"read", "safe", "stato", 5}, {"order", "unsafe", "comando", 5}}, {"comando", "stato"}, tenants);
    };
    if (!deployment.start(state(firstVersion, oneTenant('"' + key + '"'))) || !deployment.waitServed(*entries[0], "/read/1")) {
        return couldNotRun;
    }
    int runsOfUnknown = 0;
    int runsOfRevoked = 0;
    const auto order = [&](const Machine &entry, const std::string &withKey, int &runs) {
        const std::string id = newId();
        const Message answer = call(entry.callers(), "POST", "/order/1", requestFields(id, 2'000, withKey), "heater on", 3);
        const int count = deployment.runs().count(id);
        record.line("client of " + entry.name + ": order " + id + " with key '" + withKey + "' gets " + answer.startLine + ", runs " + std::to_string(count));
        runs += count;
    };
    order(*entries[0], unknownKey, runsOfUnknown);
    if (runsOfUnknown > 0) {
        return couldNotRun;
    }
    if (!deployment.platform().put(state(secondVersion, isTroubled() ? "[]" : oneTenant('"' + otherKey + '"')), firstVersion, startTimeoutS)) {
        return couldNotRun;
    }
    pause(revokeS + 1);
    for (int i = 0; i < tries; ++i) {
        for (const Machine *entry : entries) {
            order(*entry, key, runsOfRevoked);
            order(*entry, unknownKey, runsOfUnknown);
        }
    }
    record.line("case: orders that ran over " + std::to_string(static_cast<int>(revokeS)) + " s after the acknowledgement: " + std::to_string(runsOfRevoked)
                + " with the key that was taken away, " + std::to_string(runsOfUnknown) + " with a key that no desired state held");
    return runsOfRevoked + runsOfUnknown > 0 ? ruleBroken : ruleHeld;
}

// One core process is killed in the second after the first start, and is back half a second later with its disk.
int firstStart(Record &record)
{
    constexpr int memoryMb = 260;
    constexpr double leadS = 0.2; // all machines start within 0.3 s of each other, in any order
    constexpr double killAtS = 0.6;
    constexpr double operatorPatienceS = 45;
    constexpr int tries = 10;
    Deployment deployment(record);
    const Machine &entry = deployment.add("stato", memoryMb, {});
    deployment.add("comando", memoryMb, {});
    Machine &killed = deployment.platform().firstCore();
    const double startedAtS = elapsedS();
    deployment.platform().start(&killed, leadS);
    deployment.startServers();
    if (isTroubled()) {
        pause(startedAtS + killAtS - elapsedS());
        deployment.platform().kill(killed);
    }
    const std::string state = renderState(firstVersion, {{"read", "safe", "stato", 5}}, {"comando", "stato"}, oneTenant('"' + key + '"'));
    const bool isAcknowledged = deployment.platform().put(state, firstBase, operatorPatienceS);
    record.line(std::string("case: the first desired state is ") + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    if (isAcknowledged) {
        deployment.platform().waitReady(entry, startTimeoutS);
    }
    int served = 0;
    for (int i = 0; i < tries; ++i) {
        const std::string id = newId();
        const Message answer = call(entry.callers(), "GET", "/read/1", requestFields(id, 5'000, key), {}, 6);
        record.line("client: " + id + " gets " + answer.startLine);
        served += answer.status() == 200 ? 1 : 0;
        pause(0.5);
    }
    record.line("case: " + std::to_string(served) + " of " + std::to_string(tries) + " requests served; " + killed.name + " was started "
                + std::to_string(killed.starts) + " times");
    return served == 0 && !isAcknowledged ? ruleBroken : ruleHeld;
}

// A server starts while the clock of its machine is ahead, crashes after the clock was set back, starts again, and leaves later.
int clockSetBack(Record &record)
{
    constexpr int memoryMb = 260;
    constexpr int clockAheadMs = 2'400;
    constexpr double servingS = 0.5;
    constexpr double downS = 0.3;
    constexpr double contactS = 3;
    constexpr double drainS = 2;
    constexpr double servesOnS = 6;
    constexpr std::size_t otherServers = 8; // so that one server is less than a share of 0.14 of its service
    constexpr std::size_t leaving = otherServers + 1; // in the zone of the first entry
    Deployment deployment(record);
    const Machine *const entry = &deployment.add("stato", memoryMb, {});
    for (std::size_t i = 0; i < otherServers; ++i) {
        deployment.add("comando", memoryMb, {});
    }
    deployment.add("comando", memoryMb, {.startsLater = true});
    const std::string state = renderState(firstVersion, {{"read", "safe", "comando", 5}}, {"comando", "stato"}, oneTenant('"' + key + '"'));
    if (!deployment.start(state)) {
        return couldNotRun;
    }
    deployment.startServer(leaving, isTroubled() ? clockAheadMs : 0);
    pause(servingS);
    deployment.crashServer(leaving);
    pause(downS);
    Server &server = deployment.startServer(leaving, 0);
    std::atomic<bool> isStopping = false;
    constexpr std::size_t clientCount = 2;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back([&] {
            while (!isStopping) {
                const std::string id = newId();
                const Message answer = call(entry->callers(), "GET", "/read/1", requestFields(id, 5'000, key), {}, 6);
                record.line("client of " + entry->name + ": " + id + " gets " + answer.startLine);
                pause(0.05);
            }
        });
    }
    pause(contactS + 2);
    const int before = deployment.runs().countAfter(server.id(), 0);
    const bool isAcknowledged = server.drain();
    const double acknowledgedAtS = elapsedS();
    pause(servesOnS);
    const int late = deployment.runs().countAfter(server.id(), acknowledgedAtS + drainS);
    isStopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("case: " + std::to_string(before) + " requests at " + server.id() + " before its drain was acknowledged, " + std::to_string(late)
                + " later than drainS after it");
    if (!isAcknowledged || before == 0) {
        return couldNotRun;
    }
    return late > 0 ? ruleBroken : ruleHeld;
}
}

int main(int count, char **arguments)
{
    const std::map<std::string, int (*)(Record &)> cases{{"uploads", uploads},
                                                         {"downloads", downloads},
                                                         {"last-tenant", lastTenant},
                                                         {"first-start", firstStart},
                                                         {"clock-set-back", clockSetBack}};
    const auto found = count == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: cases uploads|downloads|last-tenant|first-start|clock-set-back RECORD\n");
        return couldNotRun;
    }
    Record record(arguments[2]);
    int result = couldNotRun;
    try {
        result = found->second(record);
    } catch (const std::exception &error) {
        record.line(std::string("case: ") + error.what());
    }
    record.line("case: ends with " + std::to_string(result));
    return result;
}
