#include "drainstore.h"

#include "protocol/jsoncodec.h"

#include <algorithm>

namespace Yuccagrade::Mesh
{
namespace
{
// A host runs one upstream at a time, so earlier ones than these have ended long ago.
constexpr std::size_t maxDrainsOfHost = 8;
// Twice the hosts of the largest fleet: hosts that were removed are forgotten.
constexpr std::size_t maxHosts = 4'096;

Json::Value toJson(const DrainedUpstream &upstream)
{
    Json::Value json;
    json["id"] = upstream.id;
    json["startedAt"] = static_cast<Json::Int64>(upstream.startedAt);
    json["sequence"] = static_cast<Json::UInt64>(upstream.sequence);
    json["final"] = upstream.isFinal;
    return json;
}

bool readDrains(const Json::Value &list, std::vector<DrainedUpstream> &out)
{
    if (!list.isArray()) {
        return false;
    }
    return std::all_of(list.begin(), list.end(), [&out](const Json::Value &item) {
        DrainedUpstream &upstream = out.emplace_back();
        return JsonReader(item)
            .read("id", upstream.id)
            .read("startedAt", upstream.startedAt)
            .read("sequence", upstream.sequence)
            .read("final", upstream.isFinal)
            .ok();
    });
}

Json::Value toJsonArray(const std::vector<DrainedUpstream> &drained)
{
    Json::Value list(Json::arrayValue);
    for (const DrainedUpstream &upstream : drained) {
        list.append(toJson(upstream));
    }
    return list;
}
}

Json::Value DrainReport::toJson() const
{
    Json::Value json;
    json["drainsOf"] = peerAddress;
    json["drained"] = toJsonArray(drained);
    return json;
}

bool DrainReport::fromJson(const Json::Value &json, DrainReport &out)
{
    Json::Value list;
    return JsonReader(json).read("drainsOf", out.peerAddress).read("drained", list).ok() && readDrains(list, out.drained);
}

std::vector<DrainedUpstream> DrainStore::missing(const DrainReport &report) const
{
    const std::vector<DrainedUpstream> stored = drained(report.peerAddress);
    std::vector<DrainedUpstream> result;
    std::copy_if(report.drained.begin(), report.drained.end(), std::back_inserter(result), [&stored](const DrainedUpstream &upstream) {
        return std::none_of(stored.begin(), stored.end(), [&upstream](const DrainedUpstream &known) {
            return known.covers(upstream);
        });
    });
    return result;
}

void DrainStore::apply(std::uint64_t index, const DrainReport &report)
{
    Host &host = m_hosts[report.peerAddress];
    host.index = index;
    for (const DrainedUpstream &upstream : missing(report)) {
        std::erase_if(host.drained, [&upstream](const DrainedUpstream &known) {
            return known.id == upstream.id;
        });
        host.drained.push_back(upstream);
    }
    if (host.drained.size() > maxDrainsOfHost) {
        host.drained.erase(host.drained.begin(), host.drained.end() - maxDrainsOfHost);
    }
    if (m_hosts.size() > maxHosts) {
        m_hosts.erase(std::min_element(m_hosts.begin(), m_hosts.end(), [](const auto &a, const auto &b) {
            return a.second.index < b.second.index;
        }));
    }
}

std::vector<DrainedUpstream> DrainStore::drained(const std::string &peerAddress) const
{
    const auto found = m_hosts.find(peerAddress);
    return found == m_hosts.end() ? std::vector<DrainedUpstream>() : found->second.drained;
}

Json::Value DrainStore::save() const
{
    Json::Value json(Json::arrayValue);
    for (const auto &[peerAddress, host] : m_hosts) {
        Json::Value entry = DrainReport{peerAddress, host.drained}.toJson();
        entry["index"] = static_cast<Json::UInt64>(host.index);
        json.append(entry);
    }
    return json;
}

bool DrainStore::load(const Json::Value &json)
{
    std::map<std::string, Host> hosts;
    if (!json.isArray()) {
        return false;
    }
    for (const Json::Value &entry : json) {
        DrainReport report;
        Host host;
        if (!DrainReport::fromJson(entry, report) || !JsonReader(entry).read("index", host.index).ok()) {
            return false;
        }
        host.drained = std::move(report.drained);
        hosts[report.peerAddress] = std::move(host);
    }
    m_hosts = std::move(hosts);
    return true;
}
}
