"""Token buckets on Trio's clock."""

import trio


class Bucket:
    """Token bucket that fills at a constant rate up to its capacity.

    ::

        bucket = new_bucket(rate_per_s=10.0, capacity=20.0)
        granted = bucket.acquire_up_to(5.0)
    """

    __slots__ = ("_level", "_updated_s", "capacity", "rate_per_s")

    def __init__(self, rate_per_s, capacity, level, updated_s):
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = level
        self._updated_s = updated_s

    def get_level(self):
        """Return the current level, which can be negative."""
        now = trio.current_time()
        filled = self._level + (now - self._updated_s) * self.rate_per_s
        self._level = min(self.capacity, filled)
        self._updated_s = now
        return self._level

    def acquire_up_to(self, amount):
        """Deduct up to `amount`; return the deducted amount."""
        granted = max(0.0, min(amount, self.get_level()))
        self._level -= granted
        return granted

    def add(self, amount):
        """Add an amount; a negative one is deducted."""
        self._level = min(self.capacity, self.get_level() + amount)

    def set_rate(self, rate_per_s, capacity):
        """Change the rate and the capacity and keep the level."""
        self.get_level()
        self.rate_per_s = rate_per_s
        self.capacity = capacity

    def get_wait_s(self, amount):
        """Return the time until `amount` is available."""
        missing = amount - self.get_level()
        if missing <= 0:
            return 0.0
        return missing / max(self.rate_per_s, 1e-9)


def new_bucket(rate_per_s, capacity, level=0.0):
    """Return a bucket that fills from now on."""
    return Bucket(rate_per_s, capacity, level, trio.current_time())
