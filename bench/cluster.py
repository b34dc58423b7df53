"""Starts one deployment on loopback: stand-ins, TCP relays, daemons."""

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
# Longer than callers retry, which is three times their timeout.
ORDER_WINDOW_S = 30.0
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 45.0


class Node(msgspec.Struct):
    """One VM of the deployment: its ports, and its daemon if one runs."""

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
    """The VM list as one region sees it: remote VMs have relay addresses."""

    def __init__(self, region, port_by_route):
        self._region = region
        self._port_by_route = port_by_route

    def translate(self, vm):
        """Return the VM with the address that reaches it from the region."""
        if vm.region == self._region:
            return vm
        port = self._port_by_route[(self._region, vm.name)]
        return msgspec.structs.replace(vm, address=f"127.0.0.1:{port}")


class Cluster:
    """A deployment that runs on loopback."""

    def __init__(self, deployment, entries_per_region, log_folder=None):
        self.deployment = deployment
        self.records = records_module.Records()
        self.platform = platform_module.Platform()
        self.region_links = relay.RegionLinks(deployment_module.REGION_DELAY_S)
        self.node_by_name = {}
        self.server_by_name = {}
        self.backend_port = 0
        self.next_table_version = 1
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
        """Return the nodes of the entries."""
        return [
            node for node in self.node_by_name.values() if node.role == "entry"
        ]

    def get_agents(self, service=None):
        """Return the nodes of the agents, of one service if given."""
        return [
            node
            for node in self.node_by_name.values()
            if node.role == "agent"
            and service in (None, node.backend.service.name)
        ]

    def get_entry_url(self, node):
        """Return the URL of an entry for callers."""
        return f"http://127.0.0.1:{node.caller_port}"

    def _create_nodes(self):
        regions = self.deployment.regions
        entries = [
            (f"{self.deployment.name}-entry-{region}-{index}", region)
            for region in regions
            for index in range(self._entries_per_region.get(region, 0))
        ]
        specs = deployment_module.get_backends(self.deployment)
        free_ports = iter(
            ports.find_free_ports(3 * len(entries) + 2 * len(specs))
        )
        for name, region in entries:
            self.node_by_name[name] = Node(
                name,
                "entry",
                region,
                next(free_ports),
                next(free_ports),
                next(free_ports),
            )
        for spec in specs:
            name = f"{spec.name}-agent"
            self.node_by_name[name] = Node(
                name,
                "agent",
                spec.region,
                next(free_ports),
                next(free_ports),
                backend=spec,
            )
            self.server_by_name[spec.name] = server_module.Server(
                spec.name,
                spec.service.name,
                spec.service.profile,
                self.records,
            )

    def build_vm(self, node):
        """Return the VM list item of a node."""
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
        """Publish the current nodes as the VM list."""
        nodes = self.node_by_name.values()
        self.platform.set_vms(self.build_vm(node) for node in nodes)

    def publish_table(self, text_by_key=None):
        """Publish the next version of the table; return its number."""
        if text_by_key is None:
            table_folder = self.deployment.get_table_folder()
            text_by_key = folder.read_folder(table_folder)
        self.platform.publish(self.next_table_version, text_by_key)
        self.next_table_version += 1
        return self.next_table_version - 1

    async def start(self, nursery, is_in_process=True):
        """Start the stand-ins, the relays and all daemons."""
        self._is_in_process = is_in_process
        await self.start_environment(nursery)
        for node in list(self.node_by_name.values()):
            await self.start_node(node)

    async def start_environment(self, nursery):
        """Start the stand-ins and the relays, but no daemon."""
        self._nursery = nursery
        self._create_nodes()
        self._load_models()
        self.publish_table()
        await self._start_standins()
        await self._start_relays()
        self.publish_vms()

    def _load_models(self):
        """Load a model on every engine, so that a run needs no warm-up."""
        for server in self.server_by_name.values():
            models = self.table.service_by_name[server.service].models
            if models:
                names = sorted(models)
                index = int(server.name.rsplit("-", 1)[1])
                server.model = names[index % len(names)]

    def cut(self, region, other):
        """Cut the links between two regions."""
        self.region_links.cut(region, other)

    def restore_links(self):
        """Restore the links between all regions."""
        self.region_links.restore_links()

    def is_cut(self, region, other):
        """Return whether the links between two regions are cut."""
        return self.region_links.is_cut(region, other)

    def count_cross_region_bytes(self, size):
        """Count bytes between regions that did not use the relays."""
        first, second, *_rest = self.deployment.regions
        self.region_links.count_bytes(first, second, size)

    async def _start_standins(self):
        regions = self.deployment.regions
        views = {
            region: RegionView(region, self._port_by_route)
            for region in regions
        }
        (self.backend_port, self.platform_port) = ports.find_free_ports(2)
        backend_app = backends.new_app(self.server_by_name, self.records)
        platform_app = platform_module.new_app(self.platform, views)
        for app, port in (
            (backend_app, self.backend_port),
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
                        self.region_links,
                        region,
                        node.region,
                        ("127.0.0.1", node.peer_port),
                    )
                    self._port_by_route[(region, node.name)] = port

    def get_setting_values(self, node):
        """Return the setting values of a node, by setting name."""
        platform_url = f"http://127.0.0.1:{self.platform_port}"
        rtts = [
            f"{region}={2000 * self.region_links.delay_s:g}"
            for region in self.deployment.regions
            if region != node.region
        ]
        values = {
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
            values["caller_address"] = f"127.0.0.1:{node.caller_port}"
            values["rtt_ms"] = ",".join(rtts)
            return values
        backend_name = node.backend.name
        values["service"] = node.backend.service.name
        values["backend_kind"] = node.backend.service.kind
        values["backend_url"] = (
            f"http://127.0.0.1:{self.backend_port}/servers/{backend_name}"
        )
        values["slots"] = str(node.backend.service.profile.slots)
        values["order_window_s"] = str(ORDER_WINDOW_S)
        return values

    async def start_node(self, node):
        """Start the daemon of a node, as a task or a process."""
        if self._is_in_process:
            await self._start_task(node)
        else:
            self._start_process(node)

    async def _start_task(self, node):
        values = settings_module.collect_values(
            self.get_setting_values(node), {}
        )
        settings, problems = settings_module.read_settings(values)
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
        for name, value in self.get_setting_values(node).items():
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
        """Stop a node gracefully; return the exit code if it is a process."""
        if self._is_in_process:
            node.stop.request()
            return None
        node.process.send_signal(signal.SIGTERM)
        return await trio.to_thread.run_sync(node.process.wait, STOP_TIMEOUT_S)

    def signal_node(self, node, number):
        """Send a signal, such as SIGKILL or SIGSTOP, to a node's process."""
        node.process.send_signal(number)

    async def stop(self):
        """Kill all daemon processes and stop the stand-ins."""
        if not self._is_in_process:
            for node in self.node_by_name.values():
                if node.process is not None and node.process.poll() is None:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
            for node in self.node_by_name.values():
                if node.process is not None:
                    node.process.wait()
        self._shutdown.set()
