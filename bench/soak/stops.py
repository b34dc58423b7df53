"""Planned stops: entries get SIGTERM while callers go on using them.

Callers use an entry until its process is gone, over kept connections, new
ones, with requests sent ahead and with bodies that come slowly. Each request
says how long its engine works. What a caller didn't get an answer to is
excused only if its engine was still at work in the last part of the grace, on
a request that came early in it.
"""

import collections
import itertools
import math
import os
import random
import signal

import msgspec
import trio

from bench.soak import site as site_module
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import fields
from greengagetrack.platform import names

CALLERS_PER_ENTRY = 12
FIRST_STOP_S = 2.0
# Between the end of one stop and the next one.
PAUSE_S = 1.0
# What else comes after the first signal: seconds, and the signal.
MORE_SIGNALS = ((0.4, signal.SIGTERM), (0.8, signal.SIGHUP))
DEADLINE_MS = 8000
READ_TIMEOUT_S = 15.0
# How long engines work, most requests a short time.
WORK_S = (0.02, 0.05, 0.05, 0.2, 0.2, 0.6, 1.5, 3.0, 6.0)
BODY_PAUSE_MAX_S = 0.8
PAUSE_MAX_S = 0.1
STREAM_EVENTS = 10
# Of a stream's time, the part that it pauses before one event.
PAUSE_SHARE = 0.7
PAUSED_EVENT = 5
# A request that was sent later than this must not be cut.
EXCUSED_SENT_S = 3.0
# Its engine has to be at work in the last part of the grace.
EXCUSED_SHARE = 5 / 6
# A request that the entry has read has its answer or is passed on by then.
READ_SLACK_S = 0.2
KINDS = ("order", "stock", "tale", "draft")
WAYS = ("kept", "new", "ahead", "slow body")
NO_ANSWER = 0


class RequestRecord(msgspec.Struct):
    """One request: when its last byte was sent, and what came of it.

    `status` is `NO_ANSWER` unless a whole answer came. `is_behind` says that
    it was sent right after another request, before the answer to that one.
    """

    request_id: bytes
    kind: str
    way: str
    entry: str
    work_s: float
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = NO_ANSWER
    is_behind: bool = False


class EngineRun(msgspec.Struct):
    """One run of a request at an engine; `end_s` is when it ended."""

    start_s: float
    end_s: float = math.inf


class StopSpan(msgspec.Struct):
    """One planned stop of an entry."""

    entry: str
    signal_s: float
    exit_s: float = math.inf
    exit_code: int | None = None


class StopsResult(msgspec.Struct):
    """The JSON result of a run.

    `excused` requests were cut as they may be, `broken` says which were not.
    `exit_codes` are those of the stopped processes.
    """

    seed: int
    grace_s: float
    requests: int
    served: int
    refused: int
    failed: int
    excused: int
    exit_codes: list[int | None]
    exit_s: list[float]
    broken: list[str]


def new_config():
    """Return a configuration with a route of each kind."""
    config = standin_site.new_config()
    by_name = {route["name"]: route for route in config["routes"]}
    tale = by_name["draft"] | {
        "name": "tale",
        "path_prefix": "/tale/",
        "stages": [],
    }
    config["routes"] = [
        route | {"timeout_ms": DEADLINE_MS}
        for route in (
            by_name["order"],
            by_name["stock"],
            by_name["draft"],
            tale,
        )
    ]
    return config


class WorkingEngine(standin_site.EngineStandIn):
    """An engine that works as long as a request's target says."""

    def __init__(self, engine_id, service, is_stream):
        super().__init__(engine_id, service, "dc-a", is_stream)
        self.event_count = STREAM_EVENTS
        self.runs_by_request = collections.defaultdict(list)

    def get_work_s(self, exchange):
        """Return how long a request takes, as its target says."""
        return float(exchange.target.rpartition(b"=")[2])

    def get_event_interval_s(self, exchange, number):
        """Return the time before an event; one comes after a long pause."""
        work_s = self.get_work_s(exchange)
        if number == PAUSED_EVENT:
            return PAUSE_SHARE * work_s
        return (1 - PAUSE_SHARE) * work_s / (STREAM_EVENTS - 1)

    async def _run(self, exchange):
        request_id = fields.get_value(
            exchange.headers, names.REQUEST_ID.lower()
        )
        run = EngineRun(trio.current_time())
        self.runs_by_request[request_id].append(run)
        try:
            await super()._run(exchange)
        finally:
            run.end_s = trio.current_time()


