#include "raftmessages.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Yuccagrade
{
namespace
{
constexpr std::array<std::string_view, 3> entryKindNames{"noop", "command", "members"};

bool parseKind(const std::string &name, EntryKind &kind)
{
    const auto *found = std::find(entryKindNames.begin(), entryKindNames.end(), name);
    if (found == entryKindNames.end()) {
        return false;
    }
    kind = static_cast<EntryKind>(found - entryKindNames.begin());
    return true;
}
}

Json::Value GroupMember::toJson() const
{
    Json::Value json;
    json["id"] = id;
    json["address"] = address;
    json["diskId"] = diskId;
    json["voter"] = voter;
    return json;
}

bool GroupMember::fromJson(const Json::Value &json, GroupMember &out)
{
    return JsonReader(json).read("id", out.id).read("address", out.address).read("diskId", out.diskId).read("voter", out.voter).ok();
}

Json::Value LogEntry::toJson() const
{
    Json::Value json;
    json["index"] = index;
    json["term"] = term;
    json["kind"] = std::string(entryKindNames[static_cast<std::size_t>(kind)]);
    json["data"] = data;
    return json;
}

bool LogEntry::fromJson(const Json::Value &json, LogEntry &out)
{
    std::string kind;
    // The type of `data` is the owner's choice, so only its presence is checked.
    const bool ok = JsonReader(json).read("index", out.index).read("term", out.term).read("kind", kind).ok();
    if (!ok || !json.isMember("data") || !parseKind(kind, out.kind)) {
        return false;
    }
    out.data = json["data"];
    std::vector<GroupMember> members;
    return out.kind != EntryKind::Members || JsonReader(json).readList("data", members).ok();
}

Json::Value HelloRequest::toJson() const
{
    Json::Value json;
    json["from"] = from;
    return json;
}

bool HelloRequest::fromJson(const Json::Value &json, HelloRequest &out)
{
    return JsonReader(json).read("from", out.from).ok();
}

Json::Value HelloResponse::toJson() const
{
    Json::Value json;
    json["diskId"] = diskId;
    json["empty"] = empty;
    return json;
}

bool HelloResponse::fromJson(const Json::Value &json, HelloResponse &out)
{
    return JsonReader(json).read("diskId", out.diskId).read("empty", out.empty).ok();
}

Json::Value VoteRequest::toJson() const
{
    Json::Value json;
    json["term"] = term;
    json["candidate"] = candidate;
    json["voterDisk"] = voterDisk;
    json["lastIndex"] = lastIndex;
    json["lastTerm"] = lastTerm;
    json["preVote"] = preVote;
    return json;
}

bool VoteRequest::fromJson(const Json::Value &json, VoteRequest &out)
{
    return JsonReader(json)
        .read("term", out.term)
        .read("candidate", out.candidate)
        .read("voterDisk", out.voterDisk)
        .read("lastIndex", out.lastIndex)
        .read("lastTerm", out.lastTerm)
        .read("preVote", out.preVote)
        .ok();
}

Json::Value VoteResponse::toJson() const
{
    Json::Value json;
    json["term"] = term;
    json["requestTerm"] = requestTerm;
    json["preVote"] = preVote;
    json["granted"] = granted;
    json["diskId"] = diskId;
    return json;
}

bool VoteResponse::fromJson(const Json::Value &json, VoteResponse &out)
{
    return JsonReader(json)
        .read("term", out.term)
        .read("requestTerm", out.requestTerm)
        .read("preVote", out.preVote)
        .read("granted", out.granted)
        .read("diskId", out.diskId)
        .ok();
}

Json::Value AppendRequest::toJson() const
{
    Json::Value json;
    json["term"] = term;
    json["leader"] = leader;
    json["prevIndex"] = prevIndex;
    json["prevTerm"] = prevTerm;
    json["entries"] = toJsonList(entries);
    json["commit"] = commit;
    json["sentMs"] = sentMs;
    return json;
}

bool AppendRequest::fromJson(const Json::Value &json, AppendRequest &out)
{
    return JsonReader(json)
        .read("term", out.term)
        .read("leader", out.leader)
        .read("prevIndex", out.prevIndex)
        .read("prevTerm", out.prevTerm)
        .readList("entries", out.entries)
        .read("commit", out.commit)
        .read("sentMs", out.sentMs)
        .ok();
}

Json::Value AppendResponse::toJson() const
{
    Json::Value json;
    json["term"] = term;
    json["success"] = success;
    json["match"] = match;
    json["sentMs"] = sentMs;
    json["diskId"] = diskId;
    return json;
}

bool AppendResponse::fromJson(const Json::Value &json, AppendResponse &out)
{
    return JsonReader(json)
        .read("term", out.term)
        .read("success", out.success)
        .read("match", out.match)
        .read("sentMs", out.sentMs)
        .read("diskId", out.diskId)
        .ok();
}

Json::Value RaftSnapshot::toJson() const
{
    Json::Value json;
    json["index"] = index;
    json["term"] = term;
    json["members"] = toJsonList(members);
    json["state"] = state;
    return json;
}

bool RaftSnapshot::fromJson(const Json::Value &json, RaftSnapshot &out)
{
    return JsonReader(json).read("index", out.index).read("term", out.term).readList("members", out.members).read("state", out.state).ok();
}

Json::Value SnapshotRequest::toJson() const
{
    Json::Value json;
    json["term"] = term;
    json["leader"] = leader;
    json["snapshot"] = snapshot.toJson();
    json["sentMs"] = sentMs;
    return json;
}

bool SnapshotRequest::fromJson(const Json::Value &json, SnapshotRequest &out)
{
    Json::Value inner;
    return JsonReader(json).read("term", out.term).read("leader", out.leader).read("snapshot", inner).read("sentMs", out.sentMs).ok()
        && RaftSnapshot::fromJson(inner, out.snapshot);
}
}
