"""Retry budgets that hold for all entries together.

They need no messages: each entry applies the ratio to the requests that
it receives itself, and uses only its own part of the slack.
"""

import collections

import trio

ENTRIES_MIN = 8


class RetryBudget:
    """Limits this entry's retries for one service in a sliding window.

    `budgets` has the ratio, the window, and this entry's part of the slack,
    which shrinks as more entries become known.
    """

    __slots__ = ("_budgets", "_first_attempt_times", "_retry_times")

    def __init__(self, budgets):
        self._budgets = budgets
        self._first_attempt_times = collections.deque()
        self._retry_times = collections.deque()

    def count_first_attempt(self):
        """Count the first attempt of a request or a piece."""
        # Without this, a service that never retries would leak memory.
        self._drop_expired()
        self._first_attempt_times.append(trio.current_time())

    def is_available(self):
        """Return whether one more retry is allowed."""
        self._drop_expired()
        allowed = (
            self._budgets.ratio * len(self._first_attempt_times)
            + self._budgets.get_slack()
        )
        return len(self._retry_times) + 1 <= allowed

    def try_acquire(self):
        """Return whether one more retry is allowed, and count it if so."""
        if not self.is_available():
            return False
        self._retry_times.append(trio.current_time())
        return True

    def _drop_expired(self):
        start_s = trio.current_time() - self._budgets.window_s
        for times in (self._first_attempt_times, self._retry_times):
            while times and times[0] < start_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services."""

    __slots__ = (
        "_budget_by_service",
        "_count_entries",
        "_slack",
        "ratio",
        "window_s",
    )

    def __init__(self, ratio, slack, window_s, count_entries):
        self._budget_by_service = {}
        self._count_entries = count_entries
        self.set_limits(ratio, slack, window_s)

    def set_limits(self, ratio, slack, window_s):
        """Set the limits; attempts that were made so far stay counted.

        A longer window lacks those that the last one has dropped.
        """
        self.ratio = ratio
        self._slack = slack
        self.window_s = window_s

    def get(self, service):
        """Return the budget of a service."""
        if service not in self._budget_by_service:
            self._budget_by_service[service] = RetryBudget(self)
        return self._budget_by_service[service]

    def get_slack(self):
        """Return this entry's part of the slack."""
        return self._slack / max(self._count_entries(), ENTRIES_MIN)


def new_retry_budgets(ratio, slack, window_s, count_entries):
    """Return the budgets of one entry out of `count_entries()`."""
    return RetryBudgets(ratio, slack, window_s, count_entries)
