#pragma once

#include "config/manifest.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yuccagrade
{
/// Finds the route of a request.
class RouteTable
{
public:
    /// Builds the table from @p manifest, which it keeps alive.
    explicit RouteTable(std::shared_ptr<const Manifest> manifest = nullptr);
    /// Returns the route of an exact path, or the one with the longest matching prefix; null if none matches.
    const RouteSpec *find(const std::string &method, const std::string &path) const;

private:
    std::shared_ptr<const Manifest> m_manifest;
    std::unordered_map<std::string, const RouteSpec *> m_exact; ///< by "METHOD path"
    std::vector<const RouteSpec *> m_prefixes; ///< longest first
};
}
