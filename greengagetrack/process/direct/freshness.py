"""How long this entry may believe that its catalog is the newest.

A key that was taken away may not be served for long, on any entry, cut
off or not. So a request with a key is admitted only while the catalog is
known to have been the newest not long ago.
"""

import time


def get_boot_time_s():
    """Return seconds on a clock that counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessLease:
    """A lease on the belief that the catalog is the newest one.

    What counts is when the confirming question was sent, not when its
    answer came::

        sent_s = lease.now_s()
        news = await source.list_changes(revision)
        lease.confirm(sent_s)
    """

    __slots__ = ("_confirmed_s", "bound_s", "now_s")

    def __init__(self, bound_s, now_s):
        self.bound_s = bound_s
        self.now_s = now_s
        self._confirmed_s = None

    def confirm(self, sent_s):
        """Note that the catalog was the newest at `sent_s`."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def get_age_s(self):
        """Return the age of the last confirmation; None without one."""
        if self._confirmed_s is None:
            return None
        return self.now_s() - self._confirmed_s

    def is_fresh(self):
        """Return whether keys may be trusted at this moment."""
        age_s = self.get_age_s()
        return age_s is not None and 0 <= age_s < self.bound_s


def new_freshness_lease(bound_s, now_s=get_boot_time_s):
    """Return a lease that nothing has confirmed yet."""
    return FreshnessLease(bound_s, now_s)
