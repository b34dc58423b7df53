"""The last report of a server's load, and the pace of late ones."""

import collections
import statistics

import trio

from greengagetrack.process.direct.decisions import told_load as decision

PACES_MAX = 5


class ToldLoad:
    """What one server told of its load.

    Servers share their machines, so the pace of a single report says little;
    `pace` is the median of a few.
    """

    __slots__ = ("_others", "_paces", "_sent_s", "_slots")

    def __init__(self):
        self._others = 0
        self._slots = 1
        self._sent_s = 0.0
        self._paces = collections.deque(maxlen=PACES_MAX)

    @property
    def pace(self):
        """Return how long work takes there, against the usual time."""
        return statistics.median(self._paces) if self._paces else 1.0

    def record(self, load, own_calls, sent_s):
        """Record a `ServerLoad` in the answer to what was sent at `sent_s`.

        Answers overtake each other; the one sent last is believed.
        """
        self._paces.append(load.pace)
        if sent_s < self._sent_s:
            return
        self._others = decision.count_others(load, own_calls)
        self._slots = max(load.slots, 1)
        self._sent_s = sent_s

    def get_others_wait_s(self, call_s):
        """Return how long a call waits for others of usually `call_s`."""
        age_s = trio.current_time() - self._sent_s
        return decision.get_others_wait_s(
            self._others, self._slots, age_s, call_s * self.pace
        )
