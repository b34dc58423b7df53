"""Answers without end cost others neither memory nor time."""

import trio

from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import pool as pool_module
from tests.direct import loopback

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 10000
CONNECTION_COUNT = 10
RUN_S = 1.5
# An event has to be passed on within this time after its engine made it.
PASS_S = 0.25


async def _measure_lag(lags):
    while True:
        before_s = trio.current_time()
        await trio.sleep(0.005)
        lags.append(trio.current_time() - before_s - 0.005)


async def _read_body(pool, address):
    head = heads.RequestHead(b"GET", b"/", [(b"Host", b"h")])
    call = await pool.open_call(address, head, b"")
    assert isinstance(call, call_module.Call)
    try:
        await call.receive_head(lambda _head: True)
        while isinstance(await call.receive_part(), bytes):
            pass
    finally:
        call.finish()


def test_chunks_of_one_byte_keep_no_other_task_waiting():
    lags = []

    async def main():
        async def serve(stream):
            await loopback.read_until(stream, b"\r\n\r\n")
            await stream.send_all(CHUNKED)
            try:
                while True:
                    await stream.send_all(TINY_CHUNKS)
            except trio.BrokenResourceError:
                pass

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, serve)
            pool = pool_module.new_pool(nursery)
            with trio.move_on_after(RUN_S):
                async with trio.open_nursery() as readers:
                    for _number in range(CONNECTION_COUNT):
                        readers.start_soon(_read_body, pool, address)
                    readers.start_soon(_measure_lag, lags)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert max(lags) < PASS_S
