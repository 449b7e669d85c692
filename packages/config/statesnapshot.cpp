#include "clusterstate.h"

#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
namespace
{
// A host refuses a snapshot of another format instead of loading a part of it.
constexpr int snapshotFormat = 1;

template<typename Map>
Json::Value listOfValues(const Map &map)
{
    Json::Value list(Json::arrayValue);
    for (const auto &[key, item] : map) {
        list.append(item.toJson());
    }
    return list;
}

template<typename T>
bool readAll(const Json::Value &value, const char *name, std::vector<T> &items)
{
    return JsonReader(value).readList(name, items).ok();
}
}

Json::Value KeyRecord::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["team"] = team;
    value["salt"] = salt;
    value["hash"] = hash;
    value["givenIndex"] = Json::UInt64{givenIndex};
    value["withdrawnIndex"] = Json::UInt64{withdrawnIndex};
    return value;
}

bool KeyRecord::fromJson(const Json::Value &value, KeyRecord &record)
{
    JsonReader reader(value);
    reader.read("id", record.id).read("team", record.team).read("salt", record.salt).read("hash", record.hash);
    return reader.read("givenIndex", record.givenIndex).read("withdrawnIndex", record.withdrawnIndex).ok();
}

Json::Value ClaimGroup::toJson() const
{
    Json::Value value;
    value["number"] = number;
    value["epoch"] = Json::UInt64{epoch};
    value["replicas"] = toJsonList(replicas);
    value["formerReplicas"] = toJsonList(formerReplicas);
    return value;
}

bool ClaimGroup::fromJson(const Json::Value &value, ClaimGroup &group)
{
    JsonReader reader(value);
    reader.read("number", group.number).read("epoch", group.epoch);
    return reader.readList("replicas", group.replicas).readList("formerReplicas", group.formerReplicas).ok();
}

Json::Value FloorHolder::toJson() const
{
    Json::Value value;
    value["domain"] = domain;
    value["holder"] = holder;
    value["epoch"] = Json::UInt64{epoch};
    value["fraction"] = fraction;
    return value;
}

bool FloorHolder::fromJson(const Json::Value &value, FloorHolder &holder)
{
    JsonReader reader(value);
    reader.read("domain", holder.domain).read("holder", holder.holder).read("epoch", holder.epoch);
    return reader.read("fraction", holder.fraction).ok();
}

Json::Value ClusterState::Submission::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["fingerprint"] = fingerprint;
    value["error"] = error;
    value["answer"] = answer;
    return value;
}

bool ClusterState::Submission::fromJson(const Json::Value &value, Submission &submission)
{
    JsonReader reader(value);
    reader.read("id", submission.id).read("fingerprint", submission.fingerprint);
    return reader.read("error", submission.error).read("answer", submission.answer).ok();
}

std::string ClusterState::toSnapshot() const
{
    Json::Value value;
    value["format"] = snapshotFormat;
    value["index"] = Json::UInt64{m_index};
    value["manifestText"] = m_manifestText;
    value["manifestSubmission"] = m_manifestSubmission;
    value["manifestIndex"] = Json::UInt64{m_manifestIndex};
    value["keys"] = listOfValues(m_keys);
    value["submissions"] = Json::Value(Json::arrayValue);
    for (const std::string &id : m_submissionOrder) {
        value["submissions"].append(m_submissions.at(id).toJson());
    }
    value["claimGroups"] = toJsonList(m_claimGroups);
    value["floorHolders"] = listOfValues(m_floorHolders);
    return toText(value);
}

bool ClusterState::fromSnapshot(const std::string &text)
{
    Json::Value value;
    int format = 0;
    ClusterState loaded;
    if (!parseJson(text, value) || !JsonReader(value).read("format", format).read("index", loaded.m_index).ok() || format != snapshotFormat) {
        return false;
    }
    if (!loaded.readManifest(value) || !loaded.readKeys(value) || !loaded.readSubmissions(value) || !loaded.readClaimGroups(value)
        || !loaded.readFloorHolders(value)) {
        return false;
    }
    *this = std::move(loaded);
    return true;
}

bool ClusterState::readManifest(const Json::Value &value)
{
    std::string text;
    JsonReader reader(value);
    reader.read("manifestText", text).read("manifestSubmission", m_manifestSubmission).read("manifestIndex", m_manifestIndex);
    if (!reader.ok() || text.empty()) {
        return reader.ok();
    }
    Findings findings;
    setManifest(parseManifest(text, "snapshot", findings), text);
    return findings.empty();
}

bool ClusterState::readKeys(const Json::Value &value)
{
    std::vector<KeyRecord> records;
    if (!readAll(value, "keys", records)) {
        return false;
    }
    for (KeyRecord &record : records) {
        const std::string id = record.id;
        m_keys[id] = std::move(record);
    }
    return m_keys.size() == records.size();
}

bool ClusterState::readSubmissions(const Json::Value &value)
{
    std::vector<Submission> submissions;
    if (!readAll(value, "submissions", submissions)) {
        return false;
    }
    for (Submission &submission : submissions) {
        if (m_submissions.contains(submission.id)) {
            return false;
        }
        storeSubmission(std::move(submission));
    }
    return true;
}

bool ClusterState::readClaimGroups(const Json::Value &value)
{
    std::vector<ClaimGroup> groups;
    if (!readAll(value, "claimGroups", groups) || groups.size() != m_claimGroups.size()) {
        return false;
    }
    for (std::size_t i = 0; i < groups.size(); ++i) {
        if (groups[i].number != static_cast<int>(i)) {
            return false;
        }
    }
    m_claimGroups = std::move(groups);
    return true;
}

bool ClusterState::readFloorHolders(const Json::Value &value)
{
    std::vector<FloorHolder> holders;
    if (!readAll(value, "floorHolders", holders)) {
        return false;
    }
    for (FloorHolder &holder : holders) {
        const std::string domain = holder.domain;
        m_floorHolders[domain] = std::move(holder);
    }
    return m_floorHolders.size() == holders.size();
}
}
