// Answers that clients read slowly, and a desired state with a short idle limit.

#include "../kit/kit.h"

#include <cstdio>
#include <thread>

using namespace Review;

namespace
{
constexpr int clients = 8;
constexpr int usualIdleS = 15;
constexpr int shortIdleS = 2;
constexpr std::size_t answerBytes = 5'000'000;
constexpr double clientBytesPerS = 920'000; // 5.4 s for an answer
constexpr double workMs = 110;
constexpr int timeBudgetMs = 6'000;
constexpr int allowedCuts = 3; // "more than three times"

struct Outcome {
    bool whole = false;
    bool cut = false;
};

Outcome fetch(Record &record, const Host &host, const std::string &id)
{
    Outcome outcome;
    const auto connection = Connection::open(host.outbound(), {.segmentBytes = 1'460, .receiveBytes = 16'384});
    if (!connection) {
        return outcome;
    }
    // A kept connection: it has carried a request before.
    connection->write(clientRequest("GET", "/photo/small", id + ".before", timeBudgetMs), nowMs() + timeBudgetMs);
    const auto before = connection->read(nowMs() + timeBudgetMs);
    if (!before || before->status() != 200) {
        return outcome;
    }
    const double sentMs = nowMs();
    connection->write(clientRequest("GET", "/photo/a", id, timeBudgetMs), sentMs + timeBudgetMs);
    record.line("client: sends " + id);
    connection->limitReading(clientBytesPerS);
    const auto answer = connection->read(sentMs + timeBudgetMs);
    const double tookMs = nowMs() - sentMs;
    outcome.whole = answer && answer->status() == 200 && answer->body.size() == answerBytes;
    // The node ended the connection, and the time budget was not reached.
    outcome.cut = !outcome.whole && connection->isEnded() && tookMs < timeBudgetMs - 200;
    record.line("client: " + id
                + (outcome.whole     ? " has its whole answer"
                       : outcome.cut ? " lost its connection"
                                     : " has no whole answer")
                + " after " + std::to_string(static_cast<int>(tookMs)) + " ms, " + std::to_string(connection->bodyBytes()) + " body bytes");
    return outcome;
}

int run(const Arguments &arguments)
{
    Record record(arguments.folder + "/record.txt");
    Platform platform(record, arguments.program, {"archivio", "archivio", "archivio"});
    platform.startAll();
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < platform.nodes(); ++i) {
        servers.push_back(std::make_unique<Server>(record, platform.node(i), "i-" + std::to_string(i + 1), [](const Message &request) {
            sleepMs(workMs);
            return std::string(request.target() == "/photo/small" ? 400 : answerBytes, 'p');
        }));
    }
    const std::vector<RoutePlan> routes{{"photo-read", "/photo/", "safe", R"("service":"archivio")"}};
    const int idleS = isTroubleWanted() ? shortIdleS : usualIdleS;
    if (!platform.put(renderState("00000001", routes, {"archivio"}, usualIdleS), "00000000", 20'000) || !platform.waitReady(15'000)
        || !platform.put(renderState("00000002", routes, {"archivio"}, idleS), "00000001", 5'000)) {
        record.line("the mesh did not start");
        return NotRun;
    }
    sleepMs(4'000); // configApplyS is 2
    std::vector<Outcome> outcomes(clients);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        threads.emplace_back([&, i] {
            outcomes[i] = fetch(record, platform.node(0), "photo" + std::to_string(i));
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int cut = 0;
    int whole = 0;
    for (const Outcome &outcome : outcomes) {
        cut += outcome.cut ? 1 : 0;
        whole += outcome.whole ? 1 : 0;
    }
    record.line(std::to_string(cut) + " connections closed before the answer was whole, " + std::to_string(whole) + " answers whole");
    std::printf("%d connections closed before the answer was whole, %d answers whole\n", cut, whole);
    return cut > allowedCuts ? RuleBroken : RuleHeld;
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
