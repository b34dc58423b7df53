"""The entry in direct mode: its components, admission and draining."""

import logging

import msgspec
import trio

from greengagetrack.process.direct import batcher as batcher_module
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.process.direct import caller_account
from greengagetrack.process.direct import catalog_watcher
from greengagetrack.process.direct import chooser as chooser_module
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import crash_guard
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import durations
from greengagetrack.process.direct import eligibilities
from greengagetrack.process.direct import fetch_time
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import held_bytes
from greengagetrack.process.direct import lifetime_check
from greengagetrack.process.direct import loop_lag
from greengagetrack.process.direct import metrics as metrics_module
from greengagetrack.process.direct import peers as peers_module
from greengagetrack.process.direct import pools as pools_module
from greengagetrack.process.direct import route_explanation
from greengagetrack.process.direct import streams as streams_module
from greengagetrack.process.direct import warming_servers
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import request as request_module
from greengagetrack.request.direct import run as run_module
from greengagetrack.request import outcome
from greengagetrack.version import catalog as catalog_module

RETRY_AFTER_START_MS = 300
RETRY_AFTER_STALE_MS = 500
RETRY_AFTER_DRAINING_MS = 50
IDLE_CHECK_S = 0.5

_Reason = outcome.Reason
_log = logging.getLogger(__name__)


class DirectSettings(msgspec.Struct, frozen=True):
    """Identity and bounds of an entry.

    A revoked key must be refused within `key_bound_s`, and other changes
    must be in force within `change_bound_s`. `cores` is the CPU time
    available to the entry, in cores, `memory_bytes` the memory of its
    machine and `descriptors_max` the files and sockets it may have open. In
    a second all entries together may send a warming server `warming_ratio`
    times what it takes, and `warming_slack` more. An evacuated data centre
    must get nothing any more after `evacuation_bound_s`.
    """

    name: str
    data_centre: str
    peer_address: str
    seeds: tuple[str, ...]
    region_by_data_centre: dict[str, str]
    key_bound_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    change_bound_s: float = 2.5
    cores: float = 1.0
    memory_bytes: float = 256e6
    descriptors_max: int = 4096
    warming_ratio: float = 1.0
    warming_slack: float = 0.0
    evacuation_bound_s: float = 2.5

    def get_source_bound_s(self):
        """Return the time within which all that is published must hold."""
        return min(self.change_bound_s, self.evacuation_bound_s)


