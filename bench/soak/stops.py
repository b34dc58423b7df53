"""Planned stops: entries get SIGTERM while callers go on using them.

Callers use an entry until its process is gone, over kept connections, new
ones, with requests sent ahead and with bodies that come slowly. Each request
says how long its engine works. `stop_checker` judges what came of it.
"""

import collections
import itertools
import random
import signal

import trio

from bench.soak import raw_client
from bench.soak import site as site_module
from bench.soak import stop_checker
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import fields
from greengagetrack.platform import names

CALLERS_PER_ENTRY = 12
FIRST_STOP_S = 2.0
# Between the end of one stop and the next one.
PAUSE_S = 1.0
# From the signal of one entry to that of the next; None: once it is ready.
GAP_S_BY_ORDER = {"series": None, "overlapping": 1.0, "together": 0.0}
# What else comes after the first signal: seconds, and the signal.
MORE_SIGNALS = ((0.4, signal.SIGTERM), (0.8, signal.SIGHUP))
DEADLINE_MS = int(stop_checker.DEADLINE_S * 1000)
READ_TIMEOUT_S = 15.0
# How long engines work, most requests a short time.
WORK_S = (0.02, 0.05, 0.05, 0.2, 0.2, 0.6, 1.5, 3.0, 6.0)
BODY_PAUSE_MAX_S = 0.8
PAUSE_MAX_S = 0.1
STREAM_EVENTS = 10
# Of a stream's time, the part that it pauses before one event.
PAUSE_SHARE = 0.7
PAUSED_EVENT = 5
KINDS = ("order", "stock", "tale", "draft")
WAYS = ("kept", "new", "ahead", "slow body")


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
            exchange.headers, names.REQUEST_ID.lower(), b""
        )
        run = stop_checker.EngineRun(trio.current_time())
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
    """One run: each entry is stopped once, in an order of `GAP_S_BY_ORDER`.

    With `is_store_away`, the store is silent from the first signal until the
    grace that begins there is over.
    """

    def __init__(self, site, seed, grace_s, order, is_store_away):
        self._site = site
        self._order = order
        self._is_store_away = is_store_away
        self._seed = seed
        self._grace_s = grace_s
        self._ids = itertools.count(1)
        self._checker = stop_checker.StopChecker(
            site.engine_by_id.values(), grace_s
        )
        self._is_over = False

    async def run(self):
        """Return the `StopsResult`."""
        async with trio.open_nursery() as nursery:
            for entry in self._site.entries:
                for number in range(CALLERS_PER_ENTRY):
                    nursery.start_soon(self._call, entry, number)
            await trio.sleep(FIRST_STOP_S)
            if self._is_store_away:
                nursery.start_soon(self._silence_store)
            await self._stop_all()
            self._is_over = True
        return self._checker.check(self._seed)

    async def _silence_store(self):
        self._site.store_proxy.is_cut = True
        await trio.sleep(self._grace_s)
        self._site.store_proxy.clear_faults()

    async def _stop_all(self):
        gap_s = GAP_S_BY_ORDER[self._order]
        async with trio.open_nursery() as nursery:
            for entry in self._site.entries:
                if gap_s is None:
                    await self._stop(entry)
                    await trio.sleep(PAUSE_S)
                else:
                    nursery.start_soon(self._stop, entry)
                    await trio.sleep(gap_s)

    async def _stop(self, entry):
        span = stop_checker.StopSpan(entry.name, trio.current_time())
        self._checker.stops.append(span)
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
        record = stop_checker.RequestRecord(
            request_id, kind, way, entry.name, work_s
        )
        head = standin_site.new_request_head(
            f"/{kind}/1?work_s={work_s}",
            request_id,
            b"GET" if kind == "stock" else b"POST",
            deadline_ms=DEADLINE_MS,
        )
        self._checker.records.append(record)
        return record, head

    async def _send_kept(self, generator, entry, pool):
        """Send a request over a connection of a pool."""
        way = "kept" if pool.count_idle(entry.caller_address) else "new"
        record, head = self._new_request(generator, entry, way)
        record.sent_s = trio.current_time()
        with trio.move_on_after(READ_TIMEOUT_S):
            record.status = await raw_client.request(
                pool, entry.caller_address, head
            )
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
            stream = await raw_client.open_stream(entry.caller_address)
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
            raw_client.encode(head) + standin_site.REQUEST_BODY
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
        reader = raw_client.AnswerReader(stream)
        with trio.move_on_after(READ_TIMEOUT_S):
            for record in records:
                record.status = await reader.read()
                record.ended_s = trio.current_time()
                if record.status == stop_checker.NO_ANSWER or reader.is_last:
                    # What was sent ahead was not read by the entry.
                    return


async def _send_more_signals(entry):
    started_s = trio.current_time()
    for after_s, number in MORE_SIGNALS:
        await trio.sleep_until(started_s + after_s)
        entry.signal(number)


def run_stops(
    seed,
    grace_s,
    logs,
    build="",
    tree="",
    order="series",
    is_store_away=False,
):
    """Stop each entry once while callers use it; return the `StopsResult`.

    `order` is one of `GAP_S_BY_ORDER`. With `is_store_away`, the store is
    silent from the first signal until a grace later. The entries run the
    code of the checkout `tree`, by default of this one. Their logs are
    written to the folder `logs`.
    """

    def new_site(nursery):
        return StopSite(nursery, seed, logs, build, grace_s, tree)

    async def run(site):
        run = StopsRun(site, seed, grace_s, order, is_store_away)
        return await run.run()

    return trio.run(site_module.play, logs, new_site, run)
