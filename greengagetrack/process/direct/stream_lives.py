"""How long streams that still run may last, by whichever catalog they began.

A stream may last for the time-out of the route that admitted it. A catalog
that shortens the time-out changes nothing for those that run already::

    lives = new_stream_lives()
    lives.record(catalog_of_15_s, now_s=0.0)
    lives.record(catalog_of_5_s, now_s=100.0)
    lives.get_longest_s(101.0)  # 16.0: with the margin
    lives.get_longest_s(200.0)  # 6.0

An entry that has just started doesn't know the catalogs before its first
one. It learns from its peers how long their streams may last.
"""

import math

# Of a catalog that has no stream which may be resumed.
LIFE_DEFAULT_S = 15.0
# A caller may take up a stream a moment after its end.
LIFE_MARGIN_S = 1.0
# Streams that would last longer are not remembered for longer.
LIFE_MAX_S = 600.0
# Assumed of streams that an unknown catalog has admitted.
LIFE_UNKNOWN_S = 120.0
# Entries that are cut off admit by a replaced catalog for some time.
REPLACED_LAG_S = 10.0


class StreamLives:
    """The longest life of a stream under each catalog of late, in seconds."""

    __slots__ = ("_life_s", "_unknown_until_s", "_until_s_by_replaced_life_s")

    def __init__(self):
        self._life_s = None
        # Until then, streams of catalogs that this entry never saw may run.
        self._unknown_until_s = math.inf
        self._until_s_by_replaced_life_s = {}

    def record(self, catalog, now_s):
        """Record that a `Catalog` is in force from now on."""
        if self._life_s is None:
            self._unknown_until_s = _get_until_s(LIFE_UNKNOWN_S, now_s)
        else:
            self._replace(self._life_s, now_s)
        longest_s = catalog.longest_stream_s or LIFE_DEFAULT_S
        self._life_s = min(longest_s, LIFE_MAX_S) + LIFE_MARGIN_S

    def _replace(self, life_s, now_s):
        """Record a life that streams admitted from now on don't have."""
        until_s = _get_until_s(life_s, now_s)
        self._until_s_by_replaced_life_s[life_s] = until_s

    def learn_past(self, life_s, now_s):
        """Record how long streams last that the catalogs before admitted.

        A peer that knows these catalogs tells it; what is known stays.
        """
        if self._life_s is None or self._is_past_known(now_s):
            return
        self._unknown_until_s = -math.inf
        self._replace(min(life_s, LIFE_MAX_S + LIFE_MARGIN_S), now_s)

    def _is_past_known(self, now_s):
        return now_s >= self._unknown_until_s

    def get_longest_s(self, now_s):
        """Return how long a stream that runs now may last at the most."""
        self._forget(now_s)
        lives_s = [*self._until_s_by_replaced_life_s]
        if self._life_s is not None:
            lives_s.append(self._life_s)
        if not self._is_past_known(now_s):
            lives_s.append(LIFE_UNKNOWN_S)
        return max(lives_s)

    def get_known_s(self, now_s):
        """Return the longest life for peers, 0 if this entry can't know."""
        return self.get_longest_s(now_s) if self._is_past_known(now_s) else 0.0

    def _forget(self, now_s):
        """Forget the lives of streams that have all ended."""
        until_s_by_life_s = self._until_s_by_replaced_life_s
        for life_s, until_s in list(until_s_by_life_s.items()):
            if until_s <= now_s:
                del until_s_by_life_s[life_s]


def _get_until_s(life_s, replaced_s):
    """Return when all streams of a catalog that was replaced have ended."""
    return replaced_s + life_s + REPLACED_LAG_S


def get_end_s(admitted):
    """Return until when the caller of a stream may take it up again.

    That is the time-out under which it was `Admitted`, or the caller's own
    deadline if that is later. Each take-up counts anew.
    """
    request = admitted.request
    longest_ms = max(admitted.route.timeout_ms, request.deadline_ms or 0.0)
    life_s = min(longest_ms / 1000, LIFE_MAX_S)
    return request.received_s + life_s + LIFE_MARGIN_S


def new_stream_lives():
    """Return the lives of an entry that knows no catalog."""
    return StreamLives()
