"""What is known of one lifetime of a server, from its start to its end.

A server that starts again under its id, at its address, may run another
software version, and a new connection may lead there before the source is
read. What counts is when a confirmation was asked for: a connection that
was opened before leads to that lifetime, or to one that no longer answers.
"""

import math

import trio


class Lifetime:
    """A server between two starts: its id, incarnation and version.

    Doubt begins with a failed call, or when this entry has lost time.
    """

    __slots__ = (
        "_doubted_s",
        "asked_s",
        "confirmed_s",
        "incarnation",
        "is_over",
        "lock",
        "software_version",
    )

    def __init__(self, published):
        self.incarnation = published.incarnation
        self.software_version = published.software_version
        self.asked_s = self.confirmed_s = -math.inf
        # Held while the server is asked.
        self.lock = trio.Lock()
        self._doubted_s = None
        self.is_over = False

    def doubt(self):
        """Record a sign that the server may have started again."""
        self._doubted_s = trio.current_time()

    def confirm(self, asked_s):
        """Record that it was going on when asked at `asked_s`."""
        self.confirmed_s = max(self.confirmed_s, asked_s)

    def end(self):
        """Record that the server has started again."""
        self.is_over = True

    def is_doubted(self):
        """Return whether a new connection may lead to another lifetime."""
        is_doubted = self._doubted_s is not None
        return self.is_over or (
            is_doubted and self._doubted_s >= self.confirmed_s
        )

    def is_reached_by(self, opened_s):
        """Return whether a connection opened at a time leads here."""
        return not self.is_over and opened_s <= self.confirmed_s

    def may_go_on(self, software_version):
        """Return whether a stream of a version may go on here.

        The call has to go over a connection that leads to this lifetime.
        """
        return not self.is_over and self.software_version == software_version

    def get_answering_version(self, opened_s):
        """Return the version that answers, None if that is unknown.

        The connection over which it answers was opened at `opened_s`.
        """
        if self.is_reached_by(opened_s) or not self.is_doubted():
            return self.software_version
        return None


def new_lifetime(published):
    """Return what a published `gateway.Server` tells of its lifetime."""
    return Lifetime(published)
