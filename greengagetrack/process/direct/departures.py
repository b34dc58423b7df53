"""Servers that left, as this entry and its peers have seen it.

A source that came back from an older copy lists servers that have left since
as if they were there. An entry that has just started, or was cut off, doesn't
know better, but the entries that ran on do, and tell it when it asks.
"""

import heapq
import math

import msgspec
import trio

from greengagetrack.connection import direct_messages

RECORDS_MAX = 2000
TOLD_MAX = 256
# Copies of a source are younger, and so are records that wait to expire.
TOLD_AGE_MAX_S = 60.0


class Departure(msgspec.Struct, frozen=True):
    """A server that left, seen at `seen_s`.

    With `is_leaving` the server, or its record, said that it leaves: it never
    comes back in this incarnation. Otherwise its record was removed; it may
    be published again. `era` is the last one of the source in which this was
    seen.
    """

    server_id: str
    incarnation: int
    is_leaving: bool
    era: int
    seen_s: float

    def merge(self, other):
        """Return what both say of the same incarnation of a server."""
        return Departure(
            self.server_id,
            self.incarnation,
            self.is_leaving or other.is_leaving,
            max(self.era, other.era),
            max(self.seen_s, other.seen_s),
        )


class Departures:
    """The last servers that left, by id and incarnation.

    The order in which they are recorded makes no difference.
    """

    __slots__ = ("_by_key", "_question_s")

    def __init__(self):
        self._by_key = {}
        self._question_s = -math.inf

    def record(self, departure):
        """Record a `Departure`, and forget the oldest record of too many."""
        key = (departure.server_id, departure.incarnation)
        known = self._by_key.pop(key, None)
        if known is not None:
            departure = known.merge(departure)
        self._by_key[key] = departure
        if len(self._by_key) > RECORDS_MAX:
            del self._by_key[next(iter(self._by_key))]

    def get(self, server_id, incarnation):
        """Return the `Departure` of one incarnation of a server, or None."""
        return self._by_key.get((server_id, incarnation))

    def forget(self, server_id, incarnation):
        """Forget that a server left, since it is back."""
        self._by_key.pop((server_id, incarnation), None)

    def ask_peers(self):
        """Have each peer asked, from now on, which servers left."""
        self._question_s = trio.current_time()

    def is_open(self, answered_s):
        """Return whether a peer is to be asked.

        `answered_s` is when it was sent the last question that it answered,
        or None.
        """
        return answered_s is None or answered_s < self._question_s

    def new_messages(self):
        """Return messages about the last departures, for a peer that asks."""
        now = trio.current_time()
        recent = [
            departure
            for departure in self._by_key.values()
            if now - departure.seen_s <= TOLD_AGE_MAX_S
        ]
        newest = heapq.nlargest(
            TOLD_MAX, recent, key=lambda departure: departure.seen_s
        )
        return [
            direct_messages.Departure(
                departure.server_id,
                departure.incarnation,
                departure.is_leaving,
                departure.era,
                int((now - departure.seen_s) * 1000),
            )
            for departure in newest
        ]


def from_message(message):
    """Return the `Departure` that a peer tells of."""
    return Departure(
        message.server_id,
        message.incarnation,
        message.is_leaving,
        message.era,
        trio.current_time() - message.age_ms / 1000,
    )


def new_departure(published, era):
    """Return the `Departure` of a published server that is seen now."""
    return Departure(
        published.server_id,
        published.incarnation,
        published.is_leaving,
        era,
        trio.current_time(),
    )


def new_departures():
    """Return no departures."""
    return Departures()
