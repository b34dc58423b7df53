"""Header fields: which ones concern a single connection only."""

_SINGLE_CONNECTION = frozenset(
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
    """Return the comma-separated words of a field, in lowercase."""
    words = set()
    for value in get_values(headers, name):
        words.update(word.strip().lower() for word in value.split(b","))
    words.discard(b"")
    return words


def keep_end_to_end(headers, dropped=frozenset()):
    """Return the fields that are passed on, in their order and case."""
    named = get_tokens(headers, b"connection")
    gone = _SINGLE_CONNECTION | FRAMING | named | dropped
    return [(key, value) for key, value in headers if key.lower() not in gone]


def get_keep_alive_s(headers):
    """Return the idle time-out that a peer states, or None."""
    for word in get_tokens(headers, b"keep-alive"):
        name, _separator, value = word.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
