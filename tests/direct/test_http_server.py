"""Parsing of callers' requests, responses, disconnects and timeouts."""

import logging
import socket
import tracemalloc

import pytest
import trio

from greengagetrack.connection.http import framing
from greengagetrack.connection.http import server as server_module
from greengagetrack.version import catalog
from tests.direct import loopback

LIMITS = catalog.CallerLimits(
    header_max_bytes=2000,
    body_max_bytes=5000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
)


class _RecordingHandler:
    """A handler that records its exchanges and whether it was cancelled."""

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
            handler = _RecordingHandler(answer)
            server = server_module.new_server(
                "",
                handler.handle,
                lambda: LIMITS,
                request_id_field=b"x-request-id",
            )
            address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            await check(handler, server, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_target_headers_and_body_are_unchanged():
    async def check(handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(
            b"POST /a/../b%2e//c?x=|&y=\"' HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Two: a\r\nX-Two: b\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await loopback.read_until(stream, b"yes")
        exchange = handler.exchanges[0]
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
def test_invalid_request_is_rejected_before_handler(sent, status):
    async def check(handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(sent)
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert b"close" in answer.lower()
        assert handler.exchanges == []

    _run(check)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nX-Request-Id: q2\r\nHost: h\r\n"
            b"Content-Length: 6000\r\n\r\n",
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nX-Request-Id: q2\r\nHost: h\r\n"
            b"Content-Length: 5\r\n\r\nab",
            408,
        ),
        (
            b"GET http://h/ HTTP/1.1\r\nX-Request-Id: q2\r\nHost: h\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nX-Request-Id: q2\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nno size\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: half", 408),
    ],
)
def test_rejection_names_its_request_and_no_earlier_one(sent, status, caplog):
    first = b"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n\r\n"

    async def check(handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(first)
        await loopback.read_until(stream, b"yes")
        await stream.send_all(sent)
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert len(handler.exchanges) == 1

    with caplog.at_level(logging.INFO):
        _run(check)
    lines = [
        record for record in caplog.records if hasattr(record, "decision")
    ]
    assert [(line.levelname, line.status) for line in lines] == [
        ("WARNING", status)
    ]
    assert lines[0].request == ("q2" if b"q2" in sent else "")


def test_disconnect_cancels_handler():
    async def sleep_forever(_exchange):
        await trio.sleep_forever()

    async def check(handler, server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not handler.exchanges:
            await trio.sleep(0.01)
        await stream.aclose()
        with trio.fail_after(0.5):
            while not handler.was_cancelled:
                await trio.sleep(0.01)
        assert server.in_progress == 0

    _run(check, sleep_forever)


def test_unfinished_response_has_no_end_of_body():
    async def respond_partially(exchange):
        await exchange.start(200, [])
        await exchange.send(b"some")

    async def check(_handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await loopback.read_all(stream)
        assert b"4\r\nsome\r\n" in answer
        assert not answer.endswith(b"0\r\n\r\n")

    _run(check, respond_partially)


async def _respond_without_chunks(exchange):
    await exchange.start(200, [], framing.Framing.CONNECTION)
    await exchange.send(b"some")


def test_unfinished_response_without_chunks_is_reset():
    async def check(_handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        with pytest.raises(trio.BrokenResourceError):
            while await stream.receive_some():
                pass

    _run(check, _respond_without_chunks)


def test_response_without_chunks_is_reset_if_the_entry_stops():
    async def respond_and_wait(exchange):
        await _respond_without_chunks(exchange)
        await trio.sleep_forever()

    async def check(_handler, _server, address):
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"some" in await loopback.read_until(stream, b"some")
        streams.append(stream)

    streams = []
    _run(check, respond_and_wait)
    with pytest.raises(ConnectionResetError):
        _receive_after_run(streams[0])


def _receive_after_run(stream):
    """Receive from a stream whose event loop has ended."""
    with socket.socket(fileno=stream.socket.detach()) as plain_socket:
        plain_socket.settimeout(loopback.LIMIT_S)
        while plain_socket.recv(100):
            pass


def test_finished_response_without_chunks_ends_in_order():
    async def respond(exchange):
        await _respond_without_chunks(exchange)
        await exchange.finish()

    async def check(_handler, _server, address):
        stream = await loopback.open_stream(address)
        pipelined = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 3
        await stream.send_all(pipelined)
        data = b""
        while more := await stream.receive_some():
            data += more
        assert data.endswith(b"\r\n\r\nsome")
        assert b"connection: close" in data.lower()

    _run(check, respond)


def test_pipelined_requests_are_answered_in_order():
    async def check(handler, _server, address):
        stream = await loopback.open_stream(address)
        first_request = (
            b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
        )
        await stream.send_all(
            first_request + b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        received = b""
        while received.count(b"yes") < 2:
            received += await loopback.read_until(stream, b"yes")
        targets = [exchange.target for exchange in handler.exchanges]
        assert targets == [b"/1", b"/2"]

    _run(check)


def test_draining_server_answers_and_closes_connection():
    async def check(_handler, server, address):
        stream = await loopback.open_stream(address)
        server.is_draining = True
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in answer.lower()
        assert answer.endswith(b"yes")

    _run(check)


def test_idle_connection_is_closed_after_timeout():
    async def check(_handler, _server, address):
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
def test_send_error_ends_only_its_connection(error):
    """A send error of one connection must not stop the entry.

    In the larger federation deployment, run fresh-6697, a broken pipe did.
    """

    async def answer(exchange):
        if exchange.target == b"/gone":
            raise error("broken pipe")
        await exchange.answer(200, [], b"yes")

    async def check(_handler, _server, address):
        broken_stream = await loopback.open_stream(address)
        await broken_stream.send_all(b"GET /gone HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await loopback.read_all(broken_stream) == b""
        stream = await loopback.open_stream(address)
        await stream.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        received = await loopback.read_until(stream, b"yes")
        assert received.startswith(b"HTTP/1.1 200 ")

    _run(check, answer)


def test_body_in_tiny_chunks_is_collected_in_one_buffer():
    size = LIMITS.body_max_bytes
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    request = head + b"2\r\nab\r\n" * (size // 2) + b"0\r\n\r\n"

    async def check(handler, _server, address):
        stream = await loopback.open_stream(address)
        tracemalloc.start()
        try:
            await stream.send_all(request)
            await loopback.read_until(stream, b"yes")
            _current, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert handler.exchanges[0].body == b"ab" * (size // 2)
        assert peak < 40 * size

    _run(check)
