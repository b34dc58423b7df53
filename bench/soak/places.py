"""Regions and an evacuation on entry processes, of which one is cut off.

Two data centres in two regions. Some routes are bound to the south. Then the
south's data centre stays, and that of the north is evacuated and taken back,
while one entry can't read the store. The engines record what reaches them.
"""

import random

import msgspec
import trio

from bench.soak import site as site_module
from bench.soak import tcp_proxy as proxy_module
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

ENTRY_COUNT = 4
# One of the data centre that is evacuated: others send there less.
CUT_ENTRY = 2
REGION_BY_CENTRE = {"dc-a": "north", "dc-b": "south"}
EVACUATED = "dc-a"
BOUND_ROUTES = ("draft", "stock")
EVACUATION_MS = 4000
# Requests that were sent before may reach an engine a little later.
MARGIN_S = 0.5
PAUSE_S = 0.04
WARM_UP_S = 2.0
TARGETS = (
    ("/draft/{}", b"POST"),
    ("/stock/{}", b"GET"),
    ("/draft-south/{}", b"POST"),
    ("/stock-south/{}", b"GET"),
)


class PlaceResult(msgspec.Struct):
    """The JSON result of a run.

    `broken` has a line for each request or piece that reached an engine of
    the wrong region, or of the evacuated data centre too late.
    """

    seed: int
    requests: int
    served: int
    readmitted_runs: int
    broken: list[str]


class PlaceSite(site_module.SoakSite):
    """A site with entries and engines in two regions."""

    def __init__(self, nursery, seed, logs, build):
        super().__init__(nursery, seed, logs, build, ENTRY_COUNT)
        self.cut_proxy = None

    def get_config(self):
        """Return a configuration with routes that are bound to the south."""
        config = super().get_config()
        config["routes"] += [
            route
            | {
                "name": f"{route['name']}-south",
                "path_prefix": f"/{route['name']}-south/",
                "allowed_regions": ["south"],
            }
            for route in config["routes"]
            if route["name"] in BOUND_ROUTES
        ]
        return config

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start one engine of each kind in each data centre."""
        if self.cut_proxy is None:
            # The store's address is known by now, and no entry has started.
            self.cut_proxy = await proxy_module.new_proxy(
                self.nursery, self.store_address
            )
        for data_centre in REGION_BY_CENTRE:
            engine = standin_site.EngineStandIn(
                f"{engine_id}-{data_centre}", service, data_centre, is_stream
            )
            engine.address = await standin_site.start_http(
                self.nursery, engine.handle
            )
            self.engine_by_id[engine.engine_id] = engine
            self.publish(engine)

    def change_node_file(self, index, node_file):
        """Put the entries into the data centres in turn."""
        node_file["zone"] = list(REGION_BY_CENTRE)[index % 2]
        node_file["zones"] = REGION_BY_CENTRE
        node_file["bounds"]["evac_ms"] = EVACUATION_MS
        if index == CUT_ENTRY:
            node_file["provider"] = {"address": self.cut_proxy.address}

    def get_engines(self, data_centre):
        """Return the engines of a data centre."""
        return [
            engine
            for engine in self.engine_by_id.values()
            if engine.data_centre == data_centre
        ]


class PlaceRun:
    """One run: steady requests at all entries."""

    def __init__(self, site, seed):
        self._site = site
        self._generator = random.Random(seed)
        self._statuses = []
        self._broken = []

    async def run(self, seed):
        """Return the `PlaceResult`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests, nursery)
            await trio.sleep(WARM_UP_S)
            await self._evacuate()
            readmitted_runs = await self._readmit()
            nursery.cancel_scope.cancel()
        self._check_regions()
        return PlaceResult(
            seed=seed,
            requests=len(self._statuses),
            served=self._statuses.count(200),
            readmitted_runs=readmitted_runs,
            broken=self._broken,
        )

    async def _evacuate(self):
        self._site.cut_proxy.inject("cut")
        key = names.EVACUATION_PREFIX + EVACUATED
        self._site.store.put(key, {})
        await trio.sleep(EVACUATION_MS / 1000 + MARGIN_S)
        before = self._count_work()
        await trio.sleep(WARM_UP_S)
        late = self._count_work() - before
        if late:
            self._broken.append(f"EVAC {late} requests and calls for pieces")

    async def _readmit(self):
        before = self._count_work()
        self._site.store.delete(names.EVACUATION_PREFIX + EVACUATED)
        await trio.sleep(EVACUATION_MS / 1000)
        return self._count_work() - before

    def _count_work(self):
        """Return what has reached the engines that are evacuated."""
        return sum(
            len(engine.run_log) + len(engine.calls)
            for engine in self._site.get_engines(EVACUATED)
        )

    def _check_regions(self):
        for engine in self._site.get_engines(EVACUATED):
            for request_id, _at_s, target in engine.run_log:
                if b"-south/" in target:
                    self._add_stray(engine, request_id.decode())
            for items in engine.calls:
                for item in items:
                    if item["id"].startswith("south"):
                        self._add_stray(engine, item["id"])

    def _add_stray(self, engine, request_id):
        self._broken.append(f"HOME {request_id} at {engine.engine_id}")

    async def _send_requests(self, nursery):
        number = 0
        while True:
            nursery.start_soon(self._send_request, number)
            number += 1
            await trio.sleep(PAUSE_S)

    async def _send_request(self, number):
        path, method = self._generator.choice(TARGETS)
        place = "south" if "south" in path else "any"
        entry = self._generator.choice(self._site.entries)
        pool = pool_module.new_pool(self._site.nursery)
        status, _headers, _body = await standin_site.send_request(
            pool,
            entry.caller_address,
            path.format(number),
            f"{place}-{number}".encode(),
            method,
        )
        self._statuses.append(status)
        pool.drop_connections(entry.caller_address)


def run_places(seed, logs, build=""):
    """Run entries in two regions; return the `PlaceResult`."""

    def new_site(nursery):
        return PlaceSite(nursery, seed, logs, build)

    async def run(site):
        return await PlaceRun(site, seed).run(seed)

    return trio.run(site_module.play, logs, new_site, run)
