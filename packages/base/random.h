#pragma once

#include <cstdint>
#include <random>

namespace Yuccagrade
{
/// Pseudo-random numbers for decisions. The same seed gives the same sequence on every machine.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /// Returns a number in [0, bound); 0 if @p bound is 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : m_engine() % bound;
    }
    /// Returns a number in [0, 1).
    double fraction()
    {
        return static_cast<double>(m_engine() >> 11) * 0x1.0p-53;
    }

private:
    std::mt19937_64 m_engine;
};
}
