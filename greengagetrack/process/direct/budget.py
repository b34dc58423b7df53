"""Retry budgets that hold for all entries together.

They need no messages: each entry applies the ratio to the requests that
it receives itself, and uses only its own part of the slack.
"""

import collections

import trio

ENTRIES_MIN = 8


class RetryBudget:
    """Limits this entry's retries for one service in a sliding window.

    `get_slack()` returns this entry's part of the slack, which shrinks as
    more entries become known.
    """

    __slots__ = (
        "_first_attempt_times",
        "_get_slack",
        "_retry_times",
        "_ratio",
        "_window_s",
    )

    def __init__(self, ratio, get_slack, window_s):
        self._ratio = ratio
        self._get_slack = get_slack
        self._window_s = window_s
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
            self._ratio * len(self._first_attempt_times) + self._get_slack()
        )
        return len(self._retry_times) + 1 <= allowed

    def try_acquire(self):
        """Return whether one more retry is allowed, and count it if so."""
        if not self.is_available():
            return False
        self._retry_times.append(trio.current_time())
        return True

    def _drop_expired(self):
        start_s = trio.current_time() - self._window_s
        for times in (self._first_attempt_times, self._retry_times):
            while times and times[0] < start_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services."""

    __slots__ = (
        "_budget_by_service",
        "_count_entries",
        "_ratio",
        "_slack",
        "_window_s",
    )

    def __init__(self, ratio, slack, window_s, count_entries):
        self._budget_by_service = {}
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._count_entries = count_entries

    def get(self, service):
        """Return the budget of a service."""
        if service not in self._budget_by_service:
            self._budget_by_service[service] = RetryBudget(
                self._ratio, self._get_slack, self._window_s
            )
        return self._budget_by_service[service]

    def _get_slack(self):
        return self._slack / max(self._count_entries(), ENTRIES_MIN)


def new_retry_budgets(ratio, slack, window_s, count_entries):
    """Return the budgets of one entry out of `count_entries()`."""
    return RetryBudgets(ratio, slack, window_s, count_entries)
