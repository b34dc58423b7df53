"""Answers that were broken off never reach their caller as complete."""

import enum

import pytest
import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.platform import callers
from greengagetrack.platform import engines
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback

EVENTS = b"Content-Type: text/event-stream\r\n"
LENGTH, CHUNKS, CONNECTION = "length", "chunks", "connection"
STREAM = fakes.new_route(repeat=catalog.Repeat.STREAM)
RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
SAFE = fakes.new_route(attempts_max=1)
OTHER_SERVER = b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"


class End(enum.Enum):
    """How a caller saw the end of its answer."""

    LAST_CHUNK = enum.auto()
    LENGTH = enum.auto()
    CLOSED = enum.auto()
    CUT = enum.auto()
    RESET = enum.auto()


def _new_event(number):
    return b"id: %d\ndata: x\n\n" % number


def _new_answer(framing, body, fields=EVENTS):
    """Return an answer whose framing says that `body` is all of it."""
    if framing == LENGTH:
        fields += b"Content-Length: %d\r\n" % len(body)
    elif framing == CHUNKS:
        fields += b"Transfer-Encoding: chunked\r\n"
        body = (
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            if body
            else (b"0\r\n\r\n")
        )
    return b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body


async def _start_server(nursery, handle, scope_by_port):
    """Start a server; cancelling the scope of its port closes its listener."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    scope_by_port[port] = trio.CancelScope()

    async def listen():
        with scope_by_port[port]:
            await trio.serve_listeners(
                handle, listeners, handler_nursery=nursery
            )

    nursery.start_soon(listen)
    return f"{host}:{port}"


async def _receive_answer(stream):
    """Return the raw answer, and the `End` without regard to its head."""
    data = b""
    while True:
        try:
            more = await stream.receive_some(65536)
        except trio.BrokenResourceError:
            return data, End.RESET
        if not more:
            return data, End.CLOSED
        data += more


def _read_answer(data, end):
    """Return the head, the body and how its end was marked."""
    head, _separator, body = data.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        is_whole = body.endswith(b"0\r\n\r\n")
        return head, body, End.LAST_CHUNK if is_whole else End.CUT
    if b"content-length:" in head.lower():
        return head, body, End.LENGTH
    return head, body, end


def _ask(
    route,
    *answers,
    resets=(),
    crashes=(),
    restarts=(),
    version=b"1.1",
    is_trouble=False,
):
    """Send one request to an entry whose servers give `answers`.

    A server closes the connection after its answer, or resets it if the
    number of the answer is in `resets`. It no longer listens then if the
    number is in `crashes`, or is back under another id if it is in
    `restarts`. With `is_trouble` later answers come byte by byte
    while the entry stops. Return what the caller received.
    """
    results = []

    async def main():
        remaining = list(enumerate(answers))
        scope_by_port = {}
        restarted = set()

        async def answer(stream):
            head = await loopback.read_until(stream, b"\r\n\r\n")
            if not head:
                return
            if head.startswith(b"GET /api/report "):
                is_restarted = stream.socket.getsockname() in restarted
                await stream.send_all(
                    OTHER_SERVER if is_restarted else loopback.REPORT
                )
                return
            number, data = remaining.pop(0)
            server.is_draining = is_trouble and number > 0
            size = 1 if server.is_draining else len(data)
            for begin in range(0, len(data), size):
                await stream.send_all(data[begin : begin + size])
            await trio.sleep(0.05)
            if number in crashes:
                _host, port = stream.socket.getsockname()
                scope_by_port[port].cancel()
                await trio.sleep(0.05)
            if number in restarts:
                restarted.add(stream.socket.getsockname())
            if number in resets:
                loopback.reset(stream)
            else:
                await stream.aclose()

        async with trio.open_nursery() as nursery:
            addresses = [
                await _start_server(nursery, answer, scope_by_port)
                for _server in range(3)
            ]
            fake_entry = fakes.FakeEntry(
                nursery,
                engines.new_engine_gateway(pool_module.new_pool(nursery)),
                [
                    fakes.new_server(f"s{number}", address=address)
                    for number, address in enumerate(addresses)
                ],
            )

            async def handle(exchange):
                reply = callers.HttpReply(exchange)
                outcome = await fake_entry.run(
                    route, reply, headers=[(b"Host", b"h")]
                )
                if not exchange.is_started:
                    status, fields = callers.get_error_response(outcome)
                    await exchange.answer(status, fields)

            server = server_module.new_server("", handle, catalog.CallerLimits)
            entry_address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            stream = await loopback.open_stream(entry_address)
            await stream.send_all(
                b"POST / HTTP/%s\r\nHost: h\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n" % version
            )
            with trio.fail_after(loopback.LIMIT_S):
                results.append(_read_answer(*await _receive_answer(stream)))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CONNECTION])
def test_stream_that_ends_inside_an_event_is_not_relayed_as_complete(framing):
    answer = _new_answer(framing, _new_event(1) + b"id: 2\nda")
    _head, body, end = _ask(STREAM, answer)
    assert end in (End.CUT, End.RESET)
    assert b"id: 2" not in body


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CONNECTION])
def test_stream_that_ends_inside_an_event_is_resumed(framing):
    broken = _new_answer(framing, _new_event(1) + b"id: 2\nda")
    rest = _new_answer(framing, _new_event(2) + _new_event(3))
    _head, body, end = _ask(RESUMABLE, broken, rest)
    assert end in (End.LAST_CHUNK, End.CLOSED)
    assert [body.count(b"id: %d\n" % n) for n in (1, 2, 3)] == [1, 1, 1]


@pytest.mark.parametrize("sent", [b"", _new_event(1)], ids=["head", "event"])
@pytest.mark.parametrize("error_framing", [LENGTH, CHUNKS, CONNECTION])
@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CONNECTION])
def test_no_error_of_a_later_server_reaches_the_caller_of_a_stream(
    framing, error_framing, sent
):
    """It comes in pieces, beside a planned stop, or as an event stream."""
    broken = _new_answer(framing, sent + b"id: 9\nda")
    text = b"event: error\ndata: no memory\n\n"
    error = _new_answer(error_framing, text)
    errors = [
        error,
        error.replace(b"200 OK", b"500 Oops"),
        error.replace(b"200 OK", b"404 Oops").replace(EVENTS, b""),
        error.replace(EVENTS, b""),
        _new_answer(error_framing, b""),
        b"HTTP/1.1 102 Go\r\n\r\n" + error,
        b"HTTP/1.1 204 No\r\n%s\r\n" % EVENTS,
        text,
    ]
    for answer in errors:
        _head, body, end = _ask(RESUMABLE, broken, answer, is_trouble=True)
        assert end in (End.CUT, End.RESET), answer
        assert (sent in body) and b"HTTP" not in body
        assert body.count(b"\n\n") == bool(sent)
        assert b"error" not in body and b"memory" not in body


def test_stream_without_length_is_not_relayed_with_a_stronger_framing():
    answer = _new_answer(CONNECTION, _new_event(1) + _new_event(2))
    head, body, end = _ask(STREAM, answer)
    assert end is End.CLOSED
    assert body == _new_event(1) + _new_event(2)
    assert b"connection: close" in head.lower()


def test_body_without_length_is_not_relayed_with_a_stronger_framing():
    answer = _new_answer(CONNECTION, b"all of it", b"X-A: 1\r\n")
    head, body, end = _ask(SAFE, answer)
    assert (body, end) == (b"all of it", End.CLOSED)
    assert b"connection: close" in head.lower()


def test_stream_without_length_and_without_event_is_not_complete():
    _head, body, end = _ask(STREAM, _new_answer(CONNECTION, b""))
    assert body == b""
    assert end in (End.CUT, End.RESET)


def test_reset_stream_without_length_is_reset_for_its_caller():
    answer = _new_answer(CONNECTION, _new_event(1))
    _head, _body, end = _ask(STREAM, answer, resets=(0,))
    assert end in (End.CUT, End.RESET)


def test_reset_body_without_length_is_not_relayed():
    answer = _new_answer(CONNECTION, b"half", b"X-A: 1\r\n")
    head, _body, _end = _ask(SAFE, answer, resets=(0,))
    assert b" 502 " in head


def test_broken_stream_is_not_complete_for_a_caller_without_chunks():
    """A caller of HTTP/1.0 takes the end of its connection for the end."""
    answer = _new_answer(CHUNKS, _new_event(1) + b"id: 2\nda")
    _head, _body, end = _ask(STREAM, answer, version=b"1.0")
    assert end is End.RESET


def test_resumed_stream_without_length_does_not_end_a_chunked_one():
    broken = _new_answer(CHUNKS, _new_event(1) + b"id: 2\nda")
    rest = _new_answer(CONNECTION, _new_event(2))
    _head, _body, end = _ask(RESUMABLE, broken, rest)
    assert end is End.CUT


def test_end_that_is_not_proven_is_asked_of_another_server():
    route = fakes.new_route(
        repeat=catalog.Repeat.STREAM,
        is_resumable=True,
        target_gap_ms=100.0,
        attempts_max=3,
    )
    broken = _new_answer(CHUNKS, _new_event(1) + b"id: 2\nda")
    unproven = _new_answer(CONNECTION, _new_event(2))
    proven = _new_answer(CHUNKS, _new_event(3))
    _head, body, end = _ask(route, broken, unproven, proven)
    assert end is End.LAST_CHUNK
    assert [body.count(b"id: %d\n" % n) for n in (1, 2, 3)] == [1, 1, 1]


def test_stream_whose_server_crashes_between_events_is_not_complete():
    """The connection closes in order, as at the end of the answer."""
    answer = _new_answer(CONNECTION, _new_event(1) + _new_event(2))
    _head, _body, end = _ask(STREAM, answer, crashes=(0,))
    assert end in (End.CUT, End.RESET)


def test_stream_whose_server_crashes_between_events_is_resumed():
    broken = _new_answer(CONNECTION, _new_event(1))
    rest = _new_answer(CHUNKS, _new_event(2))
    _head, body, end = _ask(RESUMABLE, broken, rest, crashes=(0,))
    assert end is End.CLOSED
    assert body == _new_event(1) + _new_event(2)


def test_body_whose_server_crashes_is_not_complete():
    answer = _new_answer(CONNECTION, b"half", b"X-A: 1\r\n")
    head, _body, _end = _ask(SAFE, answer, crashes=(0,))
    assert b" 502 " in head


def test_stream_whose_server_is_back_with_another_id_is_not_complete():
    """The entry reads the end late, when the address accepts again."""
    answer = _new_answer(CONNECTION, _new_event(1) + _new_event(2))
    _head, _body, end = _ask(STREAM, answer, restarts=(0,))
    assert end in (End.CUT, End.RESET)


@pytest.mark.parametrize("size", [0, 10, 30, 40])
def test_cut_result_of_a_stage_without_length_is_a_failure(size):
    body = b'{"items":[{"handle":"a"},{"handle":"b"}]}'
    results = []

    async def main():
        async def answer(stream):
            await loopback.read_until(stream, b"]}")
            await stream.send_all(_new_answer(CONNECTION, body[:size], b""))
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, answer)
            gateway = engines.new_engine_gateway(pool_module.new_pool(nursery))
            pieces = [
                gateway_module.Piece("r", 0, number, 100, "key")
                for number in range(2)
            ]
            results.append(
                await gateway.run_pieces(
                    fakes.new_server("s", address=address), pieces
                )
            )
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert isinstance(results[0], gateway_module.Failure)
