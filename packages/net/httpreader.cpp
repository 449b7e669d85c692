#include "httpreader.h"

#include "base/eventlog.h"

#include <algorithm>
#include <array>
#include <limits>
#include <new>
#include <strings.h>

namespace Yuccagrade
{
namespace
{
// Framing bytes (chunk sizes, extensions, trailers) of a response that are accepted for each byte of its body, beyond the
// limit of the header. A chunk of one byte takes five.
constexpr std::size_t maxFramingRatio = 16;
// Limit of the framing beyond the size of the body: bodies of tiny chunks cost much processor time for few bytes.
constexpr std::size_t maxFramingBytes = 1U << 20U;
// A larger body of a request gets all of its memory at once: a growing string needs the old and the new memory while it moves. The system
// provides only the pages that are written.
constexpr std::size_t minReservedBytes = 64U << 10U;
// The same for a body without a stated length, which gets the memory of the largest body.
constexpr std::size_t minReservedChunkedBytes = 1U << 20U;
// Memory of a string beyond its content that may have been written to before; the system provides larger blocks page by page.
constexpr std::size_t maxUsedSpareBytes = 128U << 10U;
// Short fields of a complete header lie in an array that has grown to up to twice its content.
constexpr std::size_t minShrunkFields = 64;
// Bytes around the place of a defect.
constexpr std::size_t shownBytesBefore = 64;
constexpr std::size_t shownBytes = 128;
constexpr int maxStatus = 599;
constexpr std::string_view transferEncoding = "Transfer-Encoding";
constexpr std::array<std::string_view, 8>
    connectionFields{"connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade", "transfer-encoding", "content-length"};

bool isBodyless(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

// True for the line of a field that says how long a body is.
bool isFramingLine(std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    return equalFieldNames(name, "Content-Length") || equalFieldNames(name, transferEncoding);
}

bool hasFraming(std::string_view head)
{
    while (!head.empty()) {
        if (isFramingLine(head)) {
            return true;
        }
        head.remove_prefix(head.find('\n') + 1);
    }
    return false;
}

HttpReader &readerOf(http_parser *parser)
{
    return *static_cast<HttpReader *>(parser->data);
}

// The parser removes blanks before a value only.
void removeTrailingBlanks(std::string &value)
{
    value.erase(value.find_last_not_of(" \t") + 1);
}

// The parser accepts obsolete line folding; a folded value would be sent on as two lines.
bool isCleanValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char c) {
        return c == '\r' || c == '\n' || c == '\0';
    });
}

// Fields that the parser evaluates itself.
bool isFramingField(std::string_view name)
{
    return equalFieldNames(name, "Content-Length") || equalFieldNames(name, "Transfer-Encoding") || equalFieldNames(name, "Connection");
}

bool isTransferEncoding(const HttpMessage::Field &field)
{
    return equalFieldNames(field.first, transferEncoding);
}

// The requests name no transfer coding that is accepted beside chunked, and HTTP/1.0 has none (RFC 9112 6.1). The parser removes the
// chunks of a body that is coded further.
bool hasKnownCoding(const HttpMessage &message, int minorVersion)
{
    const auto codings = std::count_if(message.fields.begin(), message.fields.end(), isTransferEncoding);
    return codings == 0 || (codings == 1 && minorVersion > 0 && equalFieldNames(*message.field(transferEncoding), "chunked"));
}

bool isHost(const HttpMessage::Field &field)
{
    return equalFieldNames(field.first, "Host");
}

