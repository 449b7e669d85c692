#pragma once

namespace Yuccagrade
{
/// Number of retries left for one call and its nested calls. The total of a call tree never grows: the budget of a nested
/// call is taken from its parent, and the unused rest is returned to it.
class AttemptBudget
{
public:
    /// @param retries limit of the route for a root request, or the budget received from the parent for a nested call.
    explicit AttemptBudget(int retries);

    int left() const;
    /// Consumes one retry. Returns false if none is left.
    bool takeRetry();
    /// Deducts and returns the budget of a nested call: half of the remaining retries, rounded down.
    int lend();
    /// Returns the retries that a nested call reports as unused, at most the @p lent ones that it received.
    void returnUnused(int lent, int unused);

private:
    int m_retriesLeft;
};
}
