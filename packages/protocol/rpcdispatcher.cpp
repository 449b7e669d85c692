#include "rpcdispatcher.h"

#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace Yuccagrade
{
namespace
{
// Hands the text of a request to the library and takes the response; the transport is the HTTP server of the process.
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override // NOLINT(readability-identifier-naming): library interface
    {
        return true;
    }
    bool StopListening() override // NOLINT(readability-identifier-naming): library interface
    {
        return true;
    }
    bool SendResponse(const std::string &response, void *context) override // NOLINT(readability-identifier-naming): library interface
    {
        *static_cast<std::string *>(context) = response;
        return true;
    }
};

class MethodTable : public jsonrpc::IProcedureInvokationHandler
{
public:
    void HandleMethodCall(jsonrpc::Procedure &procedure,
                          const Json::Value &input, // NOLINT(readability-identifier-naming)
                          Json::Value &output) override
    {
        output = methods.at(procedure.GetProcedureName())(input);
    }
    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override // NOLINT(readability-identifier-naming)
    {
    }
    std::map<std::string, RpcDispatcher::Method> methods;
};
}

struct RpcDispatcher::Impl {
    MethodTable table;
    TextConnector connector;
    std::unique_ptr<jsonrpc::IProtocolHandler> handler;
};

RpcDispatcher::RpcDispatcher()
    : m_impl(new Impl)
{
    m_impl->handler.reset(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, m_impl->table));
    m_impl->connector.SetHandler(m_impl->handler.get());
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string &name, Method method)
{
    m_impl->table.methods[name] = std::move(method);
    m_impl->handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string RpcDispatcher::handle(const std::string &request)
{
    std::string response;
    m_impl->connector.OnRequest(request, &response);
    return response;
}
}
