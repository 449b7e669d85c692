#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{
namespace
{
constexpr auto program = "target/apps/yuccagraded/yuccagraded";
constexpr int peerPort = 7000;
constexpr int metricsPort = 9100;
constexpr int controlPort = 8540;
constexpr int inboundPort = 8543;
constexpr int readyPort = 8546;
constexpr int serverPort = 8547;
constexpr int callerPort = 8548;
constexpr double watchPeriodS = 0.005;
constexpr double restartDelayS = 0.5;
constexpr double announcePeriodS = 1.5;
constexpr double announceTimeoutS = 1;
constexpr int slots = 40;
constexpr long kibPerMib = 1'024;
constexpr std::size_t readBytes = 65'536;

const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();

std::mt19937_64 &randomSource()
{
    thread_local std::mt19937_64 source{std::random_device{}()};
    return source;
}

std::string at(const std::string &ip, int port)
{
    return ip + ':' + std::to_string(port);
}

sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::strtol(address.c_str() + colon + 1, nullptr, 10)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int listenOn(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(descriptor, 256) != 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    return descriptor;
}

long peakKib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            return std::strtol(line.c_str() + name.size(), nullptr, 10);
        }
    }
    return 0;
}

// Waits for readiness of a descriptor until a time since the start of the case.
bool waitFor(int descriptor, short events, double untilS)
{
    const double left = untilS - elapsedS();
    pollfd waiting{descriptor, events, 0};
    return left > 0 && ::poll(&waiting, 1, static_cast<int>(left * 1'000) + 1) > 0;
}
}

double elapsedS()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string &path)
    : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    ::close(m_descriptor);
}

void Record::line(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", elapsedS());
    const std::string whole = time + text + '\n';
    const std::lock_guard lock(m_mutex);
    if (::write(m_descriptor, whole.data(), whole.size()) < 0) {
        std::perror("record.txt");
    }
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

int Message::status() const
{
    return startLine.size() > 9 ? static_cast<int>(std::strtol(startLine.c_str() + 9, nullptr, 10)) : 0;
}

Connection::Connection(const std::string &address, int receiveBytes)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBytes > 0) {
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const sockaddr_in target = socketAddress(address);
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
}

Connection::~Connection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

