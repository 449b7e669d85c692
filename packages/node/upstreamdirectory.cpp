#include "upstreamdirectory.h"

namespace Yuccagrade
{
UpstreamDirectory::UpstreamDirectory(std::string ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

void UpstreamDirectory::update(const MemberView &view)
{
    std::map<std::string, std::vector<UpstreamView>> services;
    m_addresses.clear();
    for (const Member &member : view.upMembers()) {
        if (!member.upstream) {
            continue;
        }
        const bool draining = member.draining || member.upstream->draining;
        m_addresses[member.id] = member.peerAddress;
        services[member.upstream->service].push_back(
            {member.id, member.domain, static_cast<std::int64_t>(member.incarnation), member.upstream->slots, draining});
    }
    for (auto &[service, balancer] : m_balancers) {
        if (!services.contains(service)) {
            balancer.setUpstreams({});
        }
    }
    for (const auto &[service, upstreams] : services) {
        m_balancers.try_emplace(service, m_ownDomain).first->second.setUpstreams(upstreams);
    }
}

Balancer *UpstreamDirectory::balancer(const std::string &service)
{
    const auto found = m_balancers.find(service);
    return found == m_balancers.end() ? nullptr : &found->second;
}

std::string UpstreamDirectory::address(const std::string &nodeId) const
{
    const auto found = m_addresses.find(nodeId);
    return found == m_addresses.end() ? std::string() : found->second;
}
}
