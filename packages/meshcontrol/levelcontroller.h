#pragma once

#include "mesh/messages.h"
#include "retryshortage.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Yuccagrade::Mesh
{
/// Load shedding controller. Computes for each service a level that tells which priorities are refused at the entry, so that
/// the upstreams have enough slots for the admitted requests. The level of a service is the highest of its own level and
/// those of all services that it calls directly or indirectly. It also tells which services need more retries than their
/// budget allows.
class LevelController
{
public:
    LevelController() = default;
    explicit LevelController(RetryShortage retryShortage);

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
    struct Level {
        double value = 0;
        double effective = 0; ///< part of the value that the measured demand already reflects
    };
    void update(TimeMs now);
    static void advance(Level &level, double excess, double seconds);
    double highestLevel(const std::string &service, std::set<std::string> &visited) const;
    bool callsShortOfRetries(const std::string &service, std::set<std::string> &visited) const;

    std::map<std::string, Node> m_nodes; ///< by peer address
    std::map<std::string, Level> m_ownLevels; ///< of each service due to the demand for its own slots
    RetryShortage m_retryShortage;
    std::map<std::string, std::set<std::string>> m_calledServices;
    std::vector<ServiceLevel> m_levels;
    TimeMs m_updatedAt = 0;
    TimeMs m_firstReportAt = 0;
};
}
