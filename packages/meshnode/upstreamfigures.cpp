#include "upstreamfigures.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade::Mesh
{
namespace
{
constexpr double shareSmoothingMs = 1'000;
// Bounds of the weight of one outcome: 50 outcomes at a high rate, 4 at a low one.
constexpr double minOutcomeWeight = 0.02;
constexpr double maxOutcomeWeight = 0.25;
// Decay of the share without new calls. The same as for service times in the choice of an upstream.
constexpr double shareDecayMs = 4'000;

// The figure changes about every 600 ms. It is averaged over a sixth of that.
constexpr double workTimeSmoothingMs = 100;
constexpr double workTimeDecayMs = 600;
// Weights of a response in the mean, variance and covariance: some hundred responses are needed to tell a wrong figure.
constexpr double meanWeight = 0.005;
constexpr double agreementWeight = 0.01;
// Added to the variance: the covariance with a figure that hardly varies is noise.
constexpr double minVariance = 0.001;
constexpr double maxRelativeTime = 5; // bounds the effect of single slow calls
constexpr double minFactor = 0.25;
constexpr double maxFactor = 4;
}

void OutcomeShare::record(bool hasOutcome, double nowMs)
{
    const double weight = std::clamp(1 - std::exp(-(nowMs - m_atMs) / shareSmoothingMs), minOutcomeWeight, maxOutcomeWeight);
    m_share += ((hasOutcome ? 1 : 0) - m_share) * weight;
    m_atMs = nowMs;
}

double OutcomeShare::value(double nowMs) const
{
    return m_share * std::exp(-std::max(0.0, nowMs - m_atMs) / shareDecayMs);
}

void WorkTime::record(double factor, double nowMs)
{
    m_factor += (factor - m_factor) * (1 - std::exp(-(nowMs - m_atMs) / workTimeSmoothingMs));
    m_mean += (factor - m_mean) * meanWeight;
    m_atMs = nowMs;
}

void WorkTime::recordServiceTime(double relativeTime)
{
    const double figure = m_factor / m_mean - 1;
    const double time = std::min(relativeTime, maxRelativeTime) - 1;
    m_variance += (figure * figure - m_variance) * agreementWeight;
    m_covariance += (figure * time - m_covariance) * agreementWeight;
}

double WorkTime::factor(double nowMs) const
{
    const double agreement = std::clamp(m_covariance / (m_variance + minVariance), 0.0, 1.0);
    const double decay = std::exp(-std::max(0.0, nowMs - m_atMs) / workTimeDecayMs);
    return std::clamp(1 + (m_factor / m_mean - 1) * agreement * decay, minFactor, maxFactor);
}
}
