"""Spoils bytes in transit, where readers are likely to trust them."""

import re

ODD_BYTES = (
    b"\0",
    b"\r\n",
    b"\r\n\r\n",
    b"\n\n",
    b"\xb2",
    b"\xff\xfe",
    b"9" * 5000,
    b"-1",
    b"0x10",
    b":",
    b" ",
    b",",
    b"id: \0\n\n",
    b"[" * 3000,
    b'{"a":' * 2000,
    b"null",
    b"1e999",
    b"Connection: Host\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
)
ODD_FILLERS = (b"\0", b"\x01", b"\x7f", b"\xb2", b" ", b"9", b"-", b"\n")
# Of the spoiled segments.
LAST_SHARE = 0.4
CUT_SHARE = 0.1
TWICE_SHARE = 0.1
# Of the changes.
OVERWRITE_SHARE = 0.5
FIELD_SHARE = 0.6
NUMBER_SHARE = 0.2
CUT_MAX_BYTES = 8
MORE_CHANGES_SHARE = 0.3
_NUMBERS = re.compile(rb"[0-9]+")
# The values of header fields, of ids of events, and in JSON.
_FIELDS = re.compile(rb"(?:\r\n[A-Za-z-]+: |id: |\":\"?)([^\r\n\",}]+)")


class Spoiler:
    """Spoils a share of the segments of connections.

    `count` is the number of segments that it has spoiled. `is_last` says
    that the connection ends after the segment that it was given last.
    """

    def __init__(self, generator, share):
        self._generator = generator
        self._share = share
        self.count = 0
        self.is_last = False

    def spoil(self, data):
        """Return a segment as it goes on."""
        self.is_last = False
        if self._generator.random() >= self._share:
            return data
        self.count += 1
        self.is_last = self._generator.random() < LAST_SHARE
        draw = self._generator.random()
        if draw < CUT_SHARE:
            return data[: self._generator.randrange(len(data))]
        if draw < CUT_SHARE + TWICE_SHARE:
            return data + data
        change = self._replace
        if self._generator.random() < OVERWRITE_SHARE:
            change = self._overwrite
        data = change(data)
        while self._generator.random() < MORE_CHANGES_SHARE:
            data = change(data)
        return data

    def _overwrite(self, data):
        """Overwrite a number or some bytes, so that all lengths still hold."""
        begin, end = self._choose_place(data)
        odd = self._generator.choice(ODD_FILLERS)
        return data[:begin] + odd * (end - begin) + data[end:]

    def _replace(self, data):
        """Put odd bytes in place of a number or of some bytes."""
        begin, end = self._choose_place(data)
        return data[:begin] + self._generator.choice(ODD_BYTES) + data[end:]

    def _choose_place(self, data):
        """Return the begin and the end of a value or of some bytes."""
        draw = self._generator.random()
        spans = []
        if draw < FIELD_SHARE:
            spans = [field.span(1) for field in _FIELDS.finditer(data)]
        elif draw < FIELD_SHARE + NUMBER_SHARE:
            spans = [number.span() for number in _NUMBERS.finditer(data)]
        if spans:
            return self._generator.choice(spans)
        begin = self._generator.randint(0, len(data))
        length = self._generator.randint(0, CUT_MAX_BYTES)
        return begin, min(begin + length, len(data))
