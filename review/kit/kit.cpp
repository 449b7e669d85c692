#include "kit.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{
namespace
{
constexpr double heartbeatMs = 1'500;
constexpr double pingTimeoutMs = 1'000;
constexpr double pollStepMs = 20;
constexpr std::size_t chunkBytes = 65'536;

sockaddr_in parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

bool isEqualName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool waitReadable(int descriptor, short events, double untilMs)
{
    pollfd entry{descriptor, events, 0};
    const double left = untilMs - nowMs();
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left) + 1) > 0;
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void parseHead(const std::string &head, Message &message)
{
    std::size_t at = head.find("\r\n");
    message.startLine = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        at = next;
    }
}
}

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void sleepUntilMs(double atMs)
{
    sleepMs(std::max(0.0, atMs - nowMs()));
}

bool waitFor(const std::function<bool()> &condition, double boundMs)
{
    for (const double until = nowMs() + boundMs; nowMs() < until; sleepMs(pollStepMs)) {
        if (condition()) {
            return true;
        }
    }
    return condition();
}

bool isTroubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "we"))
    , m_startMs(nowMs())
{
    if (!m_file) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    const std::scoped_lock lock(m_mutex);
    std::fprintf(m_file, "%10.1f %s\n", nowMs() - m_startMs, text.c_str());
    std::fflush(m_file);
}

std::string Message::field(std::string_view name) const
{
    for (const auto &[candidate, value] : fields) {
        if (isEqualName(candidate, name)) {
            return value;
        }
    }
    return {};
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const
{
    const std::size_t begin = startLine.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::shared_ptr<Connection> Connection::open(const std::string &address)
{
    return open(address, Link());
}

std::shared_ptr<Connection> Connection::open(const std::string &address, Link link)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    if (link.segmentBytes > 0) {
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &link.segmentBytes, sizeof link.segmentBytes);
    }
    if (link.receiveBytes > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &link.receiveBytes, sizeof link.receiveBytes);
    }
    auto connection = std::make_shared<Connection>(descriptor);
    const sockaddr_in target = parseAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        && (errno != EINPROGRESS || !waitReadable(descriptor, POLLOUT, nowMs() + pingTimeoutMs))) {
        return nullptr;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 ? connection : nullptr;
}

bool Connection::write(std::string_view data, double untilMs)
{
    while (!data.empty()) {
        const ssize_t put = ::send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (put > 0) {
            data.remove_prefix(static_cast<std::size_t>(put));
        } else if ((errno != EAGAIN && errno != EINTR) || !waitReadable(m_descriptor, POLLOUT, untilMs)) {
            return false;
        }
    }
    return true;
}

bool Connection::fill(double untilMs)
{
    std::size_t wanted = chunkBytes;
    if (m_bytesPerS > 0) {
        wanted = 2'048;
        m_readFromMs = m_readFromMs == 0 ? nowMs() : m_readFromMs;
        sleepUntilMs(std::min(untilMs, m_readFromMs + m_readBytes / m_bytesPerS * 1'000));
    }
    std::string buffer(wanted, '\0');
    while (waitReadable(m_descriptor, POLLIN, untilMs)) {
        const ssize_t got = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (got > 0) {
            m_input.append(buffer, 0, static_cast<std::size_t>(got));
            m_readBytes += static_cast<double>(got);
            return true;
        }
        if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
            m_ended = true;
            return false;
        }
    }
    return false;
}

std::optional<Message> Connection::read(double untilMs)
{
    m_bodyBytes = 0;
    std::size_t end = std::string::npos;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(untilMs)) {
            return std::nullopt;
        }
    }
    Message message;
    parseHead(m_input.substr(0, end), message);
    m_input.erase(0, end + 4);
    const std::string length = message.field("Content-Length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    while (m_input.size() < wanted) {
        m_bodyBytes = m_input.size();
        if (!fill(untilMs)) {
            return std::nullopt;
        }
    }
    m_bodyBytes = wanted;
    message.body = m_input.substr(0, wanted);
    m_input.erase(0, wanted);
    return message;
}