// Turns a target in absolute form into host and path (RFC 9112 3.2.2). Returns false if it names no host or a user.
bool resolveAbsoluteTarget(HttpMessage &message)
{
    constexpr std::string_view scheme = "http://";
    if (!equalFieldNames(std::string_view(message.target).substr(0, scheme.size()), scheme)) {
        return true;
    }
    const std::size_t end = std::min(message.target.find_first_of("/?#", scheme.size()), message.target.size());
    const std::string authority = message.target.substr(scheme.size(), end - scheme.size());
    if (authority.empty() || authority.find('@') != std::string::npos) {
        return false;
    }
    std::string path = message.target.substr(end);
    if (path.empty() && message.method == "OPTIONS") {
        path = "*";
    } else if (!path.starts_with('/')) {
        path.insert(0, 1, '/');
    }
    message.target = std::move(path);
    const auto host = std::find_if(message.fields.begin(), message.fields.end(), isHost);
    if (host == message.fields.end()) {
        message.fields.emplace(message.fields.begin(), "Host", authority);
    } else {
        host->second = authority;
    }
    return true;
}
}

struct HttpReaderCallbacks {
    static int onTarget(http_parser *parser, const char *at, std::size_t length)
    {
        readerOf(parser).m_message.target.append(at, length);
        return 0;
    }
    static int onReason(http_parser *parser, const char *at, std::size_t length)
    {
        readerOf(parser).m_message.reason.append(at, length);
        return 0;
    }
    // Fields behind the body are discarded: RFC 9110 6.5.1 allows no merging of unknown trailer fields into the header.
    static int onName(http_parser *parser, const char *at, std::size_t length)
    {
        HttpReader &reader = readerOf(parser);
        if (reader.m_headerComplete) {
            return 0;
        }
        auto &fields = reader.m_message.fields;
        if (fields.empty() || reader.m_inValue) {
            fields.emplace_back();
            reader.m_inValue = false;
        }
        fields.back().first.append(at, length);
        return 0;
    }
    static int onValue(http_parser *parser, const char *at, std::size_t length)
    {
        HttpReader &reader = readerOf(parser);
        if (reader.m_headerComplete) {
            return 0;
        }
        reader.m_inValue = true;
        if (reader.m_message.fields.empty()) {
            return 1;
        }
        reader.m_message.fields.back().second.append(at, length);
        return 0;
    }
    static int onHeader(http_parser *parser)
    {
        HttpReader &reader = readerOf(parser);
        HttpMessage &message = reader.m_message;
        for (auto &[name, value] : message.fields) {
            removeTrailingBlanks(value);
            // The parser accepts blanks in names, which other readers take for the end of the name.
            if (!isToken(name) || !isCleanValue(value)) {
                return -1;
            }
        }
        if (message.fields.size() >= minShrunkFields) {
            message.fields.shrink_to_fit();
        }
        message.status = static_cast<int>(parser->status_code);
        if (reader.m_kind == HttpReader::Kind::Request) {
            message.method = http_method_str(static_cast<http_method>(parser->method));
            if (std::count_if(message.fields.begin(), message.fields.end(), isHost) > 1 || !resolveAbsoluteTarget(message)) {
                return -1;
            }
        }
        message.keepAlive = http_should_keep_alive(parser) != 0;
        const bool bodyless = isBodyless(message.status) || reader.m_noBody;
        if (reader.m_kind == HttpReader::Kind::Response && !bodyless && !hasKnownCoding(message, parser->http_minor)) {
            reader.m_refusedBytes = *message.field(transferEncoding);
            return -1;
        }
        message.untilClose = reader.m_kind == HttpReader::Kind::Response && !bodyless && (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
        reader.m_headerComplete = true;
        if ((parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length > reader.m_limits.maxBodyBytes) {
            reader.m_state = HttpReader::State::BodyTooLarge;
            return -1;
        }
        return bodyless ? 1 : 0;
    }
    static int onBody(http_parser *parser, const char *at, std::size_t length)
    {
        HttpReader &reader = readerOf(parser);
        if (reader.m_message.body.size() + length > reader.m_limits.maxBodyBytes) {
            reader.m_state = HttpReader::State::BodyTooLarge;
            return 1;
        }
        reader.reserveBody(length);
        reader.m_message.body.append(at, length);
        reader.m_bodyProgressed = true;
        return 0;
    }
    static int onChunk(http_parser *parser)
    {
        readerOf(parser).m_bodyProgressed = true;
        return 0;
    }
    static int onComplete(http_parser *parser)
    {
        readerOf(parser).m_state = HttpReader::State::Complete;
        http_parser_pause(parser, 1);
        return 0;
    }
    static const http_parser_settings &settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings settings;
            http_parser_settings_init(&settings);
            settings.on_url = onTarget;
            settings.on_status = onReason;
            settings.on_header_field = onName;
            settings.on_header_value = onValue;
            settings.on_headers_complete = onHeader;
            settings.on_body = onBody;
            settings.on_chunk_header = onChunk;
            settings.on_message_complete = onComplete;
            // The limits of the reader replace the parser's own one, which holds for all parsers of the process.
            http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
            return settings;
        }();
        return table;
    }
};

