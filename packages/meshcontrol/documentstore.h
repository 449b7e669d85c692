#pragma once

#include <cstdint>
#include <json/json.h>
#include <set>
#include <string>

namespace Yuccagrade::Mesh
{
/// A configuration that an operator wants to be accepted.
struct Submission {
    std::uint64_t version = 0;
    std::uint64_t base = 0; ///< version that it builds on, 0 for the first
    std::string digest; ///< of the document; equal documents are one submission
    std::string document;

    /// Log entries hold the document compressed.
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, Submission &out);
};

enum class SubmissionResult { Accepted, Conflict, OldVersion };

/// The replicated state of the control hosts: the accepted document, and the digests of all earlier ones, so that a
/// submission that was accepted once is never refused when it is sent again.
class DocumentStore
{
public:
    /// What would become of a submission now.
    SubmissionResult check(const Submission &submission) const;
    /// Applies the committed submission of log entry @p index.
    SubmissionResult apply(std::uint64_t index, const Submission &submission);
    bool isAccepted(const std::string &digest) const
    {
        return m_digests.contains(digest);
    }
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Log index of the present document, 0 if there is none.
    std::uint64_t index() const
    {
        return m_index;
    }
    const std::string &document() const
    {
        return m_document;
    }
    /// Text for load().
    std::string save() const;
    /// Replaces the state. Returns false if the text is malformed; the state is then unchanged.
    bool load(const std::string &text);

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_index = 0;
    std::string m_document;
    std::set<std::string> m_digests;
};
}
