#pragma once

#include "membership/memberview.h"
#include "policy/balancer.h"

#include <map>
#include <string>

namespace Yuccagrade
{
/// The upstreams of all services as the member view shows them, each service with its balancer.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(std::string ownDomain);

    /// Takes over the members that are up and announce an upstream.
    void update(const MemberView &view);
    /// Returns the balancer of a service, null if no upstream has ever announced it.
    Balancer *balancer(const std::string &service);
    /// Returns the peer address of the node beside the upstream, empty if unknown.
    std::string address(const std::string &nodeId) const;

private:
    std::string m_ownDomain;
    std::map<std::string, Balancer> m_balancers;
    std::map<std::string, std::string> m_addresses;
};
}