const std::string *HttpMessage::field(std::string_view name) const
{
    for (const Field &candidate : fields) {
        if (equalFieldNames(candidate.first, name)) {
            return &candidate.second;
        }
    }
    return nullptr;
}

std::string HttpMessage::path() const
{
    return target.substr(0, target.find('?'));
}

bool equalFieldNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isConnectionField(std::string_view name)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(), [name](std::string_view field) {
        return equalFieldNames(field, name);
    });
}

bool isInterim(int status)
{
    return status / 100 == 1 && status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

bool isFinal(int status)
{
    return status >= HTTP_STATUS_OK && status <= maxStatus;
}

std::string_view defectOfResponse(int status, std::string_view head, std::string_view body)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (!isFinal(status)) {
        return "no final status";
    }
    if (!head.starts_with("HTTP/1.1 " + std::to_string(status) + ' ') || !head.ends_with(lineEnd)) {
        return "head without the status line of the response, or cut";
    }
    ResponseSyntax syntax;
    const bool isOneHead = syntax.check(head) == head.size() && syntax.check(lineEnd) == lineEnd.size();
    if (syntax.isBroken()) {
        return syntax.defect();
    }
    if (!isOneHead) {
        return "empty line within the head";
    }
    if (hasFraming(head)) {
        return "head with a length or a transfer coding";
    }
    return isBodyless(status) && !body.empty() ? "body behind a head that ends its response" : std::string_view();
}

std::string describeDefect(const HttpReader &reader)
{
    return std::string(reader.defect()) + ": " + printable(reader.defectiveBytes());
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

HttpReader::HttpReader(Kind kind, HttpReaderLimits limits)
    : m_kind(kind)
    , m_limits(limits)
{
    restart();
}

void HttpReader::restart()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_message = HttpMessage();
    m_state = State::Idle;
    m_headerBytes = 0;
    m_unfinishedFramingBytes = 0;
    m_framingBytes = 0;
    m_headerComplete = false;
    m_inValue = false;
    m_syntax = ResponseSyntax();
    m_refusedBytes.clear();
}

void HttpReader::reserveBody(std::size_t moreBytes)
{
    std::string &body = m_message.body;
    const std::size_t size = body.size() + moreBytes;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (m_kind != Kind::Request || size <= body.capacity() || size < (hasLength ? minReservedBytes : minReservedChunkedBytes)) {
        return;
    }
    try {
        // The parser has subtracted the present part from the length, which was compared with the limit before.
        body.reserve(hasLength ? size + static_cast<std::size_t>(m_parser.content_length) : m_limits.maxBodyBytes);
    } catch (const std::bad_alloc &) {
        // A system that grants no memory beyond its own may refuse it; the body then grows step by step.
    }
}

// Each name and value is a string of its own, which takes up to as much again as its content.
std::size_t HttpReader::heldBytes() const
{
    const std::string &body = m_message.body;
    return 2 * m_headerBytes + m_syntax.heldBytes() + m_message.fields.capacity() * sizeof(HttpMessage::Field)
        + std::min(body.capacity(), body.size() + maxUsedSpareBytes);
}

