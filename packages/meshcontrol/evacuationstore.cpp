#include "evacuationstore.h"

#include "protocol/jsoncodec.h"

#include <algorithm>
#include <array>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t maxDomainLength = 64;
constexpr std::size_t maxDomains = 64;
constexpr std::string_view domainCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::array kindNames{std::pair(EvacuationOrder::Kind::Start, std::string_view("start")),
                               std::pair(EvacuationOrder::Kind::End, std::string_view("end"))};
constexpr std::array resultNames{std::pair(EvacuationResult::Applied, std::string_view("applied")),
                                 std::pair(EvacuationResult::InvalidDomain, std::string_view("invalid domain")),
                                 std::pair(EvacuationResult::TooManyDomains, std::string_view("too many domains"))};

template<typename Names, typename Value>
std::string_view nameIn(const Names &names, Value value)
{
    const auto found = std::find_if(names.begin(), names.end(), [value](const auto &item) {
        return item.first == value;
    });
    return found == names.end() ? std::string_view() : found->second;
}
}

std::string_view evacuationOrderKindName(EvacuationOrder::Kind kind)
{
    return nameIn(kindNames, kind);
}

std::string_view evacuationResultName(EvacuationResult result)
{
    return nameIn(resultNames, result);
}

Json::Value EvacuationOrder::toJson() const
{
    Json::Value json;
    json["evacuation"] = std::string(evacuationOrderKindName(kind));
    json["domain"] = domain;
    return json;
}

bool EvacuationOrder::fromJson(const Json::Value &json, EvacuationOrder &out)
{
    std::string kind;
    if (!JsonReader(json).read("evacuation", kind).read("domain", out.domain).ok()) {
        return false;
    }
    const auto found = std::find_if(kindNames.begin(), kindNames.end(), [&kind](const auto &item) {
        return item.second == kind;
    });
    if (found == kindNames.end()) {
        return false;
    }
    out.kind = found->first;
    return true;
}

EvacuationResult EvacuationStore::check(const EvacuationOrder &order) const
{
    if (order.domain.empty() || order.domain.size() > maxDomainLength || order.domain.find_first_not_of(domainCharacters) != std::string::npos) {
        return EvacuationResult::InvalidDomain;
    }
    const bool isAdded = order.kind == EvacuationOrder::Kind::Start && !m_domains.contains(order.domain);
    return isAdded && m_domains.size() >= maxDomains ? EvacuationResult::TooManyDomains : EvacuationResult::Applied;
}

EvacuationResult EvacuationStore::apply(std::uint64_t index, const EvacuationOrder &order)
{
    const EvacuationResult result = check(order);
    if (result == EvacuationResult::Applied) {
        const bool isChanged = order.kind == EvacuationOrder::Kind::Start ? m_domains.insert(order.domain).second : m_domains.erase(order.domain) > 0;
        m_index = isChanged ? index : m_index;
    }
    return result;
}

Json::Value EvacuationStore::save() const
{
    Json::Value json;
    json["index"] = static_cast<Json::UInt64>(m_index);
    json["domains"] = Json::Value(Json::arrayValue);
    for (const std::string &domain : m_domains) {
        json["domains"].append(domain);
    }
    return json;
}

bool EvacuationStore::load(const Json::Value &json)
{
    std::uint64_t index = 0;
    std::vector<std::string> domains;
    if (!json.isObject() || !JsonReader(json).read("index", index).read("domains", domains).ok()) {
        return false;
    }
    m_index = index;
    m_domains = {domains.begin(), domains.end()};
    return true;
}
}
