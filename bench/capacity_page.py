"""Writes docs/CAPACITY.md from the measured slopes."""

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

CPU_LIMIT_CORES = 0.019
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT_PER_S = 4096.0
READS_LIMIT_PER_S = 2000.0
IN_FORCE_LIMIT_S = 5.0
MB = 1e6


class Page(lines.PageLines):
    """Computes the rows of the table from the slopes and the size."""

    def add_membership(self):
        """Add the cost of heartbeats, digests and the VM list."""
        slopes, size = self.slopes, self.size
        report_bytes = (
            slopes["report_bytes"].median + lines.MESSAGE_OVERHEAD_BYTES
        )
        targets, period_s = gossip.REPORT_TARGETS, reporter.HEARTBEAT_S
        sent_bytes_per_s = targets * report_bytes / period_s
        self.add(
            "agent",
            "heartbeats sent",
            "targets x (report + overhead) / period",
            f"report {lines.format_slope(slopes['report_bytes'])}, overhead "
            f"{lines.MESSAGE_OVERHEAD_BYTES} B, {targets} targets",
            sent_bytes_per_s,
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/reporter.py",
        )
        reports_per_s = (
            self.agents_per_centre
            * targets
            / self.entries_per_centre
            / period_s
        )
        self.add(
            "entry",
            "heartbeats received",
            "agents of the data centre x targets / entries of it x time",
            lines.format_slope(slopes["report_cpu"]),
            reports_per_s * slopes["report_cpu"].median / 1e6,
            "core",
            CPU_LIMIT_CORES,
            "process/fleet.py",
        )
        self._add_digests(reports_per_s)
        self.add(
            "entry",
            "agent records",
            "engines x bytes of an agent record",
            lines.format_slope(slopes["agent_memory"]),
            size.engines * slopes["agent_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/fleet.py",
        )
        changes_per_day = size.deaths_per_day + size.replaced_per_day * 2
        vms = size.nodes + size.engines
        self.add(
            "entry, agent",
            "VM list, read after a change",
            "changes per day x VMs x bytes / 86400",
            lines.format_slope(slopes["vm_bytes"]),
            changes_per_day * vms * slopes["vm_bytes"].median / 86400,
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/vm_view.py",
        )
        reads_per_s = (
            size.nodes / vm_view.ENTRY_PERIOD_S
            + size.engines / vm_view.AGENT_PERIOD_S
        )
        self.add(
            "VM list",
            "reads of all nodes (most answer 'unchanged')",
            "entries / period + agents / period",
            f"periods {vm_view.ENTRY_PERIOD_S:g} s and "
            f"{vm_view.AGENT_PERIOD_S:g} s",
            reads_per_s,
            "1/s",
            READS_LIMIT_PER_S,
            "process/vm_view.py",
        )

    def _add_digests(self, reports_per_s):
        size = self.size
        other_centres = size.data_centres - 1
        remote_agents = other_centres * fleet_module.CANDIDATES_PER_SERVICE
        remote_agents *= gossip.DELEGATES / self.entries_per_centre
        local_bytes = (self.entries_per_centre - 1) * (
            lines.MESSAGE_OVERHEAD_BYTES
            + 60
            + 5 * (reports_per_s + remote_agents)
        )
        self.add(
            "entry",
            "digests to the other entries of the data centre",
            "(entries - 1) x (overhead + header + 5 x agents listed)",
            "header 60 B, 5 B per unchanged agent",
            self.add_entry_bytes(local_bytes / gossip.DIGEST_PERIOD_S),
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/gossip.py",
        )
        period_s = gossip.get_remote_period_s(other_centres)
        routes = (
            other_centres
            * gossip.DELEGATES
            * gossip.DELEGATES
            / self.entries_per_centre
        )
        digest_bytes = lines.MESSAGE_OVERHEAD_BYTES + 60
        digest_bytes += 5 * fleet_module.CANDIDATES_PER_SERVICE
        self.add(
            "entry",
            "digests to other data centres",
            "routes of an entry x digest / period",
            f"{routes:.1f} routes every {period_s:.1f} s",
            self.add_entry_bytes(routes * digest_bytes / period_s),
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/gossip.py",
        )
        for label in ("6_24_3", "12_24_3", "12_48_3", "12_48_6"):
            entries, agents, data_centres = label.split("_")
            slope = self.slopes[f"entry_bytes_{label}"]
            self.add(
                "entry",
                f"all control sent, measured: {entries} entries, {agents} "
                f"agents, {data_centres} data centres",
                "measured whole",
                lines.format_slope(slope),
                slope.median,
                "B/s",
                BYTES_LIMIT_PER_S,
                "process/gossip.py, process/limit_owner.py",
            )

    def add_table(self):
        """Add the cost of the table: its memory, watches and changes."""
        slopes, size = self.slopes, self.size
        self.add(
            "entry",
            "organisations in the table",
            "organisations x (memory + published bytes)",
            f"{lines.format_slope(slopes['organisation_memory'])}, "
            f"{lines.format_slope(slopes['organisation_bytes'])}",
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
        shard_size = 2000
        self.add(
            "entry",
            "processing a change of one shard",
            "changes per day x organisations of a shard x time / 86400",
            lines.format_slope(slopes["organisation_cpu"]),
            size.changes_per_day
            * shard_size
            * slopes["organisation_cpu"].median
            / 1e6
            / 86400,
            "core",
            CPU_LIMIT_CORES,
            "version/loader.py",
        )
        self.add(
            "entry",
            "bytes of a change: manifest and one shard",
            "changes per day x (shard + 60 x documents) / 86400",
            lines.format_slope(slopes["organisation_bytes"]),
            size.changes_per_day
            * (shard_size * slopes["organisation_bytes"].median + 60 * 30)
            / 86400,
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/tables.py",
        )
        watchers = tables.WATCHERS_PER_DATA_CENTRE * size.data_centres
        self.add(
            "table watcher",
            "long polls, renewed when their wait ends",
            "watchers x data centres / wait",
            f"{watchers} watchers, wait {tables.WATCH_WAIT_S:g} s",
            watchers / tables.WATCH_WAIT_S,
            "1/s",
            READS_LIMIT_PER_S,
            "process/tables.py",
        )
        self.add(
            "table watcher",
            "reads after a change",
            "watchers x (manifest + documents changed)",
            "2 reads per watcher",
            watchers * 2.0,
            "1/s",
            READS_LIMIT_PER_S,
            "process/tables.py",
        )
        in_force_slope = max(
            (s for name, s in slopes.items() if name.startswith("in_force")),
            key=lambda slope: slope.high,
        )
        self.add(
            "relay",
            "time until all entries use a change",
            "watch + one digest period per hop; one hop in a data centre",
            lines.format_slope(in_force_slope),
            in_force_slope.high,
            "s",
            IN_FORCE_LIMIT_S,
            "process/tables.py, process/gossip.py",
        )

    def add_limits(self):
        """Add the cost of limits: accounts, credits and leases."""
        slopes, size = self.slopes, self.size
        active_limits = size.organisations * 0.1
        limits_per_region = active_limits / size.regions
        entries_per_region = size.nodes / size.regions
        self.add(
            "limit owner",
            "accounts of active limits (a tenth of the organisations)",
            "active limits of a region x 3 kinds / its entries x memory",
            lines.format_slope(slopes["credit_memory"]),
            limits_per_region
            * 3
            / entries_per_region
            * slopes["credit_memory"].median
            / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limit_owner.py",
        )
        self.add(
            "entry",
            "credits of active limits",
            "active limits of a region x 3 kinds x memory",
            lines.format_slope(slopes["credit_memory"]),
            limits_per_region * 3 * slopes["credit_memory"].median / MB,
            "MB",
            MEMORY_LIMIT_MB,
            "process/limits.py",
        )
        batches_per_s = 1 / limits_module.LEASE_BATCH_S
        leases_per_s = (
            min(
                size.requests_per_s / size.nodes,
                limits_per_region * batches_per_s,
            )
            * 2
        )
        self.add(
            "entry",
            "lease messages, worst case: one per request and kind",
            "requests of an entry x 2 kinds x (payload + overhead)",
            f"60 B and overhead {lines.MESSAGE_OVERHEAD_BYTES} B, leases of "
            f"{limit_owner.LEASE_S:g} s",
            self.add_entry_bytes(
                leases_per_s * (60 + lines.MESSAGE_OVERHEAD_BYTES)
            ),
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/limits.py",
        )

    def add_totals(self):
        """Add the totals of a node and the memory of the interpreter."""
        slopes = self.slopes
        reply_bytes = self.entries_per_centre * (
            lines.MESSAGE_OVERHEAD_BYTES + 10
        )
        self.add(
            "entry",
            "all that an entry sends, worst case",
            "digests + leases + one reply to each digest of its data centre",
            "the lines above",
            self.entry_bytes_per_s + reply_bytes / gossip.DIGEST_PERIOD_S,
            "B/s",
            BYTES_LIMIT_PER_S,
            "process/gossip.py, process/limits.py",
        )
        cpu_slope = max(
            (s for name, s in slopes.items() if name.startswith("cpu_share")),
            key=lambda slope: slope.high,
        )
        self.add(
            "entry, agent",
            "all control processor time, mean per node",
            "measured whole, with in-memory links",
            lines.format_slope(cpu_slope),
            cpu_slope.high,
            "core",
            CPU_LIMIT_CORES,
            "process/",
        )
        self.add(
            "entry, agent",
            "memory of the interpreter and libraries alone",
            "peak of a process that only imports the daemon",
            lines.format_slope(slopes["floor_memory"]),
            slopes["floor_memory"].median,
            "MB",
            MEMORY_LIMIT_MB,
            "command/standalone.py",
        )

    def add_data_path(self):
        """Add the cost of requests, to which no control limit applies."""
        slopes, size = self.slopes, self.size
        entry_requests_per_s = size.requests_per_s / size.nodes
        self.add(
            "entry, data path",
            "routing",
            "requests of an entry x stages x time",
            lines.format_slope(slopes["route_cpu"]),
            entry_requests_per_s
            * size.stages
            * slopes["route_cpu"].median
            / 1e6,
            "core",
            None,
            "process/routing.py",
        )
        entry_tokens_per_s = size.tokens_per_s / size.nodes
        # A request is assumed to be open for 4 s.
        tokens_per_chunk = max(
            1.0,
            entry_tokens_per_s
            / (entry_requests_per_s * 4)
            * attempt.PULL_PERIOD_S,
        )
        chunks_per_s = entry_tokens_per_s / tokens_per_chunk
        self.add(
            "entry, data path",
            "encoding and decoding of token chunks",
            "tokens of an entry / tokens per pull x time",
            lines.format_slope(slopes["chunk_codec_cpu"]),
            chunks_per_s * slopes["chunk_codec_cpu"].median / 1e6,
            "core",
            None,
            "connection/messages.py",
        )
        calls_per_s = size.requests_per_s * size.stages / size.engines
        self.add(
            "agent, data path",
            "queue",
            "calls of an agent x time",
            lines.format_slope(slopes["queue_cpu"]),
            calls_per_s * slopes["queue_cpu"].median / 1e6,
            "core",
            None,
            "process/fair_queue.py",
        )
        self.add(
            "agent, data path",
            "attempt records",
            "calls of an agent x retention x memory",
            lines.format_slope(slopes["record_memory"]),
            min(4096, calls_per_s * 60) * slopes["record_memory"].median / MB,
            "MB",
            None,
            "process/attempts.py",
        )


def write_page(measured, size=None):
    """Write docs/CAPACITY.md and return its text."""
    size = size or lines.Size()
    page = Page(measured, size)
    page.add_membership()
    page.add_table()
    page.add_limits()
    page.add_totals()
    page.add_data_path()
    text = page.render()
    capacity.PAGE_PATH.write_text(text, encoding="utf-8")
    return text
