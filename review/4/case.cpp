// Long but sound work at servers that have little else to do, around a planned stop of the node that took the requests.

#include "../kit/kit.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

using namespace Review;

namespace
{
constexpr int clients = 6;
constexpr double usualWorkMs = 100;
constexpr double longWorkMs = 1'900;
constexpr int timeBudgetMs = 5'000;
constexpr int usualRequests = 20; // of each machine
constexpr double quietMs = 3'000; // without requests

// When each request was sent to a server.
class Starts
{
public:
    void add(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        m_starts[id].push_back(nowMs());
    }
    /// Returns true if a server was at work on @p id at a time.
    bool isAtWork(const std::string &id, double atMs)
    {
        const std::scoped_lock lock(m_mutex);
        const auto &starts = m_starts[id];
        return std::any_of(starts.begin(), starts.end(), [atMs](double startMs) {
            return startMs <= atMs && atMs < startMs + longWorkMs;
        });
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<double>> m_starts;
};

struct Outcome {
    std::string id;
    bool signedByServer = false;
    double sentMs = 0;
    double endedMs = 0;
};

void ask(Record &record, Connection &connection, const std::string &target, Outcome &outcome)
{
    outcome.sentMs = nowMs();
    const double until = outcome.sentMs + timeBudgetMs;
    connection.write(clientRequest("GET", target, outcome.id, timeBudgetMs), until);
    const auto answer = connection.read(until);
    outcome.endedMs = nowMs();
    outcome.signedByServer = answer && !answer->field("X-Yuccagrade-Server-Signature").empty();
    record.line("client: " + outcome.id + " answered " + std::to_string(answer ? answer->status() : 0)
                + (outcome.signedByServer ? " by a server" : " by the mesh") + " after " + std::to_string(static_cast<int>(outcome.endedMs - outcome.sentMs))
                + " ms");
}

int run(const Arguments &arguments)
{
    Record record(arguments.folder + "/record.txt");
    Platform platform(record, arguments.program, {"stato", "stato", "stato"});
    platform.startAll();
    Starts starts;
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < platform.nodes(); ++i) {
        servers.push_back(std::make_unique<Server>(record, platform.node(i), "i-" + std::to_string(i + 1), [](const Message &request) {
            sleepMs(request.target() == "/status/usual" ? usualWorkMs : longWorkMs);
            return std::string("done");
        }));
        servers.back()->onArrival = [&starts](const std::string &id, bool) {
            starts.add(id);
        };
    }
    const std::string state = renderState("00000001", {{"heater-status", "/status/", "safe", R"("service":"stato")", 5}}, {"stato"});
    if (!platform.put(state, "00000000", 20'000) || !platform.waitReady(15'000)) {
        record.line("the mesh did not start");
        return NotRun;
    }
    sleepMs(3'000);
    for (std::size_t i = 0; i < platform.nodes(); ++i) {
        const auto connection = Connection::open(platform.node(i).outbound());
        for (int n = 0; connection && n < usualRequests; ++n) {
            Outcome usual;
            usual.id = "usual" + std::to_string(i) + '.' + std::to_string(n);
            ask(record, *connection, "/status/usual", usual);
        }
    }
    sleepMs(quietMs);
    Host &front = platform.node(0);
    std::vector<Outcome> outcomes(clients);
    std::vector<std::shared_ptr<Connection>> connections;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        outcomes[i].id = "long" + std::to_string(i);
        connections.push_back(Connection::open(front.outbound()));
        if (!connections.back()) {
            return NotRun;
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(outcomes.size());
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        threads.emplace_back([&, i] {
            ask(record, *connections[i], "/status/long", outcomes[i]);
        });
    }
    sleepMs(50); // the servers are at work
    if (isTroubleWanted()) {
        platform.signal(front, SIGTERM);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int broken = 0;
    for (const Outcome &outcome : outcomes) {
        const bool inTime = outcome.endedMs - outcome.sentMs < timeBudgetMs - 500;
        broken += !outcome.signedByServer && inTime && starts.isAtWork(outcome.id, outcome.endedMs) ? 1 : 0;
    }
    record.line(std::to_string(broken) + " of " + std::to_string(clients) + " requests were broken off at a server at work and answered by the mesh"
                + (isTroubleWanted() ? "" : "; no planned work, so the rule is not in force"));
    std::printf("%d of %d requests broken off\n", broken, clients);
    return isTroubleWanted() && broken > 0 ? RuleBroken : RuleHeld;
}
}

int main(int argc, char **argv)
{
    try {
        return run(parseArguments(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return NotRun;
    }
}
