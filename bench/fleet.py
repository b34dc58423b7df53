"""Runs a fleet of entries and agents on a mock clock and measures it.

The entries and agents are the production classes, connected by in-memory
links that count messages and bytes. No requests are sent, so the figures
cover the control path only.
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

WARM_UP_S = 12.0
TRAFFIC_WINDOW_S = 20.0
CONVERGENCE_TIMEOUT_S = 30.0
FAULT_DURATION_S = 15.0
POLL_INTERVAL_S = 0.1
SHARD_SIZE = 2000
DEMAND_RETRY_S = 0.05
DEMAND_ENTRY_COUNT = 12
DEMAND_DURATION_S = 20.0
OVERSHOOT_WINDOW_S = 10.0
LIMIT_RATE_PER_S = 50.0
# Overhead of a message: the seal, the nng header, the TCP and IP headers.
MESSAGE_OVERHEAD_BYTES = 21 + 16 + 52
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
    """The size of a fleet; printed with the result."""

    entries: int
    agents: int
    organisations: int
    regions: int = 7
    data_centres: int = 24


class FleetResult(msgspec.Struct):
    """The JSON result of a fleet run; traffic and costs are per node."""

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


class FleetCluster(virtual.VirtualCluster):
    """Entries and agents of one service, spread over data centres."""

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

    def _create_nodes(self, entries_per_region):
        size = self._size
        profile = server_module.Profile(slots=8)
        service = deployment_module.ServiceSpec(
            "work", "pool", size.agents, profile
        )
        for index in range(size.entries):
            self._add_fleet_node(f"entry-{index}", "entry", index)
        for index in range(size.agents):
            region, _data_centre = self._get_location(index)
            name = f"work-{index}"
            spec = deployment_module.BackendSpec(name, region, service)
            self.server_by_name[name] = server_module.Server(
                name, "work", profile, self.records
            )
            self._add_fleet_node(f"{name}-agent", "agent", index, spec)

    def _get_location(self, index):
        number = index % self._size.data_centres
        return f"r{number % self._size.regions}", f"dc{number}"

    def _add_fleet_node(self, name, role, index, spec=None):
        region, data_centre = self._get_location(index)
        self.add_node(name, role, region, spec, data_centre)

    def get_running_nodes(self, role):
        """Return the running nodes of a role."""
        return [
            node
            for node in self.node_by_name.values()
            if node.vm.role == role and node.is_running()
        ]

    def restart_nodes(self, nodes):
        """Kill the nodes and start each again as a new process."""
        for node in nodes:
            if node.is_running():
                self.kill_node(node)
            self._nursery.start_soon(self.start_node, node)


class FleetRun:
    """Measures a fleet when idle, under a fault and at a table change."""

    def __init__(self, size, fault, seed):
        self._size = size
        self._fault = fault
        self._seed = seed
        self._admission_times_s = []
        self._version_decreases = 0
        self._version_by_incarnation = {}
        self._cluster = None

    async def run(self):
        """Run the fleet and return its `FleetResult`."""
        tracemalloc.start()
        gc.collect()
        start_bytes = tracemalloc.get_traced_memory()[0]
        async with trio.open_nursery() as nursery:
            self._cluster = FleetCluster(nursery, self._size)
            await self._cluster.start()
            await trio.sleep(WARM_UP_S)
            gc.collect()
            memory_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
            tracemalloc.stop()
            nursery.start_soon(self._count_version_decreases)
            cpu_share = await self._measure_idle_cpu()
            traffic = self._get_traffic()
            for node in self._cluster.get_running_nodes("entry")[
                :DEMAND_ENTRY_COUNT
            ]:
                nursery.start_soon(self._generate_demand, node)
            await trio.sleep(2.0)
            started_s = trio.current_time()
            await self._inject_fault()
            converged_s = await self._wait_for_convergence()
            in_force_s = await self._measure_table_change()
            await trio.sleep(DEMAND_DURATION_S)
            result = self._new_result(
                traffic,
                cpu_share,
                memory_bytes,
                in_force_s,
                converged_s,
                started_s,
            )
            nursery.cancel_scope.cancel()
        return result

    async def _measure_idle_cpu(self):
        """Run idle for a while; return the processor share of a node."""
        network = self._cluster.network
        network.bytes_by_address.clear()
        network.messages_by_address.clear()
        start_s = time.process_time()
        await trio.sleep(TRAFFIC_WINDOW_S)
        cpu_s = time.process_time() - start_s
        return cpu_s / TRAFFIC_WINDOW_S / len(self._cluster.node_by_name)

    def _get_traffic(self):
        """Return the `(bytes, messages)` that each node sent per second."""
        network = self._cluster.network
        traffic = {}
        for name, node in self._cluster.node_by_name.items():
            address = node.vm.address
            count = network.messages_by_address.get(address, 0)
            size = network.bytes_by_address.get(address, 0)
            size += count * MESSAGE_OVERHEAD_BYTES
            traffic[name] = (size / TRAFFIC_WINDOW_S, count / TRAFFIC_WINDOW_S)
        return traffic

    async def _generate_demand(self, node):
        """Request permits above the limit of one organisation, for ever."""
        while True:
            entry = node.process
            table = entry.table_updater.get_table()
            if table is None or not node.is_running():
                await trio.sleep(1.0)
                continue
            limits = table.get_limits("p", "o00000", "night")
            permit = await entry.limits.acquire(limits, 0)
            if isinstance(permit, outcome.Refused):
                await trio.sleep(DEMAND_RETRY_S)
            else:
                self._admission_times_s.append(trio.current_time())
                permit.release(0)

    async def _count_version_decreases(self):
        """Count how often the active table version of an entry decreases."""
        while True:
            for node in self._cluster.get_running_nodes("entry"):
                version = node.process.table_updater.get_version()
                key = node.process.place.incarnation
                if version < self._version_by_incarnation.get(key, 0):
                    self._version_decreases += 1
                self._version_by_incarnation[key] = version
            await trio.sleep(POLL_INTERVAL_S)

    async def _inject_fault(self):
        """Inject the fault; outages end after `FAULT_DURATION_S`."""
        cluster, platform = self._cluster, self._cluster.platform
        if self._fault == "config-down":
            platform.is_config_down = platform.is_list_down = True
            await trio.sleep(FAULT_DURATION_S)
            platform.is_config_down = platform.is_list_down = False
        elif self._fault == "config-stale":
            platform.set_stale(True)
            cluster.publish_table()
            await trio.sleep(FAULT_DURATION_S)
            platform.set_stale(False)
        elif self._fault == "config-reset":
            cluster.publish_table()
            await trio.sleep(FAULT_DURATION_S)
            platform.reset(cluster.text_by_key)
        elif self._fault == "region-cut":
            self._isolate_first_region()
            await trio.sleep(FAULT_DURATION_S)
            cluster.network.restore_links()
        elif self._fault == "data-centre-restart":
            nodes = cluster.node_by_name.values()
            cluster.restart_nodes(
                [n for n in nodes if n.vm.data_centre == "dc0"]
            )
        elif self._fault == "replaced-vms":
            cluster.restart_nodes(list(cluster.node_by_name.values())[::10])

    def _isolate_first_region(self):
        nodes = self._cluster.node_by_name.values()
        inside = [node for node in nodes if node.vm.region == "r0"]
        outside = [node for node in nodes if node.vm.region != "r0"]
        for node in inside:
            for other in outside:
                self._cluster.network.cut(node.vm.address, other.vm.address)

    async def _wait_for_convergence(self):
        """Return the seconds until entries see all local agents as alive."""
        started_s = trio.current_time()
        with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
            while not all(
                self._has_converged(node)
                for node in self._cluster.get_running_nodes("entry")
            ):
                await trio.sleep(POLL_INTERVAL_S)
        return trio.current_time() - started_s

    def _has_converged(self, node):
        return all(
            agent.is_alive()
            for agent in node.process.fleet.agent_by_name.values()
            if agent.data_centre == node.vm.data_centre
        )

    async def _measure_table_change(self):
        """Publish a table; return the seconds until all entries use it."""
        version = self._cluster.publish_table()
        started_s = trio.current_time()
        with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
            while not all(
                node.process.table_updater.get_version() >= version
                for node in self._cluster.get_running_nodes("entry")
            ):
                await trio.sleep(POLL_INTERVAL_S / 2)
        return trio.current_time() - started_s

    def _get_overshoot(self):
        """Return by what share the worst window exceeded the limit."""
        highest_count, first = 0, 0
        for index, at_s in enumerate(self._admission_times_s):
            while at_s - self._admission_times_s[first] > OVERSHOOT_WINDOW_S:
                first += 1
            highest_count = max(highest_count, index - first + 1)
        return highest_count / (LIMIT_RATE_PER_S * OVERSHOOT_WINDOW_S) - 1

    def _new_result(
        self,
        traffic,
        cpu_share,
        memory_bytes,
        in_force_s,
        converged_s,
        started_s,
    ):
        bytes_by_name = {name: sent[0] for name, sent in traffic.items()}
        message_rates = [sent[1] for sent in traffic.values()]
        entry_rates = [
            size
            for name, size in bytes_by_name.items()
            if name.startswith("entry")
        ]
        agent_rates = [
            size
            for name, size in bytes_by_name.items()
            if not name.startswith("entry")
        ]
        now = trio.current_time()
        admitted = sum(at_s >= started_s for at_s in self._admission_times_s)
        reads = self._cluster.platform.reads_by_second
        reads_after_start = [n for s, n in reads.items() if s > WARM_UP_S]
        return FleetResult(
            fault=self._fault,
            seed=self._seed,
            size=self._size,
            table_in_force_s=round(in_force_s, 2),
            table_reverts=self._version_decreases,
            config_reads_per_s_peak=max(reads_after_start, default=0),
            view_convergence_s=round(converged_s, 2),
            limit_overshoot=round(self._get_overshoot(), 4),
            limit_overshoot_bound=round(
                limit_bound.get_overshoot_bound(
                    LIMIT_RATE_PER_S,
                    OVERSHOOT_WINDOW_S,
                    self._size.regions,
                    self._size.entries,
                ),
                4,
            ),
            limit_used_share=round(
                admitted / (LIMIT_RATE_PER_S * max(now - started_s, 1e-9)), 4
            ),
            control_bytes_per_s_median=round(
                statistics.median(bytes_by_name.values()), 1
            ),
            control_bytes_per_s_worst=round(max(bytes_by_name.values()), 1),
            entry_bytes_per_s_median=round(statistics.median(entry_rates), 1),
            agent_bytes_per_s_median=round(statistics.median(agent_rates), 1),
            control_messages_per_s_median=round(
                statistics.median(message_rates), 2
            ),
            control_cpu_share_mean=round(cpu_share, 5),
            control_memory_mb=round(memory_bytes / len(traffic) / 1e6, 3),
        )


def run_fleet(size, fault, seed):
    """Run one fleet on a mock clock and return its `FleetResult`."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(FleetRun(size, fault, seed).run, clock=clock)
