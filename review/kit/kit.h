// Stand-ins of the review: clients, application servers and the platform, on loopback addresses.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace Review
{
/// Exit codes of a case.
enum ExitCode { RuleHeld = 0, RuleBroken = 1, NotRun = 2 };

/// Time of the steady clock in ms.
double nowMs();
void sleepMs(double ms);
void sleepUntilMs(double atMs);
/// Returns false if @p condition did not hold within @p boundMs.
bool waitFor(const std::function<bool()> &condition, double boundMs);
/// True unless the environment asks for a run without the disruption.
bool isTroubleWanted();

/// What was sent, answered and run; written to record.txt.
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
    std::FILE *m_file;
    double m_startMs;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// An HTTP/1.1 message.
struct Message {
    std::string startLine;
    Fields fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A blocking connection. All waits end at the given time.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// A slow link: small segments and a small receive buffer; 0 leaves the default.
    struct Link {
        int segmentBytes = 0;
        int receiveBytes = 0;
    };
    static std::shared_ptr<Connection> open(const std::string &address, Link link);
    static std::shared_ptr<Connection> open(const std::string &address);

    bool write(std::string_view data, double untilMs);
    /// Reads a whole message. Returns nothing if the connection ends or the time is over before.
    std::optional<Message> read(double untilMs);
    /// Reads at most @p bytesPerS.
    void limitReading(double bytesPerS)
    {
        m_bytesPerS = bytesPerS;
    }
    /// Body bytes of the last message that was read, whole or not.
    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }
    /// True after the peer ended the connection.
    bool isEnded() const
    {
        return m_ended;
    }
    /// Unblocks a thread that reads.
    void shutDown();

private:
    bool fill(double untilMs);

    int m_descriptor;
    std::string m_input;
    double m_bytesPerS = 0;
    double m_readFromMs = 0;
    double m_readBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_ended = false;
};

std::string renderRequest(const std::string &method, const std::string &target, const Fields &fields, const std::string &body);
std::string renderAnswer(int status, const Fields &fields, const std::string &body);

/// Accepts connections and serves each in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const std::string &address, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    void run();

    Handler m_handler;
    int m_descriptor = -1;
    std::atomic<bool> m_stop = false;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/// A host of the platform with its process.
struct Host {
    std::string name;
    std::string zone;
    std::string ip;
    std::string service; ///< empty for a control host
    std::string folder;
    pid_t pid = 0;

    bool isControl() const
    {
        return service.empty();
    }
    std::string outbound() const
    {
        return ip + ":8548";
    }
    std::string ready() const
    {
        return ip + ":8546";
    }
    std::string control() const
    {
        return ip + ":8540";
    }
    std::string app() const
    {
        return ip + ":8547";
    }
};

/// The platform: settings, processes, the operator. Three control hosts, and a node for each service given.
class Platform
{
public:
    Platform(Record &record, const std::string &program, const std::vector<std::string> &services);
    ~Platform();
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    Host &node(std::size_t index)
    {
        return m_hosts.at(controls + index);
    }
    std::size_t nodes() const
    {
        return m_hosts.size() - controls;
    }
    void startAll();
    /// @p first is true when the whole system starts for the first time.
    void start(Host &host, bool first);
    void signal(const Host &host, int number);
    /// Sends SIGKILL and waits for the end.
    void kill(Host &host);
    /// Returns true if the process of the host has ended by itself; it is reaped then.
    static bool hasEnded(Host &host);
    /// Returns the anonymous memory of the process.
    static long residentKiB(const Host &host);
    /// Sends a desired state until it is acknowledged.
    bool put(const std::string &document, const std::string &baseVersion, double boundMs);
    /// Waits until all nodes answer the status check.
    bool waitReady(double boundMs);
    static bool isReady(const Host &host);

    static constexpr std::size_t controls = 3;
    static constexpr double graceMs = 6'000;

private:
    void writeSettings(const Host &host, bool first) const;

    Record &m_record;
    std::string m_program;
    std::string m_folder;
    std::vector<Host> m_hosts; ///< control hosts first
};

/// An application server beside a node. It announces itself and answers what it is sent.
class Server
{
public:
    /// Returns the body of the answer; runs in the thread of the connection.
    using Work = std::function<std::string(const Message &)>;

    /// @p clockMs is added to the time of day of the server's machine.
    Server(Record &record, const Host &host, std::string id, Work work, std::int64_t clockMs = 0);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    /// Start of the server by the clock of its machine, in Unix ms.
    std::int64_t born() const
    {
        return m_born;
    }
    /// Sends a ping and returns true if it was acknowledged.
    bool ping();
    /// Renders the next ping, to be sent later by deliver().
    std::string nextPing();
    bool deliver(const std::string &ping);
    bool deregister();
    void stopPings()
    {
        m_pings = false;
    }
    /// Health is bad, answers close their connections, and pings say that the server drains from now on.
    void leave()
    {
        m_leaving = true;
    }
    /// Rejects this part of the requests without running them.
    void setRejectedShare(double share)
    {
        m_rejectedShare = share;
    }
    /// Called for each request that arrives, with its id and whether it runs.
    std::function<void(const std::string &id, bool runs)> onArrival;

private:
    void serve(Connection &connection);
    void run();

    Record &m_record;
    Host m_host;
    std::string m_id;
    Work m_work;
    std::int64_t m_born;
    std::atomic<int> m_sequence = 0;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_pings = true;
    std::atomic<bool> m_leaving = false;
    std::atomic<double> m_rejectedShare = 0;
    std::atomic<bool> m_stop = false;
    std::unique_ptr<Listener> m_listener;
    std::thread m_thread;
};

/// Number of slots that each server announces.
inline constexpr int slots = 40;

struct RoutePlan {
    std::string name;
    std::string prefix;
    std::string type; ///< safe or unsafe
    std::string services; ///< the member "service" or "weightedServices" as JSON
    double timeoutS = 10;
    int maxAttempts = 2;
};
std::string renderState(const std::string &version, const std::vector<RoutePlan> &routes, const std::vector<std::string> &services, int idleTimeoutS = 15);

/// Request of a client with the fields that PROTOCOL.md names.
std::string clientRequest(const std::string &method, const std::string &target, const std::string &id, int timeLeftMs, const std::string &body = {});

/// Paths of a run, from the command line: the program and the folder of the case.
struct Arguments {
    std::string program;
    std::string folder;
};
Arguments parseArguments(int argc, char **argv);
}
