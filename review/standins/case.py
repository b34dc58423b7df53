"""A case: starts the entries and stand-ins, and judges what was seen."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from standins import http
from standins import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN_MAX_S = 115.0
READY_MAX_S = 20.0
ERROR = re.compile(r"[\w.]+Error\b")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
ZONES = {
    "ishikari-a": "ishikari",
    "shiribeshi-a": "shiribeshi",
    "kamikawa-a": "kamikawa",
}
# As the users' pages show them for a small deployment.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 8,
    "lost_slack_ms": 200,
    "config_apply_ms": 2500,
    "rollback_slack_ms": 250,
    "skew_max_ms": 6000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "recover_s": 12,
    "pass_ms": 250,
    "reuse_window_s": 7.9,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Entry:
    """One process of the project, as the deploy file starts it."""

    def __init__(self, case, number, zone, host):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = host
        self.front, self.ready, self.control = (
            f"{host}:{find_free_port(host)}" for _address in range(3)
        )
        self.store_address = ""
        self.process = None
        self._case = case
        self._path = os.path.join(case.folder, f"{self.name}.json")
        self._log = os.path.join(case.folder, f"{self.name}.log")

    def write_settings(self, seeds):
        """Write the settings file."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "port_range": [7740, 7755],
            "seeds": seeds,
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "provider": {
                "address": self.store_address,
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        with open(self._path, "w") as file:
            json.dump(settings, file)

    def start(self):
        """Start the process."""
        role = self._case.role
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["GREENGAGETRACK_NODE_FILE"] = self._path
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._case.record(f"{self.name} starts")

    def kill(self):
        """Kill the process, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_running(self):
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        client = http.Client(self.ready)
        answer = await client.send(
            "GET", "/api/readyz", [("Host", self.ready)], timeout_s=1.0
        )
        client.close()
        return answer.status == 200

    async def wait_until_ready(self):
        """Wait until the process is ready."""
        end_s = time.monotonic() + READY_MAX_S
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} is never ready")
            await asyncio.sleep(0.05)

    def find_error(self):
        """Return the last error that the process has written."""
        with open(self._log) as file:
            lines = [line.strip(" |\n") for line in file]
        errors = [line for line in lines if ERROR.match(line)]
        return errors[-1] if errors else "no error"


class Case:
    """The deployment of one case and the record of what happened."""

    def __init__(self, record_path, folder):
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_module.Store()
        self.entries = []
        self.engines = []
        self.made = {}
        self.run_ids = set()
        self.breaks = []
        self._started_s = time.monotonic()
        self._record = open(record_path, "w")  # noqa: SIM115
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]

    def now_s(self):
        """Return the seconds since the begin."""
        return time.monotonic() - self._started_s

    def record(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now_s():8.3f} {text}\n")
        self._record.flush()

    def add_break(self, text):
        """Record that the rule was broken."""
        self.breaks.append(text)
        self.record(f"BROKEN {text}")

    async def start_entries(self, zones):
        """Start an entry in each of these zones; wait until all are ready."""
        # The port of metrics is the same on all machines.
        network = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        for number, zone in enumerate(zones, 1):
            host = f"{network}.{number}"
            self.entries.append(Entry(self, number, zone, host))
        seeds = [entry.control for entry in self.entries[:3]]
        for entry in self.entries:
            entry.store_address = await self.store.listen()
            entry.write_settings(seeds)
            entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()
        self.record("all entries are ready")

    def stop(self):
        """End all processes."""
        for entry in self.entries:
            entry.kill()
        self._record.close()


def find_free_port(host):
    """Return a port that is free now, below those given to clients."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


def new_route(name, kind, service, **options):
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 6000,
        "goal_ms": 2000,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_aim_ms": 400,
        **options,
    }


def new_config(version, routes, services, keys=("key-1",)):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
        "tenants": [{"name": "workshop", "api_keys": list(keys)}],
    }


def new_headers(request_id, deadline_ms=5000, key="key-1", **more):
    """Return the header fields of a consumer's request."""
    headers = [
        ("Host", "site.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", deadline_ms),
        ("Api-Key", key),
    ]
    headers += [
        (name.replace("_", "-"), value) for name, value in more.items()
    ]
    return headers


def main(play, script):
    """Run `await play(case)`; exit with 0 held, 1 broken, 2 not run."""
    record_path = pathlib.Path(script).resolve().parent / "record.txt"
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record_path, folder)
        try:
            code = asyncio.run(_run(play, case))
        finally:
            case.stop()
    sys.exit(code)


async def _run(play, case):
    try:
        async with asyncio.timeout(RUN_MAX_S):
            await play(case)
    except (CannotRunError, TimeoutError, OSError) as error:
        case.record(f"could not run: {type(error).__name__} {error}")
        for entry in case.entries:
            case.record(f"{entry.name} wrote: {entry.find_error()}")
        print(f"could not run: {error}")
        return EXIT_NOT_RUN
    verdict = f"broken, {len(case.breaks)} times" if case.breaks else "held"
    case.record(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    for text in case.breaks[:5]:
        print(f"  {text}")
    return EXIT_BROKEN if case.breaks else EXIT_HELD
