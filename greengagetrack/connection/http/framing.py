"""How the end of an HTTP/1.1 response body is marked."""

import enum

from greengagetrack.connection.http import fields

_BODYLESS_STATUSES = frozenset((204, 304))


class Framing(enum.StrEnum):
    """What ends the body of a response.

    `LENGTH` and `CHUNKS` prove that a body is complete. `CONNECTION` does
    not: a server that crashes may close a connection in the same way as
    one that has sent everything.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def get_framing(method, status, headers):
    """Return the `Framing` of the response to a request of `method`."""
    if method == b"HEAD" or status in _BODYLESS_STATUSES:
        return Framing.LENGTH
    if b"chunked" in fields.get_tokens(headers, b"transfer-encoding"):
        return Framing.CHUNKS
    if fields.get_values(headers, b"content-length"):
        return Framing.LENGTH
    return Framing.CONNECTION