void Connection::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string renderRequest(const std::string &method, const std::string &target, const Fields &fields, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string renderAnswer(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Listener::Listener(const std::string &address, Handler handler)
    : m_handler(std::move(handler))
    , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = parseAddress(address);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_descriptor, 512) != 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    m_thread = std::thread([this] {
        run();
    });
}

Listener::~Listener()
{
    m_stop = true;
    m_thread.join();
    ::close(m_descriptor);
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &entry : m_connections) {
            if (const auto connection = entry.lock()) {
                connection->shutDown();
            }
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void Listener::run()
{
    while (!m_stop) {
        if (!waitReadable(m_descriptor, POLLIN, nowMs() + 50)) {
            continue;
        }
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const auto connection = std::make_shared<Connection>(accepted);
        const std::scoped_lock lock(m_mutex);
        m_connections.emplace_back(connection);
        m_threads.emplace_back([this, connection] {
            m_handler(*connection);
        });
    }
}

Platform::Platform(Record &record, const std::string &program, const std::vector<std::string> &services)
    : m_record(record)
    , m_program(program)
{
    std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (!::mkdtemp(folder.data())) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    const int self = ::getpid();
    const std::string network = "127." + std::to_string(64 + self % 120) + '.' + std::to_string(self / 120 % 250) + '.';
    const std::vector<std::string> zones{"milano-a", "padova-a", "torino-a"};
    for (std::size_t i = 0; i < controls + services.size(); ++i) {
        Host host;
        const bool control = i < controls;
        const std::size_t number = control ? i : i - controls;
        host.zone = zones.at(number % zones.size());
        host.service = control ? "" : services.at(number);
        host.name = (control ? "core-" : "sidecar-") + host.zone + '-' + std::to_string(number / zones.size() + 1);
        host.ip = network + std::to_string(i + 1);
        host.folder = m_folder + '/' + host.name;
        std::filesystem::create_directories(host.folder + "/data");
        m_hosts.push_back(std::move(host));
    }
}

Platform::~Platform()
{
    for (Host &host : m_hosts) {
        kill(host);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

// The fields of deploy/mesh.ini.in with the bounds of the site scambio-nord.
void Platform::writeSettings(const Host &host, bool first) const
{
    std::ofstream out(host.folder + "/settings.ini", std::ios::trunc);
    out << "role = " << (host.isControl() ? "control" : "node") << "\nname = " << host.name << "\ndomain = " << host.zone << "\nhost = " << host.ip
        << "\npeer-port = 7000\nmetrics-port = 9100\nseeds = ";
    for (std::size_t i = 0; i < controls; ++i) {
        out << (i > 0 ? "," : "") << m_hosts.at(i).control();
    }
    if (host.isControl()) {
        out << "\noperator-address = " << host.control() << "\ndata-folder = " << host.folder << "/data\nfound-group = " << (first ? "true" : "false");
    } else {
        out << "\ncaller-address = " << host.outbound() << "\nreadiness-address = " << host.ready() << "\nannouncement-address = " << host.control()
            << "\nservice = " << host.service << "\nupstream-address = " << host.app();
    }
    out << "\ntolerated-hosts = 1\nwithdrawal-s = 5\nstop-s = 6\nretry-ratio = 0.2\nretry-per-window = 49\nretry-window-s = 10\nrate-slack = 20\n";
}

void Platform::startAll()
{
    for (Host &host : m_hosts) {
        start(host, true);
    }
}

void Platform::start(Host &host, bool first)
{
    writeSettings(host, first);
    const std::string variable = "YUCCAGRADE_BOOT=" + host.folder + "/settings.ini";
    std::vector<char *> environment;
    for (char **entry = environ; *entry; ++entry) {
        environment.push_back(*entry);
    }
    environment.push_back(const_cast<char *>(variable.c_str()));
    environment.push_back(nullptr);
    std::string program = m_program;
    std::string option = "--platform";
    char *const arguments[] = {program.data(), option.data(), nullptr};
    const std::string log = host.folder + "/log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&host.pid, program.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + program);
    }
    m_record.line("platform: start of " + host.name + " at " + host.ip);
}

void Platform::signal(const Host &host, int number)
{
    if (host.pid > 0) {
        m_record.line("platform: signal " + std::to_string(number) + " to " + host.name);
        ::kill(host.pid, number);
    }
}

void Platform::kill(Host &host)
{
    if (host.pid > 0) {
        ::kill(host.pid, SIGKILL);
        ::waitpid(host.pid, nullptr, 0);
        host.pid = 0;
    }
}

bool Platform::hasEnded(Host &host)
{
    if (host.pid > 0 && ::waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
        host.pid = 0;
    }
    return host.pid == 0;
}

long Platform::residentKiB(const Host &host)
{
    std::ifstream file("/proc/" + std::to_string(host.pid) + "/status");
    const std::string name = "RssAnon:"; // without the pages of the program itself
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            return std::stol(line.substr(name.size()));
        }
    }
    return 0;
}

