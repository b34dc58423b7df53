"""Brings up one deployment on loopback: stand-ins, links, daemons."""

import os
import signal
import subprocess
import sys

import msgspec
import trio

from bench import deployment as deployment_module
from bench import ports
from bench import relay
from bench.standins import backends
from bench.standins import platform as platform_module
from bench.standins import records as records_module
from bench.standins import server as server_module
from greengagetrack.connection import http_server
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.process import daemon
from greengagetrack.process import logs
from greengagetrack.process import settings as settings_module
from greengagetrack.process import stop as stop_module
from greengagetrack.version import folder

PEER_KEY = "00112233445566778899aabbccddeeff"
TICKET_KEY = "ffeeddccbbaa99887766554433221100"
# Longer than callers go on repeating: three times their time-out.
ORDER_WINDOW_S = 30.0
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 45.0


class Node(msgspec.Struct):
    """One VM of the deployment and what runs there."""

    name: str
    role: str
    region: str
    peer_port: int
    admin_port: int
    caller_port: int = 0
    backend: deployment_module.BackendSpec | None = None
    process: object = None
    stop: object = None
    is_leaving: bool = False


class RegionView:
    """The VM list as one region sees it: far addresses go by relays."""

    def __init__(self, region, port_by_route):
        self._region = region
        self._port_by_route = port_by_route

    def translate(self, vm):
        """Return the VM with the address that leads there from here."""
        if vm.region == self._region:
            return vm
        port = self._port_by_route[(self._region, vm.name)]
        return msgspec.structs.replace(vm, address=f"127.0.0.1:{port}")


