"""Works docs/CAPACITY.md out from the measured slopes."""

import pathlib

import msgspec

from bench import capacity
from greengagetrack.process import fleet as fleet_module
from greengagetrack.process import gossip
from greengagetrack.process import limit_owner
from greengagetrack.process import limits as limits_module
from greengagetrack.process import reporter
from greengagetrack.process import tables
from greengagetrack.process import vm_view
from greengagetrack.request import attempt

TEMPLATE = pathlib.Path(__file__).parent / "capacity_template.md"
WRAPPING_BYTES = 89
CPU_LIMIT = 0.019
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT = 4096.0
READS_LIMIT = 2000.0
IN_FORCE_LIMIT_S = 5.0
MB = 1e6


class Size(msgspec.Struct, frozen=True):
    """The size to design for."""

    nodes: int = 340
    engines: int = 1300
    accelerators: int = 5300
    requests_per_s: float = 3400.0
    tokens_per_s: float = 1.4e6
    pipelines: int = 16
    stages: float = 4.5
    organisations: int = 42_000
    models: int = 5
    regions: int = 7
    data_centres: int = 24
    changes_per_day: int = 990
    deaths_per_day: int = 23
    replaced_per_day: int = 100


class Line(msgspec.Struct):
    """One line of the page."""

    role: str
    what: str
    formula: str
    slope: str
    figure: str
    limit: str
    margin: str
    mechanism: str


def _cite(slope):
    if slope.low == slope.high:
        return f"{slope.median:.4g} {slope.unit}"
    return (
        f"{slope.median:.4g} {slope.unit} "
        f"({slope.low:.4g} to {slope.high:.4g})"
    )


def _margin(figure, limit):
    if figure <= limit:
        return f"{limit / max(figure, 1e-9):.1f} times"
    return f"**over by {figure / limit:.1f} times**"


