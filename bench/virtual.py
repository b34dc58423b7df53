"""Runs entries and agents on a mock clock, over in-memory links."""

import itertools

import msgspec
import trio

from bench import deployment as deployment_module
from bench import fakes
from bench import memory
from bench.standins import platform as platform_module
from bench.standins import records as records_module
from bench.standins import server as server_module
from greengagetrack.connection import base as link_base
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.connection import seal
from greengagetrack.process import admission
from greengagetrack.process import agent as agent_module
from greengagetrack.process import entry as entry_module
from greengagetrack.process import orders
from greengagetrack.process import placement
from greengagetrack.process import reporter
from greengagetrack.process import runner
from greengagetrack.process import tables
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.version import folder

KEY_RING = seal.new_key_ring([b"0123456789abcdef"])
SEED = 7
ORDER_WINDOW_S = 5.0


class Node:
    """One VM, its process if one runs, and the scope that cancels it."""

    def __init__(self, vm, backend=None):
        self.vm = vm
        self.backend = backend
        self.process = None
        self.scope = None
        self.vm_view = None

    def is_running(self):
        """Return whether the process runs."""
        return self.scope is not None


class VirtualCluster:
    """The entries and agents of a deployment, over in-memory links."""

    def __init__(self, nursery, deployment, entries_per_region=1):
        self._nursery = nursery
        self.deployment = deployment
        self.records = records_module.Records()
        self.platform = platform_module.Platform()
        self.network = memory.Network(nursery)
        self.node_by_name = {}
        self.server_by_name = {}
        self.next_table_version = 1
        self.text_by_key = self._read_table()
        self._incarnations = itertools.count(1)
        self.network.region_delay_s = deployment_module.REGION_DELAY_S
        self._create_nodes(entries_per_region)

    def _read_table(self):
        return folder.read_folder(self.deployment.get_table_folder())

    def _create_nodes(self, entries_per_region):
        for region in self.deployment.regions:
            for index in range(entries_per_region):
                self.add_node(f"entry-{region}-{index}", "entry", region)
        for spec in deployment_module.get_backends(self.deployment):
            self.server_by_name[spec.name] = server_module.Server(
                spec.name,
                spec.service.name,
                spec.service.profile,
                self.records,
            )
            self.add_node(f"{spec.name}-agent", "agent", spec.region, spec)

    def add_node(self, name, role, region, backend=None, data_centre=None):
        """Add a VM without starting its process; return its node."""
        vm = platform_base.Vm(
            name=name,
            address=f"{name}:1",
            role=role,
            region=region,
            data_centre=data_centre or f"{region}-1",
            service=backend.service.name if backend else "",
        )
        node = Node(vm, backend)
        self.network.region_by_address[vm.address] = region
        self.node_by_name[name] = node
        return node

    def publish_vms(self):
        """Publish the current VMs as the VM list."""
        self.platform.set_vms(node.vm for node in self.node_by_name.values())

    def publish_table(self, text_by_key=None):
        """Publish the next version of the table; return its number."""
        version = self.next_table_version
        self.platform.publish(version, text_by_key or self.text_by_key)
        self.next_table_version += 1
        return version

    def mark_leaving(self, name):
        """Mark a VM as leaving in the VM list."""
        node = self.node_by_name[name]
        node.vm = msgspec.structs.replace(node.vm, is_leaving=True)
        self.publish_vms()

    def cut(self, region, other):
        """Cut the links between two regions."""
        for source in self.node_by_name.values():
            for target in self.node_by_name.values():
                if (source.vm.region, target.vm.region) == (region, other):
                    self.network.cut(source.vm.address, target.vm.address)

    async def start(self):
        """Publish the table and the VM list, and start all processes."""
        self.publish_table()
        self.publish_vms()
        async with trio.open_nursery() as nursery:
            for node in self.node_by_name.values():
                nursery.start_soon(self.start_node, node)

    async def start_node(self, node):
        """Start the process of a node, with a new incarnation."""
        await self._nursery.start(self._run_node, node)

    def kill_node(self, node):
        """Cancel a process without a shutdown, as SIGKILL would."""
        self.network.stop_listening(node.vm.address)
        node.scope.cancel()
        node.scope = None

    async def _run_node(self, node, task_status):
        start = (
            self._start_entry if node.vm.role == "entry" else self._start_agent
        )
        with trio.CancelScope() as scope:
            node.scope = scope
            async with trio.open_nursery() as nursery:
                await start(node, nursery)
                task_status.started()

    def _new_components(self, node, period_s, is_partial):
        place = entry_module.Place(
            name=node.vm.name,
            region=node.vm.region,
            data_centre=node.vm.data_centre,
            incarnation=f"{next(self._incarnations):08d}",
            rtt_ms_by_region={
                region: 2000 * deployment_module.REGION_DELAY_S
                for region in self.deployment.regions
                if region != node.vm.region
            },
        )
        factory = memory.MemoryLinkFactory(self.network, node.vm.address)
        links = link_base.new_links(factory)
        vm_list = platform_module.VmListFake(self.platform)
        node.vm_view = vm_view_module.new_vm_view(vm_list, period_s, SEED)
        updater = tables.new_table_updater(
            place.name,
            place.data_centre,
            platform_module.ConfigFake(self.platform),
            node.vm_view,
            links,
            is_partial,
            SEED,
        )
        updater.disable_threads()
        return place, links, updater

    async def _start_entry(self, node, nursery):
        place, links, updater = self._new_components(
            node, vm_view_module.ENTRY_PERIOD_S, is_partial=False
        )
        entry = entry_module.new_entry(
            place, links, node.vm_view, updater, KEY_RING, SEED
        )
        node.process = entry
        self.network.listen(node.vm.address, entry.handle)
        await nursery.start(entry.run)

    async def _start_agent(self, node, nursery):
        place, links, updater = self._new_components(
            node, vm_view_module.AGENT_PERIOD_S, is_partial=True
        )
        service = node.backend.service
        server = self.server_by_name[node.backend.name]
        backend = fakes.ServerBackend(server, service.kind)
        order_book = orders.new_order_book(
            place.name,
            place.incarnation,
            KEY_RING,
            node.vm_view,
            links,
            ORDER_WINDOW_S,
        )
        agent_runner = runner.new_runner(
            backend, service.profile.slots, order_book.release
        )
        agent = agent_module.new_agent(
            place.name,
            service.name,
            place.incarnation,
            agent_runner,
            order_book,
        )
        node.process = agent
        self.network.listen(node.vm.address, agent.handle)
        agent_reporter = reporter.new_reporter(
            agent, place, node.vm_view, links, updater
        )
        model_placer = placement.new_placer(
            place, service.name, backend, agent, node.vm_view, updater
        )
        await nursery.start(node.vm_view.run)
        for run in (agent.run, agent_reporter.run, updater.fetch_announced):
            nursery.start_soon(run)
        nursery.start_soon(updater.watch_config)
        if service.kind == "engine":
            nursery.start_soon(model_placer.run)

    def get_entry(self, region=None):
        """Return a running entry, preferably of the given region."""
        entries = [
            node
            for node in self.node_by_name.values()
            if node.vm.role == "entry" and node.is_running()
        ]
        local = [node for node in entries if node.vm.region == region]
        if not entries:
            raise LookupError("no entry is running")
        return (local or entries)[0].process

    def new_request(self, pipeline, organisation, marker, **options):
        """Return a request whose body contains a marker."""
        body = msgspec.json.encode({"marker": marker})
        return admission.Request(
            request_id=marker,
            pipeline=pipeline,
            organisation=organisation,
            kind="night",
            body=body,
            **options,
        )

    def count_executions(self, marker):
        """Return how often backend servers executed the order of a marker."""
        return sum(
            execution.marker == marker
            and execution.stage in self.deployment.order_stages
            for execution in self.records.executions
        )
