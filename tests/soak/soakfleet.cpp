#include "soakfleet.h"

#include "support/address.h"
#include "support/wait.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Yuccagrade::Soak
{
namespace
{
constexpr int domains = 3;
constexpr int nodesPerDomain = 2;
constexpr auto peerPort = "7000";
constexpr auto serverPort = "8000";

// A healthy disk syncs in a few ms; a longer sync is a stall.
constexpr double stallMs = 200;
constexpr double probePauseMs = 50;

std::string at(const std::string &ip, const std::string &port)
{
    return ip + ':' + port;
}

std::uintmax_t logBytes(const Host &host)
{
    std::error_code missing;
    const std::uintmax_t size = std::filesystem::file_size(host.folder + "/log", missing);
    return missing ? 0 : size;
}
}

DiskProbe::DiskProbe(const std::string &folder)
{
    std::filesystem::create_directories(folder);
    m_thread = std::thread([this, path = folder + "/probe"] {
        run(path);
    });
}

DiskProbe::~DiskProbe()
{
    m_stop = true;
    m_thread.join();
}

void DiskProbe::run(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
    while (!m_stop && descriptor >= 0) {
        const double startedMs = Test::steadyMs();
        m_startedMs = startedMs;
        if (::pwrite(descriptor, "x", 1, 0) != 1 || ::fsync(descriptor) != 0) {
            break;
        }
        const double tookMs = Test::steadyMs() - startedMs;
        m_stalledMs = m_stalledMs + (tookMs > stallMs ? tookMs : 0);
        m_startedMs = 0;
        Test::waitFor(
            [this] {
                return m_stop.load();
            },
            probePauseMs);
    }
    ::close(descriptor);
}

double DiskProbe::stalledMs() const
{
    const double startedMs = m_startedMs;
    const double runningMs = startedMs > 0 ? Test::steadyMs() - startedMs : 0;
    return m_stalledMs + (runningMs > stallMs ? runningMs : 0);
}

Fleet::Fleet(EventLoop &loop, Ledger &ledger, const std::string &program, const std::string &folder, std::uint64_t seed, const std::string &extraSettings)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_program(program)
    , m_extraSettings(extraSettings)
    , m_proxy(std::make_unique<Test::FaultProxy>())
{
    const auto add = [&](const std::string &name, int domain, bool control) {
        Host host;
        host.name = name;
        host.domain = std::string(1, static_cast<char>('a' + domain));
        host.ip = Test::nextLoopbackIp();
        host.listenIp = Test::nextLoopbackIp();
        host.control = control;
        host.callerAddress = at(host.listenIp, "80" + std::string(control ? "91" : "90"));
        host.operatorAddress = at(host.listenIp, "8092");
        host.folder = folder + '/' + name;
        std::filesystem::create_directories(host.folder + "/data");
        m_proxy->addTarget(at(host.ip, peerPort), at(host.listenIp, peerPort));
        m_hosts.push_back(std::move(host));
    };
    for (int i = 0; i < domains; ++i) {
        add("control-" + std::to_string(i), i, true);
    }
    for (int i = 0; i < domains * nodesPerDomain; ++i) {
        add("node-" + std::to_string(i), i % domains, false);
        const Host &node = m_hosts.back();
        m_proxy->addTarget(at(node.ip, serverPort), at(node.listenIp, serverPort));
        const std::string service = serviceOf(node);
        m_servers.push_back(std::make_unique<Server>(m_loop,
                                                     m_ledger,
                                                     Server::Plan{"s" + std::to_string(i),
                                                                  service,
                                                                  service == "front" ? "/deep/" : "",
                                                                  node.domain,
                                                                  at(node.listenIp, serverPort),
                                                                  at(node.ip, serverPort),
                                                                  at(node.listenIp, "8093"),
                                                                  node.callerAddress},
                                                     Random(seed + 100 + static_cast<std::uint64_t>(i))));
    }
    for (Host &host : m_hosts) {
        start(host, true);
    }
    for (const auto &server : m_servers) {
        server->start();
    }
}

Fleet::~Fleet() = default;

// The first node of each domain has a server of front, the second one a server of deep.
std::string Fleet::serviceOf(const Host &node) const
{
    return std::stoi(node.name.substr(node.name.find('-') + 1)) < domains ? "front" : "deep";
}

void Fleet::writeSettings(const Host &host, bool first) const
{
    std::ofstream out(host.folder + "/settings.ini", std::ios::trunc);
    out << "role = " << (host.control ? "control" : "node") << "\nname = " << host.name << "\ndomain = " << host.domain << "\nhost = " << host.ip
        << "\nlisten-host = " << host.listenIp << "\npeer-port = " << peerPort << "\nmetrics-port = 9100\nseeds = ";
    for (int i = 0; i < domains; ++i) {
        out << (i > 0 ? "," : "") << at(m_hosts.at(static_cast<std::size_t>(i)).ip, "8092");
    }
    if (host.control) {
        out << "\noperator-address = " << host.operatorAddress << "\ndata-folder = " << host.folder << "/data\nfound-group = " << (first ? "true" : "false");
    } else {
        out << "\ncaller-address = " << host.callerAddress << "\nreadiness-address = " << at(host.listenIp, "8094")
            << "\nannouncement-address = " << at(host.listenIp, "8093") << "\nservice = " << serviceOf(host)
            << "\nupstream-address = " << at(host.ip, serverPort);
    }
    out << "\ntolerated-hosts = 1\nwithdrawal-s = " << Ledger::withdrawalMs / 1'000
        << "\nstop-s = 6\nretry-ratio = 0.2\nretry-per-window = 50\nretry-window-s = 10\n"
        << m_extraSettings;
}

void Fleet::start(Host &host, bool first)
{
    writeSettings(host, first);
    host.frozen = false;
    host.stopping = false;
    host.signalled = false;
    host.large = false;
    host.logBytesBefore = logBytes(host);
    const std::string settings = host.folder + "/settings.ini";
    ::setenv("YUCCAGRADE_BOOT", settings.c_str(), 1);
    host.process = std::make_unique<Test::Process>(std::vector<std::string>{m_program, "--platform"}, host.folder + "/log", host.folder + "/errors");
}

void Fleet::kill(Host &host)
{
    if (host.process) {
        host.process->kill();
        host.process.reset();
    }
}

void Fleet::stop(Host &host)
{
    if (host.process) {
        host.stopping = true;
        host.signalled = true;
        host.process->terminate();
    }
}

bool Fleet::hasBegun(const Host &host)
{
    return logBytes(host) > host.logBytesBefore;
}

void Fleet::hangUp(Host &host)
{
    if (host.process) {
        host.signalled = true;
        ::kill(host.process->pid(), SIGHUP);
    }
}

long Fleet::peakKiB(const Host &host)
{
    if (!host.process) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(host.process->pid()) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            return std::stol(line.substr(name.size()));
        }
    }
    return 0;
}

void Fleet::wipe(Host &host)
{
    kill(host);
    std::filesystem::remove_all(host.folder + "/data");
    std::filesystem::create_directories(host.folder + "/data");
}

void Fleet::setPath(const Host &from, const Host &to, const Test::FaultRule &rule)
{
    m_proxy->setRule(from.ip, at(to.ip, peerPort), rule);
}

void Fleet::setServerPath(std::size_t index, const Test::FaultRule &rule)
{
    const Host &node = m_hosts.at(static_cast<std::size_t>(domains) + index);
    m_proxy->setRule(node.ip, at(node.ip, serverPort), rule);
}

void Fleet::heal()
{
    m_proxy->clearRules();
}
}
