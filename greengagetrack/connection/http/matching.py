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
MARKS_MAX = 256


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

    `is_own` is None if it bears no id.
    """

    is_own: bool | None
    marks: tuple[str, ...] = ()


class Matcher:
    """The marks of the responses without an id on one connection."""

    __slots__ = ("_marks",)

    def __init__(self):
        self._marks = set()

    def match(self, identity):
        """Return whose the next response is, and remember its mark."""
        if identity.is_own is not None:
            return Match.OWN if identity.is_own else Match.OTHER
        if not self._marks.isdisjoint(identity.marks):
            return Match.OTHER
        if not identity.marks or len(self._marks) >= MARKS_MAX:
            return Match.UNPROVEN
        # A copy of this response has its first mark too.
        self._marks.add(identity.marks[0])
        return Match.OWN


def new_matcher():
    """Return the matcher of a new connection."""
    return Matcher()
