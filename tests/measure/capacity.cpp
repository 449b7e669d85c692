#include "support/fleet.h"
#include "support/load.h"
#include "support/upstream.h"
#include "support/wait.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

// Measures CPU, resident memory and bytes of peer messages per process: idle, with configuration changes, with many
// keys, with teams that spend tokens and with restarts, at several fleet sizes. Prints one line per size, phase and role,
// and linear fits over the number of nodes. The arguments NODES DOMAINS select a single size. The upstreams run in this process, so that they do not count.
using namespace Yuccagrade::Test;

namespace
{
constexpr double phaseMs = 8000;
constexpr int changes = 16; ///< manifests in the phase "changes"
constexpr int keyCount = 200;
constexpr int teams = 8;
constexpr int restarts = 4;
constexpr double callsPerNode = 20; ///< per second; the target of 73,000 calls/s is 41 per node
constexpr int services = 20; ///< the target has 180; the size of a manifest enters as bytes

struct Size {
    int nodes;
    int domains;
};

struct Sample {
    double cpuS = 0;
    double bytes = 0;
    double residentMiB = 0;
    bool leads = false;
    bool coordinates = false;
};

using Samples = std::map<std::string, Sample>; // by host id

struct Mean {
    int count = 0;
    double cpuPercent = 0;
    double residentMiB = 0;
    double bytesPerS = 0;
};

using Means = std::map<std::string, Mean>; // by role

struct Row {
    Size size;
    std::string phase;
    Means roles;
};

FleetPlan plan(const Size &size)
{
    FleetPlan result;
    result.upstreams = false;
    for (int d = 0; d < size.domains; ++d) {
        // Three control hosts, in three domains if there are as many.
        const int controls = size.domains == 2 ? 2 - d : d < 3;
        DomainPlan domain{"d" + std::to_string(d + 1), "r1", controls, {}};
        for (int n = 0; n < size.nodes / size.domains; ++n) {
            domain.nodes.push_back({"service" + std::to_string(n % services)});
        }
        result.domains.push_back(domain);
    }
    return result;
}

std::string manifest(const Size &size, int version)
{
    std::ostringstream text;
    text << "[manifest]\nversion = " << version << '\n';
    for (int d = 1; d <= size.domains; ++d) {
        text << "[domain d" << d << "]\nregion = r1\n";
    }
    for (int s = 0; s < services; ++s) {
        text << "[service service" << s << "]\n[route route" << s << "]\nmethod = POST\npath = /service" << s << "\nservice = service" << s
             << "\nteams = *\npriority = critical\nidempotent = yes\ntimeout-ms = 1000\n";
    }
    for (int t = 0; t < teams; ++t) {
        text << "[team team" << t << "]\nrate = 2000\nburst = 2000\n";
    }
    return text.str();
}

double metric(const std::string &text, const std::string &name)
{
    const auto found = text.find('\n' + name);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + 1 + name.size()));
}

/// One fleet of the series with upstreams in this process.
class Trial
{
public:
    explicit Trial(const Size &size)
        : m_size(size)
        , m_fleet(plan(size))
    {
        std::ifstream(m_fleet.folder() + "/operator-secret") >> m_secret;
        m_fleet.start();
        for (const Host *node : m_fleet.nodes()) {
            UpstreamOptions options{node->plan.service, node->upstreamAddress, node->callerAddress};
            options.serviceMs = 1;
            options.slots = 20;
            options.connections = 200;
            m_upstreams.push_back(std::make_unique<Upstream>(options));
        }
        m_fleet.apply(manifest(size, ++m_version));
        for (int t = 0; t < teams; ++t) {
            m_keys.push_back(m_fleet.giveKey("team" + std::to_string(t)).key);
        }
        m_fleet.waitUntilServing("/service0", m_keys[0], 60000);
        if (!waitFor(
                [this] {
                    return allKnown();
                },
                60000)) {
            throw std::runtime_error("the leader does not know all processes");
        }
    }

