#include "processhost.h"

#include "base/errc.h"
#include "base/secret.h"
#include "protocol/jsoncodec.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
constexpr auto rpcPath = "/rpc";
constexpr auto bearerPrefix = "Bearer ";
constexpr TimeMs drainCheckMs = 20;
// Peers learn of the drain within two sync periods of 500 ms; until then refused calls go elsewhere.
constexpr TimeMs drainAnnounceMs = 1'500;
constexpr TimeMs idleConnectionMs = 1'000;

std::string sourceIp(const Settings &settings)
{
    return settings.sourceAddress.empty() ? ipOf(settings.peerAdvertise) : settings.sourceAddress;
}
}

std::string ipOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

HttpResponse jsonResponse(int status, const Json::Value &body)
{
    return {status, {{"content-type", "application/json"}}, toText(body)};
}

ProcessHost::ProcessHost(const Settings &settings)
    : m_settings(settings)
    , m_log(m_loop.clock(), settings.id, settings.eventFile, settings.logLevel)
    , m_client(m_loop, sourceIp(settings))
{
    m_log.writeBuild();
    m_metrics.gaugeBuild("yuccagrade_build_info");
}

ProcessHost::~ProcessHost() = default;

bool ProcessHost::readSecrets()
{
    for (const auto &[path, secret] : {std::pair{&m_settings.clusterSecretFile, &m_clusterSecret}, {&m_settings.operatorSecretFile, &m_operatorSecret}}) {
        if (const auto error = readSecretFile(*path, *secret)) {
            m_log.write(Event::SettingsRejected, {{"file", *path}, {"reason", error.message()}});
            return false;
        }
    }
    return true;
}

bool ProcessHost::listen(std::unique_ptr<HttpServer> &server, const std::string &address, Handler handler)
{
    server = std::make_unique<HttpServer>(m_loop, std::move(handler));
    if (const auto error = server->listen(address)) {
        m_log.write(Event::ListenFailed, {{"address", address}, {"reason", error.message()}});
        return false;
    }
    return true;
}

bool ProcessHost::open()
{
    if (!readSecrets()) {
        return false;
    }
    const PeerIdentity identity{m_settings.id, static_cast<std::uint64_t>(m_loop.clock().wall()), m_settings.peerAdvertise};
    m_auth = std::make_unique<PeerAuth>(identity, m_clusterSecret, m_log.hybridClock(), m_loop.clock());
    m_link = std::make_unique<PeerLink>(m_loop, *m_auth, m_client, m_log);
    const bool listening = listen(m_peerServer,
                                  m_settings.peerAddress,
                                  [this](const auto &exchange) {
                                      handlePeer(exchange);
                                  })
        && listen(m_operatorServer, m_settings.operatorAddress, [this](const auto &exchange) {
                               handleOperator(exchange);
                           });
    return listening;
}

int ProcessHost::run()
{
    m_loop.onTerminate([this] {
        drain();
    });
    m_log.write(Event::ProcessStarted, {{"id", m_settings.id}, {"role", std::string(roleName(m_settings.role))}, {"domain", m_settings.domain}});
    m_loop.run();
    m_log.write(Event::ProcessStopped);
    return 0;
}

void ProcessHost::handlePeer(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().path == rpcPath) {
        m_link->handle(exchange);
    } else if (peerHandler) {
        peerHandler(exchange);
    } else {
        exchange->respond({404, {}, {}});
    }
}

void ProcessHost::handleOperator(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (!equalConstantTime(request.header("authorization"), bearerPrefix + m_operatorSecret)) {
        m_log.write(Event::PeerRejected, {{"reason", "operator secret does not match"}, {"from", request.remoteAddress}});
        exchange->respond({401, {}, {}});
    } else if (request.path == "/metrics") {
        countTraffic();
        if (metricsHook) {
            metricsHook(m_metrics);
        }
        exchange->respond({200, {{"content-type", "text/plain; version=0.0.4"}}, m_metrics.text()});
    } else if (request.path == "/v1/drain" && request.method == "POST") {
        exchange->respond(jsonResponse(202, Json::Value(Json::objectValue)));
        drain();
    } else if (operatorHandler) {
        operatorHandler(exchange);
    } else {
        exchange->respond({404, {}, {}});
    }
}

void ProcessHost::countTraffic()
{
    constexpr auto name = "yuccagrade_peer_bytes_total";
    for (const auto &[labels, total] : {std::pair{R"(direction="sent")", m_link->traffic().sent}, {R"(direction="received")", m_link->traffic().received}}) {
        m_metrics.count(name, labels, static_cast<double>(total) - m_metrics.value(name, labels));
    }
}

void ProcessHost::drain()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_log.write(Event::DrainStarted);
    drainHook();
    if (ownerServer) {
        ownerServer->closeAfterResponses();
    }
    m_announcedAt = m_loop.clock().now() + drainAnnounceMs;
    m_loop.every(drainCheckMs, [this] {
        checkDrained();
    });
}

std::vector<HttpServer *> ProcessHost::servers() const
{
    std::vector<HttpServer *> all{m_peerServer.get(), m_operatorServer.get()};
    if (ownerServer) {
        all.push_back(ownerServer);
    }
    return all;
}

// The listening sockets stay open until all work has ended, so that peers and callers get a refusal rather than a reset.
// Connections that are open then have some time to be closed by their clients, since a request may be on its way.
void ProcessHost::checkDrained()
{
    const TimeMs now = m_loop.clock().now();
    const auto all = servers();
    const bool isServing = std::any_of(all.begin(), all.end(), [](const HttpServer *server) {
        return server->pending() > 0;
    });
    if (now < m_announcedAt || isServing || !isDrained()) {
        return;
    }
    if (m_lastClosedAt == 0) {
        m_lastClosedAt = now + idleConnectionMs;
        for (HttpServer *server : all) {
            server->closeAfterResponses();
            server->stopListening();
        }
    }
    const bool isConnected = std::any_of(all.begin(), all.end(), [](const HttpServer *server) {
        return server->connections() > 0;
    });
    if (isConnected && now < m_lastClosedAt) {
        return;
    }
    m_log.write(Event::DrainFinished);
    m_loop.stop();
}
}
