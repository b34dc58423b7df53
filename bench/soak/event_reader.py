"""Reads the events of a stream, as its caller does."""

from bench.standins import site as standin_site
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import heads

OK = 200
EVENT_END = b"\n\n"


async def read_events(pool, address, head, receive):
    """Send a request; return whether the answer came whole.

    `await receive(events)` gets the complete events of each part of an
    answer, as bytes, and returns whether the caller reads on.
    """
    call = await pool.open_call(address, head, standin_site.REQUEST_BODY)
    if not isinstance(call, call_module.Call):
        return False
    try:
        response = await call.receive_head(lambda _head: True)
        if not isinstance(response, heads.ResponseHead):
            return False
        if response.status != OK:
            return False
        return await _read_parts(call, receive)
    finally:
        # An answer that isn't complete by now is reset.
        call.finish()


async def _read_parts(call, receive):
    data = b""
    while True:
        part = await call.receive_part()
        if not isinstance(part, bytes):
            return part is None
        *events, data = (data + part).split(EVENT_END)
        if not await receive(events):
            return False
