"""Lookups in header fields, and removal of hop-by-hop fields."""

import re

from greengagetrack.connection.http import numbers

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FRAMING = frozenset((b"content-length", b"expect"))
_VALUE = re.compile(rb"[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?")
KEEP_ALIVE_MAX_S = 86_400


def get_values(headers, name):
    """Return all values of the field `name`, given in lowercase."""
    return [value for key, value in headers if key.lower() == name]


def get_value(headers, name, default=None):
    """Return the first value of the field `name`, or `default`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return default


def get_tokens(headers, name):
    """Return the comma-separated tokens of a field, in lowercase."""
    tokens = set()
    for value in get_values(headers, name):
        tokens.update(token.strip().lower() for token in value.split(b","))
    tokens.discard(b"")
    return tokens


def keep_end_to_end(headers, dropped=frozenset(), kept=frozenset()):
    """Return the fields to forward, in their order and case.

    A sender can't declare the `kept` ones and Host to be hop-by-hop fields.
    """
    connection_options = get_tokens(headers, b"connection")
    connection_options -= kept | {b"host"}
    excluded = _HOP_BY_HOP | FRAMING | connection_options | dropped
    return [
        (key, value) for key, value in headers if key.lower() not in excluded
    ]


def read_value(data, bytes_max):
    """Return bytes that can be the value of a field, or None.

    Others have sent them, and they may go into the head of a message: they
    are not empty, not longer than `bytes_max`, and hold no control
    characters and no white space at their ends::

        assert read_value(b"a b", 8) == b"a b"
        assert read_value(b"a\\0", 8) is None
    """
    is_valid = len(data) <= bytes_max and _VALUE.fullmatch(data)
    return data if is_valid else None


def get_keep_alive_s(headers):
    """Return the idle timeout in a Keep-Alive field, or None."""
    for token in get_tokens(headers, b"keep-alive"):
        name, _separator, value = token.partition(b"=")
        if name.strip() == b"timeout":
            return numbers.read_count(value.strip(), KEEP_ALIVE_MAX_S)
    return None
