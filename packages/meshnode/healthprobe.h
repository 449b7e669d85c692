#pragma once

#include "mesh/protocoladapter.h"
#include "net/tcp.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Yuccagrade::Mesh
{
/// Sends a health request to an upstream. A restarted node thereby finds a running upstream before its next heartbeat.
class HealthProbe
{
public:
    /// Called with the id, the slots and the remaining warm-up time of an upstream that responded with status 200; slots are 0 if not
    /// stated.
    std::function<void(const std::string &id, int slots, std::optional<double> coldLeftMs)> onHealthy;

    /// Called with the address of an upstream whose response was malformed, and the defect.
    std::function<void(const std::string &address, const std::string &defect)> onMalformed;

    HealthProbe(EventLoop &loop, const ProtocolAdapter &adapter);
    /// Sends a health request; a pending one is abandoned.
    void sendRequest(const std::string &address, const std::string &path, const std::string &sourceIp);

private:
    void read(std::string_view data);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    std::string m_address;
    std::shared_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpReader> m_reader;
};
}
