"""Spoiled bytes end no entry and lose no request of a neighbour.

An id of an event that fits no head ended entries with all that they had in
hand; a number that can't be read, in a caller's head, did as well.
"""

import random

import trio

from bench.soak import fuzz
from bench.soak import spoiler
from bench.standins import site as site_module
from tests.direct import loopback

SEED = 3
SECONDS = 8.0
BROKEN_SECONDS = 3.0


def test_spoiled_bytes_end_no_entry(tmp_path):
    result = fuzz.run_fuzz(SEED, SECONDS, fuzz.READERS, str(tmp_path))
    assert result.broken == []
    assert result.inputs > 0
    assert result.sound > result.refused


def test_reader_that_trusts_numbers_is_seen(tmp_path):
    result = fuzz.run_fuzz(
        SEED, BROKEN_SECONDS, ("callers",), str(tmp_path), "trust-numbers"
    )
    assert result.uncaught > 0


def test_spoiled_segments_follow_from_the_seed():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nid: 1"

    def spoil():
        one = spoiler.Spoiler(random.Random(SEED), 1.0)
        return [one.spoil(data) for _segment in range(50)]

    assert spoil() == spoil()
    assert any(segment != data for segment in spoil())


def test_segments_beyond_the_share_are_left_alone():
    none = spoiler.Spoiler(random.Random(SEED), 0.0)
    assert none.spoil(b"id: 1") == b"id: 1"
    assert not none.is_last
    assert none.count == 0


def test_engine_refuses_a_request_without_an_id():
    """A spoiled request lost its id, and the stand-in raised on it."""

    async def main():
        async with trio.open_nursery() as nursery:
            engine = site_module.EngineStandIn("odd-1", "odd", "dc-a")
            address = await site_module.start_http(nursery, engine.handle)
            stream = await loopback.open_stream(address)
            await stream.send_all(b"GET /often/1 HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = await loopback.read_until(stream, b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 400 ")
            assert not engine.runs
            nursery.cancel_scope.cancel()

    trio.run(main)
