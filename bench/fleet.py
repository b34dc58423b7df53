"""Runs a fleet of control modules on a mock clock, to find its slopes.

Entries and agents are the real ones, over links in memory that count
messages and bytes. One service keeps the data path out of the figures.
"""

import gc
import statistics
import time
import tracemalloc

import msgspec
import trio
import trio.testing

from bench import deployment as deployment_module
from bench.standins import server as server_module
from bench import virtual
from greengagetrack.process import limit_bound
from greengagetrack.request import outcome

SETTLE_S = 12.0
WINDOW_S = 20.0
TABLE_LIMIT_S = 30.0
FAULT_S = 15.0
CHECK_S = 0.1
SHARD_SIZE = 2000
DEMAND_PAUSE_S = 0.05
DEMAND_ENTRIES = 12
DEMAND_S = 20.0
OVERSHOOT_WINDOW_S = 10.0
RATE_PER_S = 50.0
# What carries a message besides its payload: the seal, nng's and TCP's
# and IP's headers.
WRAPPING_BYTES = 21 + 16 + 52
FAULTS = (
    "none",
    "config-down",
    "config-stale",
    "config-reset",
    "region-cut",
    "data-centre-restart",
    "replaced-vms",
)


class FleetSize(msgspec.Struct, frozen=True):
    """How large a fleet is."""

    entries: int
    agents: int
    organisations: int
    regions: int = 7
    data_centres: int = 24


class FleetResult(msgspec.Struct):
    """The one JSON line of a fleet run; figures are per node."""

    fault: str
    seed: int
    size: FleetSize
    table_in_force_s: float
    table_reverts: int
    config_reads_per_s_peak: int
    view_convergence_s: float
    limit_overshoot: float
    limit_overshoot_bound: float
    limit_used_share: float
    control_bytes_per_s_median: float
    control_bytes_per_s_worst: float
    entry_bytes_per_s_median: float
    agent_bytes_per_s_median: float
    control_messages_per_s_median: float
    control_cpu_share_mean: float
    control_memory_mb: float


class FleetWorld(virtual.VirtualWorld):
    """A fleet of one service, spread over data centres."""

    def __init__(self, nursery, size):
        self._size = size
        deployment = deployment_module.Deployment(
            "fleet", (), (), (), frozenset()
        )
        super().__init__(nursery, deployment)

    def _read_table(self):
        share = 1 / self._size.regions
        regions = "".join(
            f"[region.r{index}]\nshare = {share!r}\n"
            for index in range(self._size.regions)
        )
        stages = "".join(
            f'[[pipeline.p.stage]]\nname = "s{index}"\n'
            'service = "work"\nshare = 0.3\n'
            for index in range(3)
        )
        texts = {
            "services": b'[service.work]\nkind = "pool"\n',
            "regions": regions.encode(),
            "pipelines": ("[pipeline.p]\n" + stages).encode(),
            "rows": b'[[row]]\npipeline = "*"\nrate_per_s = 50.0\n',
        }
        for first in range(0, self._size.organisations, SHARD_SIZE):
            last = min(first + SHARD_SIZE, self._size.organisations)
            lines = "".join(
                f'[organisation.o{index:05d}]\nplan = "standard"\n'
                for index in range(first, last)
            )
            texts[f"organisations/{first // SHARD_SIZE:03d}"] = lines.encode()
        return texts

    def _plan(self, entries_per_region):
        size = self._size
        profile = server_module.Profile(slots=8)
        service = deployment_module.ServiceSize(
            "work", "pool", size.agents, profile
        )
        for index in range(size.entries):
            self._add(f"entry-{index}", "entry", index)
        for index in range(size.agents):
            region, _centre = self._get_place(index)
            name = f"work-{index}"
            place = deployment_module.BackendPlace(name, region, service)
            self.server_by_name[name] = server_module.Server(
                name, "work", profile, self.records
            )
            self._add(f"{name}-agent", "agent", index, place)

    def _get_place(self, index):
        centre = index % self._size.data_centres
        return f"r{centre % self._size.regions}", f"dc{centre}"

    def _add(self, name, role, index, place=None):
        region, centre = self._get_place(index)
        self.add_node(name, role, region, place, centre)

    def get_running(self, role):
        """Return the running nodes of a role."""
        return [
            node
            for node in self.node_by_name.values()
            if node.vm.role == role and node.is_running()
        ]

    def restart(self, nodes):
        """Kill nodes, and start each again as a new process."""
        for node in nodes:
            if node.is_running():
                self.kill_node(node)
            self._nursery.start_soon(self.start_node, node)


