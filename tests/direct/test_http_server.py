"""The callers' connections: exact bytes in, whole answers or none out."""

import pytest
import trio

from greengagetrack.connection.http import server as server_module
from greengagetrack.version import catalog
from tests.direct import loopback

LIMITS = catalog.CallerLimits(
    header_max_bytes=2000,
    body_max_bytes=5000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
)


class _Seen:
    """What the handler saw, and what it does."""

    def __init__(self, answer=None):
        self.exchanges = []
        self.was_cancelled = False
        self._answer = answer

    async def handle(self, exchange):
        self.exchanges.append(exchange)
        try:
            if self._answer is not None:
                await self._answer(exchange)
            else:
                await exchange.answer(200, [(b"X-A", b"1")], b"yes")
        except trio.Cancelled:
            self.was_cancelled = True
            raise


def _run(check, answer=None):
    async def main():
        async with trio.open_nursery() as nursery:
            seen = _Seen(answer)
            server = server_module.new_server("", seen.handle, lambda: LIMITS)
            address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            await check(seen, server, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_target_headers_and_body_come_as_sent():
    async def check(seen, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(
            b"POST /a/../b%2e//c?x=|&y=\"' HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Two: a\r\nX-Two: b\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await loopback.read_until(stream, b"yes")
        exchange = seen.exchanges[0]
        assert exchange.target == b"/a/../b%2e//c?x=|&y=\"'"
        assert exchange.body == b"abcde"
        assert [
            value for key, value in exchange.headers if key == b"X-Two"
        ] == [b"a", b"b"]
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"X-A: 1\r\n" in answer

    _run(check)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde",
            400,
        ),
        (b"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n",
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n1800\r\n" + b"x" * 6144 + b"\r\n0\r\n\r\n",
            413,
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000 + b"\r\n\r\n",
            431,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: half", 408),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
            408,
        ),
    ],
)
def test_what_cannot_be_read_is_refused_and_never_handled(sent, status):
    async def check(seen, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(sent)
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert b"close" in answer.lower()
        assert seen.exchanges == []

    _run(check)


def test_a_caller_that_leaves_stops_its_work():
    async def never(_exchange):
        await trio.sleep_forever()

    async def check(seen, server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not seen.exchanges:
            await trio.sleep(0.01)
        await stream.aclose()
        with trio.fail_after(0.5):
            while not seen.was_cancelled:
                await trio.sleep(0.01)
        assert server.in_progress == 0

    _run(check, never)


def test_an_answer_that_is_cut_never_looks_complete():
    async def half(exchange):
        await exchange.start(200, [])
        await exchange.send(b"some")

    async def check(_seen, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await loopback.read_all(stream)
        assert b"4\r\nsome\r\n" in answer
        assert not answer.endswith(b"0\r\n\r\n")

    _run(check, half)


def test_requests_on_one_connection_are_answered_in_order():
    async def check(seen, _server, address):
        stream = await loopback.open_stream(address)
        one = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
        await stream.send_all(one + b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        answers = b""
        while answers.count(b"yes") < 2:
            answers += await loopback.read_until(stream, b"yes")
        targets = [exchange.target for exchange in seen.exchanges]
        assert targets == [b"/1", b"/2"]

    _run(check)


def test_draining_serves_what_comes_and_closes_after_it():
    async def check(_seen, server, address):
        stream = await loopback.open_stream(address)
        server.is_draining = True
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in answer.lower()
        assert answer.endswith(b"yes")

    _run(check)


def test_an_idle_connection_is_kept_for_the_limit_and_then_closed():
    async def check(_seen, _server, address):
        stream = await loopback.open_stream(address)
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        await stream.send_all(request)
        await loopback.read_until(stream, b"yes")
        await trio.sleep(LIMITS.idle_timeout_s * 0.8)
        await stream.send_all(request)
        assert b"yes" in await loopback.read_until(stream, b"yes")
        assert await loopback.read_all(stream) == b""

    _run(check)


@pytest.mark.parametrize(
    "error",
    [trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError],
)
def test_a_caller_that_is_gone_while_sent_to_ends_only_its_connection(error):
    """Grown federation, fresh-6697: an entry ended with a broken pipe."""

    async def answer(exchange):
        if exchange.target == b"/gone":
            raise error("broken pipe")
        await exchange.answer(200, [], b"yes")

    async def check(_seen, _server, address):
        gone = await loopback.open_stream(address)
        await gone.send_all(b"GET /gone HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await loopback.read_all(gone) == b""
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        received = await loopback.read_until(stream, b"yes")
        assert received.startswith(b"HTTP/1.1 200 ")

    _run(check, answer)
