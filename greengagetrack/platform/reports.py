"""Reads what an engine says of itself."""

import msgspec

from greengagetrack.connection import answer_end
from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import numbers
from greengagetrack.platform import document
from greengagetrack.platform import names

JSON_TYPE = b"application/json"


class _Report(msgspec.Struct):
    born: numbers.Count | None = None


async def ask_incarnation(pool, address, server_id):
    """Return the incarnation of the engine of an id at an address.

    None if it doesn't say it, `gateway.OtherServer` if an engine of another
    id answers, `NotSent` or `ResponseFailure` if none does.
    """
    answer = await _ask_once(pool, address, server_id)
    if isinstance(answer, failures.ResponseFailure):
        if answer.is_stale_connection:
            # It says nothing of the engine that it was just closed.
            answer = await _ask_once(pool, address, server_id)
    return answer


async def _ask_once(pool, address, server_id):
    expected_id = server_id.encode()
    head = heads.RequestHead(
        b"GET",
        names.REPORT_PATH,
        [
            (b"Host", address.encode()),
            (names.EXPECT_INSTANCE, expected_id),
        ],
    )
    call = await pool.open_call(
        address,
        head,
        b"",
        needs_fresh_connection=True,
        # A late copy bears no id, so it may only meet the same question.
        lane=names.REPORT_PATH + b" " + expected_id,
    )
    if not isinstance(call, call_module.Call):
        return call
    try:
        response = await call.receive_head(lambda _head: True)
        if isinstance(response, failures.ResponseFailure):
            return response
        if response.status == names.MISDIRECTED_STATUS:
            return gateway.OtherServer()
        call.update_idle_limit(response.headers)
        content_type = fields.get_value(response.headers, b"content-type", b"")
        if response.status != 200 or not content_type.startswith(JSON_TYPE):
            return None
        body = await call.receive_body()
    finally:
        call.finish()
    if isinstance(body, failures.ResponseFailure):
        return body
    try:
        return msgspec.json.decode(body, type=_Report).born
    except document.DECODING_ERRORS:
        if answer_end.is_body_end_proven(response.framing):
            return None
        return failures.ResponseFailure("the report may be cut off")
