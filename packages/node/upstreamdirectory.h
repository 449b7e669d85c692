#pragma once

#include "membership/memberview.h"
#include "policy/balancer.h"

#include <map>
#include <string>

namespace Yuccagrade
{
/// The upstreams announced in the member view, with one load balancer per service.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(std::string ownDomain);

    /// Rebuilds the directory from the members that are up and announce an upstream.
    void update(const MemberView &view);
    /// Returns the balancer of a service, null if no upstream has ever announced it.
    Balancer *balancer(const std::string &service);
    /// Returns the peer address of a node that announces an upstream, empty if unknown.
    std::string address(const std::string &nodeId) const;

private:
    std::string m_ownDomain;
    std::map<std::string, Balancer> m_balancers;
    std::map<std::string, std::string> m_addresses;
};
}
