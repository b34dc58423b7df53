"""What others write ends no entry, and so no request of their neighbours."""

import msgspec
import pytest
import trio

from bench.standins import site as site_module
from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.platform import engines
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback
from tests.direct import test_site

ODD_VALUES = (
    b"3\0",
    b"3\x01",
    b"\x7f",
    b"",
    b" ",
    b"9" * 5000,
    b"x" * 257,
)
ODD_FIELDS = (
    b"Connection: Host",
    b"Connection: close, hOST, X-Request-Id",
    b"X-Deadline-Ms: \xb2",
    b"X-Deadline-Ms: " + b"9" * 5000,
    b"X-Pieces: \xb9,\xb2",
    b"X-Pieces: 99999999999999",
    b"X-Pieces: " + b"9" * 400,
    b"X-Prompt-Prefix: a:\xb2,b:1",
    b"X-Prompt-Prefix: a:" + b"9" * 5000,
    b"X-Token-Counts: " + b"9" * 400,
    b"X-Token-Counts: " + b"9" * 5000,
    b"Last-Event-Id: " + b"9" * 5000,
    b"Keep-Alive: timeout=" + b"9" * 5000,
)


def test_an_odd_event_id_ends_one_answer_only():
    route = fakes.new_route(
        repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
    )
    servers = [fakes.new_server(name) for name in ("s1", "s2", "s3")]

    async def check(nursery):
        for value in ODD_VALUES:
            script = [
                fakes.ScriptedAnswer(
                    parts=[b"id: 1\n\n", b"id: " + value + b"\n\n", b"id: 3"],
                    is_events=True,
                ),
                fakes.ScriptedAnswer(parts=[b"id: 2\n\n"], is_events=True),
            ]
            entry = fakes.FakeEntry(
                nursery, fakes.FakeGateway(script), servers
            )
            outcome, reply = await entry.serve(route)
            assert outcome == direct_outcome.Relayed(200), value
            assert reply.body == b"id: 1\n\nid: 2\n\n"
            _server_id, resumed = entry.gateway.sent[1]
            assert resumed.resume_after == b"1"

    fakes.run_with_mock_clock(check)


def test_a_head_that_cant_be_written_fails_its_call_only():
    async def main():
        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(
                nursery, trio.aclose_forcefully
            )
            pool = pool_module.new_pool(nursery)
            head = heads.RequestHead(
                b"GET", b"/", [(b"Host", b"h"), (b"X-Odd", b"a\0")]
            )
            call = await pool.open_call(address, head, b"")
            assert isinstance(call, failures.InvalidRequest)
            assert pool.count(address) == 0
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_an_odd_handle_is_a_piece_that_failed():
    handles = ["h:1/a", "h:1/\0", "h:1/a ", "h:1/a,b", "x" * 257, "h:1/\u00e9"]
    data = msgspec.json.encode(
        {"items": [{"handle": handle} for handle in handles]}
    )
    made = engines._decode_made_items(data, len(handles))
    assert made == ["h:1/a"] + [gateway.PieceFailure.ERROR] * 5


@pytest.mark.contains_error
def test_an_unforeseen_error_ends_its_exchange_only():
    async def handle(exchange):
        if exchange.target == b"/odd":
            raise KeyError("unforeseen")
        await trio.sleep(0.1)
        await exchange.answer(200, [], b"yes")

    async def main():
        async with trio.open_nursery() as nursery:
            server = server_module.new_server("", handle, catalog.CallerLimits)
            address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            neighbour = await loopback.open_stream(address)
            await neighbour.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            odd = await loopback.open_stream(address)
            await odd.send_all(b"GET /odd HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = await loopback.read_all(odd)
            assert answer.startswith(b"HTTP/1.1 502 ")
            assert (await loopback.read_until(neighbour, b"yes")).endswith(
                b"yes"
            )
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_an_odd_head_of_a_caller_ends_its_request_only(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        for number, field in enumerate(ODD_FIELDS):
            stream = await loopback.open_stream(nodes[0].address)
            await stream.send_all(
                b"POST /draft/1 HTTP/1.1\r\nHost: site.example\r\n"
                b"Api-Key: key-1\r\nContent-Length: 0\r\n"
                b"X-Request-Id: odd-%d\r\n%b\r\n\r\n" % (number, field)
            )
            answer = await loopback.read_until(stream, b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 "), field
            assert b" 502 " not in answer.split(b"\r\n")[0], field
            request_id = b"sound-%d" % number
            assert (await consumer.send("/order/1", request_id))[0] == 200

    test_site.run_with_nodes(tmp_path, check)
