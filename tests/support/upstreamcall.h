#pragma once

#include "support/transfer.h"

#include <json/json.h>
#include <map>
#include <memory>
#include <microhttpd.h>
#include <string>

namespace Yuccagrade::Test
{
/// How an answer is spoilt.
enum class Broken {
    None,
    Short, ///< the announced length exceeds the body
    Middle, ///< half of the body, then the connection closes
    NoAnswer, ///< the connection closes without an answer
    Foreign, ///< echoes another request
};
/// Returns the kind with this name in lower case, None for an unknown one.
Broken brokenFromName(const std::string &name);

/// One received call. The daemon's thread owns it, except between suspension and resumption of its connection.
struct Call {
    MHD_Connection *connection;
    int socket;
    std::string method;
    std::string path;
    std::string query = {};
    std::map<std::string, std::string> headers = {};
    std::string body = {};
    Json::Value nested = Json::arrayValue;
    std::unique_ptr<Transfer> transfer = {};
    bool holdsSlot = false;
    bool done = false;
    unsigned status = 200;
    std::string answer = {};
    Broken broken = Broken::None;

    void readHeaders();
    /// True if the call has an Authorization header or the text "ygk_" anywhere.
    bool leaksKey() const;
};

/// Queues an answer in JSON.
MHD_Result reply(MHD_Connection *connection, unsigned status, const std::string &text, Broken broken);
/// Parses JSON of any depth; a text that is none becomes a string.
Json::Value parsedAnswer(const std::string &text);
}
