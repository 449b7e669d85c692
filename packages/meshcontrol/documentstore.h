#pragma once

#include "drainstore.h"
#include "evacuationstore.h"

#include <cstdint>
#include <json/json.h>
#include <set>
#include <string>

namespace Yuccagrade::Mesh
{
/// A configuration document submitted by an operator.
struct Submission {
    std::uint64_t version = 0;
    std::uint64_t base = 0; ///< version that it replaces, 0 for the first
    std::string digest; ///< SHA-256 of the document; documents with equal digests count as one submission
    std::string document;

    /// Converts to the form of a log entry, in which the document is compressed.
    Json::Value toJson() const;
    static bool fromJson(const Json::Value &json, Submission &out);
};

enum class SubmissionResult { Accepted, Conflict, OldVersion };

/// The replicated state machine of the control hosts. Holds the current document, the digests of all accepted ones, so
/// that resubmitting an accepted document is never rejected, the drained upstreams and the evacuated domains.
class DocumentStore
{
public:
    /// Returns the result that apply() would give for the submission in the current state.
    SubmissionResult check(const Submission &submission) const;
    /// Applies a submission committed at log index @p index.
    SubmissionResult apply(std::uint64_t index, const Submission &submission);
    bool isAccepted(const std::string &digest) const
    {
        return m_digests.contains(digest);
    }
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Returns the log index of the current document, 0 if there is none.
    std::uint64_t index() const
    {
        return m_index;
    }
    const std::string &document() const
    {
        return m_document;
    }
    DrainStore &drains()
    {
        return m_drains;
    }
    EvacuationStore &evacuations()
    {
        return m_evacuations;
    }
    /// Serializes the state for load().
    std::string save() const;
    /// Replaces the state by a serialized one. Returns false and leaves the state unchanged if the text is malformed.
    bool load(const std::string &text);

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_index = 0;
    std::string m_document;
    std::set<std::string> m_digests;
    DrainStore m_drains;
    EvacuationStore m_evacuations;
};
}