class FleetRun:
    """Starts a fleet, measures it at rest, under a change and a fault."""

    def __init__(self, size, fault, seed):
        self._size = size
        self._fault = fault
        self._seed = seed
        self._admitted_s = []
        self._reverts = 0
        self._version_by_entry = {}
        self._world = None

    async def run(self):
        """Return the `FleetResult`."""
        tracemalloc.start()
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        async with trio.open_nursery() as nursery:
            self._world = FleetWorld(nursery, self._size)
            await self._world.start()
            await trio.sleep(SETTLE_S)
            gc.collect()
            memory = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            nursery.start_soon(self._watch_versions)
            cpu_share = await self._measure_at_rest()
            figures = self._get_traffic()
            for node in self._world.get_running("entry")[:DEMAND_ENTRIES]:
                nursery.start_soon(self._demand, node)
            await trio.sleep(2.0)
            started_s = trio.current_time()
            await self._inject()
            converged_s = await self._wait_for_views()
            in_force_s = await self._change_table()
            await trio.sleep(DEMAND_S)
            result = self._new_result(
                figures, cpu_share, memory, in_force_s, converged_s, started_s
            )
            nursery.cancel_scope.cancel()
        return result

    async def _measure_at_rest(self):
        network = self._world.network
        network.bytes_by_address.clear()
        network.messages_by_address.clear()
        before_s = time.process_time()
        await trio.sleep(WINDOW_S)
        spent_s = time.process_time() - before_s
        return spent_s / WINDOW_S / len(self._world.node_by_name)

    def _get_traffic(self):
        """Return `(bytes, messages)` a second that each node sent."""
        network = self._world.network
        figures = {}
        for name, node in self._world.node_by_name.items():
            address = node.vm.address
            count = network.messages_by_address.get(address, 0)
            size = network.bytes_by_address.get(address, 0)
            size += count * WRAPPING_BYTES
            figures[name] = (size / WINDOW_S, count / WINDOW_S)
        return figures

    async def _demand(self, node):
        """Ask for more than the limit of one organisation, for ever."""
        while True:
            entry = node.process
            table = entry.tables.get_table()
            if table is None or not node.is_running():
                await trio.sleep(1.0)
                continue
            limits = table.get_limits("p", "o00000", "night")
            permit = await entry.limits.acquire(limits, 0)
            if isinstance(permit, outcome.Refused):
                await trio.sleep(DEMAND_PAUSE_S)
            else:
                self._admitted_s.append(trio.current_time())
                permit.release(0)

    async def _watch_versions(self):
        """Count entries whose version in force fell."""
        while True:
            for node in self._world.get_running("entry"):
                version = node.process.tables.get_version()
                key = node.process.place.incarnation
                if version < self._version_by_entry.get(key, 0):
                    self._reverts += 1
                self._version_by_entry[key] = version
            await trio.sleep(CHECK_S)

    async def _inject(self):
        """Let the fault happen, and end the ones that end."""
        world, platform = self._world, self._world.platform
        if self._fault == "config-down":
            platform.is_config_down = platform.is_list_down = True
            await trio.sleep(FAULT_S)
            platform.is_config_down = platform.is_list_down = False
        elif self._fault == "config-stale":
            platform.set_stale(True)
            world.publish_table()
            await trio.sleep(FAULT_S)
            platform.set_stale(False)
        elif self._fault == "config-reset":
            world.publish_table()
            await trio.sleep(FAULT_S)
            platform.reset(world.text_by_key)
        elif self._fault == "region-cut":
            self._cut_first_region()
            await trio.sleep(FAULT_S)
            world.network.heal()
        elif self._fault == "data-centre-restart":
            nodes = world.node_by_name.values()
            world.restart([n for n in nodes if n.vm.data_centre == "dc0"])
        elif self._fault == "replaced-vms":
            world.restart(list(world.node_by_name.values())[::10])

    def _cut_first_region(self):
        nodes = self._world.node_by_name.values()
        inside = [node for node in nodes if node.vm.region == "r0"]
        outside = [node for node in nodes if node.vm.region != "r0"]
        for node in inside:
            for other in outside:
                self._world.network.cut(node.vm.address, other.vm.address)

    async def _wait_for_views(self):
        """Return how long until entries see all agents near them."""
        started_s = trio.current_time()
        with trio.move_on_after(TABLE_LIMIT_S):
            while not all(
                self._sees_neighbours(node)
                for node in self._world.get_running("entry")
            ):
                await trio.sleep(CHECK_S)
        return trio.current_time() - started_s

    def _sees_neighbours(self, node):
        return all(
            agent.is_alive()
            for agent in node.process.fleet.agent_by_name.values()
            if agent.data_centre == node.vm.data_centre
        )

    async def _change_table(self):
        """Return how long a change took to be in force everywhere."""
        version = self._world.publish_table()
        started_s = trio.current_time()
        with trio.move_on_after(TABLE_LIMIT_S):
            while not all(
                node.process.tables.get_version() >= version
                for node in self._world.get_running("entry")
            ):
                await trio.sleep(CHECK_S / 2)
        return trio.current_time() - started_s

    def _get_overshoot(self):
        """Return the worst window's admissions over the limit."""
        worst, first = 0, 0
        for index, at_s in enumerate(self._admitted_s):
            while at_s - self._admitted_s[first] > OVERSHOOT_WINDOW_S:
                first += 1
            worst = max(worst, index - first + 1)
        return worst / (RATE_PER_S * OVERSHOOT_WINDOW_S) - 1

    def _new_result(
        self, figures, cpu_share, memory, in_force_s, converged_s, started_s
    ):
        bytes_by_name = {name: each[0] for name, each in figures.items()}
        counts = [each[1] for each in figures.values()]
        entries = [
            size
            for name, size in bytes_by_name.items()
            if name.startswith("entry")
        ]
        agents = [
            size
            for name, size in bytes_by_name.items()
            if not name.startswith("entry")
        ]
        now = trio.current_time()
        used = sum(at_s >= started_s for at_s in self._admitted_s)
        reads = self._world.platform.reads_by_second
        later = [n for s, n in reads.items() if s > SETTLE_S]
        return FleetResult(
            fault=self._fault,
            seed=self._seed,
            size=self._size,
            table_in_force_s=round(in_force_s, 2),
            table_reverts=self._reverts,
            config_reads_per_s_peak=max(later, default=0),
            view_convergence_s=round(converged_s, 2),
            limit_overshoot=round(self._get_overshoot(), 4),
            limit_overshoot_bound=round(
                limit_bound.get_overshoot_bound(
                    RATE_PER_S,
                    OVERSHOOT_WINDOW_S,
                    self._size.regions,
                    self._size.entries,
                ),
                4,
            ),
            limit_used_share=round(
                used / (RATE_PER_S * max(now - started_s, 1e-9)), 4
            ),
            control_bytes_per_s_median=round(
                statistics.median(bytes_by_name.values()), 1
            ),
            control_bytes_per_s_worst=round(max(bytes_by_name.values()), 1),
            entry_bytes_per_s_median=round(statistics.median(entries), 1),
            agent_bytes_per_s_median=round(statistics.median(agents), 1),
            control_messages_per_s_median=round(statistics.median(counts), 2),
            control_cpu_share_mean=round(cpu_share, 5),
            control_memory_mb=round(memory / len(figures) / 1e6, 3),
        )


def run_fleet(size, fault, seed):
    """Return the `FleetResult` of one fleet."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(FleetRun(size, fault, seed).run, clock=clock)
