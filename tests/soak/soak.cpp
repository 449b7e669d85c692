// Runs a mesh of real processes under random faults and checks what callers, servers and operators see.
// Usage: soak PROGRAM FOLDER SEED [FAULT_SECONDS [BROKEN_RESPONSES]]. Exit codes: 0 no promise broken, 1 broken, 2 usage.
// The seed chooses the kind of broken responses (seed modulo 6): 0 none, 1 an earlier refusal once more, 2 heads that end early,
// 3 errors without signature or request id, 4 heads and bodies without end, 5 all mixed. BROKEN_RESPONSES names one of these.
// Signals, restarts and changes come in series unless (seed / 6) is odd.

#include "operator.h"
#include "soakfleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

using namespace Yuccagrade;
using namespace Yuccagrade::Soak;

namespace
{
constexpr TimeMs startBoundMs = 20'000;
constexpr TimeMs requestPeriodMs = 6;
constexpr TimeMs callerTimeoutMs = 2'500;
constexpr TimeMs minFaultMs = 150;
constexpr TimeMs faultSpreadMs = 700;
constexpr TimeMs maxDurationMs = 4'000;
constexpr TimeMs longFaultMs = 3'000; // added to one fault in three
constexpr TimeMs settleMs = 9'000;
constexpr TimeMs measureMs = 3'000;
// Without its disk the group cannot commit: after a stall the mesh settles again, up to this number of times.
constexpr int maxSettles = 6;
constexpr TimeMs stopMs = 7'000; // of one node in turn
constexpr std::uint64_t minSeriesSteps = 3;
constexpr std::uint64_t seriesStepSpread = 8;
constexpr std::uint64_t seriesStepMs = 400;
constexpr TimeMs overlapMs = 250; // between planned events that overlap
// All control hosts have been up and connected for this time before another disk is lost: the former one has caught up.
constexpr TimeMs catchUpMs = 6'000;
constexpr double wantedShare = 0.95;
constexpr int signalExit = 128; // added to the signal that ended a process
// Half of the memory that a host gives to its process (260 MB).
constexpr long maxMemoryKiB = 130'000;

// Which kinds of broken responses a run has: none, one of them, or all mixed.
constexpr std::size_t defectChoices = defectNames.size() + 2;

std::vector<Defect> defectsOfChoice(std::size_t choice)
{
    std::vector<Defect> defects;
    for (std::size_t i = 0; i < defectNames.size(); ++i) {
        if (choice == i + 1 || choice == defectChoices - 1) {
            defects.push_back(defectNames.at(i).first);
        }
    }
    return defects;
}

class SoakRun
{
public:
    SoakRun(const std::string &program, const std::string &folder, std::uint64_t seed, TimeMs faultMs, std::vector<Defect> defects, bool series);
    /// Returns true if no promise was broken.
    bool run();

private:
    Host &randomHost(bool control);
    void call();
    std::shared_ptr<CallerConnection> connectionTo(Host &node);
    void fault();
    void note(const std::string &what) const;
    void disturbControls(TimeMs durationMs);
    void end(Host &host, TimeMs downMs);
    void endLeader(const std::string &operatorAddress);
    std::string drawKey();
    void cut(TimeMs durationMs);
    void breakResponses(TimeMs durationMs);
    void startSeries();
    void takeSeriesStep(Host &host);
    void stopTogether();
    void checkProcesses();
    void recover();
    void settle();
    void measure();
    void judge();
    void stopInTurn(std::size_t node);
    void begin();

