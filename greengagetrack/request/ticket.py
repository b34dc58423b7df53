"""Tickets: sealed tokens that pin an order to one agent process."""

import base64
import binascii

import msgspec

TOKEN_MAX_CHARS = 1024


class TicketBody(msgspec.Struct, array_like=True, frozen=True):
    """The content of a ticket.

    The order runs only at `agent`, and only in its process `incarnation`.
    `issued_s` is on the clock of that process, so that clocks of different
    machines are never compared.
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
    """Return the token of a ticket, as text that is safe in a header."""
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
