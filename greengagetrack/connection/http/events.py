"""An incremental splitter for streams of server-sent events."""

import re
import sys

import msgspec

from greengagetrack.connection.http import fields

# Two line ends in sequence, of the same kind or not.
_TWO_LINE_ENDS = rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)"
# The end of an event, and all empty events behind it.
_EVENT_END = re.compile(rb"(%b)((?:%b)*)" % (_TWO_LINE_ENDS, _TWO_LINE_ENDS))
_EVENT_END_MAX_BYTES = 4
_ID_LINE = re.compile(rb"(?:\A|[\r\n])[iI][dD]:([^\r\n]*)")
# Any line but a comment, a reconnection time or an empty one.
_OTHER_LINE = re.compile(rb"(?:\A|[\r\n])(?![\r\n:]|retry:|\Z)")

# A longer event is taken for bytes that are no stream.
EVENT_MAX_BYTES = 1024 * 1024
EVENT_ID_MAX_BYTES = 256


class Event(msgspec.Struct, frozen=True):
    """The raw bytes of one event with its terminator, and its id.

    Empty events in sequence are one, which has only line ends.
    An id is an opaque value that fits into a field of a head. `has_odd_id`
    says that the event names another one.
    """

    data: bytes
    event_id: bytes | None = None
    has_odd_id: bool = False

    def is_silent(self):
        """Return whether it has only comments and reconnection times."""
        return _is_empty(self.data) or not _OTHER_LINE.search(self.data)


class EventSplitter:
    """Splits a body into events and buffers an incomplete event.

    `has_more` says that the last call of `feed` left complete events, which
    the next one returns.
    """

    __slots__ = ("_rest", "event_count", "has_more")

    def __init__(self):
        self._rest = b""
        self.event_count = 0
        self.has_more = False

    def feed(self, data, ends_max=sys.maxsize):
        """Return the events that `data` completes.

        After `ends_max` ends of events the others are left::

            events = splitter.feed(data, 100)
            while splitter.has_more:
                events += splitter.feed(b"", 100)
        """
        # Unless events were left, the earlier bytes end none, but one may
        # end across the border.
        search_from = 0
        if not self.has_more:
            search_from = max(len(self._rest) - _EVENT_END_MAX_BYTES, 0)
        received = self._rest + data
        begin = 0
        events = []
        self.has_more = False
        ends = _EVENT_END.finditer(received, search_from)
        for end_count, end in enumerate(ends):
            if end_count == ends_max:
                self.has_more = True
                break
            events.append(_new_event(received[begin : end.end(1)]))
            if end.group(2):
                events.append(Event(end.group(2)))
            begin = end.end()
        self._rest = received[begin:]
        self.event_count += len(events)
        return events

    def is_too_long(self):
        """Return whether the incomplete event exceeds the size limit."""
        return len(self._rest) > EVENT_MAX_BYTES

    def is_inside_event(self):
        """Return whether an event has begun and not ended."""
        return bool(self._rest.strip(b"\r\n"))

    def get_rest(self):
        """Return the bytes after the last complete event."""
        return self._rest


def _is_empty(data):
    return not data.strip(b"\r\n")


def _new_event(data):
    id_line = None if _is_empty(data) else _ID_LINE.search(data)
    if id_line is None:
        return Event(data)
    event_id = fields.read_value(id_line[1].strip(), EVENT_ID_MAX_BYTES)
    return Event(data, event_id, has_odd_id=event_id is None)
