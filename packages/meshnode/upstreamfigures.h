#pragma once

/// Smoothed figures of one upstream that the nodes use to choose among upstreams. The load that they handle: hosts whose speed
/// changes several times a second, and upstreams that decline or fail calls while they look idle.
namespace Yuccagrade::Mesh
{
/// Recent share of the calls with a certain outcome.
class OutcomeShare
{
public:
    void record(bool hasOutcome, double nowMs);
    /// Returns the share. It decays without new calls, so that an upstream that is avoided for it is tried again.
    double value(double nowMs) const;

private:
    double m_share = 0;
    double m_atMs = 0;
};

/// Present time of work on the host of an upstream, relative to its usual time, from the figures that the upstream states.
/// Compares them with the service times: a figure that does not agree with these has no effect.
class WorkTime
{
public:
    /// Adds the figure of a response.
    void record(double factor, double nowMs);
    /// Adds the service time of the same response, relative to the mean of its kind.
    void recordServiceTime(double relativeTime);
    /// Returns the factor, 1 for the usual time. It approaches 1 as the last figure gets older.
    double factor(double nowMs) const;

private:
    double m_factor = 1; ///< smoothed over a time shorter than that in which it changes
    double m_mean = 1;
    // Equal at first, so that the figure is trusted.
    double m_variance = 0.05; ///< of the figure relative to its mean
    double m_covariance = 0.05; ///< of the figure and the service time
    double m_atMs = 0;
};
}
