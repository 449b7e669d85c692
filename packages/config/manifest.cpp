#include "manifest.h"

#include <algorithm>
#include <array>

namespace Yuccagrade
{
namespace
{
template<typename Spec>
const Spec *findByName(const std::vector<Spec> &list, std::string_view name)
{
    const auto found = std::find_if(list.begin(), list.end(), [name](const Spec &spec) {
        return spec.name == name;
    });
    return found == list.end() ? nullptr : &*found;
}
}

bool RouteSpec::allows(std::string_view team) const
{
    return allTeams || std::find(teams.begin(), teams.end(), team) != teams.end();
}

const DomainSpec *Manifest::domain(std::string_view name) const
{
    return findByName(domains, name);
}

const ServiceSpec *Manifest::service(std::string_view name) const
{
    return findByName(services, name);
}

const RouteSpec *Manifest::route(std::string_view name) const
{
    return findByName(routes, name);
}

const TeamSpec *Manifest::team(std::string_view name) const
{
    return findByName(teams, name);
}
}
