#include "denialhistory.h"

#include <algorithm>
#include <utility>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr std::size_t maxConfigs = 4;
constexpr std::size_t maxDenials = 256;

bool knows(const FleetConfig &config, const Denial &denial)
{
    const Route *route = config.route(denial.host, denial.path);
    return route && (denial.key.empty() || route->open || (denial.key == noKey && config.allowsNoKey(*route)) || config.teamOfKey(denial.key));
}
}

std::vector<Denial> DenialHistory::setConfig(std::shared_ptr<const FleetConfig> config)
{
    std::vector<Denial> known;
    const auto firstKnown = std::stable_partition(m_denials.begin(), m_denials.end(), [&config](const Denial &denial) {
        return !knows(*config, denial);
    });
    std::move(firstKnown, m_denials.end(), std::back_inserter(known));
    m_denials.erase(firstKnown, m_denials.end());
    m_configs.push_front(std::move(config));
    if (m_configs.size() > maxConfigs) {
        m_configs.pop_back();
    }
    return known;
}

void DenialHistory::record(Denial denial)
{
    m_denials.push_back(std::move(denial));
    if (m_denials.size() > maxDenials) {
        m_denials.pop_front();
    }
}

std::uint64_t DenialHistory::lastVersionKnowing(const Denial &denial) const
{
    const auto found = std::find_if(m_configs.begin(), m_configs.end(), [&denial](const auto &config) {
        return knows(*config, denial);
    });
    return found == m_configs.end() ? 0 : (*found)->version;
}
}
