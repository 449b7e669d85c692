#pragma once

#include "config/manifest.h"
#include "protocol/commands.h"

#include <cstdint>
#include <deque>
#include <json/json.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Yuccagrade
{
/// Number of claim groups; an action is hashed to one of them.
constexpr int claimGroupCount = 16;
/// Replicas of a claim group; a claim needs a majority of them.
constexpr std::size_t claimReplicaCount = 3;

/// Outcome of one command.
struct ApplyResult {
    /// Conflict, Malformed, NotFound, TooLarge, Unavailable, or Replayed if the index did not increase.
    std::error_code error;
    /// Answer for the operator: manifest `index`, `version`; keys `index`, `keyId`, `team`; refused: `message`, and
    /// `winner` {`submission`, `version`} or `findings` where they apply.
    Json::Value answer{Json::objectValue};
    bool changed = false; ///< true if the state besides the index and the submissions changed
    bool resent = false; ///< true if the answer is the stored one of an earlier command
};

/// A team key as stored.
struct KeyRecord {
    std::string id;
    std::string team;
    std::string salt;
    std::string hash;
    std::uint64_t givenIndex = 0;
    std::uint64_t withdrawnIndex = 0; ///< 0 while the key is valid; a withdrawn key has neither salt nor hash

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, KeyRecord &record);
};

struct ClaimGroup {
    int number = 0;
    std::uint64_t epoch = 0; ///< 0 before the first replicas are set
    std::vector<ClaimReplicaSpec> replicas;
    std::vector<ClaimReplicaSpec> formerReplicas; ///< of epoch - 1

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, ClaimGroup &group);
};

struct FloorHolder {
    std::string domain;
    std::string holder; ///< node id; empty if nobody holds the floor
    std::uint64_t epoch = 0;
    double fraction = 0; ///< part of every team's rate and burst

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, FloorHolder &holder);
};

/// The replicated state machine. The same commands in the same order give the same state on every host.
///
/// Bounds: the answers of the last 2,048 submissions are kept, about 1.7 days at 1,200 changes a day. A submission
/// that is resent later is taken as a new one: a manifest is then refused because its version is not above the current
/// one, a key is given a second time, and a withdrawal repeats without effect. At most 20,000 keys are valid at a time,
/// and the last 1,024 withdrawn keys are listed.
class ClusterState
{
public:
    ClusterState();

    /// Applies a log entry. @p index must be above index(). A null command is a no-op. Never throws on any JSON value.
    ApplyResult apply(std::uint64_t index, const Json::Value &command);
    /// Index of the last applied entry.
    std::uint64_t index() const;

    /// Returns the whole state as JSON text; equal states give equal texts.
    std::string toSnapshot() const;
    /// Replaces the state. Returns false and changes nothing on a malformed text.
    bool fromSnapshot(const std::string &text);

    /// Never null; empty before the first manifest.
    std::shared_ptr<const Manifest> manifest() const;
    /// Text of the manifest as the operator sent it.
    const std::string &manifestText() const;
    /// Index at which the current manifest was accepted; 0 before the first.
    std::uint64_t manifestIndex() const;
    /// Returns the team of a valid key. A key of a team that the manifest does not name is not valid.
    std::optional<std::string> teamOfKey(std::string_view keyText) const;
    /// Returns the team of the valid key with this id, without a check of its secret.
    std::optional<std::string> teamOfKeyId(std::string_view keyId) const;
    /// All keys in the order of their ids, including the listed withdrawn ones.
    std::vector<KeyRecord> keys() const;
    /// Returns the group; epoch 0 if it has no replicas yet. Null for a number outside 0 to claimGroupCount - 1.
    const ClaimGroup *claimGroup(int number) const;
    const std::vector<ClaimGroup> &claimGroups() const;
    /// Floor holders by domain.
    const std::map<std::string, FloorHolder> &floorHolders() const;

private:
    // Answer to a submission. The fingerprint tells a resend from another request under the same id.
    struct Submission {
        std::string id;
        std::string fingerprint;
        int error = 0;
        Json::Value answer;

        Json::Value toJson() const;
        static bool fromJson(const Json::Value &value, Submission &submission);
    };

    ApplyResult run(const PutManifest &command);
    ApplyResult run(const GiveKey &command);
    ApplyResult run(const WithdrawKey &command);
    ApplyResult run(const SetClaimGroup &command);
    ApplyResult run(const SetFloorHolder &command);
    ApplyResult runOnce(const std::string &id, const std::string &fingerprint, const Command &command);
    void setManifest(Manifest manifest, const std::string &text);
    void storeSubmission(Submission submission);
    void dropOldWithdrawnKeys();
    bool readManifest(const Json::Value &value);
    bool readKeys(const Json::Value &value);
    bool readSubmissions(const Json::Value &value);
    bool readClaimGroups(const Json::Value &value);
    bool readFloorHolders(const Json::Value &value);

    std::uint64_t m_index = 0;
    std::shared_ptr<const Manifest> m_manifest;
    std::string m_manifestText;
    std::string m_manifestSubmission;
    std::uint64_t m_manifestIndex = 0;
    std::set<std::string, std::less<>> m_teams; // of the manifest
    std::map<std::string, KeyRecord, std::less<>> m_keys;
    std::map<std::string, Submission> m_submissions;
    std::deque<std::string> m_submissionOrder; // oldest first
    std::vector<ClaimGroup> m_claimGroups;
    std::map<std::string, FloorHolder> m_floorHolders;
};
}
