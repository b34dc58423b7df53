"""Spoiled bytes from engines, the store and callers, on real entries.

Beside them callers use kept connections for requests that sound engines run.
Whatever the bytes are, no entry ends, no error is left to be contained, and
those callers get their answers.
"""

import itertools
import os
import random

import msgspec
import trio

from bench.soak import site as site_module
from bench.soak import spoiler as spoiler_module
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

READERS = ("engines", "store", "callers")
ENGINE_SHARE = 0.3
STORE_SHARE = 0.6
CALLER_SHARE = 0.9
SOUND_CALLERS = 24
ODD_CALLERS = 24
STREAM_CALLERS = 24
PAUSE_MAX_S = 0.02
ANSWER_TIMEOUT_S = 5.0
RESTART_CHECK_S = 0.05
UNFORESEEN = b'"unforeseen error"'
# Spoiled: those of streams, of stages, and of plain requests.
SPOILED_SERVICES = ("model", "prepare", "odd")
ODD_ROUTES = ("draft", "tale", "once", "often")


class FuzzResult(msgspec.Struct):
    """The JSON result of a run.

    `inputs` were spoiled. `exits` are entries that ended by themselves,
    `uncaught` errors that were contained, `neighbours_lost` sound requests
    that got no answer or a failure. `twice` and `untrue` count requests that
    may not be repeated and ran twice, or were refused and ran.
    """

    seed: int
    inputs: int
    sound: int
    refused: int
    exits: int
    uncaught: int
    neighbours_lost: int
    twice: int
    untrue: int

    @property
    def broken(self):
        """What must not happen, as texts."""
        names_of_counts = (
            "exits",
            "uncaught",
            "neighbours_lost",
            "twice",
            "untrue",
        )
        return [
            f"{name}: {getattr(self, name)}"
            for name in names_of_counts
            if getattr(self, name)
        ]


def new_config():
    """Return a configuration with routes to spoiled and to sound engines."""
    config = standin_site.new_config()
    by_name = {route["name"]: route for route in config["routes"]}
    for name, model in (("once", "order"), ("often", "stock")):
        config["routes"].append(
            by_name[model]
            | {"name": name, "path_prefix": f"/{name}/", "service": "odd"}
        )
    # Without stages, which are spoiled as well.
    config["routes"].append(
        by_name["draft"]
        | {"name": "tale", "path_prefix": "/tale/", "stages": []}
    )
    config["services"].append({"name": "odd", "max_conns": 64})
    return config


