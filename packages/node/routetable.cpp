#include "routetable.h"

#include <algorithm>

namespace Yuccagrade
{
RouteTable::RouteTable(std::shared_ptr<const Manifest> manifest)
    : m_manifest(std::move(manifest))
{
    if (!m_manifest) {
        return;
    }
    for (const RouteSpec &route : m_manifest->routes) {
        if (route.prefix) {
            m_prefixes.push_back(&route);
        } else {
            m_exact.emplace(route.method + ' ' + route.path, &route);
        }
    }
    std::stable_sort(m_prefixes.begin(), m_prefixes.end(), [](const RouteSpec *a, const RouteSpec *b) {
        return a->path.size() > b->path.size();
    });
}

const RouteSpec *RouteTable::find(const std::string &method, const std::string &path) const
{
    const auto exact = m_exact.find(method + ' ' + path);
    if (exact != m_exact.end()) {
        return exact->second;
    }
    const auto prefix = std::find_if(m_prefixes.begin(), m_prefixes.end(), [&](const RouteSpec *route) {
        return route->method == method && path.starts_with(route->path);
    });
    return prefix == m_prefixes.end() ? nullptr : *prefix;
}
}
