#pragma once

#include "base/metrics.h"
#include "config/settings.h"
#include "protocol/peerlink.h"

#include <functional>
#include <memory>
#include <string>

namespace Yuccagrade
{
/// What every process of the system has: event loop, log, peer and operator listeners, authentication, shutdown.
class ProcessHost
{
public:
    using Handler = HttpServer::Handler;

    explicit ProcessHost(const Settings &settings);
    ~ProcessHost();

    /// Reads the secrets and opens the listeners. Errors are logged; returns false if the process cannot run.
    bool open();
    /// Serves until the process has drained. Returns the exit code.
    int run();

    /// Handles requests of peers other than /rpc. Set before open().
    Handler peerHandler;
    /// Handles authenticated operator requests other than /metrics and /v1/drain. Set before open().
    Handler operatorHandler;
    /// Starts the drain of the owner; called once.
    std::function<void()> drainHook;
    /// Returns true when the owner has finished all its work.
    std::function<bool()> isDrained;
    /// A listener of the owner that takes part in the shutdown; may be null.
    HttpServer *ownerServer = nullptr;
    /// Called before /metrics answers, to refresh gauges.
    std::function<void(Metrics &)> metricsHook;

    const Settings &settings() const
    {
        return m_settings;
    }
    const PeerIdentity &identity() const
    {
        return m_auth->identity();
    }
    EventLoop &loop()
    {
        return m_loop;
    }
    EventLog &log()
    {
        return m_log;
    }
    Metrics &metrics()
    {
        return m_metrics;
    }
    HttpClient &client()
    {
        return m_client;
    }
    PeerAuth &auth()
    {
        return *m_auth;
    }
    PeerLink &link()
    {
        return *m_link;
    }
    /// The cluster secret; valid after open().
    const std::string &clusterSecret() const
    {
        return m_clusterSecret;
    }
    /// Announces draining to peers and ends the process once all work is finished.
    void drain();

private:
    bool readSecrets();
    bool listen(std::unique_ptr<HttpServer> &server, const std::string &address, Handler handler);
    void handlePeer(const std::shared_ptr<HttpExchange> &exchange);
    void handleOperator(const std::shared_ptr<HttpExchange> &exchange);
    void checkDrained();
    void countTraffic();
    std::vector<HttpServer *> servers() const;

    Settings m_settings;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    HttpClient m_client;
    std::string m_clusterSecret;
    std::string m_operatorSecret;
    std::unique_ptr<PeerAuth> m_auth;
    std::unique_ptr<PeerLink> m_link;
    std::unique_ptr<HttpServer> m_peerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    bool m_draining = false;
    TimeMs m_announcedAt = 0; ///< when peers have learned of the drain
    TimeMs m_lastClosedAt = 0; ///< when idle connections are closed; 0 while the sockets listen
};

/// Returns the IP number of an address "ip:port".
std::string ipOf(const std::string &address);
/// Returns a JSON response.
HttpResponse jsonResponse(int status, const Json::Value &body);
}