class Page:
    """Collects the lines of the page."""

    def __init__(self, measured, size):
        self._slopes = measured.slopes
        self._measured = measured
        self._size = size
        self._lines = []
        self._entry_bytes = 0.0
        self._entries = size.nodes / size.data_centres
        self._agents = size.engines / size.data_centres

    def _add(self, role, what, formula, slope, value, unit, limit, mechanism):
        shown_limit, margin = "none stated", "-"
        if limit is not None:
            shown_limit = f"{limit:g} {unit}"
            margin = _margin(value, limit)
        self._lines.append(
            Line(
                role,
                what,
                formula,
                slope,
                f"{value:.3g} {unit}",
                shown_limit,
                margin,
                f"`{mechanism}`",
            )
        )

    def _sum(self, entry_bytes_per_s):
        """Count what an entry sends, and return it."""
        self._entry_bytes += entry_bytes_per_s
        return entry_bytes_per_s

    def add_membership(self):
        """Add heartbeats, digests and the list."""
        slopes, size = self._slopes, self._size
        report = slopes["report_bytes"].median + WRAPPING_BYTES
        targets, period = gossip.REPORT_TARGETS, reporter.HEARTBEAT_S
        sent = targets * report / period
        self._add(
            "agent",
            "heartbeats sent",
            "targets x (report + wrapping) / period",
            f"report {_cite(slopes['report_bytes'])}, wrapping "
            f"{WRAPPING_BYTES} B, {targets} targets",
            sent,
            "B/s",
            BYTES_LIMIT,
            "process/reporter.py",
        )
        heard = self._agents * targets / self._entries / period
        self._add(
            "entry",
            "heartbeats taken",
            "agents of the data centre x targets / entries of it x time",
            _cite(slopes["report_cpu"]),
            heard * slopes["report_cpu"].median / 1e6,
            "core",
            CPU_LIMIT,
            "process/fleet.py",
        )
        self._add_digests(heard)
        self._add(
            "entry",
            "views of agents",
            "engines x bytes of a view",
            _cite(slopes["agent_memory"]),
            size.engines * slopes["agent_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/fleet.py",
        )
        changes = size.deaths_per_day + size.replaced_per_day * 2
        vms = size.nodes + size.engines
        self._add(
            "entry, agent",
            "VM list read when it changed",
            "changes a day x VMs x bytes / 86400",
            _cite(slopes["vm_bytes"]),
            changes * vms * slopes["vm_bytes"].median / 86400,
            "B/s",
            BYTES_LIMIT,
            "process/vm_view.py",
        )
        reads = (
            size.nodes / vm_view.ENTRY_PERIOD_S
            + size.engines / vm_view.AGENT_PERIOD_S
        )
        self._add(
            "VM list",
            "reads in all (most answer 'unchanged')",
            "entries / period + agents / period",
            f"periods {vm_view.ENTRY_PERIOD_S:g} s and "
            f"{vm_view.AGENT_PERIOD_S:g} s",
            reads,
            "1/s",
            READS_LIMIT,
            "process/vm_view.py",
        )

    def _add_digests(self, heard):
        size = self._size
        others = size.data_centres - 1
        remote = others * fleet_module.CANDIDATES_PER_SERVICE
        remote *= gossip.SPEAKERS / self._entries
        local = (self._entries - 1) * (
            WRAPPING_BYTES + 60 + 5 * (heard + remote)
        )
        self._add(
            "entry",
            "digests to the other entries of the data centre",
            "(entries - 1) x (wrapping + head + 5 x agents told of)",
            "head 60 B, 5 B an unchanged agent",
            self._sum(local / gossip.PERIOD_S),
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py",
        )
        period = gossip.get_remote_period_s(others)
        routes = others * gossip.SPEAKERS * gossip.SPEAKERS / self._entries
        far = WRAPPING_BYTES + 60
        far += 5 * fleet_module.CANDIDATES_PER_SERVICE
        self._add(
            "entry",
            "digests to other data centres",
            "routes of an entry x digest / period",
            f"{routes:.1f} routes every {period:.1f} s",
            self._sum(routes * far / period),
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py",
        )
        for label in ("6_24_3", "12_24_3", "12_48_3", "12_48_6"):
            entries, agents, centres = label.split("_")
            slope = self._slopes[f"entry_bytes_{label}"]
            self._add(
                "entry",
                f"all control sent, measured: {entries} entries, {agents} "
                f"agents, {centres} data centres",
                "measured whole",
                _cite(slope),
                slope.median,
                "B/s",
                BYTES_LIMIT,
                "process/gossip.py, process/limit_owner.py",
            )

    def add_table(self):
        """Add the table's state, readers and changes."""
        slopes, size = self._slopes, self._size
        self._add(
            "entry",
            "organisations of the table",
            "organisations x (memory + published bytes)",
            f"{_cite(slopes['organisation_memory'])}, "
            f"{_cite(slopes['organisation_bytes'])}",
            size.organisations
            * (
                slopes["organisation_memory"].median
                + slopes["organisation_bytes"].median
            )
            / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "version/table.py",
        )
        shard = 2000
        self._add(
            "entry",
            "reading a change of one shard",
            "changes a day x organisations of a shard x time / 86400",
            _cite(slopes["organisation_cpu"]),
            size.changes_per_day
            * shard
            * slopes["organisation_cpu"].median
            / 1e6
            / 86400,
            "core",
            CPU_LIMIT,
            "version/loader.py",
        )
        self._add(
            "entry",
            "a change's bytes: manifest and one shard",
            "changes a day x (shard + 60 x documents) / 86400",
            _cite(slopes["organisation_bytes"]),
            size.changes_per_day
            * (shard * slopes["organisation_bytes"].median + 60 * 30)
            / 86400,
            "B/s",
            BYTES_LIMIT,
            "process/tables.py",
        )
        watchers = tables.WATCHERS_PER_DATA_CENTRE * size.data_centres
        self._add(
            "table watcher",
            "watches waiting, renewed when their wait ends",
            "watchers x data centres / wait",
            f"{watchers} watchers, wait {tables.WATCH_WAIT_S:g} s",
            watchers / tables.WATCH_WAIT_S,
            "1/s",
            READS_LIMIT,
            "process/tables.py",
        )
        self._add(
            "table watcher",
            "reads at a change",
            "watchers x (manifest + documents changed)",
            "2 reads each",
            watchers * 2.0,
            "1/s",
            READS_LIMIT,
            "process/tables.py",
        )
        slope = max(
            (s for name, s in slopes.items() if name.startswith("in_force")),
            key=lambda each: each.high,
        )
        self._add(
            "relay",
            "a change in force everywhere",
            "watch + one digest period per hop; one hop in a data centre",
            _cite(slope),
            slope.high,
            "s",
            IN_FORCE_LIMIT_S,
            "process/tables.py, process/gossip.py",
        )

    def add_limits(self):
        """Add owners, leases and credits."""
        slopes, size = self._slopes, self._size
        active = size.organisations * 0.1
        per_region = active / size.regions
        owners = size.nodes / size.regions
        self._add(
            "limit owner",
            "accounts of active limits (a tenth of the organisations)",
            "active limits of a region x 3 kinds / its entries x memory",
            _cite(slopes["credit_memory"]),
            per_region * 3 / owners * slopes["credit_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limit_owner.py",
        )
        self._add(
            "entry",
            "credits of active limits",
            "active limits of a region x 3 kinds x memory",
            _cite(slopes["credit_memory"]),
            per_region * 3 * slopes["credit_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limits.py",
        )
        batch = 1 / limits_module.BATCH_S
        asks = min(size.requests_per_s / size.nodes, per_region * batch) * 2
        self._add(
            "entry",
            "lease messages at the worst: one a request and kind",
            "requests of an entry x 2 kinds x (payload + wrapping)",
            f"60 B and wrapping {WRAPPING_BYTES} B, leases of "
            f"{limit_owner.LEASE_S:g} s",
            self._sum(asks * (60 + WRAPPING_BYTES)),
            "B/s",
            BYTES_LIMIT,
            "process/limits.py",
        )

    def add_whole(self):
        """Add the sums for a node, and the interpreter's own floor."""
        slopes = self._slopes
        answers = self._entries * (WRAPPING_BYTES + 10)
        self._add(
            "entry",
            "all that an entry sends, at the worst",
            "digests + leases + one answer to each neighbour's digest",
            "the lines above",
            self._entry_bytes + answers / gossip.PERIOD_S,
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py, process/limits.py",
        )
        cpu = max(
            (s for name, s in slopes.items() if name.startswith("cpu_share")),
            key=lambda each: each.high,
        )
        self._add(
            "entry, agent",
            "control processor time, all of it, mean of a node",
            "measured whole, links in memory",
            _cite(cpu),
            cpu.high,
            "core",
            CPU_LIMIT,
            "process/",
        )
        self._add(
            "entry, agent",
            "memory of the interpreter and libraries alone",
            "peak of a process that imported the daemon",
            _cite(slopes["floor_memory"]),
            slopes["floor_memory"].median,
            "MB",
            MEMORY_LIMIT_MB,
            "command/greengagetrackd.py",
        )

    def add_data_path(self):
        """Add what requests cost: this is not control."""
        slopes, size = self._slopes, self._size
        requests = size.requests_per_s / size.nodes
        self._add(
            "entry, data path",
            "routing",
            "requests of an entry x stages x time",
            _cite(slopes["route_cpu"]),
            requests * size.stages * slopes["route_cpu"].median / 1e6,
            "core",
            None,
            "process/routing.py",
        )
        streams = size.tokens_per_s / size.nodes
        per_chunk = max(1.0, streams / (requests * 4) * attempt.PULL_PERIOD_S)
        chunks = streams / per_chunk
        self._add(
            "entry, data path",
            "codec of token chunks",
            "tokens of an entry / tokens of a pull x time",
            _cite(slopes["chunk_codec_cpu"]),
            chunks * slopes["chunk_codec_cpu"].median / 1e6,
            "core",
            None,
            "connection/messages.py",
        )
        per_agent = size.requests_per_s * size.stages / size.engines
        self._add(
            "agent, data path",
            "queue",
            "calls of an agent x time",
            _cite(slopes["queue_cpu"]),
            per_agent * slopes["queue_cpu"].median / 1e6,
            "core",
            None,
            "process/fair_queue.py",
        )
        self._add(
            "agent, data path",
            "attempt records",
            "calls of an agent x retention x memory",
            _cite(slopes["record_memory"]),
            min(4096, per_agent * 60) * slopes["record_memory"].median / MB,
            "MB",
            None,
            "process/attempts.py",
        )

    def render(self):
        """Return the text of the page."""
        head = (
            "| role | what | formula | slope | at the size | limit | margin "
            "| mechanism |\n|---|---|---|---|---|---|---|---|\n"
        )
        rows = "".join(
            "| " + " | ".join(msgspec.structs.astuple(line)) + " |\n"
            for line in self._lines
        )
        measured = self._measured
        return TEMPLATE.read_text(encoding="utf-8").format(
            command=measured.command,
            date=measured.date,
            machine=measured.machine,
            python=measured.python,
            table=head + rows,
            wrapping=WRAPPING_BYTES,
            calls=self._size.requests_per_s
            * self._size.stages
            / self._size.engines,
            open=self._size.requests_per_s / self._size.nodes * 4,
            dc=self._size.requests_per_s / self._size.data_centres,
            **msgspec.structs.asdict(self._size),
        )


def write_page(measured, size=None):
    """Write docs/CAPACITY.md; return its text."""
    size = size or Size()
    page = Page(measured, size)
    page.add_membership()
    page.add_table()
    page.add_limits()
    page.add_whole()
    page.add_data_path()
    text = page.render()
    capacity.PAGE.write_text(text, encoding="utf-8")
    return text
