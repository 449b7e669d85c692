// A server that has left, and a ping of it that arrives late, after its node was killed and started again.

#include "../kit/kit.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <set>
#include <thread>

using namespace Review;

namespace
{
constexpr double workMs = 40;
constexpr double requestPauseMs = 20;
constexpr int timeBudgetMs = 5'000;
constexpr double drainMs = 2'000; // drainS
constexpr double contactMs = 3'000; // contactS
constexpr double restartMs = 500; // the platform starts a process again after a short delay
constexpr double pingDelayMs = 2'500; // "a ping may arrive seconds late"
constexpr double servesOnMs = 12'000; // drainS and a little longer, at times many seconds

// Clients of one machine, one request after the other on a kept connection.
class Clients
{
public:
    Clients(Record &record, const Host &host)
        : m_record(record)
        , m_host(host)
        , m_thread([this] {
            run();
        })
    {
    }
    ~Clients()
    {
        m_stop = true;
        m_thread.join();
    }
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

private:
    void run()
    {
        std::shared_ptr<Connection> connection;
        for (int i = 0; !m_stop; ++i) {
            const std::string id = m_host.name + '.' + std::to_string(i);
            connection = connection ? connection : Connection::open(m_host.outbound());
            const double until = nowMs() + timeBudgetMs;
            const bool sent = connection && connection->write(clientRequest("GET", "/status/a", id, timeBudgetMs), until);
            const auto answer = sent ? connection->read(until) : std::nullopt;
            m_record.line("client: " + id + " answered " + std::to_string(answer ? answer->status() : 0));
            if (!answer) {
                connection.reset();
            }
            sleepMs(requestPauseMs);
        }
    }

    Record &m_record;
    Host m_host;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

int run(const Arguments &arguments)
{
    Record record(arguments.folder + "/record.txt");
    Platform platform(record, arguments.program, {"stato", "stato", "stato", "comando", "comando", "comando", "comando", "archivio", "archivio", "archivio"});
    platform.startAll();
    std::vector<std::unique_ptr<Server>> servers;
    std::atomic<double> boundFromMs = 0; // arrivals at the server that has left count from here on
    std::atomic<int> late = 0;
    for (std::size_t i = 0; i < platform.nodes(); ++i) {
        servers.push_back(std::make_unique<Server>(record, platform.node(i), "i-" + std::to_string(i + 1), [](const Message &) {
            sleepMs(workMs);
            return std::string("done");
        }));
    }
    Server &leaving = *servers.front();
    leaving.onArrival = [&](const std::string &id, bool) {
        if (boundFromMs > 0 && nowMs() > boundFromMs) {
            ++late;
            record.line("late: " + id + " reaches " + leaving.id());
        }
    };
    const std::string state = renderState("00000001", {{"heater-status", "/status/", "safe", R"("service":"stato")"}}, {"stato", "comando", "archivio"});
    if (!platform.put(state, "00000000", 20'000) || !platform.waitReady(15'000)) {
        record.line("the mesh did not start");
        return NotRun;
    }
    sleepMs(3'000);
    Host &host = platform.node(0);
    // The clients are on three other machines, one of them in the zone of the server, which stay in touch all the time.
    Clients first(record, platform.node(1));
    Clients second(record, platform.node(2));
    Clients third(record, platform.node(3));
    sleepMs(3'000);

    leaving.stopPings();
    const std::string ping = leaving.nextPing();
    const double pingMs = nowMs();
    record.line("server " + leaving.id() + ": sends its last ping" + (isTroubleWanted() ? ", which is held up on its way" : ""));
    if (!isTroubleWanted()) {
        leaving.deliver(ping);
    }
    sleepMs(100);
    leaving.leave();
    if (!leaving.deregister()) {
        record.line("the departure was not acknowledged");
        return NotRun;
    }
    const double leftMs = nowMs();
    record.line("server " + leaving.id() + ": its departure is acknowledged");
    double startedMs = leftMs;
    if (isTroubleWanted()) {
        sleepMs(400);
        platform.signal(host, SIGKILL);
        platform.kill(host);
        sleepMs(restartMs);
        platform.start(host, false);
        startedMs = nowMs();
        sleepUntilMs(pingMs + pingDelayMs);
        record.line(std::string("server ") + leaving.id() + ": its held up ping arrives, " + (leaving.deliver(ping) ? "acknowledged" : "not acknowledged"));
    }
    // The rule counts requests from drainS on, sent on by machines in touch: contactS after the start of the process.
    boundFromMs = std::max(leftMs + drainMs, startedMs + contactMs) + 100;
    sleepUntilMs(leftMs + servesOnMs);
    record.line(std::to_string(late) + " requests reached " + leaving.id() + " later than drainS after its departure was acknowledged");
    std::printf("%d late arrivals\n", late.load());
    return late > 0 ? RuleBroken : RuleHeld;
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