bool Platform::put(const std::string &document, const std::string &baseVersion, double boundMs)
{
    const double until = nowMs() + boundMs;
    for (std::size_t turn = 0; nowMs() < until; ++turn) {
        std::string address = m_hosts.at(turn % controls).control();
        for (int redirects = 0; redirects <= 2; ++redirects) {
            const auto connection = Connection::open(address);
            const Fields fields{{"Host", address}, {"Content-Type", "application/json"}, {"X-Yuccagrade-Base-Version", baseVersion}};
            if (!connection || !connection->write(renderRequest("POST", "/Config.Put", fields, document), nowMs() + pingTimeoutMs)) {
                break;
            }
            const auto answer = connection->read(nowMs() + pingTimeoutMs);
            const int status = answer ? answer->status() : 0;
            if (status != 307) {
                std::string line = "operator: base " + baseVersion;
                line.append(" at ").append(address).append(" answered ").append(std::to_string(status));
                m_record.line(line);
            }
            if (status == 200) {
                return true;
            }
            if (status == 400 || status == 412) {
                return false;
            }
            if (status != 307) {
                break;
            }
            const std::string location = answer->field("Location").substr(std::strlen("http://"));
            address = location.substr(0, location.find('/'));
        }
        sleepMs(200);
    }
    return false;
}

bool Platform::isReady(const Host &host)
{
    const auto connection = Connection::open(host.ready());
    if (!connection || !connection->write(renderRequest("GET", "/readyz", {{"Host", host.ready()}}, {}), nowMs() + pingTimeoutMs)) {
        return false;
    }
    const auto answer = connection->read(nowMs() + pingTimeoutMs);
    return answer && answer->status() == 200;
}

bool Platform::waitReady(double boundMs)
{
    return waitFor(
        [this] {
            return std::all_of(m_hosts.begin() + controls, m_hosts.end(), isReady);
        },
        boundMs);
}

Server::Server(Record &record, const Host &host, std::string id, Work work, std::int64_t clockMs)
    : m_record(record)
    , m_host(host)
    , m_id(std::move(id))
    , m_work(std::move(work))
    , m_born(wallMs() + clockMs)
{
    m_listener = std::make_unique<Listener>(m_host.app(), [this](Connection &connection) {
        serve(connection);
    });
    m_thread = std::thread([this] {
        run();
    });
}

Server::~Server()
{
    m_stop = true;
    m_thread.join();
    m_listener.reset();
}

void Server::run()
{
    double nextMs = 0;
    while (!m_stop) {
        if (m_pings && nowMs() >= nextMs) {
            const bool acknowledged = ping();
            nextMs = nowMs() + (acknowledged ? heartbeatMs : 200);
        }
        sleepMs(pollStepMs);
    }
}

bool Server::ping()
{
    return deliver(nextPing());
}

std::string Server::nextPing()
{
    const std::string body = "{\"address\":\"" + m_host.app() + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" + m_host.service
        + R"(","version":"v1","zone":")" + m_host.zone + "\",\"slots\":" + std::to_string(slots) + R"(},"status":{"state":")"
        + (m_leaving ? "draining" : "ready") + R"(","sequence":)" + std::to_string(++m_sequence) + ",\"coldRemainingS\":0}}";
    return renderRequest("POST", "/Instances.Heartbeat/" + m_id, {{"Host", m_host.control()}, {"Content-Type", "application/json"}}, body);
}

bool Server::deliver(const std::string &ping)
{
    const auto connection = Connection::open(m_host.control());
    if (!connection || !connection->write(ping, nowMs() + pingTimeoutMs)) {
        return false;
    }
    const auto answer = connection->read(nowMs() + pingTimeoutMs);
    return answer && answer->status() / 100 == 2;
}