class FuzzSite(site_module.SoakSite):
    """A site some of whose engines, and its store, are spoiled."""

    def __init__(self, nursery, seed, logs, build, tree):
        super().__init__(nursery, seed, logs, build, tree=tree)
        self._generator = random.Random(f"fuzz-{seed}")
        self.spoilers = []

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine, and one more of the odd service beside each."""
        await super().add_engine(engine_id, service, is_stream)
        if service == "desk":
            await super().add_engine(f"odd-{engine_id}", "odd")

    def start_spoiling(self, readers):
        """Spoil what the engines or the store send from now on."""
        if "engines" in readers:
            for engine in self.engine_by_id.values():
                if engine.service in SPOILED_SERVICES:
                    proxy = self.proxy_by_engine[engine.engine_id]
                    proxy.spoiler = self._new_spoiler(ENGINE_SHARE)
        if "store" in readers:
            self.store_proxy.spoiler = self._new_spoiler(STORE_SHARE)

    def _new_spoiler(self, share):
        spoiler = spoiler_module.Spoiler(self._generator, share)
        self.spoilers.append(spoiler)
        return spoiler

    def count_unforeseen(self):
        """Return how many errors the entries have contained."""
        count = 0
        for entry in self.entries:
            path = os.path.join(self._logs, f"{entry.name}.jsonl")
            with open(path, "rb") as log:
                count += sum(UNFORESEEN in line for line in log)
        return count


class FuzzRun:
    """One run of spoiled bytes beside sound requests."""

    def __init__(self, site, seed, readers):
        self._site = site
        self._seed = seed
        self._readers = readers
        self._ids = itertools.count(1)
        self._exits = 0
        self._sound_statuses = []
        self._odd_inputs = 0
        self._status_by_id = {}

    async def run(self, duration_s):
        """Return the `FuzzResult`."""
        self._site.start_spoiling(self._readers)
        with trio.move_on_after(duration_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._restart_ended)
                for number in range(SOUND_CALLERS):
                    nursery.start_soon(self._call_sound, number)
                for number in range(STREAM_CALLERS):
                    nursery.start_soon(self._call_spoiled, number)
                if "callers" in self._readers:
                    for number in range(ODD_CALLERS):
                        nursery.start_soon(self._call_oddly, number)
        statuses = self._sound_statuses
        engines = self._site.engine_by_id.values()
        once = [i for i in self._status_by_id if i.startswith(b"once")]
        runs = {i: sum(engine.runs[i] for engine in engines) for i in once}
        return FuzzResult(
            seed=self._seed,
            inputs=self._odd_inputs
            + sum(spoiler.count for spoiler in self._site.spoilers),
            sound=len(statuses),
            refused=statuses.count(503),
            exits=self._exits,
            uncaught=self._site.count_unforeseen(),
            neighbours_lost=sum(s not in (200, 503) for s in statuses),
            twice=sum(count > 1 for count in runs.values()),
            untrue=sum(
                bool(count) and self._status_by_id[request_id] == 503
                for request_id, count in runs.items()
            ),
        )

    async def _restart_ended(self):
        """Start entries again that have ended by themselves."""
        while True:
            for entry in self._site.entries:
                if entry.process.poll() is not None:
                    self._exits += 1
                    entry.start()
            await trio.sleep(RESTART_CHECK_S)

    async def _call_sound(self, number):
        """Send requests to sound engines, over a connection that is kept."""
        generator, entry, pool = self._new_caller("sound", number)
        while True:
            kind, method = generator.choice(
                (("order", b"POST"), ("stock", b"GET"))
            )
            request_id = b"sound-%d" % next(self._ids)
            status = await self._send(
                pool, entry, f"/{kind}/1", request_id, method
            )
            self._sound_statuses.append(status)
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    async def _call_spoiled(self, number):
        """Send requests to engines whose answers are spoiled."""
        generator, entry, pool = self._new_caller("spoiled", number)
        while True:
            route = generator.choice(ODD_ROUTES)
            request_id = f"{route}-{next(self._ids)}".encode()
            method = b"GET" if route == "often" else b"POST"
            self._status_by_id[request_id] = await self._send(
                pool, entry, f"/{route}/1", request_id, method
            )
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    async def _call_oddly(self, number):
        """Send requests that are spoiled themselves."""
        generator, entry, _pool = self._new_caller("odd", number)
        spoiler = spoiler_module.Spoiler(generator, CALLER_SHARE)
        while True:
            head = standin_site.new_request_head(
                f"/{generator.choice(ODD_ROUTES)}/1",
                b"odd-%d" % next(self._ids),
            )
            headers = [
                *head.headers,
                (names.PROMPT_PREFIX, b"a:5,b:6"),
                (names.TOKEN_COUNTS, b"5,6"),
                (names.LAST_EVENT_ID, b"2"),
                (names.RESUMES, b"r"),
                (b"Keep-Alive", b"timeout=3"),
                (b"Connection", b"keep-alive"),
            ]
            lines = [b"%b: %b" % field for field in headers]
            data = b"\r\n".join(
                [b"POST %b HTTP/1.1" % head.target, *lines, b"", b"body"]
            )
            self._odd_inputs += 1
            await _send_raw(entry.caller_address, spoiler.spoil(data))
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    def _new_caller(self, kind, number):
        entries = self._site.entries
        return (
            random.Random(f"{self._seed}-{kind}-{number}"),
            entries[number % len(entries)],
            pool_module.new_pool(self._site.nursery),
        )

    async def _send(self, pool, entry, path, request_id, method):
        status = 0
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            status, _headers, _body = await standin_site.send_request(
                pool, entry.caller_address, path, request_id, method
            )
        return status


async def _send_raw(address, data):
    """Send bytes over a connection of their own; read what comes."""
    host, _separator, port = address.rpartition(":")
    with trio.move_on_after(1.0):
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(data)
                await stream.send_eof()
                while await stream.receive_some(65536):
                    pass
        except (OSError, trio.BrokenResourceError):
            pass


def run_fuzz(seed, duration_s, readers, logs, build="", tree=""):
    """Spoil what the `readers` of three entries read; return the result.

    The entries run the code of the checkout `tree`, by default of this one.
    """

    def new_site(nursery):
        return FuzzSite(nursery, seed, logs, build, tree)

    async def run(site):
        return await FuzzRun(site, seed, readers).run(duration_s)

    return trio.run(site_module.play, logs, new_site, run)
