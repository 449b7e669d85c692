#pragma once

#include "base/random.h"
#include "net/httpport.h"
#include "serverport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade::Soak
{
/// What callers sent and servers ran, and which promises were broken. It sees only what crosses the sockets of the stand-ins.
class Ledger
{
public:
    /// A request as its caller sent it.
    struct Request {
        bool idempotent = true;
        std::string key = {}; ///< empty for none
        bool open = false; ///< its route needs no key, as those of nested calls
        std::string callerService = {}; ///< of the host where it began
        std::string body = {};
        std::string service = {}; ///< that its route leads to
        std::string route = {}; ///< empty for a route that all configurations have
        bool repeated = false; ///< nested call of a run that was a repeat
        double sentMs = 0;
        int arrivals = 0;
        int runs = 0;
        bool refused = false; ///< answered with a status that promises that it does not run
    };

    explicit Ledger(const EventLoop &loop)
        : m_loop(loop)
    {
    }
    void violation(const std::string &text);
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    Request &sent(const std::string &id, Request request);
    /// A request arrives at a server, which may decline it.
    void arrived(const std::string &id);
    /// A server starts to run a request.
    void runs(const std::string &id, const HttpMessage &message, const std::string &server);
    /// A caller got an answer; nothing if the connection ended or the caller gave up.
    void answered(const std::string &id, const std::optional<HttpMessage> &answer);
    void keyWithdrawn(const std::string &key);
    void routeDropped(const std::string &route);
    /// Called with the id of each request that a server starts to run, if set.
    std::function<void(const std::string &id)> onRun;
    /// Returns true if every configuration that may be in force allows a request.
    std::function<bool(const Request &)> isAllowed;
    /// Returns true if some configuration that may be in force allows a request.
    std::function<bool(const Request &)> mayRun;
    /// Number of times that a request has run.
    int runsOf(const std::string &id) const;
    /// Checks the budget of repeated sends in each window.
    void checkRetryBudget();

    /// Time after the acknowledgement at which a withdrawn key or a dropped route must not work any more.
    static constexpr double withdrawalMs = 3'000;
    /// In a window a service gets at most this part of its requests and this number of further arrivals.
    static constexpr double retryRatio = 0.2;
    static constexpr double retryPerWindow = 50;
    static constexpr double retryWindowMs = 10'000;

private:
    const EventLoop &m_loop;
    std::map<std::string, Request> m_requests;
    std::map<std::string, double> m_withdrawnMs;
    std::map<std::string, double> m_droppedMs;
    std::map<std::string, std::vector<double>> m_sentMs; ///< by service
    std::map<std::string, std::vector<double>> m_repeatedMs; ///< arrivals beyond the first, by service
    std::vector<std::string> m_violations;
};

/// Returns the body that a server gives to a request.
std::string answerBody(const std::string &id);

/// A connection of a caller that carries one request at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using Done = std::function<void(std::optional<HttpMessage>)>;

    static std::shared_ptr<CallerConnection> open(EventLoop &loop, const std::string &address, Ledger &ledger);
    ~CallerConnection();
    /// Sends a request; @p done runs once, with nothing if no complete answer came within @p timeoutMs.
    void send(const std::string &text, TimeMs timeoutMs, Done done);
    bool isIdle() const
    {
        return m_stream && m_stream->isOpen() && !m_done && m_reusable;
    }

private:
    CallerConnection(EventLoop &loop, Ledger &ledger, std::shared_ptr<TcpStream> stream);
    void read(std::string_view data);
    void finish(std::optional<HttpMessage> answer);

    EventLoop &m_loop;
    Ledger &m_ledger;
    std::shared_ptr<TcpStream> m_stream;
    HttpReader m_reader{HttpReader::Kind::Response};
    Done m_done;
    TimerId m_timer = 0;
    bool m_reusable = true;
};

/// Returns the text of a request with the given header fields.
std::string renderRequest(const std::string &method, const std::string &target, const std::vector<HttpMessage::Field> &fields, const std::string &body);

/// An application server with its announcements.
class Server
{
public:
    struct Plan {
        std::string name;
        std::string service;
        std::string calls; ///< path of its nested calls, empty for none
        std::string domain;
        std::string listenAddress;
        std::string publicAddress; ///< through the proxy
        std::string announceAddress;
        std::string outboundAddress;
    };

    Server(EventLoop &loop, Ledger &ledger, Plan plan, Random random);
    ~Server();
    /// Starts a new incarnation.
    void start();
    /// Ends at once and says nothing.
    void crash();
    /// Announces its drain, leaves some time after the acknowledgement and starts again.
    void restartPlanned();
    /// Runs most requests without success for a while.
    void failMost(TimeMs durationMs);
    /// Breaks the protocol in some responses for a while, by one of @p defects each time.
    void breakResponses(std::vector<Defect> defects, TimeMs durationMs);
    bool isRunning() const
    {
        return m_port != nullptr;
    }
    const std::string &service() const
    {
        return m_plan.service;
    }

private:
    using Connection = std::shared_ptr<ServerConnection>;

    void handle(const Connection &connection, const HttpMessage &message);
    void answer(const Connection &connection, const std::string &id, int status);
    void answerHealthQuestion(const Connection &connection);
    /// The defect of the next response, if any.
    std::optional<Defect> drawDefect(std::uint64_t oneIn);
    /// Writes a response with a defect. Returns false if the proper response is still to be written.
    bool writeBroken(const Connection &connection, Defect defect, const std::string &id);
    void writeUnsigned(const Connection &connection, const std::string &id);
    void writeEndless(const Connection &connection, const std::string &id);
    void announce();

    EventLoop &m_loop;
    Ledger &m_ledger;
    Plan m_plan;
    Random m_random;
    std::unique_ptr<ServerPort> m_port;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    std::string m_id;
    std::uint64_t m_sequence = 0;
    TimeMs m_startedAt = 0;
    double m_drainAckedMs = 0;
    double m_failsUntilMs = 0;
    std::vector<Defect> m_defects;
    double m_brokenUntilMs = 0;
    bool m_draining = false;
    std::uint64_t m_nested = 0;
    std::uint64_t m_incarnation = 0;
    TimerId m_timer = 0;
};
}
