#pragma once

#include "responsesyntax.h"

#include <cstdint>
#include <http_parser.h>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Yuccagrade
{
/// One HTTP/1.1 message with its fields in the order of arrival.
struct HttpMessage {
    using Field = std::pair<std::string, std::string>;

    std::string method; ///< of a request
    std::string target; ///< of a request: path with query, unchanged; the host of an absolute form is in the Host field
    int status = 0; ///< of a response
    std::string reason; ///< of a response
    std::vector<Field> fields;
    std::string body; ///< without transfer coding
    bool keepAlive = true;
    bool untilClose = false; ///< response without a length, which ends with its connection

    /// Returns the value of the first field @p name (any case), or null.
    const std::string *field(std::string_view name) const;
    /// Returns the target of a request without its query.
    std::string path() const;
};

/// Compares field names without regard to case.
bool equalFieldNames(std::string_view a, std::string_view b);
/// True for fields that concern one connection only and are not forwarded.
bool isConnectionField(std::string_view name);
/// True for a response that precedes the final one. 101 is none: it ends HTTP on its connection.
bool isInterim(int status);
/// True for the status of a response that ends its request.
bool isFinal(int status);
/// Returns what is wrong with a response that another process has read and that gets a length of its own, empty if nothing is. @p head has
/// the status line and the field lines without the empty line at their end.
std::string_view defectOfResponse(int status, std::string_view head, std::string_view body);
/// Returns the customary reason phrase of @p status.
std::string_view reasonPhrase(int status);

/// Size limits of a message.
struct HttpReaderLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
};

class HttpReader;
/// Returns a description of a malformed response with the bytes in question, for people.
std::string describeDefect(const HttpReader &reader);

/// Reads HTTP/1.1 messages from a byte stream, one at a time. Trailers are dropped.
class HttpReader
{
public:
    enum class Kind { Request, Response };
    enum class State {
        Idle, ///< no byte of the next message was read
        Reading,
        Complete,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
    };

    explicit HttpReader(Kind kind, HttpReaderLimits limits = {});

    /// Reads up to the end of the present message and returns the number of bytes used.
    std::size_t read(std::string_view data);
    /// Tells a response reader that the connection ended; completes a response without a length.
    void readEnd();
    State state() const
    {
        return m_state;
    }
    /// True from the end of the header on.
    bool headerComplete() const
    {
        return m_headerComplete;
    }
    /// Returns what was read of the present message.
    const HttpMessage &message() const
    {
        return m_message;
    }
    /// Returns a description of the defect of a malformed message.
    std::string_view defect() const;
    /// Returns the bytes of a malformed response in which the defect was found.
    std::string_view defectiveBytes() const;
    /// Returns the complete message and starts over.
    HttpMessage take();
    /// The next response answers a HEAD request and has no body.
    void expectNoBody(bool expected)
    {
        m_noBody = expected;
    }
    /// Returns the memory held for the present message, as the system counts it.
    std::size_t heldBytes() const;
    const HttpReaderLimits &limits() const
    {
        return m_limits;
    }
    void setLimits(HttpReaderLimits limits)
    {
        m_limits = limits;
    }

private:
    friend struct HttpReaderCallbacks;
    void restart();
    void reserveBody(std::size_t moreBytes);
    std::size_t execute(std::string_view data);
    std::size_t executeResponse(std::string_view data);

    Kind m_kind;
    HttpReaderLimits m_limits;
    http_parser m_parser{};
    ResponseSyntax m_syntax; ///< of a response
    std::string m_refusedBytes; ///< of a response, where it was refused in spite of its syntax
    HttpMessage m_message;
    State m_state = State::Idle;
    std::size_t m_headerBytes = 0;
    std::size_t m_unfinishedFramingBytes = 0; ///< of a chunk's size line or the trailer, read without reaching its end
    std::size_t m_framingBytes = 0; ///< behind the header: all bytes but those of the body
    bool m_bodyProgressed = false; ///< a chunk began or body bytes came since the last call
    bool m_headerComplete = false;
    bool m_inValue = false;
    bool m_noBody = false;
};
}
