"""Tickets: the place where an order runs, sealed against alteration."""

import base64
import binascii

import msgspec

TOKEN_MAX_CHARS = 1024


class TicketBody(msgspec.Struct, array_like=True, frozen=True):
    """What a ticket says.

    The order runs only at `agent`, only while its process is
    `incarnation`. `issued_s` is on the clock of that process, so no two
    clocks are ever compared.
    """

    service: str
    pipeline: str
    organisation: str
    agent: str
    incarnation: str
    number: int
    issued_s: float


_decoder = msgspec.msgpack.Decoder(TicketBody)


def write_ticket(body, key_ring):
    """Return the token of a ticket: text that is safe in a header."""
    sealed = key_ring.seal(msgspec.msgpack.encode(body))
    return base64.urlsafe_b64encode(sealed).decode()


def read_ticket(token, key_ring):
    """Return the `TicketBody` of a token, or None if it is not genuine."""
    if len(token) > TOKEN_MAX_CHARS:
        return None
    try:
        sealed = base64.b64decode(token, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
    body = key_ring.open(sealed)
    if body is None:
        return None
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
