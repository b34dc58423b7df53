"""An incremental splitter for streams of server-sent events."""

import re

import msgspec

from greengagetrack.connection.http import fields

_LINE_END = re.compile(rb"\r\n|\n|\r")
# Two line ends in sequence, of the same kind or not.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
_EVENT_END_MAX_BYTES = 4

# A longer event is taken for bytes that are no stream.
EVENT_MAX_BYTES = 1024 * 1024
EVENT_ID_MAX_BYTES = 256


class Event(msgspec.Struct, frozen=True):
    """The raw bytes of one event with its terminator, and its id.

    An id is an opaque value that fits into a field of a head. `has_odd_id`
    says that the event names another one.
    """

    data: bytes
    event_id: bytes | None = None
    has_odd_id: bool = False

    def is_silent(self):
        """Return whether it has only comments and reconnection times."""
        return all(
            not line or line.startswith((b":", b"retry:"))
            for line in _LINE_END.split(self.data)
        )


class EventSplitter:
    """Splits a body into events and buffers an incomplete event."""

    __slots__ = ("_rest", "event_count")

    def __init__(self):
        self._rest = b""
        self.event_count = 0

    def feed(self, data):
        """Return the events that `data` completes."""
        # The earlier bytes end no event, but one may end across the border.
        search_from = max(len(self._rest) - _EVENT_END_MAX_BYTES, 0)
        received = self._rest + data
        begin = 0
        events = []
        for end in _EVENT_END.finditer(received, search_from):
            event = received[begin : end.end()]
            begin = end.end()
            events.append(_new_event(event))
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


def _new_event(data):
    if not data.strip(b"\r\n"):
        return Event(data)
    for line in _LINE_END.split(data):
        if line[:3].lower() == b"id:":
            event_id = fields.read_value(line[3:].strip(), EVENT_ID_MAX_BYTES)
            return Event(data, event_id, has_odd_id=event_id is None)
    return Event(data)
