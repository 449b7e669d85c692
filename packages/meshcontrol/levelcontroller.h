#pragma once

#include "mesh/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Finds for each service how many requests must be refused at their entry, so that the slots of its upstreams suffice
/// for the rest. Requests of a service are refused for the shortage of any service that they lead to.
class LevelController
{
public:
    /// Takes the report of a node. The first reports carry the levels of the leader before, which are taken over.
    void report(const SyncMessage &message, TimeMs now);
    /// Returns the levels of all services, those that they call included.
    std::vector<ServiceLevel> levels(TimeMs now);

private:
    struct Node {
        std::string service;
        LoadReport load;
        std::vector<std::string> calledServices;
        TimeMs heardAt = 0;
    };
    void update(TimeMs now);
    double worstLevel(const std::string &service, std::set<std::string> &seen) const;

    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, double> m_own; ///< level of each service by the need of its own slots
    std::map<std::string, double> m_inEffect; ///< part of m_own that the measured need shows by now
    std::map<std::string, std::set<std::string>> m_calls;
    std::vector<ServiceLevel> m_levels;
    TimeMs m_updatedAt = 0;
    TimeMs m_firstReportAt = 0;
};
}
