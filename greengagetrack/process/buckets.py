"""Token buckets on the runtime's clock."""

import trio


class Bucket:
    """A bucket that fills at a steady rate up to its capacity.

    ::

        bucket = new_bucket(rate_per_s=10.0, capacity=20.0)
        granted = bucket.take_up_to(5.0)
    """

    __slots__ = ("_at_s", "_level", "capacity", "rate_per_s")

    def __init__(self, rate_per_s, capacity, level, at_s):
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = level
        self._at_s = at_s

    def get_level(self):
        """Return what is in the bucket now; it can be below zero."""
        now = trio.current_time()
        filled = self._level + (now - self._at_s) * self.rate_per_s
        self._level = min(self.capacity, filled)
        self._at_s = now
        return self._level

    def take_up_to(self, amount):
        """Take as much of `amount` as there is; return how much."""
        granted = max(0.0, min(amount, self.get_level()))
        self._level -= granted
        return granted

    def add(self, amount):
        """Put back or charge (below zero) an amount."""
        self._level = min(self.capacity, self.get_level() + amount)

    def set_rate(self, rate_per_s, capacity):
        """Change the rate and the capacity, keeping what is inside."""
        self.get_level()
        self.rate_per_s = rate_per_s
        self.capacity = capacity

    def get_wait_s(self, amount):
        """Return how long until `amount` will be there."""
        missing = amount - self.get_level()
        if missing <= 0:
            return 0.0
        return missing / max(self.rate_per_s, 1e-9)


def new_bucket(rate_per_s, capacity, level=0.0):
    """Return a bucket that starts filling now."""
    return Bucket(rate_per_s, capacity, level, trio.current_time())
