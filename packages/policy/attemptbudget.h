#pragma once

namespace Yuccagrade
{
/// Retries that one call may still make, for itself and its nested calls. The sum over a call tree never grows: a nested
/// call gets a part of it and returns what it did not use.
class AttemptBudget
{
public:
    /// @param retries of the route for a root request, or the received part for a nested call.
    explicit AttemptBudget(int retries);

    int left() const;
    /// Takes one retry. Returns false if none is left.
    bool takeRetry();
    /// Takes out the part of a nested call: half of what is left, rounded down.
    int lend();
    /// Adds back what a nested call that was lent @p lent reports as unused. A larger number is cut to @p lent.
    void giveBack(int lent, int unused);

private:
    int m_left;
};
}
