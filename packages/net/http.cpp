#include "http.h"

#include <curl/curl.h>

namespace Yuccagrade
{
std::string decodePercent(const std::string &text)
{
    int size = 0;
    char *decoded = curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()), &size);
    if (!decoded) {
        return text;
    }
    std::string result(decoded, static_cast<std::size_t>(size));
    curl_free(decoded);
    return result;
}
}
