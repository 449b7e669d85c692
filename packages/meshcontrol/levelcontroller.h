#pragma once

#include "mesh/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Load shedding controller. Computes for each service a level that tells which priorities are refused at the entry, so that
/// the upstreams have enough slots for the admitted requests. The level of a service is the highest of its own level and
/// those of all services that it calls directly or indirectly.
class LevelController
{
public:
    /// Processes the report of a node. A new leader adopts the levels of its predecessor from the first reports.
    void report(const SyncMessage &message, TimeMs now);
    /// Returns the levels of all services, with the levels of called services taken into account.
    std::vector<ServiceLevel> levels(TimeMs now);

private:
    struct Node {
        std::string service;
        LoadReport load;
        std::vector<std::string> calledServices;
        TimeMs lastReportAt = 0;
    };
    void update(TimeMs now);
    double highestLevel(const std::string &service, std::set<std::string> &visited) const;

    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, double> m_ownLevels; ///< level of each service due to the demand for its own slots
    std::map<std::string, double> m_effectiveLevels; ///< part of m_ownLevels that the measured demand already reflects
    std::map<std::string, std::set<std::string>> m_calledServices;
    std::vector<ServiceLevel> m_levels;
    TimeMs m_updatedAt = 0;
    TimeMs m_firstReportAt = 0;
};
}
