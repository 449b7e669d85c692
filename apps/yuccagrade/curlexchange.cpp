#include "curlexchange.h"

#include "net/httpreader.h"

#include <curl/curl.h>
#include <memory>

namespace Yuccagrade
{
namespace
{
// Above the answer with the status of 1,800 processes, about 0.3 MB, and a manifest of 2 MB in JSON.
constexpr std::size_t maxAnswerBytes = 16'000'000;
constexpr std::size_t maxHeaderBytes = 65'536;
// A host that is down must not use up the time for the other control hosts.
constexpr long connectTimeoutMs = 1000;

// Reads a part of the answer as received. libcurl accepts more than the syntax of responses allows. Returns a smaller number if the answer
// is broken or too large; libcurl then ends the transfer with an error.
std::size_t readAnswer(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &reader = *static_cast<HttpReader *>(context);
    std::string_view rest(data, size * count);
    while (!rest.empty()) {
        const std::size_t used = reader.read(rest);
        rest.remove_prefix(used);
        if (reader.state() == HttpReader::State::Complete && isInterim(reader.message().status)) {
            reader.take();
        } else if (used == 0) {
            return 0;
        }
    }
    return size * count;
}

// Completes the answer at the end of the transfer, which ends one without a length.
bool isWhole(HttpReader &reader)
{
    reader.readEnd();
    return reader.state() == HttpReader::State::Complete && reader.message().status / 100 != 1;
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
    HttpReader reader(HttpReader::Kind::Response, {maxHeaderBytes, maxAnswerBytes});
    char error[CURL_ERROR_SIZE] = "";
    CURL *curl = handle.get();
    curl_easy_setopt(curl, CURLOPT_URL, ("http://" + request.address + request.path).c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, readAnswer);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reader);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, readAnswer);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reader);
    // The reader needs the chunks.
    curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
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
    if (result == CURLE_OK && isWhole(reader)) {
        answer.status = reader.message().status;
        answer.body = reader.take().body;
    } else if (reader.state() == HttpReader::State::Malformed) {
        answer.error = "broken answer, " + describeDefect(reader);
    } else {
        answer.error = result == CURLE_OK ? "incomplete answer" : *error ? error : curl_easy_strerror(result);
    }
    return answer;
}
}

Exchange curlExchange()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return exchangeOnce;
}
}