// In the values of framing fields the parser takes blanks for blanks, but not tabs, so it is given blanks instead.
std::size_t HttpReader::execute(std::string_view data)
{
    std::size_t used = 0;
    while (used < data.size() && HTTP_PARSER_ERRNO(&m_parser) == HPE_OK) {
        std::string_view part = data.substr(used);
        if (!m_headerComplete && part.front() == '\t') {
            part = m_inValue && isFramingField(m_message.fields.back().first) ? " " : "\t";
        } else if (!m_headerComplete) {
            part = part.substr(0, part.find('\t'));
        }
        used += http_parser_execute(&m_parser, &HttpReaderCallbacks::settings(), part.data(), part.size());
    }
    return used;
}

// Gives the parser no bytes that it would accept against the syntax of a response.
std::size_t HttpReader::executeResponse(std::string_view data)
{
    std::size_t used = 0;
    while (used < data.size() && HTTP_PARSER_ERRNO(&m_parser) == HPE_OK) {
        const std::string_view rest = data.substr(used);
        const std::size_t checked = m_syntax.check(rest);
        if (m_syntax.isBroken() || checked == 0) {
            m_state = State::Malformed;
            return used;
        }
        used += execute(rest.substr(0, checked));
        if (m_headerComplete) {
            m_syntax.startBody((m_parser.flags & F_CHUNKED) != 0);
        }
    }
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED && m_refusedBytes.empty()) {
        m_refusedBytes = data.substr(used - std::min(used, shownBytesBefore), shownBytes);
    }
    return used;
}

std::size_t HttpReader::read(std::string_view data)
{
    if (data.empty() || (m_state != State::Idle && m_state != State::Reading)) {
        return 0;
    }
    // A server ignores empty lines before a request (RFC 9112 2.2); before a response they would be foreign bytes.
    const std::size_t skipped = m_state == State::Idle && m_kind == Kind::Request ? std::min(data.find_first_not_of("\r\n"), data.size()) : 0;
    data.remove_prefix(skipped);
    if (data.empty()) {
        return skipped;
    }
    m_state = State::Reading;
    m_parser.data = this;
    m_bodyProgressed = false;
    const std::size_t bodyBytes = m_message.body.size();
    const bool behindHeader = m_headerComplete;
    const std::size_t used = m_kind == Kind::Request ? execute(data) : executeResponse(data);
    if (!m_headerComplete) {
        m_headerBytes += used;
    }
    m_unfinishedFramingBytes = behindHeader && !m_bodyProgressed ? m_unfinishedFramingBytes + used : 0;
    if (behindHeader) {
        m_framingBytes += used - std::min(used, m_message.body.size() - bodyBytes);
    }
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    const std::size_t allowedFramingBytes =
        m_limits.maxHeaderBytes + std::min(m_message.body.size() * maxFramingRatio, maxFramingBytes + m_message.body.size());
    if (m_state == State::Reading && std::max(m_headerBytes, m_unfinishedFramingBytes) > m_limits.maxHeaderBytes) {
        m_state = State::HeaderTooLarge;
    } else if (m_state == State::Reading && m_kind == Kind::Response && m_framingBytes > allowedFramingBytes) {
        m_state = State::Malformed;
    } else if (m_state == State::Reading && error != HPE_OK) {
        m_state = error == HPE_HEADER_OVERFLOW ? State::HeaderTooLarge : State::Malformed;
    }
    return skipped + used;
}

void HttpReader::readEnd()
{
    if (m_state == State::Reading) {
        m_parser.data = this;
        http_parser_execute(&m_parser, &HttpReaderCallbacks::settings(), nullptr, 0);
    }
    if (m_state == State::Reading) {
        m_state = State::Malformed;
    }
}

std::string_view HttpReader::defect() const
{
    return m_syntax.isBroken() ? m_syntax.defect() : http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
}

std::string_view HttpReader::defectiveBytes() const
{
    return m_syntax.isBroken() ? m_syntax.line() : m_refusedBytes;
}

HttpMessage HttpReader::take()
{
    HttpMessage message = std::move(m_message);
    restart();
    return message;
}
}
