"""Reads what an engine says of itself."""

import msgspec

from greengagetrack.connection.http import client
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import numbers
from greengagetrack.platform import document
from greengagetrack.platform import names

JSON_TYPE = b"application/json"


class _Report(msgspec.Struct):
    born: numbers.Count | None = None


async def ask_incarnation(pool, address):
    """Return the incarnation of the engine at an address.

    None if it doesn't say it, `NotSent` or `ResponseFailure` if it doesn't
    answer.
    """
    head = client.RequestHead(
        b"GET", names.REPORT_PATH, [(b"Host", address.encode())]
    )
    call = await pool.open_call(
        address,
        head,
        b"",
        needs_fresh_connection=True,
        # A late copy bears no id, so none may meet a caller's request.
        lane=names.REPORT_PATH,
    )
    if not isinstance(call, client.Call):
        return call
    try:
        response = await call.receive_head(lambda _head: True)
        if isinstance(response, client.ResponseFailure):
            return response
        content_type = fields.get_value(response.headers, b"content-type", b"")
        if response.status != 200 or not content_type.startswith(JSON_TYPE):
            return None
        body = await call.receive_body()
    finally:
        call.finish()
    if isinstance(body, client.ResponseFailure):
        return body
    try:
        return msgspec.json.decode(body, type=_Report).born
    except document.DECODING_ERRORS:
        return None
