#pragma once

#include <map>
#include <string>

namespace Yuccagrade
{
/// Header fields; names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// Returns @p text with its percent-encoded bytes decoded.
std::string decodePercent(const std::string &text);

/// A request as received by HttpServer.
struct HttpRequest {
    std::string method;
    std::string path; ///< without the query, as encoded by the sender
    std::string query; ///< without the question mark, as encoded by the sender
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< IP number of the sender

    /// Returns a header by its lower-case name, empty if absent.
    const std::string &header(const std::string &name) const
    {
        static const std::string empty;
        const auto found = headers.find(name);
        return found == headers.end() ? empty : found->second;
    }
};

/// A response to send or as received by HttpClient.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    const std::string &header(const std::string &name) const
    {
        static const std::string empty;
        const auto found = headers.find(name);
        return found == headers.end() ? empty : found->second;
    }
};
}
