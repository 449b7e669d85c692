#include "curlexchange.h"

#include <curl/curl.h>
#include <memory>

namespace Yuccagrade
{
namespace
{
// Above the answer with the status of 1,800 processes, about 0.3 MB, and a manifest of 2 MB in JSON.
constexpr std::size_t maxAnswerBytes = 16'000'000;
// A host that is down must not use up the time for the other control hosts.
constexpr long connectTimeoutMs = 1000;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &body = *static_cast<std::string *>(context);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxAnswerBytes) {
        return 0; // libcurl ends the transfer with an error
    }
    body.append(data, bytes);
    return bytes;
}

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using Headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

Headers headersFor(const OperatorRequest &request)
{
    const std::string authorization = "Authorization: Bearer " + request.secret;
    curl_slist *list = curl_slist_append(nullptr, authorization.c_str());
    list = curl_slist_append(list, "Content-Type: application/json");
    // Without this libcurl asks for permission before a large body and waits for up to 1 s.
    list = curl_slist_append(list, "Expect:");
    return {list, curl_slist_free_all};
}

OperatorAnswer exchangeOnce(const OperatorRequest &request)
{
    const Handle handle(curl_easy_init(), curl_easy_cleanup);
    const Headers headers = headersFor(request);
    OperatorAnswer answer;
    char error[CURL_ERROR_SIZE] = "";
    CURL *curl = handle.get();
    curl_easy_setopt(curl, CURLOPT_URL, ("http://" + request.address + request.path).c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    // The secret must reach the given address only, never a proxy from the environment.
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeoutMs));
    if (request.method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    const CURLcode result = curl_easy_perform(curl);
    if (result != CURLE_OK) {
        answer.error = *error ? error : curl_easy_strerror(result);
        return answer;
    }
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}
}

Exchange curlExchange()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return exchangeOnce;
}
}
