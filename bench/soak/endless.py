"""Engines whose answers have no end, beside sound ones.

One of two engines of orders writes bytes until its caller closes. Those that
make pieces are processes of their own, since this one is busy with that, and
late pieces would be late answers. It is asked
what matters then: no entry ends, its memory stays bounded, and requests that
only sound engines serve are served as before.
"""

import itertools
import pathlib
import random
import re

import msgspec
import trio

from bench import ports as ports_module
from bench.soak import site as site_module
from bench.standins import engine_process
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module

CALLERS_PER_ENTRY = 30
SOUND_CALLERS_PER_ENTRY = 6
PIECES_SERVICE = "prepare"
LAG_CHECK_S = 0.05
PAUSE_MAX_S = 0.2
STATUS = b"HTTP/1.1 200 OK\r\n"
FILLER = b"x" * 16384
CHUNK = b"4000\r\n" + FILLER + b"\r\n"
# By shape: what comes first, and what comes again and again.
BYTES_BY_SHAPE = {
    "head": (STATUS + b"X-Fill: ", FILLER),
    "fields": (STATUS, b"X-Fill: 1\r\n" * 1000),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "body": (STATUS + b"Content-Length: 999999999999\r\n\r\n", FILLER),
    "unframed": (STATUS + b"\r\n", FILLER),
    "chunks": (STATUS + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "tiny chunks": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 2000,
    ),
    "other's answer": (
        STATUS
        + b"X-Request-Id: other\r\nContent-Length: 999999999999\r\n\r\n",
        FILLER,
    ),
    "refusal": (
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
        b"Content-Length: 999999999999\r\n\r\n",
        FILLER,
    ),
    "no answer": (b"", b"\0" * 16384),
    "event": (
        STATUS + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
        FILLER,
    ),
}


class EndlessResult(msgspec.Struct):
    """The JSON result of a run of one shape.

    `bench_lag_s` is the longest time by which this process itself was late.
    """

    shape: str
    requests: int
    sound: int
    sound_served: int
    exits: int
    peak_mib: list[float]
    bench_lag_s: float = 0.0

    @property
    def broken(self):
        """What must not happen, as texts."""
        if self.exits:
            return [f"{self.shape}: {self.exits} entries ended"]
        return []


class EndlessSite(site_module.SoakSite):
    """A site without proxies, with one engine whose answers have no end."""

    def __init__(self, nursery, seed, logs, shape, tree):
        super().__init__(nursery, seed, logs, "", tree=tree)
        self.shape = shape
        self._engine_processes = []

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine; the first of the desk is the faulty one."""
        if service == PIECES_SERVICE:
            await self._add_engine_process(engine_id, service)
            return
        engine = standin_site.EngineStandIn(
            engine_id, service, "dc-a", is_stream
        )
        handle = engine.handle
        engine.address = await standin_site.start_http(self.nursery, handle)
        if engine_id == "desk-1" and self.shape != "none":
            engine.address = await self._start_endless()
        self.engine_by_id[engine_id] = engine
        self.publish(engine)

    async def _add_engine_process(self, engine_id, service):
        engine = engine_process.RestartingEngine(
            engine_process.EngineParameters(
                engine_id,
                service,
                ports_module.find_free_ports(1)[0],
                version="v1",
                born=0,
                event_count=0,
                event_interval_s=0.0,
                unframed_every=0,
                is_stream=False,
            )
        )
        self._engine_processes.append(engine)
        await engine.listen()
        self.publish(engine)

    async def stop(self):
        """Kill the processes that this site started."""
        await super().stop()
        for engine in self._engine_processes:
            engine.stop()

    async def _start_endless(self):
        listeners = await trio.open_tcp_listeners(0, host=standin_site.HOST)
        self.nursery.start_soon(trio.serve_listeners, self._write, listeners)
        port = listeners[0].socket.getsockname()[1]
        return f"{standin_site.HOST}:{port}"

    async def _write(self, stream):
        first, again = BYTES_BY_SHAPE[self.shape]
        try:
            await stream.receive_some(65536)
            await stream.send_all(first)
            while True:
                await stream.send_all(again)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)


async def _play(site, seed, duration_s):
    ids = itertools.count(1)
    result = EndlessResult(site.shape, 0, 0, 0, 0, [])
    end_s = trio.current_time() + duration_s

    async def call(entry, number):
        generator = random.Random(f"{seed}-{entry.name}-{number}")
        pool = pool_module.new_pool(site.nursery)
        is_sound = number < SOUND_CALLERS_PER_ENTRY
        path = "/draft/1" if is_sound else "/order/1"
        while trio.current_time() < end_s:
            request_id = b"%d" % next(ids)
            status, _headers, _body = await standin_site.send_request(
                pool, entry.caller_address, path, request_id
            )
            result.requests += 1
            result.sound += is_sound
            result.sound_served += is_sound and status == 200
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    async def watch_lag():
        while True:
            due_s = trio.current_time() + LAG_CHECK_S
            await trio.sleep_until(due_s)
            lag_s = round(trio.current_time() - due_s, 3)
            result.bench_lag_s = max(result.bench_lag_s, lag_s)

    async with trio.open_nursery() as watcher:
        watcher.start_soon(watch_lag)
        async with trio.open_nursery() as nursery:
            for entry in site.entries:
                for number in range(CALLERS_PER_ENTRY):
                    nursery.start_soon(call, entry, number)
        watcher.cancel_scope.cancel()
    for entry in site.entries:
        is_running = entry.process.poll() is None
        result.exits += not is_running
        if is_running:
            result.peak_mib.append(_get_peak_mib(entry.process.pid))
    return result


def _get_peak_mib(process_id):
    """Return the largest resident memory that a process had."""
    text = pathlib.Path(f"/proc/{process_id}/status").read_text()
    kib = int(re.search(r"VmHWM:\s+(\d+)", text).group(1))
    return round(kib / 1024, 1)


def run_endless(seed, shape, duration_s, logs, tree=""):
    """Run callers beside one shape of endless answers, or none."""

    def new_site(nursery):
        return EndlessSite(nursery, seed, logs, shape, tree)

    async def run(site):
        return await _play(site, seed, duration_s)

    return trio.run(site_module.play, logs, new_site, run)
