"""Load on entry processes whose engines name limits in their answers.

The engines count all that reaches them. A limit holds for all entries
together, so it is checked at each engine, whoever sent the requests.
"""

import itertools
import random

import msgspec
import trio

from bench.soak import site as site_module
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module

DATA_CENTRES_MIN = 3
CENTRES_WITH_ENGINES = 3
READY_CHECK_S = 3.0
# As in a large fleet: entries of one data centre all talk to one another.
ENTRIES_PER_CENTRE = 11
WARM_UP_S = 2.0
# From then on after an engine has first named its limit it has to hold.
SETTLING_S = 4.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
COOL_DOWN_S = 3.0
TARGETS = (
    ("/draft/{}", b"POST"),
    ("/order/{}", b"POST"),
    ("/stock/{}", b"GET"),
)


class EngineUse(msgspec.Struct):
    """What one engine got of its limit.

    `most_in_window` is the highest number of requests in `WINDOW_S`, and
    `used_share` the part of the limit that was sent.
    """

    engine: str
    service: str
    limit_per_s: float
    most_in_window: int
    allowed_in_window: int
    used_share: float

    def is_exceeded(self):
        """Return whether the engine got more than it allows."""
        return self.most_in_window > self.allowed_in_window


class LimitResult(msgspec.Struct):
    """The JSON result of a run."""

    seed: int
    entries: int
    requests: int
    served: int
    refused: int
    failed: int
    engines: list[EngineUse]

    @property
    def exceeded(self):
        """The uses of the engines that got more than they allow."""
        return [use for use in self.engines if use.is_exceeded()]


class LimitSite(site_module.SoakSite):
    """A site of any number of entries over several data centres."""

    def __init__(self, nursery, seed, logs, entry_count, build=""):
        super().__init__(nursery, seed, logs, build, entry_count)
        # Each check costs this process as much as a request.
        self.ready_check_s = READY_CHECK_S
        count = max(entry_count // ENTRIES_PER_CENTRE, DATA_CENTRES_MIN)
        self.data_centres = [f"dc-{number}" for number in range(count)]

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start one engine of each kind in each data centre."""
        for data_centre in self.data_centres[:CENTRES_WITH_ENGINES]:
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
        data_centres = self.data_centres
        node_file["zone"] = data_centres[index % len(data_centres)]
        node_file["zones"] = dict.fromkeys(data_centres, "north")


class LimitRun:
    """One run: requests at a steady rate, and limits after a while."""

    def __init__(self, site, seed, rate_per_s, limit_per_s, step):
        self._site = site
        self._generator = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._limit_per_s = limit_per_s
        self._limited = list(site.engine_by_id.values())[::step]
        self._statuses = []

    async def run(self, seed, duration_s):
        """Return the `LimitResult`; limits are named for `duration_s`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests, nursery, duration_s)
            await trio.sleep(WARM_UP_S)
            for engine in self._limited:
                engine.limit_per_s = self._limit_per_s
            start_s = trio.current_time() + SETTLING_S
            end_s = start_s - SETTLING_S + duration_s
        return LimitResult(
            seed=seed,
            entries=len(self._site.entries),
            engines=[
                new_engine_use(engine, start_s, end_s)
                for engine in self._limited
            ],
            **self.count_statuses(),
        )

    def count_statuses(self):
        """Return the numbers of requests by what became of them."""
        count = len(self._statuses)
        served = self._statuses.count(200)
        refused = self._statuses.count(503)
        return {
            "requests": count,
            "served": served,
            "refused": refused,
            "failed": count - served - refused,
        }

    async def _send_requests(self, nursery, duration_s):
        end_s = trio.current_time() + WARM_UP_S + duration_s
        for number in itertools.count():
            if trio.current_time() >= end_s:
                break
            nursery.start_soon(self._send_request, number)
            await trio.sleep(self._generator.expovariate(self._rate_per_s))

    async def _send_request(self, number):
        path, method = TARGETS[number % len(TARGETS)]
        entry = self._generator.choice(self._site.entries)
        pool = pool_module.new_pool(self._site.nursery)
        with trio.move_on_after(COOL_DOWN_S):
            status, _headers, _body = await standin_site.send_request(
                pool,
                entry.caller_address,
                path.format(number),
                b"%d" % number,
                method,
            )
            self._statuses.append(status)
        pool.drop_connections(entry.caller_address)


def count_most(times, window_s):
    """Return the most of `times` that lie within `window_s`."""
    return max(
        (
            sum(first_s <= time_s < first_s + window_s for time_s in times)
            for first_s in times
        ),
        default=0,
    )


def new_engine_use(engine, start_s, end_s):
    """Return what an engine got between two times."""
    times = [
        time_s for time_s in engine.arrival_times if start_s < time_s < end_s
    ]
    allowed = engine.limit_per_s * WINDOW_S * EXCESS_FACTOR + EXCESS_REQUESTS
    return EngineUse(
        engine=engine.engine_id,
        service=engine.service,
        limit_per_s=engine.limit_per_s,
        most_in_window=count_most(times, WINDOW_S),
        allowed_in_window=int(allowed),
        used_share=round(
            len(times) / (engine.limit_per_s * (end_s - start_s)), 2
        ),
    )


def run_limits(
    seed, entry_count, rate_per_s, limit_per_s, duration_s, logs, step=1
):
    """Run entry processes against engines with limits.

    Each engine, or with `step` one of so many, names `limit_per_s` for the
    last `duration_s` of the run, while `rate_per_s` requests of all kinds
    arrive. Return the `LimitResult`; the logs are written to the folder
    `logs`.
    """

    def new_site(nursery):
        return LimitSite(nursery, seed, logs, entry_count)

    async def run(site):
        run = LimitRun(site, seed, rate_per_s, limit_per_s, step)
        return await run.run(seed, duration_s)

    return trio.run(site_module.play, logs, new_site, run)
