"""Answers that end at any byte are whole or no answer, for every reader."""

import pytest
import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection import source
from greengagetrack.platform import engines
from greengagetrack.platform import store
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback

EVENTS = b"Content-Type: text/event-stream\r\n"
EVENT_1, EVENT_2 = b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n"
LENGTH = b"Content-Length: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
SAFE = fakes.new_route(attempts_max=1)
STREAM = fakes.new_route(repeat=catalog.Repeat.STREAM, attempts_max=1)
RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)


def _new_chunks(*parts, trailer=b""):
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return chunks + b"0\r\n" + trailer + b"\r\n"


def _new_answers(body, fields=b""):
    """Return whole answers with a proven end, in several styles."""
    length = LENGTH % len(body)
    halves = body[: len(body) // 2], body[len(body) // 2 :]
    return [
        b"HTTP/1.1 200 OK\r\n%s%s\r\n%s" % (fields, length, body),
        b"HTTP/1.0 200\r\n%s%s\r\n%s" % (fields, length, body),
        b"HTTP/1.1 200 \nX-A: 1\n 2\n%s%s\n%s" % (fields, length, body),
        b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\n%s%s\r\n%s"
        % (fields, length, body),
        b"HTTP/1.1 200 OK\r\n%s%s\r\n%s"
        % (fields, CHUNKED, _new_chunks(*halves)),
        b"HTTP/1.1 200 OK\r\n%s%s\r\n%s"
        % (fields, CHUNKED, _new_chunks(body, trailer=b"X-T: 1\r\n")),
    ]


def _cut_everywhere(read, answers, first=(), request_end=b"\r\n\r\n"):
    """Return what `await read(nursery, address)` returns for each cut.

    The server sends the answers of `first`, then one that is cut at an
    offset; it closes or resets the connection after each. A result is the
    answer, the offset, whether all of it was sent, whether the connection
    was reset, and what was read.
    """
    results = []

    async def read_cut(answer, offset, is_reset):
        remaining = [*first, answer[:offset]]

        async def serve(stream):
            head = await loopback.read_until(stream, request_end)
            if not head:
                return
            if head.startswith(b"GET /api/report "):
                await stream.send_all(loopback.REPORT)
                return
            await stream.send_all(remaining.pop(0))
            if is_reset:
                # The bytes are read before the reset, in most runs.
                await trio.sleep(0.002)
                loopback.reset(stream)
            else:
                await stream.aclose()

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, serve)
            with trio.fail_after(loopback.LIMIT_S):
                result = await read(nursery, address)
            assert not remaining
            nursery.cancel_scope.cancel()
        is_whole = offset == len(answer)
        results.append((answer, offset, is_whole, is_reset, result))

    async def main():
        for answer in answers:
            for offset in range(len(answer) + 1):
                await read_cut(answer, offset, is_reset=False)
        # How an answer is written changes nothing for a reset.
        for answer in answers[-2:]:
            for offset in range(len(answer) + 1):
                await read_cut(answer, offset, is_reset=True)

    trio.run(main)
    return results


def _new_entry(nursery, address):
    gateway = engines.new_engine_gateway(pool_module.new_pool(nursery))
    servers = [fakes.new_server(f"s{n}", address=address) for n in range(2)]
    return fakes.FakeEntry(nursery, gateway, servers)


def _serve(route):
    async def read(nursery, address):
        _outcome, reply = await _new_entry(nursery, address).serve(
            route, headers=[(b"Host", b"h")]
        )
        return reply

    return read


def _check(results, is_taken, is_right):
    """Check that only whole answers are taken, and for what they are."""
    for answer, offset, is_whole, is_reset, result in results:
        case = (answer, offset, is_reset)
        if is_taken(result):
            assert is_whole and is_right(result), case
        else:
            # The reset may have overtaken the last bytes.
            assert is_reset or not is_whole, case


def test_cut_answer_is_no_success_for_the_caller_of_a_plain_route():
    answers = _new_answers(b"all of it")
    answers.append(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n")
    results = _cut_everywhere(_serve(SAFE), answers)
    _check(
        results,
        lambda reply: reply.is_started,
        lambda reply: reply.is_whole and reply.body in (b"all of it", b""),
    )


def test_cut_stream_is_not_complete_for_its_caller():
    answers = _new_answers(EVENT_1 + EVENT_2, EVENTS)[3:]
    results = _cut_everywhere(_serve(STREAM), answers)
    _check(
        results,
        lambda reply: reply.is_whole,
        lambda reply: reply.body == EVENT_1 + EVENT_2,
    )
    bodies = {reply.body for *_case, reply in results}
    assert bodies == {b"", EVENT_1, EVENT_1 + EVENT_2}


@pytest.mark.parametrize("sent", [b"", EVENT_1], ids=["head", "event"])
def test_cut_answer_to_a_resume_does_not_end_the_stream(sent):
    rest = EVENT_2 if sent else EVENT_1 + EVENT_2
    first = _new_answers(sent, EVENTS)[0].replace(b"Length: ", b"Length: 9")
    results = _cut_everywhere(
        _serve(RESUMABLE), _new_answers(rest, EVENTS)[::4], [first]
    )
    _check(
        results,
        lambda reply: reply.is_whole,
        lambda reply: reply.body == EVENT_1 + EVENT_2,
    )
    bodies = {reply.body for *_case, reply in results}
    assert bodies == {sent, EVENT_1, EVENT_1 + EVENT_2}


def test_cut_answer_to_a_call_of_a_stage_has_no_results():
    async def read(nursery, address):
        gateway = engines.new_engine_gateway(pool_module.new_pool(nursery))
        piece = gateway_module.Piece("r", 0, 0, 100, "key")
        server = fakes.new_server("s", address=address)
        return await gateway.run_pieces(server, [piece])

    answers = _new_answers(b'{"items":[{"handle":"a"}]}')
    results = _cut_everywhere(read, answers, request_end=b"]}")
    _check(
        results,
        lambda result: not isinstance(result, gateway_module.Failure),
        lambda result: result == ["a"],
    )


def test_cut_answer_of_the_store_is_not_taken_for_its_content():
    async def read(nursery, address):
        store_source = store.new_store_source(
            address, pool_module.new_pool(nursery)
        )
        return await store_source.list_all()

    body = b'{"items":[],"current_rev":7}'
    results = _cut_everywhere(read, _new_answers(body, b"Store-Era: 3\r\n"))
    _check(
        results,
        lambda result: not isinstance(result, source.Unreachable),
        lambda result: (result.revision, result.era) == (7, 3),
    )
