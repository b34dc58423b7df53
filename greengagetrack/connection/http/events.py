"""Server-sent events: whole events out of bytes as they come."""

import re

import msgspec


_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE = re.compile(rb"\r\n|\n|\r")


class Event(msgspec.Struct, frozen=True):
    """The bytes of one event, with its end, and its id if it has one."""

    data: bytes
    event_id: bytes | None = None


class EventSplitter:
    """Cuts a body into events; what is not whole yet is kept back."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Return the events that are whole with `data`."""
        self._rest += data
        events = []
        while True:
            end = _END.search(self._rest)
            if end is None:
                return events
            whole = self._rest[: end.end()]
            self._rest = self._rest[end.end() :]
            events.append(Event(whole, _read_id(whole)))

    def get_rest(self):
        """Return the bytes after the last whole event."""
        return self._rest


def _read_id(data):
    for line in _LINE.split(data):
        if line[:3].lower() == b"id:":
            return line[3:].strip()
    return None
