"""The budget of repeated sends that all entries share.

No message is needed for it: each entry spends the ratio on the requests
that it saw itself, and its own part of the slack.
"""

import collections

import trio

ENTRIES_MIN = 8


class SharedBudget:
    """Repeats of one service within a sliding window, for this entry."""

    __slots__ = ("_firsts", "_repeats", "_ratio", "_slack", "_window_s")

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts = collections.deque()
        self._repeats = collections.deque()

    def note_first(self):
        """Count a request's first send."""
        # Here too: a service that never repeats must not fill the memory.
        self._forget_old()
        self._firsts.append(trio.current_time())

    def take(self):
        """Return whether one more repeat is allowed, and count it."""
        self._forget_old()
        allowed = self._ratio * len(self._firsts) + self._slack
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(trio.current_time())
        return True

    def _forget_old(self):
        start_s = trio.current_time() - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < start_s:
                times.popleft()


class SharedBudgets:
    """The budgets of all services."""

    __slots__ = ("_budget_by_service", "_ratio", "_slack", "_window_s")

    def __init__(self, ratio, slack, window_s):
        self._budget_by_service = {}
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def get(self, service):
        """Return the budget of a service."""
        if service not in self._budget_by_service:
            self._budget_by_service[service] = SharedBudget(
                self._ratio, self._slack, self._window_s
            )
        return self._budget_by_service[service]


def new_shared_budgets(ratio, slack, window_s, entries_max=ENTRIES_MIN):
    """Return budgets for one of at most `entries_max` entries."""
    return SharedBudgets(ratio, slack / max(entries_max, 1), window_s)
