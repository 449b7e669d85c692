#include "documentstore.h"

#include "protocol/jsoncodec.h"

namespace Yuccagrade::Mesh
{
Json::Value Submission::toJson() const
{
    Json::Value json;
    json["version"] = version;
    json["base"] = base;
    json["digest"] = digest;
    json["document"] = document;
    return json;
}

bool Submission::fromJson(const Json::Value &json, Submission &out)
{
    return JsonReader(json).read("version", out.version).read("base", out.base).read("digest", out.digest).read("document", out.document).ok();
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
    json["document"] = m_document;
    json["digests"] = Json::Value(Json::arrayValue);
    for (const std::string &digest : m_digests) {
        json["digests"].append(digest);
    }
    return toText(json);
}

bool DocumentStore::load(const std::string &text)
{
    DocumentStore loaded;
    Json::Value json;
    std::vector<std::string> digests;
    if (!parseJson(text, json)
        || !JsonReader(json)
                .read("version", loaded.m_version)
                .read("index", loaded.m_index)
                .read("document", loaded.m_document)
                .read("digests", digests)
                .ok()) {
        return false;
    }
    loaded.m_digests.insert(digests.begin(), digests.end());
    *this = std::move(loaded);
    return true;
}
}
