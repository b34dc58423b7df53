"""Load on entry processes while the engines of data centres return, warming.

All engines of streams in a data centre start again at once, under new ids,
and take few requests for some seconds. Meanwhile an entry of that data
centre, which may own the permits, is killed or stands still. The engines
count what runs: the bound holds for all entries together.
"""

import random
import signal

import msgspec
import trio

from bench.soak import limits
from bench.soak import site as site_module

SERVICE = "model"
WARMING_S = 3.0
PER_S = 3.0
RATIO = 1.5
SLACK = 3.0
WINDOW_S = 1.0
# Between two returns: long enough to be led back to full load.
ROUND_S = 6.0
FAULT_DELAY_S = 0.5
FAULT_S = 1.5


class WarmingUse(msgspec.Struct):
    """What one engine got while it was warming."""

    engine: str
    most_in_window: int
    allowed_in_window: int
    runs: int

    def is_exceeded(self):
        """Return whether the engine got more than it bears."""
        return self.most_in_window > self.allowed_in_window


class WarmingResult(msgspec.Struct):
    """The JSON result of a run."""

    seed: int
    build: str
    entries: int
    requests: int
    served: int
    refused: int
    failed: int
    faults: list[str]
    uses: list[WarmingUse]

    @property
    def exceeded(self):
        """The uses of the engines that got more than they bear."""
        return [use for use in self.uses if use.is_exceeded()]


class WarmingSite(limits.LimitSite):
    """A site whose engines of streams have a warming rate."""

    def get_config(self):
        """Return the configuration to start with."""
        config = super().get_config()
        for service in config["services"]:
            if service["name"] == SERVICE:
                service["cold_start_s"] = WARMING_S
                service["cold_per_s"] = PER_S
        return config

    def change_node_file(self, index, node_file):
        """Put the entries into the data centres in turn; set the bound."""
        super().change_node_file(index, node_file)
        node_file["bounds"]["cold_over"] = RATIO
        node_file["bounds"]["cold_slack"] = SLACK

    def return_engines(self, data_centre, number):
        """Start the engines of a data centre again; return them."""
        engines = [
            engine
            for engine in self.engine_by_id.values()
            if engine.service == SERVICE and engine.data_centre == data_centre
        ]
        for engine in engines:
            last_id = engine.instance_id
            engine.warming_until_s = trio.current_time() + WARMING_S
            self.rename(engine, f"{engine.engine_id}-{number}")
            self.withdraw(last_id)
        return engines


class WarmingRun(limits.LimitRun):
    """One run: requests at a steady rate, and returns one after another."""

    def __init__(self, site, seed, rate_per_s):
        super().__init__(site, seed, rate_per_s, limit_per_s=None, step=1)
        self._faults = []
        # Of its own, so that a seed repeats the faults.
        self._fault_generator = random.Random(f"faults-{seed}")
        self._uses = []

    async def run(self, seed, rounds, build):
        """Return the `WarmingResult` of so many returns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests, nursery, rounds * ROUND_S)
            await trio.sleep(limits.WARM_UP_S)
            for number in range(rounds):
                nursery.start_soon(self._disturb, number)
                await self._play_return(number)
        counts = self.count_statuses()
        return WarmingResult(
            seed=seed,
            build=build,
            entries=len(self._site.entries),
            faults=self._faults,
            uses=self._uses,
            **counts,
        )

    async def _play_return(self, number):
        data_centres = self._site.data_centres
        engines = self._site.return_engines(
            data_centres[number % len(data_centres)], number
        )
        start_s = trio.current_time()
        await trio.sleep(ROUND_S)
        self._uses += [
            new_warming_use(engine, start_s, start_s + WARMING_S)
            for engine in engines
        ]

    async def _disturb(self, number):
        """Kill an entry of the data centre that returns, or freeze it."""
        await trio.sleep(FAULT_DELAY_S)
        data_centres = self._site.data_centres
        # The entries are in the data centres in turn.
        entries = self._site.entries[
            number % len(data_centres) :: len(data_centres)
        ]
        entry = self._fault_generator.choice(entries)
        action = self._fault_generator.choice(("kill", "freeze", "none"))
        self._faults.append(f"{action} {entry.name}")
        if action == "freeze":
            entry.signal(signal.SIGSTOP)
            await trio.sleep(FAULT_S)
            entry.signal(signal.SIGCONT)
        elif action == "kill":
            entry.signal(signal.SIGKILL)
            await entry.wait()
            await trio.sleep(FAULT_S)
            entry.start()


def new_warming_use(engine, start_s, end_s):
    """Return what an engine got between two times."""
    times = [
        time_s
        for _request_id, time_s, _target in engine.run_log
        if start_s <= time_s < end_s
    ]
    return WarmingUse(
        engine=engine.instance_id,
        most_in_window=limits.count_most(times, WINDOW_S),
        allowed_in_window=int(PER_S * RATIO + SLACK),
        runs=len(times),
    )


def run_warming(seed, entry_count, rate_per_s, rounds, logs, build=""):
    """Run entry processes while engines return, so many times.

    `rate_per_s` requests of all kinds arrive meanwhile. Return the
    `WarmingResult`; the logs are written to the folder `logs`.
    """

    def new_site(nursery):
        return WarmingSite(nursery, seed, logs, entry_count, build)

    async def run(site):
        run = WarmingRun(site, seed, rate_per_s)
        return await run.run(seed, rounds, build)

    return trio.run(site_module.play, logs, new_site, run)
