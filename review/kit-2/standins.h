// Stand-ins of the second review: the platform's process manager, an application server, and HTTP clients. All on loopback.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review
{
/// Returns the time since the start of the case in seconds.
double elapsedS();
void pause(double seconds);

/// Writes record.txt: what was sent, answered and run, one line each.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

private:
    std::mutex m_mutex;
    int m_descriptor;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A message as it was read; nothing is left out of the body.
struct Message {
    std::string startLine;
    Fields fields;
    std::string body;

    std::string field(const std::string &name) const;
    int status() const;
};

/// A TCP connection with blocking calls that end at a time limit.
class Connection
{
public:
    /// Connects to "ip:port". @p receiveBytes bounds the receive buffer, 0 leaves it to the system.
    explicit Connection(const std::string &address, int receiveBytes = 0);
    /// Takes over an accepted connection.
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    /// Returns false if the peer closed the connection or the time is over.
    bool send(const std::string &data, double timeoutS);
    /// Reads one message with a Content-Length or without a body. Nothing if the connection ended before its end.
    /// @p bytesPerS bounds the speed of reading, 0 does not.
    std::optional<Message> read(double timeoutS, double bytesPerS = 0);
    /// Ends a blocked read of another thread.
    void shutDown() const;

private:
    bool fill(double untilS, double bytesPerS);

    int m_descriptor = -1;
    std::string m_input;
};

/// Renders a request with a Content-Length if it has a body or is no GET.
std::string renderRequest(const std::string &method, const std::string &path, const Fields &fields, const std::string &body = {});
/// Sends a request on a new connection. Status 0 if there is no whole answer.
Message call(const std::string &address, const std::string &method, const std::string &path, const Fields &fields, const std::string &body, double timeoutS);

/// A machine with one process of the mesh.
struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    std::string service; ///< of the application server; empty on a core machine
    int memoryMb = 256;
    pid_t pid = -1;
    int starts = 0;
    std::atomic<int> memoryEnds = 0; ///< ends because of more memory than memoryMb
    std::atomic<bool> isToBeKilled = false;

    bool isCore() const
    {
        return service.empty();
    }
    std::string callers() const;
    std::string announcements() const;
};

/// The platform's part: settings files, starts, status checks, the memory limit, restarts of ended processes.
class Platform
{
public:
    explicit Platform(Record &record);
    ~Platform();
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    /// Adds a machine to the deployment. Core machines have no service.
    Machine &add(const std::string &name, const std::string &zone, const std::string &service, int memoryMb);
    /// Starts all processes, @p first the given time before the others.
    void start(Machine *first = nullptr, double leadS = 0);
    /// Kills a process with SIGKILL. It is started again after a short delay.
    void kill(Machine &machine);
    /// Returns the core machine whose address comes first.
    Machine &firstCore();
    /// Sends a desired state in the way of an operator. Returns false if it was not acknowledged in time.
    bool put(const std::string &document, const std::string &baseVersion, double timeoutS);
    /// Waits until the status check of the node succeeds.
    bool waitReady(const Machine &machine, double timeoutS);
    bool isReady(const Machine &machine) const;

private:
    void startProcess(Machine &machine, bool first);
    void watch();

    Record &m_record;
    std::string m_folder;
    std::string m_network; ///< first two numbers of the addresses
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::atomic<bool> m_stopping = false;
    std::thread m_watcher;
};

/// One run of a request at a server.
struct Run {
    double atS;
    std::string server;
    std::string id;
    std::string key; ///< of an Authorization field, which no server may get
};

/// Runs of all servers by request id.
class Runs
{
public:
    void add(const Run &run);
    int count(const std::string &id);
    /// Returns the number of runs at a server that began later than @p atS.
    int countAfter(const std::string &server, double atS);

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::map<std::string, int> m_counts;
};

/// A sound application server beside a node: announces itself, answers the health check, runs requests.
class Server
{
public:
    struct Plan {
        double workS = 0.05;
        std::size_t answerBytes = 100;
        std::string id = {}; ///< a new one if empty
        int clockAheadMs = 0; ///< of the machine's time of day at the start
        bool startsLater = false;
    };

    Server(Record &record, Runs &runs, const Machine &machine, Plan plan);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    /// Announces that the server leaves. Returns true if that was acknowledged; the server serves on.
    bool drain();

private:
    bool ping();
    void accept();
    void serve(const std::shared_ptr<Connection> &connection);
    Message answerTo(const Message &request);
    void announce();

    Record &m_record;
    Runs &m_runs;
    const Machine &m_machine;
    Plan m_plan;
    std::string m_id;
    long long m_born;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_draining = false;
    std::atomic<int> m_running = 0;
    std::mutex m_pingMutex;
    int m_sequence = 0;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<std::pair<std::thread, std::weak_ptr<Connection>>> m_connections;
};

/// One route of a desired state.
struct Route {
    std::string name; ///< also the first part of the path
    std::string type;
    std::string service;
    double timeoutS;
};

/// Renders a desired state in the form of the wire pages. @p tenants is a JSON list.
std::string renderState(const std::string &version, const std::vector<Route> &routes, const std::vector<std::string> &services, const std::string &tenants);

/// Returns a new id of 16 hexadecimal digits.
std::string newId();
/// True unless the environment variable TROUBLE is 0.
bool isTroubled();
}