class StopSite(site_module.SoakSite):
    """A site without proxies, whose entries have a grace of `grace_s`."""

    def __init__(self, nursery, seed, logs, build, grace_s, tree):
        super().__init__(nursery, seed, logs, build, tree=tree)
        self._grace_s = grace_s

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    def change_node_file(self, index, node_file):
        """Set the grace."""
        node_file["bounds"]["grace_s"] = self._grace_s

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine."""
        engine = WorkingEngine(engine_id, service, is_stream)
        engine.address = await standin_site.start_http(
            self.nursery, engine.handle
        )
        self.engine_by_id[engine_id] = engine
        self.publish(engine)


class StopsRun:
    """One run: each entry is stopped once, one after the other."""

    def __init__(self, site, seed, grace_s):
        self._site = site
        self._seed = seed
        self._grace_s = grace_s
        self._ids = itertools.count(1)
        self._records = []
        self._stops = []
        self._is_over = False

    async def run(self):
        """Return the `StopsResult`."""
        async with trio.open_nursery() as nursery:
            for entry in self._site.entries:
                for number in range(CALLERS_PER_ENTRY):
                    nursery.start_soon(self._call, entry, number)
            await trio.sleep(FIRST_STOP_S)
            for entry in self._site.entries:
                await self._stop(entry)
                await trio.sleep(PAUSE_S)
            self._is_over = True
        return self._judge()

    async def _stop(self, entry):
        span = StopSpan(entry.name, trio.current_time())
        self._stops.append(span)
        entry.signal(signal.SIGTERM)
        with trio.move_on_after(self._grace_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_more_signals, entry)
                span.exit_code = await entry.wait()
        entry.signal(signal.SIGKILL)
        await entry.wait()
        span.exit_s = trio.current_time()
        entry.start()
        while not entry.is_in_rotation:
            await trio.sleep(0.05)

    async def _call(self, entry, number):
        """Send requests to one entry, also while it stops."""
        generator = random.Random(f"{self._seed}-{entry.name}-{number}")
        way = WAYS[number % len(WAYS)]
        pool = pool_module.new_pool(self._site.nursery)
        while not self._is_over:
            if way == "kept":
                await self._send_kept(generator, entry, pool)
            elif way == "new":
                await self._send_kept(generator, entry, pool)
                pool.drop_connections(entry.caller_address)
            else:
                await self._send_raw(generator, entry, way)
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    def _new_request(self, generator, entry, way):
        """Return a record, and the head of its request."""
        kind = generator.choice(KINDS)
        work_s = generator.choice(WORK_S)
        request_id = b"%d" % next(self._ids)
        record = RequestRecord(request_id, kind, way, entry.name, work_s)
        head = standin_site.new_request_head(
            f"/{kind}/1?work_s={work_s}",
            request_id,
            b"GET" if kind == "stock" else b"POST",
        )
        headers = [f for f in head.headers if f[0] != names.DEADLINE_MS]
        headers.append((names.DEADLINE_MS, b"%d" % DEADLINE_MS))
        self._records.append(record)
        return record, heads.RequestHead(head.method, head.target, headers)

    async def _send_kept(self, generator, entry, pool):
        """Send a request over a connection of a pool."""
        way = "kept" if pool.count_idle(entry.caller_address) else "new"
        record, head = self._new_request(generator, entry, way)
        record.sent_s = trio.current_time()
        with trio.move_on_after(READ_TIMEOUT_S):
            record.status = await _request(pool, entry.caller_address, head)
        record.ended_s = trio.current_time()

    async def _send_raw(self, generator, entry, way):
        """Send two requests at once, or one whose body comes slowly."""
        count = 2 if way == "ahead" else 1
        requests = [
            self._new_request(generator, entry, way)
            for _number in range(count)
        ]
        records = [record for record, _head in requests]
        for record in records[1:]:
            record.is_behind = True
        stream = None
        try:
            stream = await _open_stream(entry.caller_address)
            await self._send_parts(generator, stream, requests)
            await self._read_answers(stream, records)
        except OSError:
            pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)
        for record in records:
            record.ended_s = record.ended_s or trio.current_time()

    async def _send_parts(self, generator, stream, requests):
        messages = [
            _encode(head) + standin_site.REQUEST_BODY
            for _record, head in requests
        ]
        data = b"".join(messages)
        if len(requests) == 1:
            await stream.send_all(data[:-1])
            await trio.sleep(generator.uniform(0.0, BODY_PAUSE_MAX_S))
            data = data[-1:]
        await stream.send_all(data)
        for record, _head in requests:
            record.sent_s = trio.current_time()

    async def _read_answers(self, stream, records):
        """Read the answers of one connection, each to its end."""
        reader = _AnswerReader(stream)
        with trio.move_on_after(READ_TIMEOUT_S):
            for record in records:
                record.status = await reader.read()
                record.ended_s = trio.current_time()
                if record.status == NO_ANSWER or reader.is_last:
                    # What was sent ahead was not read by the entry.
                    return

    def _judge(self):
        broken = []
        excused = 0
        for record in self._records:
            runs = self._find_runs(record.request_id)
            is_unsafe = record.kind == "order"
            if is_unsafe and len(runs) > 1:
                broken.append(f"TWICE {record}")
            if is_unsafe and runs and record.status == 503:
                broken.append(f"REFUSED {record} {runs}")
            if record.status != NO_ANSWER or not record.sent_s:
                continue
            verdict = self._judge_cut(record, runs)
            excused += verdict == "excused"
            if verdict == "lost":
                broken.append(f"LOST {self._describe(record, runs)}")
        statuses = [record.status for record in self._records]
        return StopsResult(
            seed=self._seed,
            grace_s=self._grace_s,
            requests=len(statuses),
            served=statuses.count(200),
            refused=statuses.count(503),
            failed=statuses.count(502) + statuses.count(504),
            excused=excused,
            exit_codes=[span.exit_code for span in self._stops],
            exit_s=[
                round(span.exit_s - span.signal_s, 2) for span in self._stops
            ],
            broken=broken,
        )

    def _find_runs(self, request_id):
        return [
            run
            for engine in self._site.engine_by_id.values()
            for run in engine.runs_by_request.get(request_id, ())
        ]

    def _find_stop(self, record):
        """Return the stop during which a request was cut, or None."""
        for span in self._stops:
            if span.entry == record.entry:
                if span.signal_s <= record.ended_s <= span.exit_s + 0.5:
                    return span
        return None

    def _judge_cut(self, record, runs):
        """Return `lost` or `excused` for a request without an answer."""
        span = self._find_stop(record)
        is_slow = record.ended_s - record.sent_s > READ_SLACK_S
        if not runs and (record.is_behind or not is_slow):
            # The entry hadn't read it when it closed the connection.
            return "unread"
        if record.ended_s - record.sent_s >= DEADLINE_MS / 1000:
            return "excused"
        if span is None:
            return "lost"
        last_part_s = span.signal_s + self._grace_s * EXCUSED_SHARE
        was_at_work = any(run.end_s >= last_part_s for run in runs)
        is_early = record.sent_s <= span.signal_s + EXCUSED_SENT_S
        return "excused" if was_at_work and is_early else "lost"

    def _describe(self, record, runs):
        span = self._find_stop(record)
        since_s = span.signal_s if span is not None else 0.0
        ends = [round(run.end_s - since_s, 2) for run in runs]
        return (
            f"{record.request_id.decode()}: {record.kind} {record.way} of "
            f"{record.work_s} s at {record.entry}, sent "
            f"{record.sent_s - since_s:.2f} s and closed "
            f"{record.ended_s - since_s:.2f} s after the signal, "
            f"ends of its runs {ends}"
        )


async def _send_more_signals(entry):
    started_s = trio.current_time()
    for after_s, number in MORE_SIGNALS:
        await trio.sleep_until(started_s + after_s)
        entry.signal(number)


class _AnswerReader:
    """Reads whole answers from a connection, one after the other."""

    def __init__(self, stream):
        self._stream = stream
        self._data = b""
        self.is_last = False

    async def read(self):
        """Return the status of the next answer, `NO_ANSWER` if cut."""
        head = await self._read_to(b"\r\n\r\n")
        if not head:
            return NO_ANSWER
        text = head.lower()
        self.is_last = b"connection: close" in text
        status = int(head.split(b" ", 2)[1])
        if b"transfer-encoding: chunked" in text:
            is_whole = await self._read_to(b"\r\n0\r\n\r\n")
        else:
            length = text.partition(b"content-length:")[2].split()[0]
            is_whole = await self._read_bytes(int(length))
        return status if is_whole else NO_ANSWER

    async def _read_to(self, end):
        """Return the data up to and including `end`, empty if cut."""
        while end not in self._data:
            if not await self._receive():
                return b""
        data, end, self._data = self._data.partition(end)
        return data + end

    async def _read_bytes(self, count):
        while len(self._data) < count:
            if not await self._receive():
                return False
        self._data = self._data[count:]
        return True

    async def _receive(self):
        data = await self._stream.receive_some(65536)
        self._data += data
        return bool(data)


async def _open_stream(address):
    host, _separator, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def _encode(head):
    """Return the bytes of a head."""
    lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
    lines += [b"%b: %b" % field for field in head.headers]
    return b"\r\n".join([*lines, b"", b""])


async def _request(pool, address, head):
    """Return the status of a whole answer, else `NO_ANSWER`."""
    call = await pool.open_call(address, head, standin_site.REQUEST_BODY)
    if not isinstance(call, call_module.Call):
        return NO_ANSWER
    try:
        response = await call.receive_head(lambda _head: True)
        if not isinstance(response, heads.ResponseHead):
            return NO_ANSWER
        while True:
            part = await call.receive_part()
            if part is None:
                return response.status
            if not isinstance(part, bytes):
                return NO_ANSWER
    finally:
        call.finish()


async def _run(seed, grace_s, logs, build, tree):
    os.makedirs(logs, exist_ok=True)
    async with trio.open_nursery() as nursery:
        site = StopSite(nursery, seed, logs, build, grace_s, tree)
        try:
            await site.start()
            result = await StopsRun(site, seed, grace_s).run()
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        nursery.cancel_scope.cancel()
    return result


def run_stops(seed, grace_s, logs, build="", tree=""):
    """Stop each entry once while callers use it; return the `StopsResult`.

    The entries run the code of the checkout `tree`, by default of this one.
    Their logs are written to the folder `logs`.
    """
    return trio.run(_run, seed, grace_s, logs, build, tree)
