#include "clusterstate.h"

#include "base/errc.h"
#include "base/secret.h"
#include "config/teamkey.h"
#include "protocol/jsoncodec.h"

#include <algorithm>

namespace Yuccagrade
{
namespace
{
// Nodes hold the state too, within 64 MB; about 0.4 kB per submission and 0.3 kB per key.
constexpr std::size_t maxSubmissions = 2048;
constexpr std::size_t maxValidKeys = 20'000;
constexpr std::size_t maxWithdrawnKeys = 1024;
// A stored answer must stay small; the operator's `check` lists all findings.
constexpr std::size_t maxFindings = 20;
// SHA-256 in base64url.
constexpr std::size_t hashBytes = 43;

struct SubmissionId {
    std::string id;
    std::string fingerprint;
};

ApplyResult refused(Errc error, const std::string &message)
{
    ApplyResult result;
    result.error = error;
    result.answer["message"] = message;
    return result;
}

std::string fingerprint(const char *kind, const std::string &content)
{
    return sha256(std::string(kind) + ':' + content);
}

// The fingerprint covers what the operator sent; the id and the hash of a key are made anew for each resend.
struct SubmissionOf {
    SubmissionId operator()(const PutManifest &command) const
    {
        return {command.submission, fingerprint("manifest", command.text)};
    }
    SubmissionId operator()(const GiveKey &command) const
    {
        return {command.submission, fingerprint("give", command.team)};
    }
    SubmissionId operator()(const WithdrawKey &command) const
    {
        return {command.submission, fingerprint("withdraw", command.keyId)};
    }
    SubmissionId operator()(const SetClaimGroup &) const
    {
        return {};
    }
    SubmissionId operator()(const SetFloorHolder &) const
    {
        return {};
    }
};

std::set<std::string> regionsOf(const Manifest &manifest)
{
    std::set<std::string> regions;
    for (const DomainSpec &domain : manifest.domains) {
        regions.insert(domain.region);
    }
    return regions;
}

// The claim group of an action follows from the regions and the home region of its team. A repeated action must find the
// group that holds its claim.
bool movesActions(const Manifest &before, const Manifest &after)
{
    const bool regionsChanged = regionsOf(before) != regionsOf(after);
    return std::any_of(before.teams.begin(), before.teams.end(), [&](const TeamSpec &team) {
        const TeamSpec *next = after.team(team.name);
        return (next && next->homeRegion != team.homeRegion) || (regionsChanged && !team.homeRegion.empty());
    });
}

Json::Value findingList(const Findings &findings)
{
    Json::Value list(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(findings.size(), maxFindings); ++i) {
        Json::Value item;
        item["line"] = findings[i].line;
        item["message"] = findings[i].message;
        list.append(item);
    }
    return list;
}

bool areValidReplicas(const std::vector<ClaimReplicaSpec> &replicas)
{
    std::set<std::string> ids;
    for (const ClaimReplicaSpec &replica : replicas) {
        std::string ip;
        int port = 0;
        if (!isName(replica.id) || !isName(replica.domain) || !splitAddress(replica.address, ip, port)) {
            return false;
        }
        ids.insert(replica.id);
    }
    return ids.size() == claimReplicaCount && replicas.size() == claimReplicaCount;
}
}

ClusterState::ClusterState()
    : m_manifest(std::make_shared<const Manifest>())
{
    for (int number = 0; number < claimGroupCount; ++number) {
        m_claimGroups.push_back({number, 0, {}, {}});
    }
}

ApplyResult ClusterState::apply(std::uint64_t index, const Json::Value &command)
{
    if (index <= m_index) {
        return refused(Errc::Replayed, "entry " + std::to_string(index) + " is not above " + std::to_string(m_index));
    }
    m_index = index;
    Command typed;
    if (command.isNull()) {
        return {};
    }
    if (!commandFromJson(command, typed)) {
        return refused(Errc::Malformed, "unknown or malformed command");
    }
    if (std::holds_alternative<SetClaimGroup>(typed) || std::holds_alternative<SetFloorHolder>(typed)) {
        return std::visit(
            [this](const auto &each) {
                return run(each);
            },
            typed);
    }
    const SubmissionId submission = std::visit(SubmissionOf(), typed);
    return runOnce(submission.id, submission.fingerprint, typed);
}

ApplyResult ClusterState::runOnce(const std::string &id, const std::string &fingerprint, const Command &command)
{
    if (!isName(id)) {
        return refused(Errc::Malformed, "a submission id has 1 to 40 letters, digits, '.', '_' and '-'");
    }
    if (const auto found = m_submissions.find(id); found != m_submissions.end()) {
        if (found->second.fingerprint != fingerprint) {
            return refused(Errc::Conflict, "submission id '" + id + "' was already used for another request");
        }
        return {static_cast<Errc>(found->second.error), found->second.answer, false, true};
    }
    ApplyResult result = std::visit(
        [this](const auto &each) {
            return run(each);
        },
        command);
    // A message may hold a name that inih cut within a character. Decoded text is the same on hosts that load a snapshot.
    parseJson(toText(result.answer), result.answer);
    storeSubmission({id, fingerprint, result.error.value(), result.answer});
    return result;
}

ApplyResult ClusterState::run(const PutManifest &command)
{
    Findings findings;
    Manifest manifest = parseManifest(command.text, "manifest", findings);
    if (!findings.empty()) {
        ApplyResult result = refused(Errc::Malformed, "the manifest has findings");
        result.answer["findings"] = findingList(findings);
        return result;
    }
    if (manifest.version <= m_manifest->version) {
        const std::string current = std::to_string(m_manifest->version);
        const bool same = manifest.version == m_manifest->version;
        ApplyResult result = refused(Errc::Conflict,
                                     same ? "version " + current + " was already accepted from submission '" + m_manifestSubmission + '\''
                                          : "version " + std::to_string(manifest.version) + " is below the current version " + current);
        result.answer["winner"]["submission"] = m_manifestSubmission;
        result.answer["winner"]["version"] = Json::UInt64{m_manifest->version};
        return result;
    }
    if (movesActions(*m_manifest, manifest)) {
        return refused(Errc::Conflict,
                       "the home region of a team, and the regions while a team has one, cannot change: actions that were claimed "
                       "before could run again; create a new team instead");
    }
    setManifest(std::move(manifest), command.text);
    m_manifestSubmission = command.submission;
    m_manifestIndex = m_index;
    ApplyResult result;
    result.changed = true;
    result.answer["index"] = Json::UInt64{m_index};
    result.answer["version"] = Json::UInt64{m_manifest->version};
    return result;
}

ApplyResult ClusterState::run(const GiveKey &command)
{
    if (!isName(command.keyId) || !isName(command.salt) || command.hash.size() != hashBytes) {
        return refused(Errc::Malformed, "malformed key");
    }
    if (!m_teams.contains(command.team)) {
        return refused(Errc::NotFound, "the manifest has no such team");
    }
    if (m_keys.contains(command.keyId)) {
        return refused(Errc::Conflict, "key id '" + command.keyId + "' exists");
    }
    const auto valid = std::count_if(m_keys.begin(), m_keys.end(), [](const auto &item) {
        return item.second.withdrawnIndex == 0;
    });
    if (static_cast<std::size_t>(valid) >= maxValidKeys) {
        return refused(Errc::Unavailable, "there are " + std::to_string(maxValidKeys) + " valid keys; withdraw some first");
    }
    m_keys[command.keyId] = {command.keyId, command.team, command.salt, command.hash, m_index, 0};
    ApplyResult result;
    result.changed = true;
    result.answer["index"] = Json::UInt64{m_index};
    result.answer["keyId"] = command.keyId;
    result.answer["team"] = command.team;
    return result;
}

ApplyResult ClusterState::run(const WithdrawKey &command)
{
    const auto found = m_keys.find(command.keyId);
    if (found == m_keys.end()) {
        return refused(Errc::NotFound, "there is no such key");
    }
    KeyRecord &record = found->second;
    ApplyResult result;
    if (record.withdrawnIndex == 0) {
        record.withdrawnIndex = m_index;
        record.salt.clear();
        record.hash.clear();
        result.changed = true;
    }
    result.answer["index"] = Json::UInt64{record.withdrawnIndex};
    result.answer["keyId"] = record.id;
    result.answer["team"] = record.team;
    dropOldWithdrawnKeys();
    return result;
}

ApplyResult ClusterState::run(const SetClaimGroup &command)
{
    if (command.number < 0 || command.number >= claimGroupCount || !areValidReplicas(command.replicas)) {
        return refused(Errc::Malformed, "a claim group needs a number below 16 and three replicas");
    }
    ClaimGroup &group = m_claimGroups[static_cast<std::size_t>(command.number)];
    if (command.epoch != group.epoch + 1) {
        return refused(Errc::Conflict, "the current epoch is " + std::to_string(group.epoch));
    }
    group.formerReplicas = std::move(group.replicas);
    group.replicas = command.replicas;
    group.epoch = command.epoch;
    return {{}, Json::Value(Json::objectValue), true, false};
}

ApplyResult ClusterState::run(const SetFloorHolder &command)
{
    if (!isName(command.domain) || !(command.holder.empty() || isName(command.holder))) {
        return refused(Errc::Malformed, "malformed domain or node id");
    }
    const auto found = m_floorHolders.find(command.domain);
    const std::uint64_t epoch = found == m_floorHolders.end() ? 0 : found->second.epoch;
    if (command.epoch != epoch + 1) {
        return refused(Errc::Conflict, "the current epoch is " + std::to_string(epoch));
    }
    // A domain that left the manifest keeps its holder, so that no two nodes hold its floor when it returns.
    if (found == m_floorHolders.end() && !m_manifest->domain(command.domain)) {
        return refused(Errc::NotFound, "the manifest has no such domain");
    }
    m_floorHolders[command.domain] = {command.domain, command.holder, command.epoch, command.fraction};
    return {{}, Json::Value(Json::objectValue), true, false};
}

void ClusterState::setManifest(Manifest manifest, const std::string &text)
{
    m_teams.clear();
    for (const TeamSpec &team : manifest.teams) {
        m_teams.insert(team.name);
    }
    m_manifest = std::make_shared<const Manifest>(std::move(manifest));
    m_manifestText = text;
}

void ClusterState::storeSubmission(Submission submission)
{
    if (m_submissionOrder.size() >= maxSubmissions) {
        m_submissions.erase(m_submissionOrder.front());
        m_submissionOrder.pop_front();
    }
    m_submissionOrder.push_back(submission.id);
    m_submissions[submission.id] = std::move(submission);
}

void ClusterState::dropOldWithdrawnKeys()
{
    std::map<std::uint64_t, std::string> withdrawn;
    for (const auto &[id, record] : m_keys) {
        if (record.withdrawnIndex > 0) {
            withdrawn[record.withdrawnIndex] = id;
        }
    }
    while (withdrawn.size() > maxWithdrawnKeys) {
        m_keys.erase(withdrawn.begin()->second);
        withdrawn.erase(withdrawn.begin());
    }
}

std::uint64_t ClusterState::index() const
{
    return m_index;
}

std::shared_ptr<const Manifest> ClusterState::manifest() const
{
    return m_manifest;
}

const std::string &ClusterState::manifestText() const
{
    return m_manifestText;
}

std::uint64_t ClusterState::manifestIndex() const
{
    return m_manifestIndex;
}

// A check took 2.6 us in a trial on a busy machine, so no cache is kept that a withdrawal would have to clear.
std::optional<std::string> ClusterState::teamOfKey(std::string_view keyText) const
{
    TeamKey key;
    if (!parseTeamKey(keyText, key)) {
        return std::nullopt;
    }
    const auto team = teamOfKeyId(key.id);
    if (!team) {
        return std::nullopt;
    }
    const KeyRecord &record = m_keys.find(key.id)->second;
    return equalConstantTime(hashKeySecret(record.salt, key.secret), record.hash) ? team : std::nullopt;
}

std::optional<std::string> ClusterState::teamOfKeyId(std::string_view keyId) const
{
    const auto found = m_keys.find(keyId);
    if (found == m_keys.end() || found->second.withdrawnIndex > 0 || !m_teams.contains(found->second.team)) {
        return std::nullopt;
    }
    return found->second.team;
}

std::vector<KeyRecord> ClusterState::keys() const
{
    std::vector<KeyRecord> list;
    list.reserve(m_keys.size());
    for (const auto &[id, record] : m_keys) {
        list.push_back(record);
    }
    return list;
}

const ClaimGroup *ClusterState::claimGroup(int number) const
{
    return number >= 0 && number < claimGroupCount ? &m_claimGroups[static_cast<std::size_t>(number)] : nullptr;
}

const std::vector<ClaimGroup> &ClusterState::claimGroups() const
{
    return m_claimGroups;
}

const std::map<std::string, FloorHolder> &ClusterState::floorHolders() const
{
    return m_floorHolders;
}
}
