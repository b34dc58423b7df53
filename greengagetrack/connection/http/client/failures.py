"""Why a call has no response."""

import msgspec


class NotSent(msgspec.Struct, frozen=True):
    """A call of which no byte was written to a connection.

    `is_refused` means that nothing listens at the address.
    """

    detail: str = ""
    is_refused: bool = False


class InvalidRequest(msgspec.Struct, frozen=True):
    """A request that can't be written; no byte of it was sent."""

    detail: str = ""


class ResponseFailure(msgspec.Struct, frozen=True):
    """A request that may have been sent without a valid response.

    `is_stale_connection` means that a reused connection was closed before
    the first byte of a response.
    """

    detail: str = ""
    is_stale_connection: bool = False
