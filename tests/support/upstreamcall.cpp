#include "support/upstreamcall.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace Yuccagrade::Test
{
namespace
{
constexpr std::array<std::string_view, 5> brokenNames{"none", "short", "middle", "noanswer", "foreign"};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

MHD_Result addHeader(void *call, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<Call *>(call)->headers[lower(name)] = value ? value : "";
    return MHD_YES;
}

struct PartialBody {
    std::string bytes;
};

ssize_t readPartial(void *self, uint64_t position, char *buffer, size_t size)
{
    const std::string &bytes = static_cast<PartialBody *>(self)->bytes;
    if (position >= bytes.size()) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const size_t count = std::min(size, bytes.size() - static_cast<size_t>(position));
    bytes.copy(buffer, count, position);
    return static_cast<ssize_t>(count);
}

void freePartial(void *self)
{
    delete static_cast<PartialBody *>(self);
}

/// Announces more bytes than follow; the daemon then closes the connection.
MHD_Response *partialResponse(const std::string &sent, size_t announced)
{
    return MHD_create_response_from_callback(announced, 1024, readPartial, new PartialBody{sent}, freePartial);
}

MHD_Result addQuery(void *query, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<std::string *>(query)->append(name).append("=").append(value ? value : "").append("&");
    return MHD_YES;
}
}

Broken brokenFromName(const std::string &name)
{
    const auto found = std::find(brokenNames.begin(), brokenNames.end(), name);
    return found == brokenNames.end() ? Broken::None : static_cast<Broken>(found - brokenNames.begin());
}

void Call::readHeaders()
{
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, this);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addQuery, &query);
}

bool Call::leaksKey() const
{
    std::string all = path + '\n' + query + '\n' + body;
    for (const auto &[name, value] : headers) {
        all.append("\n").append(name).append(":").append(value);
    }
    return headers.count("authorization") > 0 || all.find("ygk_") != std::string::npos;
}

Json::Value parsedAnswer(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr) ? value : Json::Value(text);
}

MHD_Result reply(MHD_Connection *connection, unsigned status, const std::string &text, Broken broken)
{
    if (broken == Broken::NoAnswer) {
        return MHD_NO;
    }
    MHD_Response *response = nullptr;
    if (broken == Broken::Short) {
        response = partialResponse(text, text.size() + 100);
    } else if (broken == Broken::Middle) {
        response = partialResponse(text.substr(0, text.size() / 2), text.size());
    } else {
        response = MHD_create_response_from_buffer(text.size(), const_cast<char *>(text.data()), MHD_RESPMEM_MUST_COPY);
    }
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}
}
