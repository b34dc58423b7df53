"""Whether a response on a kept connection belongs to its request.

A server may write a response twice, the copy where the response to the next
request is expected. An id that the server repeats tells them apart. A
response without an id can only be a copy of an earlier one without an id on
the same connection. So it is told by its marks, texts that no two responses
share; after one that has none, the connection isn't used again.
"""

import enum

import msgspec

# More on one connection would take memory without end.
MARKS_MAX = 4096


class Match(enum.Enum):
    """Whose a response is.

    An `UNPROVEN` response is taken for the request's own, but what follows
    it on the connection might be too.
    """

    OWN = enum.auto()
    UNPROVEN = enum.auto()
    OTHER = enum.auto()


class Identity(msgspec.Struct, frozen=True):
    """What a response says of the request it belongs to.

    `is_own` is None if it bears no id. `purpose_by_mark` tells for what each
    of its marks was asked for.
    """

    is_own: bool | None
    purpose_by_mark: dict[str, object] = {}


class Matcher:
    """The marks of the responses without an id on one connection."""

    __slots__ = ("_purpose_by_mark",)

    def __init__(self):
        self._purpose_by_mark = {}

    def match(self, identity):
        """Return whose the next response is, and remember its marks."""
        if identity.is_own is not None:
            return Match.OWN if identity.is_own else Match.OTHER
        marks = identity.purpose_by_mark
        known = self._purpose_by_mark.keys() & marks.keys()
        # The same may be made twice, under the same mark or another one.
        if any(self._purpose_by_mark[mark] != marks[mark] for mark in known):
            return Match.OTHER
        self._purpose_by_mark.update(marks)
        is_full = len(self._purpose_by_mark) > MARKS_MAX
        if known or not marks or is_full:
            return Match.UNPROVEN
        return Match.OWN


def new_matcher():
    """Return the matcher of a new connection."""
    return Matcher()
