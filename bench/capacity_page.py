"""Works docs/CAPACITY.md out from the measured slopes."""

from bench import capacity
from bench import capacity_lines as lines
from greengagetrack.process import fleet as fleet_module
from greengagetrack.process import gossip
from greengagetrack.process import limit_owner
from greengagetrack.process import limits as limits_module
from greengagetrack.process import reporter
from greengagetrack.process import tables
from greengagetrack.process import vm_view
from greengagetrack.request import attempt

CPU_LIMIT = 0.019
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT = 4096.0
READS_LIMIT = 2000.0
IN_FORCE_LIMIT_S = 5.0
MB = 1e6


class Page(lines.PageLines):
    """Works out each line of the page."""

    def add_membership(self):
        """Add heartbeats, digests and the list."""
        slopes, size = self.slopes, self.size
        report = slopes["report_bytes"].median + lines.WRAPPING_BYTES
        targets, period = gossip.REPORT_TARGETS, reporter.HEARTBEAT_S
        sent = targets * report / period
        self.add(
            "agent",
            "heartbeats sent",
            "targets x (report + wrapping) / period",
            f"report {lines.cite(slopes['report_bytes'])}, wrapping "
            f"{lines.WRAPPING_BYTES} B, {targets} targets",
            sent,
            "B/s",
            BYTES_LIMIT,
            "process/reporter.py",
        )
        heard = self.agents * targets / self.entries / period
        self.add(
            "entry",
            "heartbeats taken",
            "agents of the data centre x targets / entries of it x time",
            lines.cite(slopes["report_cpu"]),
            heard * slopes["report_cpu"].median / 1e6,
            "core",
            CPU_LIMIT,
            "process/fleet.py",
        )
        self._add_digests(heard)
        self.add(
            "entry",
            "views of agents",
            "engines x bytes of a view",
            lines.cite(slopes["agent_memory"]),
            size.engines * slopes["agent_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/fleet.py",
        )
        changes = size.deaths_per_day + size.replaced_per_day * 2
        vms = size.nodes + size.engines
        self.add(
            "entry, agent",
            "VM list read when it changed",
            "changes a day x VMs x bytes / 86400",
            lines.cite(slopes["vm_bytes"]),
            changes * vms * slopes["vm_bytes"].median / 86400,
            "B/s",
            BYTES_LIMIT,
            "process/vm_view.py",
        )
        reads = (
            size.nodes / vm_view.ENTRY_PERIOD_S
            + size.engines / vm_view.AGENT_PERIOD_S
        )
        self.add(
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
        size = self.size
        others = size.data_centres - 1
        remote = others * fleet_module.CANDIDATES_PER_SERVICE
        remote *= gossip.DELEGATES / self.entries
        local = (self.entries - 1) * (
            lines.WRAPPING_BYTES + 60 + 5 * (heard + remote)
        )
        self.add(
            "entry",
            "digests to the other entries of the data centre",
            "(entries - 1) x (wrapping + head + 5 x agents told of)",
            "head 60 B, 5 B an unchanged agent",
            self.sum_up(local / gossip.DIGEST_PERIOD_S),
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py",
        )
        period = gossip.get_remote_period_s(others)
        routes = others * gossip.DELEGATES * gossip.DELEGATES / self.entries
        far = lines.WRAPPING_BYTES + 60
        far += 5 * fleet_module.CANDIDATES_PER_SERVICE
        self.add(
            "entry",
            "digests to other data centres",
            "routes of an entry x digest / period",
            f"{routes:.1f} routes every {period:.1f} s",
            self.sum_up(routes * far / period),
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py",
        )
        for label in ("6_24_3", "12_24_3", "12_48_3", "12_48_6"):
            entries, agents, centres = label.split("_")
            slope = self.slopes[f"entry_bytes_{label}"]
            self.add(
                "entry",
                f"all control sent, measured: {entries} entries, {agents} "
                f"agents, {centres} data centres",
                "measured whole",
                lines.cite(slope),
                slope.median,
                "B/s",
                BYTES_LIMIT,
                "process/gossip.py, process/limit_owner.py",
            )

    def add_table(self):
        """Add the table's state, readers and changes."""
        slopes, size = self.slopes, self.size
        self.add(
            "entry",
            "organisations of the table",
            "organisations x (memory + published bytes)",
            f"{lines.cite(slopes['organisation_memory'])}, "
            f"{lines.cite(slopes['organisation_bytes'])}",
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
        self.add(
            "entry",
            "reading a change of one shard",
            "changes a day x organisations of a shard x time / 86400",
            lines.cite(slopes["organisation_cpu"]),
            size.changes_per_day
            * shard
            * slopes["organisation_cpu"].median
            / 1e6
            / 86400,
            "core",
            CPU_LIMIT,
            "version/loader.py",
        )
        self.add(
            "entry",
            "a change's bytes: manifest and one shard",
            "changes a day x (shard + 60 x documents) / 86400",
            lines.cite(slopes["organisation_bytes"]),
            size.changes_per_day
            * (shard * slopes["organisation_bytes"].median + 60 * 30)
            / 86400,
            "B/s",
            BYTES_LIMIT,
            "process/tables.py",
        )
        watchers = tables.WATCHERS_PER_DATA_CENTRE * size.data_centres
        self.add(
            "table watcher",
            "watches waiting, renewed when their wait ends",
            "watchers x data centres / wait",
            f"{watchers} watchers, wait {tables.WATCH_WAIT_S:g} s",
            watchers / tables.WATCH_WAIT_S,
            "1/s",
            READS_LIMIT,
            "process/tables.py",
        )
        self.add(
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
        self.add(
            "relay",
            "a change in force everywhere",
            "watch + one digest period per hop; one hop in a data centre",
            lines.cite(slope),
            slope.high,
            "s",
            IN_FORCE_LIMIT_S,
            "process/tables.py, process/gossip.py",
        )

    def add_limits(self):
        """Add owners, leases and credits."""
        slopes, size = self.slopes, self.size
        active = size.organisations * 0.1
        per_region = active / size.regions
        owners = size.nodes / size.regions
        self.add(
            "limit owner",
            "accounts of active limits (a tenth of the organisations)",
            "active limits of a region x 3 kinds / its entries x memory",
            lines.cite(slopes["credit_memory"]),
            per_region * 3 / owners * slopes["credit_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limit_owner.py",
        )
        self.add(
            "entry",
            "credits of active limits",
            "active limits of a region x 3 kinds x memory",
            lines.cite(slopes["credit_memory"]),
            per_region * 3 * slopes["credit_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limits.py",
        )
        batch = 1 / limits_module.LEASE_BATCH_S
        asks = min(size.requests_per_s / size.nodes, per_region * batch) * 2
        self.add(
            "entry",
            "lease messages at the worst: one a request and kind",
            "requests of an entry x 2 kinds x (payload + wrapping)",
            f"60 B and wrapping {lines.WRAPPING_BYTES} B, leases of "
            f"{limit_owner.LEASE_S:g} s",
            self.sum_up(asks * (60 + lines.WRAPPING_BYTES)),
            "B/s",
            BYTES_LIMIT,
            "process/limits.py",
        )

    def add_whole(self):
        """Add the sums for a node, and the interpreter's own floor."""
        slopes = self.slopes
        answers = self.entries * (lines.WRAPPING_BYTES + 10)
        self.add(
            "entry",
            "all that an entry sends, at the worst",
            "digests + leases + one answer to each neighbour's digest",
            "the lines above",
            self.entry_bytes + answers / gossip.DIGEST_PERIOD_S,
            "B/s",
            BYTES_LIMIT,
            "process/gossip.py, process/limits.py",
        )
        cpu = max(
            (s for name, s in slopes.items() if name.startswith("cpu_share")),
            key=lambda each: each.high,
        )
        self.add(
            "entry, agent",
            "control processor time, all of it, mean of a node",
            "measured whole, links in memory",
            lines.cite(cpu),
            cpu.high,
            "core",
            CPU_LIMIT,
            "process/",
        )
        self.add(
            "entry, agent",
            "memory of the interpreter and libraries alone",
            "peak of a process that imported the daemon",
            lines.cite(slopes["floor_memory"]),
            slopes["floor_memory"].median,
            "MB",
            MEMORY_LIMIT_MB,
            "command/standalone.py",
        )

    def add_data_path(self):
        """Add what requests cost: this is not control."""
        slopes, size = self.slopes, self.size
        requests = size.requests_per_s / size.nodes
        self.add(
            "entry, data path",
            "routing",
            "requests of an entry x stages x time",
            lines.cite(slopes["route_cpu"]),
            requests * size.stages * slopes["route_cpu"].median / 1e6,
            "core",
            None,
            "process/routing.py",
        )
        streams = size.tokens_per_s / size.nodes
        per_chunk = max(1.0, streams / (requests * 4) * attempt.PULL_PERIOD_S)
        chunks = streams / per_chunk
        self.add(
            "entry, data path",
            "codec of token chunks",
            "tokens of an entry / tokens of a pull x time",
            lines.cite(slopes["chunk_codec_cpu"]),
            chunks * slopes["chunk_codec_cpu"].median / 1e6,
            "core",
            None,
            "connection/messages.py",
        )
        per_agent = size.requests_per_s * size.stages / size.engines
        self.add(
            "agent, data path",
            "queue",
            "calls of an agent x time",
            lines.cite(slopes["queue_cpu"]),
            per_agent * slopes["queue_cpu"].median / 1e6,
            "core",
            None,
            "process/fair_queue.py",
        )
        self.add(
            "agent, data path",
            "attempt records",
            "calls of an agent x retention x memory",
            lines.cite(slopes["record_memory"]),
            min(4096, per_agent * 60) * slopes["record_memory"].median / MB,
            "MB",
            None,
            "process/attempts.py",
        )


def write_page(measured, size=None):
    """Write docs/CAPACITY.md; return its text."""
    size = size or lines.Size()
    page = Page(measured, size)
    page.add_membership()
    page.add_table()
    page.add_limits()
    page.add_whole()
    page.add_data_path()
    text = page.render()
    capacity.PAGE_PATH.write_text(text, encoding="utf-8")
    return text
