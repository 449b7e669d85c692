#pragma once

#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

namespace Yuccagrade
{
/// Serves JSON-RPC 2.0 requests with libjsonrpccpp. The header names none of the library's types, because those need C++14.
class RpcDispatcher
{
public:
    using Method = std::function<Json::Value(const Json::Value &parameters)>;

    RpcDispatcher();
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    /// Adds a method that takes an object of named parameters.
    void add(const std::string &name, Method method);
    /// Returns the JSON-RPC response to @p request; malformed requests give an error response.
    std::string handle(const std::string &request);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