bool Server::deregister()
{
    const std::string body = "{\"born\":" + std::to_string(m_born) + "}";
    return deliver(renderRequest("POST", "/Instances.Deregister/" + m_id, {{"Host", m_host.control()}, {"Content-Type", "application/json"}}, body));
}

void Server::serve(Connection &connection)
{
    constexpr double idleMs = 10'000;
    while (!m_stop) {
        const auto request = connection.read(nowMs() + idleMs);
        if (!request) {
            return;
        }
        const std::string id = request->field("X-Yuccagrade-Request-Id");
        const std::string load = std::to_string(m_running) + ",0," + std::to_string(slots);
        if (request->target() == "/healthz" && id.empty()) {
            const int status = m_leaving ? 503 : 200;
            connection.write(renderAnswer(status, {{"X-Yuccagrade-Instance-Id", m_id}, {"X-Yuccagrade-Server-Load", load}}, {}), nowMs() + idleMs);
            continue;
        }
        const std::string target = request->field("X-Yuccagrade-Target-Instance");
        if (!target.empty() && target != m_id) {
            connection.write(renderAnswer(421, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Not-Executed", "instance"}}, {}), nowMs() + idleMs);
            continue;
        }
        const bool rejected = m_rejectedShare > 0 && static_cast<double>(std::hash<std::string>()(id + m_id) % 1'000) < m_rejectedShare * 1'000;
        if (onArrival) {
            onArrival(id, !rejected);
        }
        if (rejected) {
            connection.write(renderAnswer(503, {{"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Not-Executed", "full"}}, {}), nowMs() + idleMs);
            continue;
        }
        ++m_running;
        m_record.line("server " + m_id + ": runs " + id);
        const std::string body = m_work(*request);
        --m_running;
        Fields fields{{"X-Yuccagrade-Request-Id", id},
                      {"X-Yuccagrade-Server-Signature", "s." + id + '.' + std::to_string(body.size())},
                      {"X-Yuccagrade-Server-Load", load},
                      {"Keep-Alive", "timeout=10"}};
        if (m_leaving) {
            fields.emplace_back("Connection", "close");
        }
        const bool sent = connection.write(renderAnswer(200, fields, body), nowMs() + idleMs);
        m_record.line("server " + m_id + ": answered " + id + (sent ? " whole, " : " in part, ") + std::to_string(body.size()) + " bytes");
        if (m_leaving) {
            connection.shutDown();
            return;
        }
    }
}

std::string renderState(const std::string &version, const std::vector<RoutePlan> &routes, const std::vector<std::string> &services, int idleTimeoutS)
{
    std::string text = R"({"version":")" + version + R"(","routes":[)";
    for (const RoutePlan &route : routes) {
        text += (text.back() == '[' ? "" : ",") + (R"({"name":")" + route.name + R"(","host":"hulo84.example","pathPrefix":")") + route.prefix
            + R"(","routeType":")" + route.type + R"(","timeoutS":)" + std::to_string(route.timeoutS) + R"(,"targetLatencyS":1.5,"priority":0,)"
            + route.services + R"(,"maxAttempts":)" + std::to_string(route.maxAttempts) + R"(,"public":false})";
    }
    text += R"(],"services":[)";
    for (const std::string &service : services) {
        text +=
            (text.back() == '[' ? "" : ",") + (R"({"name":")" + service) + R"(","healthCheck":"/healthz","maxConnections":370,"protocol":"h1","tls":false})";
    }
    return text + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":)" + std::to_string(idleTimeoutS) + "}}";
}

std::string clientRequest(const std::string &method, const std::string &target, const std::string &id, int timeLeftMs, const std::string &body)
{
    return renderRequest(method,
                         target,
                         {{"Host", "hulo84.example"}, {"X-Yuccagrade-Request-Id", id}, {"X-Yuccagrade-Deadline-Ms", std::to_string(timeLeftMs)}},
                         body);
}

Arguments parseArguments(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s PROGRAM FOLDER\n", argv[0]);
        std::exit(NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    return {argv[1], argv[2]};
}
}
