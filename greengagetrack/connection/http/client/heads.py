"""The heads of requests and responses."""

import msgspec

from greengagetrack.connection.http import framing as framing_module

# Those of the protocol; others tell nothing.
FINAL_STATUSES = range(200, 600)
VERSION_PREFIX = b"1."


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


def find_problem(response):
    """Return why an `h11.Response` is none of HTTP/1, or ""."""
    if not response.http_version.startswith(VERSION_PREFIX):
        return "response of another protocol version"
    if response.status_code not in FINAL_STATUSES:
        return f"odd status {response.status_code}"
    return ""
