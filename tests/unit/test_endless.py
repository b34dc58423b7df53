"""Answers without end cost the neighbours of their server nothing."""

import msgspec
import pytest
import trio

from bench import ports as ports_module
from bench.soak import endless
from bench.standins import engine_process
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

SEED = 1
DURATION_S = 5.0
SERVED_MIN_SHARE = 0.98


@pytest.mark.parametrize("shape", ["tiny chunks", "other's answer"])
def test_sound_requests_are_served_beside_an_endless_answer(tmp_path, shape):
    result = endless.run_endless(SEED, shape, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.sound_served >= SERVED_MIN_SHARE * result.sound > 0


async def _request_pieces(nursery, address, item):
    """Return the results of a call of a stage."""
    body = msgspec.json.encode({"items": [item]})
    length = (b"Content-Length", b"%d" % len(body))
    head = heads.RequestHead(
        b"POST", names.STAGE_RUN_PATH, [(b"Host", b"h"), length]
    )
    pool = pool_module.new_pool(nursery)
    call = await pool.open_call(address, head, body)
    answer_head = await call.receive_head(lambda _head: True)
    assert answer_head.status == 200
    answer = await call.receive_body()
    call.finish()
    nursery.cancel_scope.cancel()
    return msgspec.json.decode(answer)["items"]


def test_engine_that_makes_pieces_can_be_a_process():
    parameters = engine_process.EngineParameters(
        "prepare-1",
        "prepare",
        ports_module.find_free_ports(1)[0],
        version="v1",
        born=0,
        event_count=0,
        event_interval_s=0.0,
        unframed_every=0,
        is_stream=False,
    )
    item = {"id": "r1", "stage": 0, "piece": 1}

    results = []

    async def main():
        engine = engine_process.RestartingEngine(parameters)
        try:
            await engine.listen()
            async with trio.open_nursery() as nursery:
                results.extend(
                    await _request_pieces(nursery, parameters.address, item)
                )
        finally:
            engine.stop()

    # Of its first call.
    handle = f"{parameters.address}/r1-0-1@1"
    trio.run(main)
    assert results == [{"handle": handle}]
