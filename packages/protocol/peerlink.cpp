#include "peerlink.h"

#include "base/errc.h"
#include "jsoncodec.h"

namespace Yuccagrade
{
namespace
{
constexpr auto peerHeader = "yuccagrade-peer";
constexpr auto answerHeader = "yuccagrade-peer-answer";
constexpr auto rpcPath = "/rpc";
// Request or status line, Host, Accept, Content-Type, Content-Length, Date and Connection; counted on one captured pair
// of messages.
constexpr std::size_t otherHeaderBytes = 130;

std::uint64_t messageBytes(const std::string &header, const std::string &body)
{
    return otherHeaderBytes + header.size() + body.size();
}
}

PeerLink::PeerLink(EventLoop &loop, PeerAuth &auth, HttpClient &client, EventLog &log)
    : m_loop(loop)
    , m_auth(auth)
    , m_client(client)
    , m_log(log)
{
}

void PeerLink::serve(const std::string &name, Method method)
{
    m_dispatcher.add(name, [this, method = std::move(method)](const Json::Value &parameters) {
        return method(m_sender, parameters);
    });
}

void PeerLink::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    m_traffic.received += messageBytes(request.header(peerHeader), request.body);
    if (const auto error = m_auth.verify(request.header(peerHeader), request.body, m_sender)) {
        m_log.write(Event::PeerRejected, {{"reason", error.message()}, {"from", request.remoteAddress}});
        exchange->respond({error == Errc::Malformed ? 400 : 401, {}, {}});
        return;
    }
    const std::string text = m_dispatcher.handle(request.body);
    const std::string answerMac = m_auth.signAnswer(m_sender.mac, text);
    m_traffic.sent += messageBytes(answerMac, text);
    exchange->respond({200, {{"Content-Type", "application/json"}, {answerHeader, answerMac}}, text});
}

void PeerLink::call(const std::string &address, const std::string &method, const Json::Value &parameters, TimeMs timeoutMs, Callback callback)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = method;
    request["params"] = parameters;
    HttpCall call{"POST", address, rpcPath, {{"Content-Type", "application/json"}}, toText(request), timeoutMs, false};
    const std::string header = m_auth.sign(address, call.body);
    call.headers[peerHeader] = header;
    m_traffic.sent += messageBytes(header, call.body);
    m_client.send(std::move(call), [this, header, address, callback = std::move(callback)](const HttpResult &result) {
        Json::Value answer;
        std::error_code error = result.error;
        if (!error) {
            m_traffic.received += messageBytes(result.response.header(answerHeader), result.response.body);
        }
        if (!error && result.response.status != 200) {
            error = result.response.status == 401 ? Errc::Unauthenticated : Errc::RemoteError;
        }
        if (!error) {
            error = m_auth.verifyAnswer(header, result.response.header(answerHeader), result.response.body);
        }
        if (!error && (!parseJson(result.response.body, answer) || !answer.isObject())) {
            error = Errc::Malformed;
        }
        if (!error && !answer.isMember("result")) {
            error = Errc::RemoteError;
        }
        if (error) {
            m_log.write(Event::PeerUnreachable, {{"peer", address}, {"reason", error.message()}, {"received", result.defect}});
        }
        callback(error, error ? Json::Value() : answer["result"]);
    });
}
}
