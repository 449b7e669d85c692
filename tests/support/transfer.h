#pragma once

#include <curl/curl.h>

#include <map>
#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// An outgoing HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string address; ///< ip:port
    std::string path = "/";
    std::string body = {};
    std::vector<std::string> headers = {}; ///< "Name: value"
    std::string sourceIp = {}; ///< IP number to connect from, empty for any
    long timeoutMs = 5000;
    bool freshConnection = false; ///< for actions: curl resends on a reused connection that closes without an answer
};

/// What came back.
struct HttpAnswer {
    CURLcode error = CURLE_OK; ///< anything else: no answer or a broken one
    long status = 0; ///< 0 if no status line arrived
    std::map<std::string, std::string> headers = {}; ///< names in lower case
    std::string body = {};
};

/// One curl easy handle with its buffers; it can be used for several requests one after the other.
class Transfer
{
public:
    Transfer();
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    /// Sets the options for @p request; the caller then runs handle().
    void prepare(const HttpRequest &request);
    /// Completes the answer after the transfer has ended with @p error.
    HttpAnswer &finish(CURLcode error);
    CURL *handle() const
    {
        return m_handle;
    }

private:
    static size_t addBody(char *data, size_t size, size_t count, void *self);
    static size_t addHeader(char *data, size_t size, size_t count, void *self);

    CURL *m_handle;
    curl_slist *m_headers = nullptr;
    HttpAnswer m_answer;
};

/// Sends @p request and waits for the answer.
HttpAnswer httpCall(const HttpRequest &request);
}
