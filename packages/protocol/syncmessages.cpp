#include "syncmessages.h"

namespace Yuccagrade
{
namespace
{
// Optional parts are absent from the object rather than null.
template<typename T>
void put(Json::Value &object, const char *name, const std::optional<T> &item)
{
    if (item) {
        object[name] = item->toJson();
    }
}

template<typename T>
bool take(const Json::Value &object, const char *name, std::optional<T> &item)
{
    item.reset();
    if (!object.isObject() || !object.isMember(name)) {
        return true;
    }
    return T::fromJson(object[name], item.emplace());
}

template<typename T>
bool takeObject(const Json::Value &object, const char *name, T &item)
{
    return object.isObject() && object.isMember(name) && T::fromJson(object[name], item);
}

bool isFraction(double value)
{
    return value >= 0 && value <= 1;
}
}

Json::Value UpstreamAnnouncement::toJson() const
{
    Json::Value value;
    value["service"] = service;
    value["port"] = port;
    value["slots"] = slots;
    value["connections"] = connections;
    value["draining"] = draining;
    return value;
}

bool UpstreamAnnouncement::fromJson(const Json::Value &value, UpstreamAnnouncement &out)
{
    return JsonReader(value)
               .read("service", out.service)
               .read("port", out.port)
               .read("slots", out.slots)
               .read("connections", out.connections)
               .read("draining", out.draining)
               .ok()
        && out.port > 0 && out.port < 65536 && out.slots >= 0 && out.connections >= 0;
}

Json::Value Member::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["incarnation"] = Json::UInt64(incarnation);
    value["revision"] = Json::UInt64(revision);
    value["domain"] = domain;
    value["region"] = region;
    value["peerAddress"] = peerAddress;
    value["operatorAddress"] = operatorAddress;
    value["sources"] = sources;
    value["control"] = control;
    value["coordinator"] = coordinator;
    value["draining"] = draining;
    value["up"] = up;
    put(value, "upstream", upstream);
    return value;
}

bool Member::fromJson(const Json::Value &value, Member &out)
{
    // Programs before the digest of sources leave it out.
    const bool toldSources = !value.isObject() || !value.isMember("sources") || JsonReader(value).read("sources", out.sources).ok();
    return JsonReader(value)
               .read("id", out.id)
               .read("incarnation", out.incarnation)
               .read("revision", out.revision)
               .read("domain", out.domain)
               .read("region", out.region)
               .read("operatorAddress", out.operatorAddress)
               .read("coordinator", out.coordinator)
               .read("peerAddress", out.peerAddress)
               .read("control", out.control)
               .read("draining", out.draining)
               .read("up", out.up)
               .ok()
        && toldSources && take(value, "upstream", out.upstream) && !out.id.empty();
}

Json::Value StateConfirmation::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["incarnation"] = Json::UInt64(incarnation);
    value["stateIndex"] = Json::UInt64(stateIndex);
    return value;
}

bool StateConfirmation::fromJson(const Json::Value &value, StateConfirmation &out)
{
    return JsonReader(value).read("id", out.id).read("incarnation", out.incarnation).read("stateIndex", out.stateIndex).ok();
}

Json::Value MemberReport::toJson() const
{
    Json::Value value;
    value["base"] = Json::UInt64(base);
    value["version"] = Json::UInt64(version);
    value["members"] = toJsonList(members);
    value["confirmed"] = toJsonList(confirmed);
    return value;
}

bool MemberReport::fromJson(const Json::Value &value, MemberReport &out)
{
    return JsonReader(value).read("base", out.base).read("version", out.version).readList("members", out.members).readList("confirmed", out.confirmed).ok();
}

Json::Value FreshnessProof::toJson() const
{
    Json::Value value;
    value["index"] = Json::UInt64(index);
    value["remainingMs"] = Json::Int64(remainingMs);
    return value;
}

bool FreshnessProof::fromJson(const Json::Value &value, FreshnessProof &out)
{
    return JsonReader(value).read("index", out.index).read("remainingMs", out.remainingMs).ok();
}

Json::Value StateEntry::toJson() const
{
    Json::Value value;
    value["index"] = Json::UInt64(index);
    value["command"] = command;
    return value;
}

bool StateEntry::fromJson(const Json::Value &value, StateEntry &out)
{
    return JsonReader(value).read("index", out.index).read("command", out.command).ok();
}

std::uint64_t StateUpdate::reaches() const
{
    return entries.empty() ? snapshotIndex : entries.back().index;
}