    EventLoop m_loop;
    Ledger m_ledger;
    Random m_random;
    TimeMs m_faultMs;
    std::vector<Defect> m_defects; ///< of the servers, during the faults
    bool m_series; ///< signals, restarts and changes come in series
    DiskProbe m_disk;
    Fleet m_fleet;
    Operator m_operator;
    std::map<std::string, std::vector<std::shared_ptr<CallerConnection>>> m_connections; ///< by node
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_whole = 0;
    std::uint64_t m_asked = 0;
    bool m_wiped = false;
    TimeMs m_controlsSoundFrom = 0; ///< end of the last fault at a control host
    double m_stalledMs = 0; ///< of the disk, when the mesh began to settle
    int m_settled = 0; ///< times that it settled
    bool m_faults = false;
    bool m_measuring = false;
    bool m_calm = false; ///< only planned stops
};

SoakRun::SoakRun(const std::string &program, const std::string &folder, std::uint64_t seed, TimeMs faultMs, std::vector<Defect> defects, bool series)
    : m_ledger(m_loop)
    , m_random(seed)
    , m_faultMs(faultMs)
    , m_defects(std::move(defects))
    , m_series(series)
    , m_disk(folder)
    , m_fleet(m_loop, m_ledger, program, folder, seed)
    , m_operator(m_loop, m_ledger, m_fleet, Random(seed + 1))
{
    m_ledger.isAllowed = [this](const Ledger::Request &request) {
        return m_operator.everyConfigurationAllows(request);
    };
    m_ledger.mayRun = [this](const Ledger::Request &request) {
        return m_operator.someConfigurationAllows(request);
    };
    m_operator.onAllKeysWithdrawn = [this](const std::string &address) {
        note("all keys are withdrawn");
        if (m_random.below(2) == 0) {
            endLeader(address);
        }
    };
}

Host &SoakRun::randomHost(bool control)
{
    std::vector<Host *> found;
    for (Host &host : m_fleet.hosts()) {
        if (host.control == control) {
            found.push_back(&host);
        }
    }
    return *found.at(m_random.below(found.size()));
}

// Clients use open connections until the process is gone, but open none to a node that stops.
std::shared_ptr<CallerConnection> SoakRun::connectionTo(Host &node)
{
    auto &open = m_connections[node.name];
    std::erase_if(open, [](const auto &connection) {
        return connection.use_count() == 1 && !connection->isIdle();
    });
    for (const auto &connection : open) {
        if (connection->isIdle()) {
            return connection;
        }
    }
    if (!node.process || node.stopping) {
        return nullptr;
    }
    auto connection = CallerConnection::open(m_loop, node.callerAddress, m_ledger);
    if (connection) {
        open.push_back(connection);
    }
    return connection;
}

// Some callers go on with a key that was withdrawn, and a few have none.
std::string SoakRun::drawKey()
{
    if (m_random.below(12) == 0) {
        return {};
    }
    const bool drawsWithdrawn = m_random.below(4) == 0 || m_operator.keys().empty();
    const std::vector<std::string> &keys = drawsWithdrawn && !m_operator.withdrawnKeys().empty() ? m_operator.withdrawnKeys() : m_operator.keys();
    return keys.empty() ? std::string() : keys.at(m_random.below(keys.size()));
}

void SoakRun::call()
{
    Host &node = randomHost(false);
    const auto connection = connectionTo(node);
    if (!connection) {
        return;
    }
    const std::string id = "r" + std::to_string(++m_lastRequest);
    const bool idempotent = m_random.below(5) < 3;
    const std::string key = drawKey();
    const std::string body = idempotent ? std::string() : "pay " + id + std::string(m_random.below(2'000), 'p');
    // A part of the reads uses routes that come and go.
    const std::vector<std::string> &routes = m_operator.routes();
    const std::string route = idempotent && !routes.empty() && m_random.below(3) == 0 ? routes.at(m_random.below(routes.size())) : std::string();
    const std::string path = route.empty() ? (idempotent ? "read" : "pay") : route;
    const Ledger::Request &request =
        m_ledger.sent(id, {.idempotent = idempotent, .key = key, .callerService = m_fleet.serviceOf(node), .body = body, .service = "front", .route = route});
    const bool measured = m_measuring && m_operator.everyConfigurationAllows(request);
    m_asked += measured ? 1 : 0;
    std::vector<HttpMessage::Field> fields{{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Deadline-Ms", std::to_string(callerTimeoutMs)}};
    if (!key.empty()) {
        fields.emplace_back("Authorization", "Bearer " + key);
    }
    connection->send(renderRequest(idempotent ? "GET" : "POST", '/' + path + '/' + id, fields, body),
                     callerTimeoutMs,
                     [this, id, measured](const std::optional<HttpMessage> &answer) {
                         m_ledger.answered(id, answer);
                         m_whole += measured && answer && answer->status == 200 ? 1 : 0;
                         if (m_calm && !answer && m_ledger.runsOf(id) > 0) {
                             m_ledger.violation("planned stop cuts " + id + ", which ran");
                         }
                     });
}

void SoakRun::disturbControls(TimeMs durationMs)
{
    m_controlsSoundFrom = std::max(m_controlsSoundFrom, m_loop.clock().now() + durationMs);
}

// Kills a process and starts it again after a while.
void SoakRun::end(Host &host, TimeMs downMs)
{
    if (!host.process) {
        return;
    }
    if (host.control) {
        disturbControls(downMs);
    }
    note("kill " + host.name + ", back after " + std::to_string(downMs) + " ms");
    m_fleet.kill(host);
    m_loop.after(downMs, [this, &host] {
        if (!host.process) {
            m_fleet.start(host, false);
        }
    });
}

void SoakRun::endLeader(const std::string &operatorAddress)
{
    for (Host &host : m_fleet.hosts()) {
        if (m_faults && host.control && host.operatorAddress == operatorAddress) {
            end(host, maxDurationMs);
        }
    }
}

void SoakRun::cut(TimeMs durationMs)
{
    Test::FaultRule rule;
    switch (m_random.below(5)) {
    case 0:
        rule.cut = Test::FaultRule::Cut::Stall;
        break;
    case 1:
        rule.cut = Test::FaultRule::Cut::Refuse;
        break;
    case 2:
        rule.stallToTarget = true;
        break;
    case 3:
        rule.stallToSender = true;
        break;
    default:
        rule.delayMs = 10 + static_cast<double>(m_random.below(150));
        break;
    }
    // Of one host, or of a whole domain, to all others.
    const Host &victim = m_fleet.hosts().at(m_random.below(m_fleet.hosts().size()));
    const bool whole = m_random.below(2) == 0;
    if (whole || victim.control) {
        disturbControls(durationMs);
    }
    std::vector<std::pair<const Host *, const Host *>> paths;
    for (const Host &a : m_fleet.hosts()) {
        for (const Host &b : m_fleet.hosts()) {
            const bool inA = whole ? a.domain == victim.domain : &a == &victim;
            const bool inB = whole ? b.domain == victim.domain : &b == &victim;
            if (inA != inB) {
                paths.emplace_back(&a, &b);
            }
        }
    }
    note("path fault of " + (whole ? "domain " + victim.domain : victim.name) + " for " + std::to_string(durationMs) + " ms: cut "
         + std::to_string(static_cast<int>(rule.cut)) + ", stalls " + std::to_string(rule.stallToTarget) + std::to_string(rule.stallToSender) + ", delay "
         + std::to_string(rule.delayMs));
    for (const auto &[from, to] : paths) {
        m_fleet.setPath(*from, *to, rule);
    }
    m_loop.after(durationMs, [this, paths] {
        for (const auto &[from, to] : paths) {
            m_fleet.setPath(*from, *to, {});
        }
    });
}

void SoakRun::note(const std::string &what) const
{
    std::cout << m_loop.clock().now() << ' ' << what << std::endl;
}

void SoakRun::fault()
{
    if (!m_faults) {
        return;
    }
    m_loop.after(minFaultMs + static_cast<TimeMs>(m_random.below(faultSpreadMs)), [this] {
        fault();
    });
    const auto briefMs = static_cast<TimeMs>(100 + m_random.below(maxDurationMs));
    const TimeMs durationMs = briefMs + (m_random.below(3) == 0 ? longFaultMs : 0);
    if (m_series && m_random.below(6) == 0) {
        startSeries();
        return;
    }
    const TimeMs downMs = 100 + briefMs / 3;
    const TimeMs now = m_loop.clock().now();
    const std::size_t server = m_random.below(m_fleet.servers());
    switch (m_random.below(m_defects.empty() ? 10 : 12)) {
    case 0:
        end(randomHost(false), downMs);
        break;
    case 1:
        end(randomHost(true), downMs);
        break;
    case 2:
        if (m_random.below(4) == 0) { // all control hosts at once
            for (Host &host : m_fleet.hosts()) {
                if (host.control) {
                    end(host, 100 + static_cast<TimeMs>(m_random.below(800)));
                }
            }
        }
        break;
    case 3:
        if (Host &host = randomHost(true); !m_wiped || now >= m_controlsSoundFrom + catchUpMs) {
            m_wiped = true;
            disturbControls(downMs);
            note("lose the disk of " + host.name);
            m_fleet.wipe(host);
            m_loop.after(downMs, [this, &host] {
                m_fleet.start(host, false);
            });
        }
        break;
    case 4:
        // Half of them are control hosts: a leader that wakes up must not answer as one.
        if (Host &host = randomHost(m_random.below(2) == 0); host.process && !host.frozen) {
            host.frozen = true;
            const TimeMs frozenMs = briefMs + (host.control ? longFaultMs : 0);
            note("freeze " + host.name + " for " + std::to_string(frozenMs) + " ms");
            if (host.control) {
                disturbControls(frozenMs);
            }
            host.process->freeze();
            m_loop.after(frozenMs, [&host] {
                if (host.process && host.frozen) {
                    host.process->resume();
                }
                host.frozen = false;
            });
        }
        break;
    case 5:
        cut(durationMs);
        break;
    case 6:
        if (Host &host = randomHost(false); host.process && !host.frozen && !host.stopping) {
            host.stopping = true;
            note("stop " + host.name);
            host.process->terminate();
        }
        break;
    case 7:
        if (m_fleet.server(server).isRunning() && m_random.below(2) == 0) {
            note("crash server " + std::to_string(server));
            m_fleet.server(server).crash();
            m_loop.after(downMs, [this, server] {
                if (!m_fleet.server(server).isRunning()) {
                    m_fleet.server(server).start();
                }
            });
        } else if (m_fleet.server(server).isRunning()) {
            note("drain server " + std::to_string(server));
            m_fleet.server(server).restartPlanned();
        }
        break;
    case 8: {
        const std::string service = m_random.below(2) == 0 ? "front" : "deep";
        note("servers of " + service + " fail most requests for " + std::to_string(durationMs) + " ms");
        for (std::size_t i = 0; i < m_fleet.servers(); ++i) {
            if (m_fleet.server(i).service() == service) {
                m_fleet.server(i).failMost(durationMs);
            }
        }
        break;
    }
    case 10:
    case 11:
        breakResponses(durationMs);
        break;
    default: {
        Test::FaultRule rule;
        rule.dropAnswers = static_cast<int>(m_random.below(4));
        rule.holdAnswers = static_cast<int>(m_random.below(4));
        rule.holdMs = static_cast<double>(m_random.below(400));
        rule.delayMs = static_cast<double>(m_random.below(60));
        note("path fault of server " + std::to_string(server) + ": " + std::to_string(rule.dropAnswers) + " answers lost");
        m_fleet.setServerPath(server, rule);
        m_loop.after(durationMs, [this, server] {
            m_fleet.setServerPath(server, {});
        });
    }
    }
}

// At one server, or at all of its service.
void SoakRun::breakResponses(TimeMs durationMs)
{
    const std::size_t chosen = m_random.below(m_fleet.servers());
    const bool all = m_random.below(3) == 0;
    std::string names;
    for (const Defect defect : m_defects) {
        names.append(" ").append(nameOf(defect));
    }
    note("broken responses of " + (all ? "all servers of " + m_fleet.server(chosen).service() : "server " + std::to_string(chosen)) + " for "
         + std::to_string(durationMs) + " ms:" + names);
    for (std::size_t i = 0; i < m_fleet.servers(); ++i) {
        if (i == chosen || (all && m_fleet.server(i).service() == m_fleet.server(chosen).service())) {
            m_fleet.server(i).breakResponses(m_defects, durationMs);
        }
    }
}

// Steps follow each other faster than a process stops or starts, and most of them meet the same two hosts.
void SoakRun::startSeries()
{
    std::vector<Host> &hosts = m_fleet.hosts();
    const std::array<Host *, 2> chosen{&hosts.at(m_random.below(hosts.size())), &hosts.at(m_random.below(hosts.size()))};
    note("series of signals, restarts and changes at " + chosen[0]->name + " and " + chosen[1]->name);
    TimeMs delayMs = 1;
    for (std::uint64_t left = minSeriesSteps + m_random.below(seriesStepSpread); left > 0; --left) {
        Host *host = m_random.below(5) == 0 ? &hosts.at(m_random.below(hosts.size())) : chosen.at(m_random.below(chosen.size()));
        m_loop.after(delayMs, [this, host] {
            takeSeriesStep(*host);
        });
        delayMs += static_cast<TimeMs>(1 + m_random.below(seriesStepMs));
    }
}

void SoakRun::takeSeriesStep(Host &host)
{
    const std::uint64_t step = m_random.below(5);
    if (!m_faults || !host.process || host.frozen) {
        return;
    }
    switch (step) {
    case 0:
        note("SIGHUP " + host.name);
        Fleet::hangUp(host);
        break;
    case 1:
    case 2:
        note("SIGTERM " + host.name);
        if (host.control) {
            disturbControls(stopMs);
        }
        Fleet::stop(host);
        break;
    case 3:
        end(host, 1 + static_cast<TimeMs>(m_random.below(seriesStepMs)));
        break;
    default:
        note("next change");
        m_operator.order();
    }
}

void SoakRun::checkProcesses()
{
    for (Host &host : m_fleet.hosts()) {
        if (const long peakKiB = Fleet::peakKiB(host); peakKiB > maxMemoryKiB && !host.large) {
            host.large = true;
            m_ledger.violation(host.name + " uses " + std::to_string(peakKiB) + " KiB of memory");
        }
        if (!host.process || host.process->running()) {
            continue;
        }
        const int code = host.process->exitCode().value_or(-1);
        // Before main() holds them back, both signals end a process.
        const bool endedBeforeMain = host.signalled && !Fleet::hasBegun(host) && (code == signalExit + SIGTERM || code == signalExit + SIGHUP);
        if (!endedBeforeMain && (!host.stopping || code != 0)) {
            m_ledger.violation(host.name + " ended by itself with code " + std::to_string(code));
        }
        m_fleet.start(host, false);
    }
}

void SoakRun::begin()
{
    std::cout << "faults begin after " << m_lastRequest << " requests" << std::endl;
    m_faults = true;
    m_operator.setWithdrawsAllKeys(true);
    fault();
    if (m_series) {
        m_loop.after(m_faultMs / 2, [this] {
            startSeries();
        });
    }
    m_loop.after(m_faultMs, [this] {
        recover();
    });
}

void SoakRun::recover()
{
    m_faults = false;
    m_operator.setWithdrawsAllKeys(false);
    m_fleet.heal();
    for (Host &host : m_fleet.hosts()) {
        if (host.process && host.frozen) {
            host.process->resume();
            host.frozen = false;
        }
        if (!host.process) {
            m_fleet.start(host, false);
        }
    }
    for (std::size_t i = 0; i < m_fleet.servers(); ++i) {
        if (!m_fleet.server(i).isRunning()) {
            m_fleet.server(i).start();
        }
    }
    settle();
}

void SoakRun::settle()
{
    ++m_settled;
    m_stalledMs = m_disk.stalledMs();
    m_loop.after(settleMs, [this] {
        measure();
    });
}

void SoakRun::measure()
{
    m_whole = 0;
    m_asked = 0;
    m_measuring = true;
    m_loop.after(measureMs, [this] {
        m_measuring = false;
        const double stalledMs = m_disk.stalledMs() - m_stalledMs;
        if (stalledMs > 0 && m_settled < maxSettles) {
            note("the disk of this machine stalled for " + std::to_string(static_cast<int>(stalledMs)) + " ms; the mesh settles again");
            settle();
            return;
        }
        judge();
    });
}

void SoakRun::judge()
{
    std::cout << "after the faults " << m_whole << " of " << m_asked << " requests are whole; configuration " << m_operator.acknowledged() << std::endl;
    if (m_asked == 0 || static_cast<double>(m_whole) < wantedShare * static_cast<double>(m_asked)) {
        m_ledger.violation("the mesh has not recovered");
    }
    if (!m_operator.isServed(static_cast<double>(measureMs))) {
        m_ledger.violation("no order was acknowledged after the faults");
    }
    m_calm = true;
    stopInTurn(0);
}

void SoakRun::stopInTurn(std::size_t node)
{
    std::vector<Host *> nodes;
    for (Host &host : m_fleet.hosts()) {
        if (!host.control) {
            nodes.push_back(&host);
        }
    }
    if (node >= 2) {
        if (m_series) {
            stopTogether();
        } else {
            m_loop.stop();
        }
        return;
    }
    Host &host = *nodes.at((m_random.below(2) + 2 * node) % nodes.size());
    host.stopping = true;
    host.process->terminate();
    m_loop.after(stopMs, [this, node] {
        stopInTurn(node + 1);
    });
}

// A control host and two nodes of different domains stop while changes and SIGHUP come.
void SoakRun::stopTogether()
{
    std::vector<Host> &hosts = m_fleet.hosts();
    const std::array<Host *, 3> chosen{&hosts.front(), &hosts.back(), &hosts.at(hosts.size() - 2)};
    TimeMs delayMs = 0;
    for (Host *host : chosen) {
        delayMs += overlapMs;
        m_loop.after(delayMs, [this, host] {
            Fleet::hangUp(*host);
            m_operator.order();
            Fleet::stop(*host);
        });
        m_loop.after(delayMs + overlapMs / 2, [this, host] {
            Fleet::hangUp(*host);
            m_operator.order();
        });
    }
    m_loop.after(stopMs + delayMs, [this] {
        m_loop.stop();
    });
}

bool SoakRun::run()
{
    m_loop.every(requestPeriodMs, [this] {
        call();
    });
    m_operator.start();
    m_loop.every(200, [this] {
        checkProcesses();
    });
    const TimeMs startedAt = m_loop.clock().now();
    const auto startTimer = std::make_shared<TimerId>();
    *startTimer = m_loop.every(100, [this, startedAt, startTimer] {
        m_measuring = true;
        if (m_whole > 50) {
            m_measuring = false;
            m_whole = 0;
            m_asked = 0;
            m_loop.cancel(*startTimer);
            begin();
        } else if (m_loop.clock().now() - startedAt > startBoundMs) {
            m_ledger.violation("the mesh did not start");
            m_loop.stop();
        }
    });
    m_loop.run();
    m_ledger.checkRetryBudget();
    for (const std::string &text : m_ledger.violations()) {
        std::cout << "BROKEN: " << text << '\n';
    }
    std::cout << m_lastRequest << " requests, " << m_ledger.violations().size() << " promises broken" << std::endl;
    return m_ledger.violations().empty();
}
}

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: soak PROGRAM FOLDER SEED [FAULT_SECONDS [BROKEN_RESPONSES]]\n";
        return 2;
    }
    const std::uint64_t seed = std::stoull(argv[3]);
    const std::string folder = std::filesystem::absolute(std::string(argv[2]) + "/seed-" + std::to_string(seed));
    std::filesystem::remove_all(folder);
    const TimeMs faultMs = (argc > 4 ? std::stoll(argv[4]) : 12) * 1'000;
    const std::size_t choice = (argc > 5 ? std::stoull(argv[5]) : seed) % defectChoices;
    bool kept = false;
    {
        SoakRun soak(argv[1], folder, seed, faultMs, defectsOfChoice(choice), seed / defectChoices % 2 == 0);
        kept = soak.run();
    }
    std::cout << "seed " << seed << (kept ? ": kept" : ": broken; logs in the folder of the seed") << std::endl;
    if (kept) {
        std::filesystem::remove_all(folder);
    }
    return kept ? 0 : 1;
}