    std::vector<Row> run()
    {
        std::vector<Row> rows;
        rows.push_back(phase("idle", [](double) {}));
        rows.push_back(phase("changes", [this](double untilMs) {
            change(untilMs);
        }));
        for (int i = 0; i < keyCount; ++i) {
            m_fleet.giveKey("team" + std::to_string(i % teams));
        }
        rows.push_back(phase("keys", [](double) {}));
        rows.push_back(phase("tokens", [this](double) {
            callAll();
        }));
        rows.push_back(phase("restarts", [this](double) {
            restart();
        }));
        return rows;
    }

private:
    Sample sample(const Host &host) const
    {
        const HttpAnswer answer = httpCall({"GET", host.operatorAddress, "/metrics", {}, {"Authorization: Bearer " + m_secret}});
        const std::string text = '\n' + answer.body;
        Sample result{host.daemon->cpuSeconds(), 0, static_cast<double>(host.daemon->residentKiB()) / 1024};
        result.bytes = metric(text, R"(yuccagrade_peer_bytes_total{direction="sent"})") + metric(text, R"(yuccagrade_peer_bytes_total{direction="received"})");
        result.leads = metric(text, "yuccagrade_leader") > 0;
        result.coordinates = metric(text, "yuccagrade_coordinator") > 0;
        return result;
    }
    Samples sampleAll()
    {
        Samples result;
        for (const auto &hosts : {m_fleet.controls(), m_fleet.nodes()}) {
            for (const Host *host : hosts) {
                result[host->id] = sample(*host);
            }
        }
        return result;
    }
    bool allKnown()
    {
        return m_fleet.mustOperatorCall("GET", "/v1/status")["processes"].size() == m_fleet.controls().size() + m_fleet.nodes().size();
    }
    Row phase(const std::string &name, const std::function<void(double untilMs)> &work)
    {
        const Samples before = sampleAll();
        const double startMs = steadyMs();
        work(startMs + phaseMs);
        // The window has a fixed length, so this waits for its end and not for an event.
        waitFor(
            [&] {
                return steadyMs() >= startMs + phaseMs;
            },
            phaseMs + 1000);
        const Samples after = sampleAll();
        const double seconds = (steadyMs() - startMs) / 1000;
        Row row{m_size, name, {}};
        for (const auto &[id, end] : after) {
            const Sample &start = before.at(id);
            const bool restarted = end.cpuS < start.cpuS || m_restarted.contains(id);
            const bool control = m_fleet.host(id).isControl;
            Mean &mean = row.roles[control ? (end.leads ? "leader" : "control") : restarted ? "restarted" : end.coordinates ? "coordinator" : "node"];
            ++mean.count;
            mean.cpuPercent += 100 * (end.cpuS - (restarted ? 0 : start.cpuS)) / seconds;
            mean.bytesPerS += (end.bytes - (restarted ? 0 : start.bytes)) / seconds;
            mean.residentMiB += end.residentMiB;
        }
        for (auto &[role, mean] : row.roles) {
            mean.cpuPercent /= mean.count;
            mean.bytesPerS /= mean.count;
            mean.residentMiB /= mean.count;
            std::printf("%5d %7d  %-9s %-12s %5d %8.2f %8.1f %10.0f\n",
                        m_size.nodes,
                        m_size.domains,
                        name.c_str(),
                        role.c_str(),
                        mean.count,
                        mean.cpuPercent,
                        mean.residentMiB,
                        mean.bytesPerS);
        }
        std::fflush(stdout);
        return row;
    }
    void change(double untilMs)
    {
        const double startMs = steadyMs();
        for (int i = 0; i < changes; ++i) {
            const double dueMs = startMs + (untilMs - startMs) * i / changes;
            waitFor(
                [dueMs] {
                    return steadyMs() >= dueMs;
                },
                phaseMs);
            m_fleet.apply(manifest(m_size, ++m_version));
        }
    }
    void callAll()
    {
        LoadOptions load;
        load.durationMs = phaseMs;
        for (int t = 0; t < teams; ++t) {
            LoadStream stream{"team" + std::to_string(t), m_keys[t], m_fleet.callerAddresses(), "/service" + std::to_string(t % 3)};
            stream.ratePerS = callsPerNode * m_size.nodes / teams;
            load.streams.push_back(stream);
        }
        std::uint64_t whole = 0;
        std::uint64_t requests = 0;
        for (const LoadResult &result : runLoad(load)) {
            whole += result.whole;
            requests += result.requests;
        }
        std::printf("# %llu of %llu calls served\n", static_cast<unsigned long long>(whole), static_cast<unsigned long long>(requests));
    }
    void restart()
    {
        const std::vector<Host *> nodes = m_fleet.nodes();
        for (int i = 0; i < restarts; ++i) {
            Host &host = *nodes[nodes.size() - 1 - i];
            m_restarted.insert(host.id);
            Fleet::kill(host);
            m_fleet.start(host);
        }
    }

    Size m_size;
    Fleet m_fleet;
    std::string m_secret;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::string> m_keys;
    std::set<std::string> m_restarted;
    int m_version = 0;
};

/// Least squares fit of y over the number of nodes, over the sizes with the same number of domains.
void printFit(const std::vector<Row> &rows, int domains, const std::string &phase, const std::string &role, double Mean::*value, const char *unit)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const Row &row : rows) {
        const auto found = row.roles.find(role);
        if (row.size.domains != domains || row.phase != phase || found == row.roles.end()) {
            continue;
        }
        const double x = row.size.nodes;
        const double y = found->second.*value;
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const double determinant = n * sxx - sx * sx;
    if (determinant == 0) {
        return;
    }
    const double slope = (n * sxy - sx * sy) / determinant;
    std::printf("%-9s %-12s %-10s %12.3f + %10.4f per node\n", phase.c_str(), role.c_str(), unit, (sy - slope * sx) / n, slope);
}
}

int main(int argc, char **argv)
{
    std::vector<Size> sizes{{12, 4}, {24, 4}, {48, 4}, {24, 2}};
    try {
        if (argc == 3) {
            sizes = {{std::stoi(argv[1]), std::stoi(argv[2])}};
        }
        std::vector<Row> rows;
        std::printf("nodes domains  phase     role         count    cpu-%%      MiB    bytes/s\n");
        for (const Size &size : sizes) {
            const std::vector<Row> more = Trial(size).run();
            rows.insert(rows.end(), more.begin(), more.end());
        }
        std::printf("\nFits over the fleets with 4 domains\n");
        for (const char *phase : {"idle", "changes", "keys", "tokens", "restarts"}) {
            for (const char *role : {"node", "coordinator", "leader", "control"}) {
                printFit(rows, 4, phase, role, &Mean::cpuPercent, "cpu-%");
                printFit(rows, 4, phase, role, &Mean::residentMiB, "MiB");
                printFit(rows, 4, phase, role, &Mean::bytesPerS, "bytes/s");
            }
        }
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