Json::Value StateUpdate::toJson() const
{
    Json::Value value;
    value["since"] = Json::UInt64(since);
    value["snapshotIndex"] = Json::UInt64(snapshotIndex);
    value["snapshot"] = snapshot;
    value["entries"] = toJsonList(entries);
    return value;
}

bool StateUpdate::fromJson(const Json::Value &value, StateUpdate &out)
{
    return JsonReader(value)
        .read("since", out.since)
        .read("snapshotIndex", out.snapshotIndex)
        .read("snapshot", out.snapshot)
        .readList("entries", out.entries)
        .ok();
}

Json::Value ViewDelta::toJson() const
{
    Json::Value value;
    value["source"] = source;
    value["version"] = Json::UInt64(version);
    value["full"] = full;
    value["authoritative"] = authoritative;
    value["members"] = toJsonList(members);
    return value;
}

bool ViewDelta::fromJson(const Json::Value &value, ViewDelta &out)
{
    return JsonReader(value)
        .read("source", out.source)
        .read("version", out.version)
        .read("full", out.full)
        .read("authoritative", out.authoritative)
        .readList("members", out.members)
        .ok();
}

Json::Value CoordinatorLeaseGrant::toJson() const
{
    Json::Value value;
    value["validMs"] = Json::Int64(validMs);
    value["renewalOnly"] = renewalOnly;
    return value;
}

bool CoordinatorLeaseGrant::fromJson(const Json::Value &value, CoordinatorLeaseGrant &out)
{
    return JsonReader(value).read("validMs", out.validMs).read("renewalOnly", out.renewalOnly).ok();
}

Json::Value ShareMessage::toJson() const
{
    Json::Value value;
    value["floorFraction"] = floorFraction;
    value["floorMs"] = Json::Int64(floorMs);
    value["leasedFraction"] = leasedFraction;
    value["leasedMs"] = Json::Int64(leasedMs);
    value["renewalOnly"] = renewalOnly;
    value["confirmedIndex"] = Json::UInt64(confirmedIndex);
    value["handBack"] = handBack;
    return value;
}

bool ShareMessage::fromJson(const Json::Value &value, ShareMessage &out)
{
    return JsonReader(value)
               .read("floorFraction", out.floorFraction)
               .read("floorMs", out.floorMs)
               .read("leasedFraction", out.leasedFraction)
               .read("leasedMs", out.leasedMs)
               .read("renewalOnly", out.renewalOnly)
               .read("confirmedIndex", out.confirmedIndex)
               .read("handBack", out.handBack)
               .ok()
        && isFraction(out.floorFraction) && isFraction(out.leasedFraction);
}

Json::Value SyncRequest::toJson() const
{
    Json::Value value;
    value["self"] = self.toJson();
    value["stateIndex"] = Json::UInt64(stateIndex);
    value["viewSource"] = viewSource;
    value["viewVersion"] = Json::UInt64(viewVersion);
    value["wantsLease"] = wantsLease;
    value["leaseLeftMs"] = Json::Int64(leaseLeftMs);
    value["report"] = report.toJson();
    put(value, "share", share);
    return value;
}

bool SyncRequest::fromJson(const Json::Value &value, SyncRequest &out)
{
    return JsonReader(value)
               .read("stateIndex", out.stateIndex)
               .read("viewSource", out.viewSource)
               .read("viewVersion", out.viewVersion)
               .read("wantsLease", out.wantsLease)
               .read("leaseLeftMs", out.leaseLeftMs)
               .ok()
        && takeObject(value, "self", out.self) && takeObject(value, "report", out.report) && take(value, "share", out.share);
}

Json::Value SyncResponse::toJson() const
{
    Json::Value value;
    value["responder"] = responder;
    value["leaderAddress"] = leaderAddress;
    value["coordinatorId"] = coordinatorId;
    value["coordinatorAddress"] = coordinatorAddress;
    value["ackedReport"] = Json::UInt64(ackedReport);
    value["state"] = state.toJson();
    value["view"] = view.toJson();
    put(value, "lease", lease);
    put(value, "proof", proof);
    put(value, "share", share);
    return value;
}

bool SyncResponse::fromJson(const Json::Value &value, SyncResponse &out)
{
    return JsonReader(value)
               .read("responder", out.responder)
               .read("leaderAddress", out.leaderAddress)
               .read("coordinatorId", out.coordinatorId)
               .read("coordinatorAddress", out.coordinatorAddress)
               .read("ackedReport", out.ackedReport)
               .ok()
        && takeObject(value, "state", out.state) && takeObject(value, "view", out.view) && take(value, "lease", out.lease) && take(value, "proof", out.proof)
        && take(value, "share", out.share);
}
}
