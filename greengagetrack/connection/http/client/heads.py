"""The heads of requests and responses."""

import msgspec

from greengagetrack.connection.http import framing as framing_module


class ResponseHead(msgspec.Struct, frozen=True):
    """The status code and the header fields of a response.

    `framing` tells what the end of the body proves.
    """

    status: int
    headers: list
    framing: framing_module.Framing


class RequestHead(msgspec.Struct, frozen=True):
    """The method, raw target and header fields of a request."""

    method: bytes
    target: bytes
    headers: list
