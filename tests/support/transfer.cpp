#include "support/transfer.h"

#include <algorithm>
#include <cctype>

namespace Yuccagrade::Test
{
Transfer::Transfer()
    : m_handle(curl_easy_init())
{
}

Transfer::~Transfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

void Transfer::prepare(const HttpRequest &request)
{
    m_answer = {};
    curl_easy_reset(m_handle);
    curl_slist_free_all(m_headers);
    // curl would otherwise wait for "100 Continue" before it sends a large body.
    m_headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : request.headers) {
        m_headers = curl_slist_append(m_headers, header.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_URL, ("http://" + request.address + request.path).c_str());
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, request.timeoutMs);
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    // Without it each such request leaves an idle connection behind that counts against the server's limit.
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, addBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, addHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    if (!request.sourceIp.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_INTERFACE, ("host!" + request.sourceIp).c_str());
    }
    if (request.method != "GET") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
}

HttpAnswer &Transfer::finish(CURLcode error)
{
    m_answer.error = error;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_answer.status);
    return m_answer;
}

size_t Transfer::addBody(char *data, size_t size, size_t count, void *self)
{
    static_cast<Transfer *>(self)->m_answer.body.append(data, size * count);
    return size * count;
}

size_t Transfer::addHeader(char *data, size_t size, size_t count, void *self)
{
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const auto begin = line.find_first_not_of(" \t", colon + 1);
        const auto end = line.find_last_not_of(" \t\r\n");
        const bool empty = begin == std::string::npos || end < begin;
        static_cast<Transfer *>(self)->m_answer.headers[name] = empty ? std::string() : line.substr(begin, end - begin + 1);
    }
    return size * count;
}

HttpAnswer httpCall(const HttpRequest &request)
{
    Transfer transfer;
    transfer.prepare(request);
    return transfer.finish(curl_easy_perform(transfer.handle()));
}
}
