#pragma once

#include "fleetconfig.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>

namespace Yuccagrade::Mesh
{
/// Region of each failure domain that belongs to one.
using RegionOfDomain = std::map<std::string, std::string, std::less<>>;

/// The regions whose upstreams may serve a call: those that both its route and its team allow. Refers to the configuration of
/// the call, which must outlive it.
class AllowedRegions
{
public:
    /// Allows all regions.
    AllowedRegions() = default;
    /// @p team is null if the call has none.
    AllowedRegions(const Route &route, const Team *team)
        : m_lists{&route.regions, team ? &team->regions : nullptr}
    {
    }

    bool allowsAll() const
    {
        return std::none_of(m_lists.begin(), m_lists.end(), isRestricting);
    }
    bool allows(std::string_view region) const
    {
        return std::all_of(m_lists.begin(), m_lists.end(), [region](const List *list) {
            return !isRestricting(list) || std::find(list->begin(), list->end(), region) != list->end();
        });
    }
    /// Returns false for a domain without a region if the regions are restricted.
    bool allowsDomain(std::string_view domain, const RegionOfDomain &regionOfDomain) const
    {
        if (allowsAll()) {
            return true;
        }
        const auto found = regionOfDomain.find(domain);
        return found != regionOfDomain.end() && allows(found->second);
    }
    /// Returns false if no domain belongs to an allowed region.
    bool allowsAnyOf(const RegionOfDomain &regionOfDomain) const
    {
        return allowsAll() || std::any_of(regionOfDomain.begin(), regionOfDomain.end(), [this](const auto &entry) {
                   return allows(entry.second);
               });
    }

private:
    using List = std::vector<std::string>;
    static bool isRestricting(const List *list)
    {
        return list && !list->empty();
    }

    std::array<const List *, 2> m_lists{};
};
}