class DirectEntry:
    """The components that the requests of one entry share."""

    __slots__ = (
        "_connection_pool",
        "_drain_plan",
        "_eligibilities",
        "_pools",
        "_runs",
        "_services",
        "caller_account",
        "catalog_watcher",
        "directory",
        "containment",
        "lease",
        "metrics",
        "peers",
        "settings",
        "warming",
    )

    def __init__(
        self,
        settings,
        source,
        gateway,
        connection_pool,
        links,
        nursery,
        generator,
        get_digest,
    ):
        self.settings = settings
        self._drain_plan = None
        self._runs = set()
        self._connection_pool = connection_pool
        self.metrics = metrics_module.new_direct_metrics(settings.name)
        self.containment = containment_module.new_containment(self.metrics)
        nursery = containment_module.new_contained_nursery(
            nursery, self.containment, "background"
        )
        self.lease = freshness.new_freshness_lease(
            freshness.get_lease_s(settings.key_bound_s)
        )
        self.warming = warming_servers.new_warming_servers(
            lambda: self.catalog_watcher.get_catalog()
        )
        self.warming.set_bound(settings.warming_ratio, settings.warming_slack)
        self.directory = directory_module.new_directory(
            lambda server: gateway.drop_connections(server.published),
            self.warming,
        )
        gateway.set_observer(self.directory)
        connection_pool.on_idle_closed = self.directory.doubt_address
        connection_pool.error_observer = self.metrics
        self.catalog_watcher = catalog_watcher.new_catalog_watcher(
            source,
            self.directory,
            self.lease,
            settings.get_source_bound_s(),
            generator,
            self.containment,
        )
        self.caller_account = caller_account.new_caller_account(
            settings.memory_bytes, self.get_limits
        )
        get_catalog = self.catalog_watcher.get_catalog
        self._eligibilities = eligibilities.new_eligibilities(
            get_catalog,
            settings.region_by_data_centre,
            self.directory.evacuations.data_centres,
        )
        chooser = chooser_module.new_chooser(
            self.directory,
            get_catalog,
            settings.data_centre,
            settings.region_by_data_centre,
            generator,
        )
        budgets = budget_module.new_retry_budgets(
            settings.budget_ratio,
            settings.budget_slack,
            settings.budget_window_s,
            lambda: self.peers.members.count_entries(),
        )
        guard = crash_guard.new_crash_guard(gateway, nursery, get_digest)
        self.peers = peers_module.new_peers(
            settings,
            links,
            self.lease,
            self.catalog_watcher,
            self.directory,
            guard,
            generator,
            self.containment,
        )
        if self.peers.members.peer_by_address:
            self.catalog_watcher.newest.start_asking()
        guard.announce = self.peers.exchange_now
        self.metrics.watch_warming(
            self.warming.count, self.peers.permits.counts
        )
        self.peers.streams = streams_module.new_streams(
            self.peers.members,
            links,
            self.directory,
            self.catalog_watcher.stream_lives,
            self.catalog_watcher,
            nursery,
            self.containment,
        )
        fetch_times = fetch_time.FetchTimes()
        batcher_dependencies = batcher_module.BatcherDependencies(
            self.directory,
            gateway,
            budgets,
            get_catalog,
            nursery,
            self.peers.permits,
            fetch_times,
        )
        self._pools = pools_module.new_pools(
            settings.data_centre,
            batcher_dependencies,
            self.peers,
            generator,
            self.containment,
            settings.region_by_data_centre,
        )
        self.peers.set_pools(self._pools)
        self._services = run_module.RunServices(
            chooser,
            self.directory,
            fetch_times,
            gateway,
            self._pools,
            budgets,
            self.metrics,
            guard,
            self.peers.permits,
            self.peers.streams,
            lifetime_check.new_lifetime_checks(
                self.directory, gateway, self.catalog_watcher.refresh
            ),
            durations.Durations(),
            held_bytes.new_held_bytes(settings.memory_bytes),
        )

    def apply_bounds(self, settings):
        """Apply the bounds of changed settings; other ones need a restart."""
        # No await: a request sees the old bounds or the new ones.
        self.lease.bound_s = freshness.get_lease_s(settings.key_bound_s)
        self.catalog_watcher.apply_bounds(settings.get_source_bound_s())
        self._services.budgets.set_limits(
            settings.budget_ratio,
            settings.budget_slack,
            settings.budget_window_s,
        )
        self._services.held_bytes.max_bytes = held_bytes.get_max_bytes(
            settings.memory_bytes
        )
        self.caller_account.set_memory(settings.memory_bytes)
        self.warming.set_bound(settings.warming_ratio, settings.warming_slack)
        self.peers.members.weight = settings.cores

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.catalog_watcher.run)
            nursery.start_soon(self._pools.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.peers.streams.run)
            nursery.start_soon(self._drop_idle_connections)
            nursery.start_soon(self.warming.run, self.containment)
            nursery.start_soon(
                loop_lag.watch,
                self.metrics,
                self.directory.doubt_all,
                self.containment,
            )

    async def _drop_idle_connections(self):
        while True:
            await trio.sleep(IDLE_CHECK_S)
            with self.containment.contain("idle_connections"):
                self._connection_pool.drop_expired()

    def get_limits(self):
        """Return the limits on the requests of callers."""
        catalog = self.catalog_watcher.get_catalog()
        if catalog is None:
            return catalog_module.CallerLimits()
        return catalog.limits

    def is_ready(self):
        """Return whether the entry is ready for new callers."""
        if self.is_draining or self.catalog_watcher.get_catalog() is None:
            return False
        return bool(self.directory.server_by_id) and self.lease.is_fresh()

    def is_busy(self):
        """Return whether requests run here, or pieces wait or are made."""
        return bool(self._runs) or self._pools.is_busy()

    @property
    def is_draining(self):
        """Whether the entry is about to stop."""
        return self._drain_plan is not None

    def start_draining(self, plan):
        """Become not ready; refuse and end requests by a `DrainPlan`."""
        self._drain_plan = plan
        for run in self._runs:
            run.shorten_deadline(plan.answer_until_s)
        self.peers.announce_leaving()
        _log.info(
            "draining",
            extra={
                "decision": "drain",
                "request_count": len(self._runs),
                "left_s": round(plan.answer_until_s - trio.current_time(), 2),
            },
        )

    def admit(self, request):
        """Return `Admitted` or `Refused`."""
        if not self._is_accepting():
            return _new_draining_refusal()
        catalog = self.catalog_watcher.get_catalog()
        if catalog is None:
            return outcome.Refused(
                _Reason.NO_TABLE, retry_after_ms=RETRY_AFTER_START_MS
            )
        route = catalog.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unknown(_Reason.PIPELINE_UNKNOWN)
        if route.stages and request.piece_counts is None:
            return outcome.Refused(
                _Reason.BODY_INVALID, "the numbers of pieces can't be read"
            )
        organisation = None
        if catalog.has_organisations and not route.is_public:
            # The caller sent the request before now. If the catalog is
            # fresh now, a revocation that it lacks is recent enough, and
            # the key needs no second check when the request runs.
            if not self.lease.is_fresh():
                return self._refuse_stale()
            organisation = catalog.find_organisation(request.api_key)
            if organisation is None:
                return self._refuse_unknown(_Reason.ORGANISATION_UNKNOWN)
        timeout_ms = route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        deadline = deadline_module.Deadline(
            request.received_s + timeout_ms / 1000
        )
        if self.is_draining:
            needed_s = min(
                self._services.durations.predict_s(route),
                deadline.get_left_s(),
            )
            if not self._is_accepting(needed_s):
                return _new_draining_refusal(f"it may take {needed_s:.2f} s")
        return request_module.Admitted(
            request,
            route,
            organisation,
            deadline,
            catalog.version,
            self._eligibilities.new_request_eligibility(
                request, route, organisation
            ),
        )

    def _is_accepting(self, needed_s=0.0):
        """Return whether a request that needs some time ends before a stop."""
        plan = self._drain_plan
        return plan is None or plan.accepts(trio.current_time(), needed_s)

    def _refuse_unknown(self, reason):
        # A stale catalog may lack a route or key that exists by now.
        if not self.lease.is_fresh():
            return self._refuse_stale()
        return outcome.Refused(reason)

    def _refuse_stale(self):
        return outcome.Refused(
            _Reason.NO_TABLE,
            "the catalog may be out of date",
            RETRY_AFTER_STALE_MS,
        )

    def explain(self, question):
        """Return the `Explanation` of where a request would go now."""
        return route_explanation.explain(
            question,
            self.catalog_watcher.get_catalog(),
            route_explanation.Sources(
                self._eligibilities,
                self.directory,
                self._services.chooser,
                self._pools,
            ),
        )

    async def serve(self, request, reply):
        """Serve one request by way of `reply`; return its outcome."""
        admitted = self.admit(request)
        if isinstance(admitted, outcome.Refused):
            self._record_refusal(request, admitted)
            return admitted
        run = run_module.new_direct_run(self._services, admitted, reply)
        if self.is_draining:
            run.shorten_deadline(self._drain_plan.answer_until_s)
        self._runs.add(run)
        try:
            return await run.run()
        finally:
            self._runs.discard(run)

    def _record_refusal(self, request, refused):
        self.metrics.count_refusal(refused.reason)
        _log.warning(
            "request refused",
            extra={
                "decision": "refuse",
                "request": request.log_id,
                "outcome": refused.reason,
                "detail": refused.detail,
                "host": request.host,
                "retry_after_ms": refused.retry_after_ms,
                "catalog_version": self.catalog_watcher.get_version(),
                "freshness_age_s": self.lease.get_age_s(),
            },
        )


def _new_draining_refusal(detail=""):
    return outcome.Refused(_Reason.DRAINING, detail, RETRY_AFTER_DRAINING_MS)


def new_direct_entry(
    settings,
    source,
    gateway,
    connection_pool,
    links,
    nursery,
    generator,
    get_digest,
):
    """Return an entry whose background calls run in `nursery`.

    `get_digest(data)` returns a keyed digest, the same at all entries.
    """
    return DirectEntry(
        settings,
        source,
        gateway,
        connection_pool,
        links,
        nursery,
        generator,
        get_digest,
    )
