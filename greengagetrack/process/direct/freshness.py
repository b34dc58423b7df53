"""Bounds the age of the catalog by which keys are accepted.

A revoked key must stop working on every entry within a bounded time, even
on one that can't reach the source. So a request with a key is admitted
only while the catalog was recently confirmed to be the newest.
"""

import time

# The rest of the bound is for clocks that run at different rates and for a
# source that shows a change a moment after it was accepted.
LEASE_RATIO = 0.8


def get_boot_time_s():
    """Return seconds on a clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessLease:
    """A lease on the use of the current catalog.

    It runs from when the confirming request was sent, not from when its
    answer arrived::

        sent_s = lease.now_s()
        update = await source.list_changes(revision)
        lease.confirm(sent_s)
    """

    __slots__ = ("_confirmed_s", "bound_s", "now_s")

    def __init__(self, bound_s, now_s):
        self.bound_s = bound_s
        self.now_s = now_s
        self._confirmed_s = None

    def confirm(self, sent_s):
        """Record that the catalog was the newest one at `sent_s`."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def lapse(self):
        """Take back all confirmations."""
        self._confirmed_s = None

    def get_age_s(self):
        """Return the age of the last confirmation, or None without one."""
        if self._confirmed_s is None:
            return None
        return self.now_s() - self._confirmed_s

    def is_fresh(self):
        """Return whether keys may be accepted at present."""
        age_s = self.get_age_s()
        return age_s is not None and 0 <= age_s < self.bound_s


def get_lease_s(key_bound_s):
    """Return how long a confirmation counts if a bound must be kept.

    A revoked key must be refused within `key_bound_s`. Each moment in
    flight counts already, since a lease begins before its request is sent.
    """
    return key_bound_s * LEASE_RATIO


def new_freshness_lease(bound_s, now_s=get_boot_time_s):
    """Return a lease without a confirmation."""
    return FreshnessLease(bound_s, now_s)
