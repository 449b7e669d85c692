#include "healthprobe.h"

namespace Yuccagrade::Mesh
{
namespace
{
constexpr int statusOk = 200;
constexpr std::size_t maxBodyBytes = 65'536;
}

HealthProbe::HealthProbe(EventLoop &loop, const ProtocolAdapter &adapter)
    : m_loop(loop)
    , m_adapter(adapter)
{
}

void HealthProbe::sendRequest(const std::string &address, const std::string &path, const std::string &sourceIp)
{
    m_stream = TcpStream::connect(m_loop, address, sourceIp);
    if (!m_stream) {
        return;
    }
    m_reader = std::make_unique<HttpReader>(HttpReader::Kind::Response, HttpReaderLimits{HttpReaderLimits().maxHeaderBytes, maxBodyBytes});
    m_address = address;
    m_stream->onData = [this](std::string_view data) {
        read(data);
    };
    m_stream->write("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n");
}

void HealthProbe::read(std::string_view data)
{
    m_reader->read(data);
    if (m_reader->state() == HttpReader::State::Reading) {
        return;
    }
    if (m_reader->state() == HttpReader::State::Malformed) {
        m_stream->close();
        onMalformed(m_address, describeDefect(*m_reader));
        return;
    }
    const bool complete = m_reader->state() == HttpReader::State::Complete;
    const HttpMessage message = m_reader->take();
    m_stream->close();
    const UpstreamAnswer answer = m_adapter.readAnswer(message);
    if (complete && message.status == statusOk && !answer.upstreamId.empty()) {
        onHealthy(answer.upstreamId, answer.load ? answer.load->limit : 0, answer.coldLeftMs);
    }
}
}
