"""The site of a soak: entry processes, and stand-ins behind TCP proxies."""

import itertools
import json
import os
import random
import signal
import subprocess
import sys

import trio

from bench import ports as ports_module
from bench.soak import tcp_proxy as proxy_module
from bench.standins import copies
from bench.standins import site as site_module
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

ENTRY_COUNT = 3
REVOKE_MS = 3000
ENGINE_WORK_S = 0.12
ENGINE_EVENT_INTERVAL_S = 0.04
STOP_TIMEOUT_S = 5.0
READY_CHECK_S = 0.25
# Consecutive failed checks after which an entry leaves the rotation.
MAX_MISSED_CHECKS = 2
# The second and third bytes of an IP are from 1 to 254.
OCTETS = 254
NETWORK_COUNT = OCTETS**2


def find_network(process_id):
    """Return the first three bytes of the IPs of a process's entries.

    Benches that run at once get different ones::

        assert find_network(70000) == "127.22.151"
    """
    high, low = divmod(process_id % NETWORK_COUNT, OCTETS)
    return f"127.{high + 1}.{low + 1}"


class EntryProcess:
    """An entry process that a soak starts, stops, kills and freezes."""

    def __init__(self, name, path, ports, logs, command, tree=""):
        self.name = name
        self.caller_address, self.ready_address = (
            f"{site_module.HOST}:{p}" for p in ports
        )
        self.has_fault = False
        self.is_in_rotation = False
        self.started_s = 0.0
        self.process = None
        self._path = path
        self._log = os.path.join(logs, f"{name}.jsonl")
        self._command = command
        self._tree = tree or None

    def start(self):
        """Start the process."""
        environment = dict(os.environ)
        environment["GREENGAGETRACK_NODE_FILE"] = self._path
        environment["GREENGAGETRACK_PEER_KEYS"] = "6b" * 16
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=self._tree,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_s = trio.current_time()

    def signal(self, number):
        """Send a signal to the process if it is still running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self):
        """Wait until the process has exited; return its exit code."""
        while self.process.poll() is None:
            await trio.sleep(0.02)
        return self.process.returncode


class SoakSite(site_module.SiteStandIn):
    """A site whose store and engines are reached through TCP proxies.

    Its entries run the code of the checkout `tree`, by default of this one.
    """

    def __init__(
        self, nursery, seed, logs, build, entry_count=ENTRY_COUNT, tree=""
    ):
        super().__init__(nursery)
        self._tree = tree
        self._entry_count = entry_count
        self.ready_check_s = READY_CHECK_S
        self._seed = seed
        # The entries may run in another folder.
        self._logs = os.path.abspath(logs)
        self._build = build
        self._network = find_network(os.getpid())
        self._engine_numbers = itertools.count(1)
        self.proxy_by_engine = {}
        self.store_proxy = None
        self.entries = []
        self.keys = ["key-1"]
        self.version = 1

    async def start(self):
        """Start the stand-ins and the entries; wait until these are ready."""
        await super().start()
        self.store_proxy = await proxy_module.new_proxy(
            self.nursery, self.store_address
        )
        self.store_address = self.store_proxy.address
        port_sets = [
            ports_module.find_free_ports(3)
            for _entry in range(self._entry_count)
        ]
        seeds = [f"{site_module.HOST}:{ports[2]}" for ports in port_sets[:2]]
        for index, ports in enumerate(port_sets):
            entry = self._new_entry(index, ports, seeds)
            entry.start()
            self.entries.append(entry)
            self.nursery.start_soon(self._poll_readiness, entry)
        while not all(entry.is_in_rotation for entry in self.entries):
            self._check_running()
            await trio.sleep(0.05)

    def _check_running(self):
        for entry in self.entries:
            code = entry.process.poll()
            if code is not None:
                raise OSError(f"{entry.name} ended at its start, code {code}")

    def _new_entry(self, index, ports, seeds):
        name = f"entry-{index}"
        node_file = self.get_node_file(name, ports, seeds, REVOKE_MS)
        # The metrics port is the same on all machines, so the IPs differ.
        node_file["ip"] = f"{self._network}.{index + 1}"
        self.change_node_file(index, node_file)
        path = os.path.join(self._logs, f"{name}.json")
        with open(path, "w") as file:
            json.dump(node_file, file)
        command = [sys.executable, "-m"]
        if self._build:
            command += ["bench.soak.broken", self._build]
        else:
            command.append("greengagetrack.command.greengagetrackd")
        return EntryProcess(
            name, path, ports[:2], self._logs, command, self._tree
        )

    def change_node_file(self, index, node_file):
        """Change the node file of one entry; here nothing is changed."""

    async def _poll_readiness(self, entry):
        """Poll the readiness of an entry, as a load balancer does."""
        missed_checks = 0
        while True:
            status = await _request_readiness(
                self.nursery, entry.ready_address
            )
            missed_checks = 0 if status == 200 else missed_checks + 1
            if missed_checks == 0 or missed_checks >= MAX_MISSED_CHECKS:
                entry.is_in_rotation = missed_checks == 0
            await trio.sleep(self.ready_check_s)

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine and publish the address of its proxy."""
        engine = site_module.EngineStandIn(
            engine_id, service, "dc-a", is_stream
        )
        generator = random.Random(f"copies-{self._seed}-{engine_id}")
        address = await copies.start_engine(self.nursery, engine, generator)
        proxy = await proxy_module.new_proxy(self.nursery, address)
        engine.address = proxy.address
        # Long enough that some requests are in progress at any moment.
        engine.work_s, engine.event_interval_s = (
            ENGINE_WORK_S,
            ENGINE_EVENT_INTERVAL_S,
        )
        self.proxy_by_engine[engine_id] = proxy
        self.engine_by_id[engine_id] = engine
        self.publish(engine)

    async def replace_engine(self, engine):
        """Start an engine of the same service under a new id."""
        new_id = f"{engine.service}-new-{next(self._engine_numbers)}"
        await self.add_engine(new_id, engine.service, engine.is_stream)

    def restart_engine(self, engine, version):
        """Start an engine again, under its id, with a software version."""
        self.proxy_by_engine[engine.engine_id].reset()
        engine.version = version
        engine.born += 1
        self.publish(engine)

    def rotate_key(self):
        """Publish a configuration whose only key is a new one; return it."""
        self.version += 1
        self.keys.append(f"key-{self.version}")
        self.publish_config()
        return self.keys[-1]

    def publish_config(self):
        """Write the configuration that is in force."""
        config = site_module.new_config(self.version, self.keys[-1:])
        self.store.put(names.CONFIG_KEY, config)

    async def stop(self):
        """Kill the processes that this site started."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
        for entry in self.entries:
            await entry.wait()


async def play(logs, new_site, run):
    """Return the result of `await run(site)`, on a site that has started.

    `new_site(nursery)` returns the site, which is stopped in any case; its
    entries log to the folder `logs`.
    """
    os.makedirs(logs, exist_ok=True)
    async with trio.open_nursery() as nursery:
        site = new_site(nursery)
        try:
            await site.start()
            result = await run(site)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        nursery.cancel_scope.cancel()
    return result


async def _request_readiness(nursery, address):
    pool = pool_module.new_pool(nursery)
    status = 0
    with trio.move_on_after(READY_CHECK_S):
        answer = await site_module.send_request(
            pool, address, names.READY_PATH.decode(), b"ready", b"GET", ""
        )
        status = answer[0]
    return status
