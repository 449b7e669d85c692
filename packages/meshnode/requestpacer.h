#pragma once

#include <cstddef>
#include <optional>

namespace Yuccagrade::Mesh
{
/// Keeps the requests to an upstream within the rate that it names in its responses. Without a named rate all requests pass.
class RequestPacer
{
public:
    /// Sets the named rate in requests/s, or lifts it. Returns true if it changed.
    bool setRate(std::optional<double> perS, double nowMs);
    bool isLimited() const
    {
        return m_ratePerS.has_value();
    }
    /// Named rate in requests/s; 0 without one.
    double ratePerS() const
    {
        return m_ratePerS.value_or(0);
    }
    /// Returns the time until a request may be sent that follows @p queued others, in ms.
    double waitMs(std::size_t queued, double nowMs) const;
    /// Counts a request that is sent.
    void recordSent(double nowMs);

private:
    double tokens(double nowMs) const;
    double pacePerS() const;

    std::optional<double> m_ratePerS;
    double m_tokens = 0;
    double m_updatedMs = 0;
};
}
