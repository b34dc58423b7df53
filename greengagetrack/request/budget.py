"""Budgets for retries and hedges: a share of the first attempts."""

BUDGET_BURST = 10.0


class WorkBudget:
    """A token bucket that first attempts fill and extra ones drain.

    With a share of 0.1, ten first attempts allow one retry::

        budget = new_work_budget(0.1)
        budget.count_first_attempt()
        if budget.try_acquire():
            ...
    """

    __slots__ = ("_level", "share")

    def __init__(self, share):
        self.share = share
        self._level = BUDGET_BURST

    def count_first_attempt(self):
        """Add the share of one first attempt to the budget."""
        self._level = min(BUDGET_BURST, self._level + self.share)

    def try_acquire(self):
        """Take one extra attempt; return False if the budget is empty."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def new_work_budget(share):
    """Return a full budget of `share` extra attempts per first attempt."""
    return WorkBudget(share)
