"""An incremental splitter for streams of server-sent events."""

import re

import msgspec

from greengagetrack.connection.http import fields

_LINE_END = re.compile(rb"\r\n|\n|\r")
# Two line ends in sequence, of the same kind or not.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")

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


class EventSplitter:
    """Splits a body into events and buffers an incomplete event."""

    __slots__ = ("_rest", "event_count")

    def __init__(self):
        self._rest = b""
        self.event_count = 0

    def feed(self, data):
        """Return the events that `data` completes."""
        self._rest += data
        events = []
        while True:
            end = _EVENT_END.search(self._rest)
            if end is None:
                self.event_count += len(events)
                return events
            event = self._rest[: end.end()]
            self._rest = self._rest[end.end() :]
            events.append(_new_event(event))

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
    for line in _LINE_END.split(data):
        if line[:3].lower() == b"id:":
            event_id = fields.read_value(line[3:].strip(), EVENT_ID_MAX_BYTES)
            return Event(data, event_id, has_odd_id=event_id is None)
    return Event(data)
