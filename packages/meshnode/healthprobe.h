#pragma once

#include "mesh/protocoladapter.h"
#include "net/tcp.h"

#include <functional>
#include <memory>
#include <string>

namespace Yuccagrade::Mesh
{
/// Asks an upstream once for its health. A node that was restarted beside a running upstream learns of it at once, not
/// with the next heartbeat.
class HealthProbe
{
public:
    /// A healthy upstream answered with its id and slots.
    std::function<void(const std::string &id, int slots)> onHealthy;

    HealthProbe(EventLoop &loop, const ProtocolAdapter &adapter);
    /// Sends the question; an earlier one is given up.
    void ask(const std::string &address, const std::string &path, const std::string &sourceIp);

private:
    void read(std::string_view data);

    EventLoop &m_loop;
    const ProtocolAdapter &m_adapter;
    std::shared_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpReader> m_reader;
};
}
