#include "headers.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Yuccagrade
{
namespace
{
// Hop-by-hop fields of RFC 9110, section 7.6.1, and fields that libcurl and libmicrohttpd generate.
constexpr std::array<std::string_view, 12> hopByHop{
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
};
// Credentials of the caller. A team's key must not be forwarded to an upstream.
constexpr std::array<std::string_view, 2> credentials{"authorization", "proxy-authorization"};
constexpr std::string_view ownFieldPrefix = "yuccagrade-";

template<std::size_t size>
bool contains(const std::array<std::string_view, size> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isForwarded(std::string_view name)
{
    return !contains(hopByHop, name) && !name.starts_with(ownFieldPrefix);
}
}

HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const auto &[name, value] : headers) {
        if (isForwarded(name) && !contains(credentials, name)) {
            result[name] = value;
        }
    }
    return result;
}

HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const auto &[name, value] : headers) {
        if (isForwarded(name)) {
            result[name] = value;
        }
    }
    return result;
}
}
