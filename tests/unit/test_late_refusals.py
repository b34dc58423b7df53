"""Agent mode: a word "not run" is about the request that got it."""

import pytest
import trio

from greengagetrack.connection.backend import base
from greengagetrack.connection.backend import http as backend_http
from greengagetrack.connection import problems
from greengagetrack.request import outcome
from tests.direct import loopback

PROMISES = {408, 421, 429, 503}
REFUSAL = b'{"ran": "no", "detail": "full"}'
RESULT = b'{"result": {"number": 2}}'


def _new_answer(status, body):
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 %d Any\r\n" % status + length + body


def _call_twice(first_answer):
    """Return the events of two calls of a service.

    The first answer comes once more, on its connection, where the answer to
    a later request is due. The second call runs.
    """
    events = []

    async def main():
        requests = []

        async def serve(stream):
            late = b""
            while request := await loopback.read_until(stream, b"}}"):
                requests.append(request)
                own = _new_answer(200, RESULT)
                own = own if len(requests) > 1 else first_answer
                await stream.send_all(late + own)
                late = own

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, serve)
            backend = backend_http.new_backend("plain", f"http://{address}")
            for _call in range(2):
                call = base.Call("id", b'{"a": {}}', 2.0)
                async for event in backend.run(call):
                    events.append(event)
            await backend.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return events


def test_late_copy_of_a_refusal_is_told_to_no_other_request():
    """The second request ran, and its agent was told that it hadn't."""
    first, second = _call_twice(_new_answer(503, REFUSAL))
    assert first.ran is outcome.Ran.NO
    assert isinstance(second, base.Result)


def test_late_copy_of_a_result_is_given_to_no_other_request():
    first, second = _call_twice(_new_answer(200, b'{"result": 1}'))
    assert (first.result, second.result) == (b"1", b'{"number": 2}')


@pytest.mark.parametrize("status", [302, 600, 999])
def test_odd_status_promises_nothing(status):
    first, _second = _call_twice(_new_answer(status, REFUSAL))
    assert first.ran is outcome.Ran.UNKNOWN


@pytest.mark.parametrize("reason", list(outcome.Reason))
def test_status_of_an_unknown_outcome_promises_nothing(reason):
    """An order that may have run was told 429, by its reason."""
    assert problems.get_status(outcome.Unknown(reason)) not in PROMISES
