"""Deadlines of requests, on the clock of the trio runtime."""

import trio


class Deadline:
    """The time on this process's clock by which the answer is due.

    Processes send each other the time left, never a deadline::

        deadline = new_deadline(budget_ms=5000)
        submit.budget_ms = deadline.get_left_ms()
    """

    __slots__ = ("at_s",)

    def __init__(self, at_s):
        self.at_s = at_s

    def get_left_s(self):
        """Return the seconds left, never below zero."""
        return max(0.0, self.at_s - trio.current_time())

    def get_left_ms(self):
        """Return the whole milliseconds left, never below zero."""
        return int(self.get_left_s() * 1000)

    def is_past(self):
        """Return whether no time is left."""
        return trio.current_time() >= self.at_s


def new_deadline(budget_ms):
    """Return the deadline `budget_ms` milliseconds from now."""
    return Deadline(trio.current_time() + budget_ms / 1000)