class Cluster:
    """A running deployment."""

    def __init__(self, deployment, entries_per_region, log_folder=None):
        self.deployment = deployment
        self.records = records_module.Records()
        self.platform = platform_module.Platform()
        self.fabric = relay.Fabric(deployment_module.REGION_DELAY_S)
        self.node_by_name = {}
        self.server_by_name = {}
        self.base_port = 0
        self.table_version = 1
        self.table, _findings = folder.build_from_folder(
            deployment.get_table_folder()
        )
        self.decisions = None
        self._entries_per_region = entries_per_region
        self._log_folder = log_folder
        self._port_by_route = {}
        self._shutdown = trio.Event()
        self._nursery = None
        self._is_in_process = True

    def get_entries(self):
        """Return the nodes that callers may use."""
        return [
            node for node in self.node_by_name.values() if node.role == "entry"
        ]

    def get_agents(self, service=None):
        """Return the agents' nodes, of one service."""
        return [
            node
            for node in self.node_by_name.values()
            if node.role == "agent"
            and service in (None, node.backend.service.name)
        ]

    def get_entry_url(self, node):
        """Return where callers reach an entry."""
        return f"http://127.0.0.1:{node.caller_port}"

    def _plan(self):
        regions = self.deployment.regions
        entries = [
            (f"{self.deployment.name}-entry-{region}-{index}", region)
            for region in regions
            for index in range(self._entries_per_region.get(region, 0))
        ]
        specs = deployment_module.get_backends(self.deployment)
        free = iter(ports.find_free_ports(3 * len(entries) + 2 * len(specs)))
        for name, region in entries:
            self.node_by_name[name] = Node(
                name, "entry", region, next(free), next(free), next(free)
            )
        for spec in specs:
            name = f"{spec.name}-agent"
            self.node_by_name[name] = Node(
                name,
                "agent",
                spec.region,
                next(free),
                next(free),
                backend=spec,
            )
            self.server_by_name[spec.name] = server_module.Server(
                spec.name,
                spec.service.name,
                spec.service.profile,
                self.records,
            )

    def get_vm(self, node):
        """Return a node as the VM list gives it."""
        service = node.backend.service.name if node.backend else ""
        return platform_base.Vm(
            name=node.name,
            address=f"127.0.0.1:{node.peer_port}",
            role=node.role,
            region=node.region,
            data_centre=f"{node.region}-1",
            service=service,
            is_leaving=node.is_leaving,
        )

    def publish_vms(self):
        """Publish the present nodes as the VM list."""
        nodes = self.node_by_name.values()
        self.platform.set_vms(self.get_vm(node) for node in nodes)

    def publish_table(self, text_by_key=None):
        """Publish the next version of the table; return its number."""
        if text_by_key is None:
            table_folder = self.deployment.get_table_folder()
            text_by_key = folder.read_folder(table_folder)
        self.platform.publish(self.table_version, text_by_key)
        self.table_version += 1
        return self.table_version - 1

    async def start(self, nursery, is_in_process=True):
        """Bring everything up and wait until callers may come."""
        self._is_in_process = is_in_process
        await self.start_outside(nursery)
        for node in list(self.node_by_name.values()):
            await self.start_node(node)

    async def start_outside(self, nursery):
        """Bring up what is around the daemons, and none of them."""
        self._nursery = nursery
        self._plan()
        self._preload()
        self.publish_table()
        await self._start_standins()
        await self._start_relays()
        self.publish_vms()

    def _preload(self):
        """Give every engine a model, so that a run starts warm."""
        for server in self.server_by_name.values():
            models = self.table.service_by_name[server.service].models
            if models:
                names = sorted(models)
                index = int(server.name.rsplit("-", 1)[1])
                server.model = names[index % len(names)]

    def cut(self, region, other):
        """Cut two regions off from each other."""
        self.fabric.cut(region, other)

    def heal(self):
        """Let everything through again."""
        self.fabric.heal()

    def is_cut(self, region, other):
        """Return whether two regions are cut off from each other."""
        return self.fabric.is_cut(region, other)

    def count_crossing(self, size):
        """Count bytes that went between regions beside the relays."""
        first, other, *_rest = self.deployment.regions
        self.fabric.count(first, other, size)

    async def _start_standins(self):
        regions = self.deployment.regions
        views = {
            region: RegionView(region, self._port_by_route)
            for region in regions
        }
        (self.base_port, self.platform_port) = ports.find_free_ports(2)
        backend_app = backends.new_app(self.server_by_name, self.records)
        platform_app = platform_module.new_app(self.platform, views)
        for app, port in (
            (backend_app, self.base_port),
            (platform_app, self.platform_port),
        ):
            await self._nursery.start(
                http_server.serve,
                app,
                f"127.0.0.1:{port}",
                self._shutdown,
            )

    async def _start_relays(self):
        for node in self.node_by_name.values():
            for region in self.deployment.regions:
                if region != node.region:
                    port = await self._nursery.start(
                        relay.serve,
                        self.fabric,
                        region,
                        node.region,
                        ("127.0.0.1", node.peer_port),
                    )
                    self._port_by_route[(region, node.name)] = port

    def get_flags(self, node):
        """Return the settings of a node, by name."""
        platform_url = f"http://127.0.0.1:{self.platform_port}"
        others = [
            f"{region}={2000 * self.fabric.delay_s:g}"
            for region in self.deployment.regions
            if region != node.region
        ]
        flags = {
            "role": node.role,
            "name": node.name,
            "region": node.region,
            "data_centre": f"{node.region}-1",
            "peer_address": f"127.0.0.1:{node.peer_port}",
            "admin_address": f"127.0.0.1:{node.admin_port}",
            "config_url": platform_url,
            "vm_list_url": f"{platform_url}/vms/{node.region}",
            "peer_keys": PEER_KEY,
            "ticket_keys": TICKET_KEY,
        }
        if node.role == "entry":
            flags["caller_address"] = f"127.0.0.1:{node.caller_port}"
            flags["rtt_ms"] = ",".join(others)
            return flags
        server = node.backend.name
        flags["service"] = node.backend.service.name
        flags["backend_kind"] = node.backend.service.kind
        flags["backend_url"] = (
            f"http://127.0.0.1:{self.base_port}/servers/{server}"
        )
        flags["slots"] = str(node.backend.service.profile.slots)
        flags["order_window_s"] = str(ORDER_WINDOW_S)
        return flags

    async def start_node(self, node):
        """Start the daemon of a node."""
        if self._is_in_process:
            await self._start_task(node)
        else:
            self._start_process(node)

    async def _start_task(self, node):
        given = settings_module.collect_values(self.get_flags(node), {})
        settings, problems = settings_module.read_settings(given)
        if problems:
            raise ValueError("; ".join(str(problem) for problem in problems))
        if self.decisions is None:
            self.decisions = logs.set_up("bench", "INFO", self._open_log())
        node.stop = stop_module.Stop()
        node.process = await self._nursery.start(
            daemon.run, settings, node.stop, self.decisions
        )

    def _open_log(self):
        name = os.devnull
        if self._log_folder is not None:
            os.makedirs(self._log_folder, exist_ok=True)
            name = os.path.join(self._log_folder, "daemons.jsonl")
        return open(name, "a", encoding="utf-8")

    def _start_process(self, node):
        environment = dict(os.environ)
        for name, value in self.get_flags(node).items():
            setting = settings_module.SETTING_BY_NAME[name]
            environment[setting.variable] = value
        log = subprocess.DEVNULL
        if self._log_folder is not None:
            os.makedirs(self._log_folder, exist_ok=True)
            path = os.path.join(self._log_folder, f"{node.name}.jsonl")
            log = open(path, "ab")
        node.process = subprocess.Popen(
            [sys.executable, "-m", "greengagetrack.command.greengagetrackd"],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    async def stop_node(self, node):
        """Ask a node to stop gracefully; return its exit code."""
        if self._is_in_process:
            node.stop.request()
            return None
        node.process.send_signal(signal.SIGTERM)
        return await trio.to_thread.run_sync(node.process.wait, STOP_TIMEOUT_S)

    def signal_node(self, node, number):
        """Send a signal, such as SIGKILL or SIGSTOP, to a process."""
        node.process.send_signal(number)

    async def stop(self):
        """Stop all daemons that this cluster started, and the stand-ins."""
        if not self._is_in_process:
            for node in self.node_by_name.values():
                if node.process is not None and node.process.poll() is None:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
            for node in self.node_by_name.values():
                if node.process is not None:
                    node.process.wait()
        self._shutdown.set()
