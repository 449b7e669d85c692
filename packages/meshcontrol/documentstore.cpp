#include "documentstore.h"

#include "base/compress.h"
#include "base/secret.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade::Mesh
{
namespace
{
// Above the size limit for the body of an operator's request.
constexpr std::size_t maxDocumentBytes = 128U << 20U;

std::string encodeDocument(const std::string &document)
{
    return base64UrlEncode(compress(document));
}

bool decodeDocument(const std::string &text, std::string &document)
{
    std::string data;
    return base64UrlDecode(text, data) && decompress(data, maxDocumentBytes, document);
}
}

Json::Value Submission::toJson() const
{
    Json::Value json;
    json["version"] = version;
    json["base"] = base;
    json["digest"] = digest;
    json["document"] = encodeDocument(document);
    return json;
}

bool Submission::fromJson(const Json::Value &json, Submission &out)
{
    std::string encoded;
    return JsonReader(json).read("version", out.version).read("base", out.base).read("digest", out.digest).read("document", encoded).ok()
        && decodeDocument(encoded, out.document);
}

SubmissionResult DocumentStore::check(const Submission &submission) const
{
    if (isAccepted(submission.digest)) {
        return SubmissionResult::Accepted;
    }
    if (submission.base != m_version) {
        return SubmissionResult::Conflict;
    }
    return submission.version > m_version ? SubmissionResult::Accepted : SubmissionResult::OldVersion;
}

SubmissionResult DocumentStore::apply(std::uint64_t index, const Submission &submission)
{
    const SubmissionResult result = check(submission);
    if (result == SubmissionResult::Accepted && m_digests.insert(submission.digest).second) {
        m_version = submission.version;
        m_index = index;
        m_document = submission.document;
    }
    return result;
}

std::string DocumentStore::save() const
{
    Json::Value json;
    json["version"] = m_version;
    json["index"] = m_index;
    json["document"] = encodeDocument(m_document);
    json["digests"] = Json::Value(Json::arrayValue);
    for (const std::string &digest : m_digests) {
        json["digests"].append(digest);
    }
    json["drains"] = m_drains.save();
    json["evacuations"] = m_evacuations.save();
    return toText(json);
}

bool DocumentStore::load(const std::string &text)
{
    DocumentStore loaded;
    Json::Value json;
    std::vector<std::string> digests;
    std::string encoded;
    if (!parseJson(text, json)
        || !JsonReader(json).read("version", loaded.m_version).read("index", loaded.m_index).read("document", encoded).read("digests", digests).ok()
        || !decodeDocument(encoded, loaded.m_document) || (json.isMember("drains") && !loaded.m_drains.load(json["drains"]))
        || (json.isMember("evacuations") && !loaded.m_evacuations.load(json["evacuations"]))) {
        return false;
    }
    loaded.m_digests.insert(digests.begin(), digests.end());
    *this = std::move(loaded);
    return true;
}
}
