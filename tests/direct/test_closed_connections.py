"""Why connections of callers end, and whether a request lost its answer."""

import pytest
import trio

from greengagetrack.connection.http import closing
from greengagetrack.connection.http import server as server_module
from greengagetrack.version import catalog
from tests.direct import loopback

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = catalog.CallerLimits(idle_timeout_s=0.2, header_timeout_s=0.3)
Reason = closing.CloseReason


class RecordingObserver(closing.ConnectionObserver):
    """Records the ends of connections, with an event for each."""

    def __init__(self):
        self.closed = []
        self.errors = []
        self.changed = trio.Event()

    def record_close(self, closed):
        self.closed.append(closed)
        self.changed.set()

    def count_contained_error(self, boundary):
        self.errors.append(boundary)


async def answer_whole(exchange):
    exchange.is_passed_on = True
    await exchange.answer(200, [], b"yes")


async def answer_whole_and_work_on(exchange):
    await answer_whole(exchange)
    await trio.sleep(loopback.LIMIT_S)


async def answer_part(exchange):
    exchange.is_passed_on = True
    await exchange.start(200, [])
    await exchange.send(b"part")


async def answer_nothing(exchange):
    exchange.is_passed_on = True


async def answer_late(exchange):
    exchange.is_passed_on = True
    await trio.sleep(loopback.LIMIT_S)


async def answer_with_unwritable_body(exchange):
    exchange.is_passed_on = True
    await exchange.answer(204, [], b"which has none")


async def start_with_unwritable_head(exchange):
    exchange.is_passed_on = True
    await exchange.start(200, [(b"X", b"a\nb")])


async def wait_for_nothing(stream):
    await stream.send_all(REQUEST)
    assert await loopback.read_all(stream) == b""


async def wait_for_error_status(stream):
    await stream.send_all(REQUEST)
    answer = await loopback.read_all(stream)
    assert answer.startswith(b"HTTP/1.1 502 ")


async def wait_for_end(stream):
    await stream.send_all(REQUEST)
    await loopback.read_all(stream)


async def leave(stream):
    await stream.send_all(REQUEST)
    await trio.sleep(0.05)
    await stream.aclose()


async def leave_between_requests(stream):
    await stream.send_all(REQUEST)
    await loopback.read_until(stream, b"yes")
    await stream.aclose()


async def reset_between_requests(stream):
    await stream.send_all(REQUEST)
    await loopback.read_until(stream, b"yes")
    await trio.sleep(0.05)
    loopback.reset(stream)


async def reset_within_head(stream):
    await stream.send_all(REQUEST[:-2])
    await trio.sleep(0.05)
    loopback.reset(stream)


async def ask_to_close(stream):
    closing_request = REQUEST[:-2] + b"Connection: close\r\n\r\n"
    await stream.send_all(closing_request)
    await loopback.read_all(stream)


async def send_nonsense(stream):
    await stream.send_all(b"\0\r\n\r\n")
    await loopback.read_all(stream)


async def _start_server(nursery, handle, observer, change=None):
    """Start a server of callers; return its address."""
    server = server_module.new_server("", handle, lambda: LIMITS, observer)
    if change is not None:
        change(server)
    return await loopback.start_raw_server(nursery, server.serve_connection)


def _run(handle, call, change=None):
    """Return the `ClosedConnection` of one connection."""
    observer = RecordingObserver()

    async def main():
        async with trio.open_nursery() as nursery:
            address = await _start_server(nursery, handle, observer, change)
            await call(await loopback.open_stream(address))
            with trio.fail_after(loopback.LIMIT_S):
                await observer.changed.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(observer.closed) == 1
    return observer.closed[0]


def _drain(server):
    server.is_draining = True


@pytest.mark.parametrize(
    ("handle", "call", "reason", "is_lost"),
    [
        (answer_whole, wait_for_end, Reason.IDLE, False),
        (answer_whole, leave_between_requests, Reason.CALLER_CLOSED, False),
        (answer_whole, reset_between_requests, Reason.CALLER_CLOSED, False),
        (answer_whole, reset_within_head, Reason.CALLER_LEFT, False),
        (
            answer_whole_and_work_on,
            leave_between_requests,
            Reason.CALLER_CLOSED,
            False,
        ),
        (answer_whole, ask_to_close, Reason.NOT_KEPT, False),
        (answer_whole, send_nonsense, Reason.REQUEST_INVALID, False),
        (answer_part, wait_for_end, Reason.ANSWER_UNFINISHED, True),
        (answer_nothing, wait_for_end, Reason.ANSWER_UNFINISHED, True),
        (answer_late, leave, Reason.CALLER_LEFT, True),
    ],
)
def test_each_end_of_a_connection_has_a_reason(handle, call, reason, is_lost):
    closed = _run(handle, call)
    assert (closed.reason, closed.has_lost_request) == (reason, is_lost)


@pytest.mark.contains_error
@pytest.mark.parametrize(
    ("handle", "call", "is_lost"),
    [
        (answer_with_unwritable_body, wait_for_nothing, True),
        (start_with_unwritable_head, wait_for_error_status, False),
    ],
)
def test_an_error_counts_as_answered_if_its_status_was_sent(
    handle, call, is_lost
):
    closed = _run(handle, call)
    assert (closed.reason, closed.has_lost_request) == (Reason.ERROR, is_lost)


def test_a_planned_stop_closes_after_the_answer():
    closed = _run(answer_whole, wait_for_end, _drain)
    assert closed.reason is Reason.DRAINING
    assert not closed.has_lost_request


def test_the_end_of_the_process_is_a_reason_of_its_own():
    observer = RecordingObserver()

    async def main():
        async with trio.open_nursery() as nursery:
            address = await _start_server(nursery, answer_late, observer)
            stream = await loopback.open_stream(address)
            await stream.send_all(REQUEST)
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)
    (closed,) = observer.closed
    assert closed.reason is Reason.STOPPED
    assert closed.has_lost_request


@pytest.mark.contains_error
def test_end_that_can_not_be_recorded_leaves_the_other_connections():
    class FailingObserver(RecordingObserver):
        def record_close(self, closed):
            super().record_close(closed)
            raise ZeroDivisionError("unforeseen")

    observer = FailingObserver()

    async def main():
        async with trio.open_nursery() as nursery:
            address = await _start_server(nursery, answer_whole, observer)
            for _number in range(2):
                await ask_to_close(await loopback.open_stream(address))
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert observer.errors == ["connection"] * 2
