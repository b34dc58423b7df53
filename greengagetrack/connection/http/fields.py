"""Lookups in header fields, and removal of hop-by-hop fields."""

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


def keep_end_to_end(headers, dropped=frozenset()):
    """Return the fields to forward, in their order and case."""
    connection_options = get_tokens(headers, b"connection")
    excluded = _HOP_BY_HOP | FRAMING | connection_options | dropped
    return [
        (key, value) for key, value in headers if key.lower() not in excluded
    ]


def get_keep_alive_s(headers):
    """Return the idle timeout in a Keep-Alive field, or None."""
    for token in get_tokens(headers, b"keep-alive"):
        name, _separator, value = token.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