void Connection::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool Connection::send(const std::string &data, double timeoutS)
{
    const double untilS = elapsedS() + timeoutS;
    std::size_t sent = 0;
    while (isOpen() && sent < data.size() && waitFor(m_descriptor, POLLOUT, untilS)) {
        const ssize_t put = ::send(m_descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (put < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        sent += put > 0 ? static_cast<std::size_t>(put) : 0;
    }
    return sent == data.size();
}

bool Connection::fill(double untilS, double bytesPerS)
{
    if (!isOpen() || !waitFor(m_descriptor, POLLIN, untilS)) {
        return false;
    }
    char buffer[readBytes];
    const ssize_t got = ::recv(m_descriptor, buffer, sizeof buffer, 0);
    if (got <= 0) {
        return false;
    }
    m_input.append(buffer, static_cast<std::size_t>(got));
    if (bytesPerS > 0) {
        pause(static_cast<double>(got) / bytesPerS);
    }
    return true;
}

std::optional<Message> Connection::read(double timeoutS, double bytesPerS)
{
    const double untilS = elapsedS() + timeoutS;
    const std::string separator = "\r\n\r\n";
    std::size_t end = m_input.find(separator);
    while (end == std::string::npos) {
        if (!fill(untilS, bytesPerS)) {
            return std::nullopt;
        }
        end = m_input.find(separator);
    }
    Message message;
    std::size_t lineStart = 0;
    while (lineStart < end) {
        const std::size_t lineEnd = m_input.find("\r\n", lineStart);
        const std::string line = m_input.substr(lineStart, lineEnd - lineStart);
        const auto colon = line.find(':');
        if (lineStart == 0) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
        lineStart = lineEnd + 2;
    }
    m_input.erase(0, end + separator.size());
    const std::size_t length = std::strtoull(message.field("Content-Length").c_str(), nullptr, 10);
    while (m_input.size() < length) {
        if (!fill(untilS, bytesPerS)) {
            return std::nullopt;
        }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return message;
}

std::string renderRequest(const std::string &method, const std::string &path, const Fields &fields, const std::string &body)
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

Message call(const std::string &address, const std::string &method, const std::string &path, const Fields &fields, const std::string &body, double timeoutS)
{
    Connection connection(address);
    if (!connection.isOpen() || !connection.send(renderRequest(method, path, fields, body), timeoutS)) {
        return {};
    }
    return connection.read(timeoutS).value_or(Message());
}

std::string Machine::callers() const
{
    return at(ip, callerPort);
}

std::string Machine::announcements() const
{
    return at(ip, controlPort);
}

Platform::Platform(Record &record)
    : m_record(record)
{
    std::string folder = std::filesystem::temp_directory_path().string() + "/review-2-XXXXXX";
    if (!::mkdtemp(folder.data())) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    m_network = "127." + std::to_string(20 + randomSource()() % 200) + '.';
}

Platform::~Platform()
{
    m_stopping = true;
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    for (const auto &machine : m_machines) {
        if (machine->pid > 0) {
            ::kill(machine->pid, SIGKILL);
            ::waitpid(machine->pid, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

Machine &Platform::add(const std::string &name, const std::string &zone, const std::string &service, int memoryMb)
{
    auto machine = std::make_unique<Machine>();
    machine->name = name;
    machine->zone = zone;
    machine->service = service;
    machine->memoryMb = memoryMb;
    machine->ip = m_network + std::to_string(1 + randomSource()() % 250) + '.' + std::to_string(10 + m_machines.size());
    m_machines.push_back(std::move(machine));
    return *m_machines.back();
}

// The settings file is deploy/mesh.ini.in with the values of a small deployment.
void Platform::startProcess(Machine &machine, bool first)
{
    const std::string folder = m_folder + '/' + machine.name;
    std::filesystem::create_directories(folder + "/data");
    std::ofstream out(folder + "/settings.ini", std::ios::trunc);
    std::string seeds;
    std::string zones;
    for (const auto &other : m_machines) {
        if (other->isCore()) {
            seeds += (seeds.empty() ? "" : ",") + at(other->ip, controlPort);
            zones += "regions = " + other->zone + "=region-1\n";
        }
    }
    out << "role = " << (machine.isCore() ? "control" : "node") << "\nname = " << machine.name << "\ndomain = " << machine.zone << "\nhost = " << machine.ip
        << "\npeer-port = " << peerPort << "\nmetrics-port = " << metricsPort << "\nseeds = " << seeds << '\n';
    if (machine.isCore()) {
        out << "operator-address = " << at(machine.ip, controlPort) << "\ndata-folder = " << folder << "/data\nfound-group = " << (first ? "true" : "false")
            << '\n';
    } else {
        out << "caller-address = " << machine.callers() << "\nreadiness-address = " << at(machine.ip, readyPort)
            << "\nannouncement-address = " << machine.announcements() << "\nservice = " << machine.service
            << "\nupstream-address = " << at(machine.ip, serverPort) << '\n'
            << zones;
    }
    out << "memory-mb = " << machine.memoryMb
        << "\ntolerated-hosts = 1\nwithdrawal-s = 5\nstop-s = 6\nretry-ratio = 0.2\nretry-per-window = 49\nretry-window-s = 10\nrate-slack = 20\n";
    out.close();
    // The child of a process with threads may not allocate memory, so its texts are made before.
    std::string name = program;
    std::string option = "--platform";
    std::string path = "PATH=/usr/bin:/bin";
    std::string boot = "YUCCAGRADE_BOOT=" + folder + "/settings.ini";
    const std::string log = folder + "/log";
    char *arguments[] = {name.data(), option.data(), nullptr};
    char *environment[] = {path.data(), boot.data(), nullptr};
    ++machine.starts;
    m_record.line("platform: starts " + machine.name + " (" + machine.ip + ')');
    machine.pid = ::fork();
    if (machine.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
}

void Platform::start(Machine *first, double leadS)
{
    if (first) {
        startProcess(*first, true);
        pause(leadS);
    }
    for (const auto &machine : m_machines) {
        if (machine.get() != first) {
            startProcess(*machine, true);
        }
    }
    m_watcher = std::thread([this] {
        watch();
    });
}

void Platform::kill(Machine &machine)
{
    m_record.line("platform: kills " + machine.name);
    machine.isToBeKilled = true;
}

Machine &Platform::firstCore()
{
    std::vector<Machine *> cores;
    for (const auto &machine : m_machines) {
        if (machine->isCore()) {
            cores.push_back(machine.get());
        }
    }
    if (cores.empty()) {
        throw std::logic_error("no core machine");
    }
    return **std::min_element(cores.begin(), cores.end(), [](const Machine *a, const Machine *b) {
        return a->ip < b->ip;
    });
}

// Kills a process that uses more memory than its machine has, and restarts processes that ended.
void Platform::watch()
{
    std::map<Machine *, double> restartAtS;
    while (!m_stopping) {
        for (const auto &machine : m_machines) {
            if (machine->pid <= 0) {
                if (elapsedS() >= restartAtS[machine.get()]) {
                    startProcess(*machine, false);
                }
                continue;
            }
            if (machine->isToBeKilled.exchange(false)) {
                ::kill(machine->pid, SIGKILL);
            }
            const long peak = peakKib(machine->pid);
            if (peak > machine->memoryMb * kibPerMib) {
                m_record.line("platform: " + machine->name + " used " + std::to_string(peak / kibPerMib) + " MiB of " + std::to_string(machine->memoryMb)
                              + " and is killed");
                ++machine->memoryEnds;
                ::kill(machine->pid, SIGKILL);
                ::waitpid(machine->pid, nullptr, 0);
                machine->pid = -1;
                restartAtS[machine.get()] = elapsedS() + restartDelayS;
            } else if (int status = 0; ::waitpid(machine->pid, &status, WNOHANG) == machine->pid) {
                m_record.line("platform: " + machine->name + " has ended with status " + std::to_string(status));
                machine->pid = -1;
                restartAtS[machine.get()] = elapsedS() + restartDelayS;
            }
        }
        pause(watchPeriodS);
    }
}

bool Platform::put(const std::string &document, const std::string &baseVersion, double timeoutS)
{
    const double untilS = elapsedS() + timeoutS;
    const Fields fields{{"Host", "control"}, {"Content-Type", "application/json"}, {"X-Yuccagrade-Base-Version", baseVersion}};
    while (elapsedS() < untilS) {
        for (const auto &machine : m_machines) {
            if (!machine->isCore()) {
                continue;
            }
            std::string address = machine->announcements();
            for (int hop = 0; hop < 3; ++hop) {
                const Message answer = call(address, "POST", "/Config.Put", fields, document, 1);
                if (answer.status() == 200) {
                    m_record.line("operator: " + machine->name + " acknowledges the state on top of " + baseVersion);
                    return true;
                }
                const std::string location = answer.field("Location");
                if (answer.status() != 307 || location.size() < 8) {
                    break;
                }
                address = location.substr(7, location.find('/', 7) - 7);
            }
        }
        pause(0.2);
    }
    return false;
}

bool Platform::isReady(const Machine &machine) const
{
    return call(at(machine.ip, readyPort), "GET", "/readyz", {{"Host", "ready"}}, {}, 1).status() == 200;
}

bool Platform::waitReady(const Machine &machine, double timeoutS)
{
    const double untilS = elapsedS() + timeoutS;
    while (elapsedS() < untilS) {
        if (isReady(machine)) {
            return true;
        }
        pause(0.1);
    }
    return false;
}

void Runs::add(const Run &run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(run);
    ++m_counts[run.id];
}

int Runs::countAfter(const std::string &server, double atS)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_runs.begin(), m_runs.end(), [&](const Run &run) {
        return run.server == server && run.atS > atS;
    }));
}

int Runs::count(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counts.find(id);
    return found == m_counts.end() ? 0 : found->second;
}

Server::Server(Record &record, Runs &runs, const Machine &machine, Plan plan)
    : m_record(record)
    , m_runs(runs)
    , m_machine(machine)
    , m_plan(std::move(plan))
    , m_id(m_plan.id.empty() ? "i-" + newId().substr(0, 8) : m_plan.id)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() + m_plan.clockAheadMs)
    , m_listener(listenOn(at(machine.ip, serverPort)))
{
    m_threads.emplace_back([this] {
        accept();
    });
    m_threads.emplace_back([this] {
        announce();
    });
}

Server::~Server()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (auto &[thread, connection] : m_connections) {
        if (const auto open = connection.lock()) {
            open->shutDown();
        }
        thread.join();
    }
    ::close(m_listener);
}

void Server::accept()
{
    while (!m_stopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_connections.emplace_back(std::thread([this, connection] {
                                       serve(connection);
                                   }),
                                   connection);
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    constexpr double idleS = 10;
    while (const auto request = connection->read(idleS)) {
        const Message answer = answerTo(*request);
        std::string text = answer.startLine + "\r\n";
        for (const auto &[name, value] : answer.fields) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
        text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        if (!connection->send(text, idleS)) {
            break;
        }
    }
    connection->shutDown();
}

Message Server::answerTo(const Message &request)
{
    const std::string id = request.field("X-Yuccagrade-Request-Id");
    const std::string load = std::to_string(m_running) + ",0," + std::to_string(slots);
    if (request.startLine.starts_with("GET /healthz")) {
        return {"HTTP/1.1 200 OK", {{"X-Yuccagrade-Instance-Id", m_id}, {"X-Yuccagrade-Server-Load", load}}, {}};
    }
    const std::string target = request.field("X-Yuccagrade-Target-Instance");
    if (!target.empty() && target != m_id) {
        return {"HTTP/1.1 421 Misdirected Request", {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Not-Executed", "1"}}, {}};
    }
    m_runs.add({elapsedS(), m_id, id, request.field("Authorization")});
    m_record.line("server " + m_id + " of " + m_machine.name + ": runs " + id + ' ' + request.startLine + ", body of " + std::to_string(request.body.size())
                  + " bytes, tenant '" + request.field("X-Yuccagrade-Tenant") + '\'');
    ++m_running;
    pause(m_plan.workS);
    --m_running;
    return {"HTTP/1.1 200 OK",
            {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Server-Signature", m_id + '.' + id}, {"X-Yuccagrade-Server-Load", load}},
            std::string(m_plan.answerBytes, 'a')};
}

bool Server::ping()
{
    const std::lock_guard lock(m_pingMutex);
    const std::string state = m_draining ? "draining" : "ready";
    const std::string body = R"({"address":")" + at(m_machine.ip, serverPort) + R"(","born":)" + std::to_string(m_born) + R"(,"info":{"service":")"
        + m_machine.service + R"(","version":"v1","zone":")" + m_machine.zone + R"(","slots":)" + std::to_string(slots) + R"(},"status":{"state":")" + state
        + R"(","sequence":)" + std::to_string(++m_sequence) + R"(,"coldRemainingS":0}})";
    const Fields fields{{"Host", "control"}, {"Content-Type", "application/json"}};
    return call(m_machine.announcements(), "POST", "/Instances.Heartbeat/" + m_id, fields, body, announceTimeoutS).status() == 200;
}

void Server::announce()
{
    while (!m_stopping) {
        const double untilS = elapsedS() + (ping() ? announcePeriodS : 0.2);
        while (!m_stopping && elapsedS() < untilS) {
            pause(0.05);
        }
    }
}

bool Server::drain()
{
    m_draining = true;
    const bool isAcknowledged = ping();
    m_record.line("server " + m_id + " of " + m_machine.name + ": says that it is draining, " + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    return isAcknowledged;
}

std::string renderState(const std::string &version, const std::vector<Route> &routes, const std::vector<std::string> &services, const std::string &tenants)
{
    std::string text = R"({"version":")" + version + R"(","routes":[)";
    for (const Route &route : routes) {
        text += (&route == routes.data() ? "" : ",") + std::string(R"({"name":"r-)") + route.name + R"(","host":"hulo84.example","pathPrefix":"/)" + route.name
            + R"(/","routeType":")" + route.type + R"(","timeoutS":)" + std::to_string(route.timeoutS) + R"(,"targetLatencyS":2,"priority":0,"service":")"
            + route.service + R"(","maxAttempts":2,"public":false})";
    }
    text += R"(],"services":[)";
    for (const std::string &service : services) {
        text += (&service == services.data() ? "" : ",") + std::string(R"({"name":")") + service
            + R"(","healthCheck":"/healthz","maxConnections":532,"protocol":"h1","tls":false})";
    }
    return text + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"tenants":)" + tenants + '}';
}

std::string newId()
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(randomSource()()));
    return text;
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}
}
