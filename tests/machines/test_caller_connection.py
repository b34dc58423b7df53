"""A caller's connection against a model: answers, losses and its end."""

import enum

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection.http import closing
from greengagetrack.connection.http import framing as framing_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.version import catalog
from tests.direct import loopback

LIMITS = catalog.CallerLimits(
    body_max_bytes=1000, idle_timeout_s=5.0, header_timeout_s=1.0
)
ANSWER = b"<answer>"
Reason = closing.CloseReason


class Step(enum.Enum):
    """What becomes of one request of the connection."""

    WHOLE = "whole"
    STREAM = "stream"
    ENDED_BY_CLOSE = "ended-by-close"
    UNFINISHED = "unfinished"
    UNANSWERED = "unanswered"
    ODD = "odd"
    LAST = "last"
    TOO_LONG = "too-long"
    DRAIN = "drain"
    LEAVE = "leave"


# Why the connection ends with a step, and whether a request is lost then.
ENDS = {
    Step.ENDED_BY_CLOSE: (Reason.NOT_KEPT, False),
    Step.UNFINISHED: (Reason.ANSWER_UNFINISHED, True),
    Step.UNANSWERED: (Reason.ANSWER_UNFINISHED, True),
    Step.ODD: (Reason.ERROR, False),
    Step.LAST: (Reason.NOT_KEPT, False),
    Step.TOO_LONG: (Reason.REQUEST_INVALID, False),
    Step.DRAIN: (Reason.DRAINING, False),
    Step.LEAVE: (Reason.CALLER_LEFT, True),
}
ANSWERED = {
    Step.WHOLE,
    Step.STREAM,
    Step.ENDED_BY_CLOSE,
    Step.LAST,
    Step.DRAIN,
}


class Observer(closing.ConnectionObserver):
    """Keeps what it is told."""

    def __init__(self):
        self.closed = []
        self.errors = []

    def record_close(self, closed):
        self.closed.append(closed)

    def count_contained_error(self, boundary):
        self.errors.append(boundary)


class Handler:
    """Answers as the target of a request names it."""

    def __init__(self):
        self.server = None
        self.passed_on = 0

    async def handle(self, exchange):
        step = Step(exchange.target[1:].decode())
        exchange.is_passed_on = True
        self.passed_on += 1
        if step is Step.DRAIN:
            self.server.is_draining = True
        if step is Step.ODD:
            raise KeyError("odd")
        if step is Step.LEAVE:
            await trio.sleep_forever()
        if step in (Step.WHOLE, Step.LAST, Step.DRAIN):
            await exchange.answer(200, [], ANSWER)
        elif step in (Step.STREAM, Step.ENDED_BY_CLOSE):
            await self._stream(exchange, step)
        elif step is Step.UNFINISHED:
            await exchange.start(200, [])
            await exchange.send(ANSWER[:3])

    async def _stream(self, exchange, step):
        framing = framing_module.Framing.CHUNKS
        if step is Step.ENDED_BY_CLOSE:
            framing = framing_module.Framing.CONNECTION
        await exchange.start(200, [], framing)
        await exchange.send(ANSWER)
        await exchange.finish()


def new_request(step, is_chunked):
    """Return the bytes of the request of a step."""
    body = b"x" * (2000 if step is Step.TOO_LONG else 20)
    head = b"POST /%b HTTP/1.1\r\nHost: h\r\n" % step.value.encode()
    if step is Step.LAST:
        head += b"Connection: close\r\n"
    if is_chunked:
        return (
            head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        )
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def send_in_pieces(stream, data, cuts):
    """Send data in pieces, so that heads and bodies arrive apart."""
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in zip(bounds, bounds[1:], strict=False):
        try:
            await stream.send_all(data[start:end])
        except trio.BrokenResourceError:
            return
        await trio.sleep(0.001)


async def play(steps, is_pipelined, is_chunked, cuts):
    """Return what a caller received, its observer and its handler."""
    observer, handler, received = Observer(), Handler(), bytearray()
    ended = trio.Event()

    async def receive(stream):
        while True:
            try:
                data = await stream.receive_some(65536)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            if not data:
                break
            received.extend(data)
        ended.set()

    async with trio.open_nursery() as nursery:
        handler.server = server_module.new_server(
            "", handler.handle, lambda: LIMITS, observer
        )
        address = await loopback.start_raw_server(
            nursery, handler.server.serve_connection
        )
        stream = await loopback.open_stream(address)
        nursery.start_soon(receive, stream)
        requests = [new_request(step, is_chunked) for step in steps]
        if is_pipelined:
            requests = [b"".join(requests)]
        for request in requests:
            await send_in_pieces(stream, request, cuts)
            await trio.sleep(0.005)
        await wait_for_answers(steps, received, observer, ended)
        await stream.aclose()
        with trio.fail_after(loopback.LIMIT_S):
            while not observer.closed:
                await trio.sleep(0.002)
        nursery.cancel_scope.cancel()
    return bytes(received), observer, handler


async def wait_for_answers(steps, received, observer, ended):
    """Wait until the answers that are due are there, or the end.

    A caller that closes before the server ends the connection has left.
    """
    due = sum(step in ANSWERED for step in steps)
    if Step.LEAVE in steps:
        await trio.sleep(0.02)
    with trio.move_on_after(loopback.LIMIT_S):
        while received.count(ANSWER) < due and not observer.closed:
            await trio.sleep(0.002)
        if steps[-1] in ENDS and steps[-1] is not Step.LEAVE:
            await ended.wait()


KEPT = strategies.sampled_from([Step.WHOLE, Step.STREAM])
LAST = strategies.sampled_from([Step.WHOLE, *ENDS])


@pytest.mark.contains_error
def test_each_request_is_answered_or_its_loss_has_a_reason():
    @hypothesis.settings(max_examples=120)
    @hypothesis.given(
        strategies.lists(KEPT, max_size=4),
        LAST,
        strategies.booleans(),
        strategies.booleans(),
        strategies.lists(strategies.integers(0, 4000), max_size=3),
    )
    @hypothesis.example([], Step.ODD, False, False, [])
    def check(kept, last, is_pipelined, is_chunked, cuts):
        steps = [*kept, last]
        received, observer, handler = trio.run(
            play, steps, is_pipelined, is_chunked, cuts
        )
        expected = ENDS.get(last, (Reason.CALLER_CLOSED, False))
        (closed,) = observer.closed
        assert (closed.reason, closed.has_lost_request) == expected
        assert received.count(ANSWER) == sum(s in ANSWERED for s in steps)
        assert handler.passed_on == len(steps) - (last is Step.TOO_LONG)
        assert observer.errors == ["exchange"] * (last is Step.ODD)

    check()
