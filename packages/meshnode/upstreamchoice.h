#pragma once

#include "base/random.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

/// Choice of the upstream for one call. The load that it handles: many nodes choose at the same time from reports that are up
/// to 2 s old, upstreams differ in speed, and the demand of the domains differs.
namespace Yuccagrade::Mesh
{
/// What a node knows about an upstream that may get the call.
struct ChoiceCandidate {
    double slots = 1; ///< calls that may run at once
    double busy = 0; ///< slots in use according to the last report
    double ownCalls = 0; ///< calls of this node that the report does not include
    double reportAgeMs = std::numeric_limits<double>::infinity(); ///< infinite without a usable report
    double workTimeFactor = 1; ///< time that work took at the report, relative to the usual time
    double serviceMs = 0; ///< for calls of this kind; 0 if unknown
    double serviceAgeMs = 0; ///< of serviceMs
    double servedShare = 1; ///< share of the calls that the upstream neither declines nor fails
    bool isCold = false;
    bool isOwnDomain = false;
};

enum class ChoiceReason : std::uint8_t { OwnDomain, OtherDomain, LastResort };
constexpr std::array<std::string_view, 3> choiceReasonNames{"own-domain", "other-domain", "last-resort"};

class UpstreamChoice
{
public:
    struct Result {
        std::size_t index = 0; ///< in the candidates
        ChoiceReason reason = ChoiceReason::OwnDomain;
    };

    /// Average of the recent decisions to leave the own domain, for one service.
    struct Leaving {
        double share = 0;
        double atMs = -std::numeric_limits<double>::infinity();
        bool isReported = false; ///< to the operators, by the user of this class
    };

    /// Returns the choice among at least one candidate for a call with this latency goal and longest allowed service time.
    Result choose(const std::vector<ChoiceCandidate> &candidates, double latencyGoalMs, double maxServiceMs, Leaving &leaving, double nowMs, Random &random);

private:
    struct Group;
    struct Rated {
        std::size_t index = 0;
        double weight = 0; ///< share of the calls, relative to the other upstreams
        double score = 0; ///< lower is better
        bool isFull = false;
    };
    void rate(const std::vector<ChoiceCandidate> &candidates, const Group &group, double latencyGoalMs, double maxServiceMs, Random &random);
    std::size_t pick(std::size_t samples, Random &random);

    std::vector<Rated> m_rated; ///< kept between calls to avoid allocations
};
}
