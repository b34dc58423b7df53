"""The entry, which admits requests and runs their pipelines."""

import itertools
import logging

import msgspec
import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base as link_base
from greengagetrack.connection import messages
from greengagetrack.process import admission
from greengagetrack.process import fleet as fleet_module
from greengagetrack.process import gossip
from greengagetrack.process import limit_owner
from greengagetrack.process import limits as limits_module
from greengagetrack.process import metrics as metrics_module
from greengagetrack.process import routing
from greengagetrack.process import tables
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.request import budget
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request import outcome
from greengagetrack.request import pipeline as pipeline_module
from greengagetrack.request import stage as stage_module

TICKET_TIMEOUT_S = 1.0
TICKET_ATTEMPTS_MAX = 3
INITIAL_FETCH_TIMEOUT_S = 1.0
INITIAL_FETCH_RETRY_S = 0.1
READY_TIMEOUT_S = 10.0
DRAIN_CHECK_S = 0.05
LISTEN_GRACE_S = 2.0

_Reason = outcome.Reason
_log = logging.getLogger(__name__)


class Place(msgspec.Struct, frozen=True):
    """The name, location and incarnation of a process."""

    name: str
    region: str
    data_centre: str
    incarnation: str
    rtt_ms_by_region: dict[str, float] = {}


class Entry:
    """An entry process, and the state that its requests share."""

    __slots__ = (
        "_admission",
        "_background",
        "_gossip",
        "_links",
        "_started_s",
        "_ticket_keys",
        "fleet",
        "in_progress",
        "is_draining",
        "limit_owner",
        "limits",
        "metrics",
        "place",
        "router",
        "services",
        "table_updater",
        "vm_view",
    )

    def __init__(
        self, place, links, vm_view, table_updater, ticket_keys, seed
    ):
        self.place = place
        self.vm_view = vm_view
        self.table_updater = table_updater
        self.fleet = fleet_module.new_fleet(vm_view)
        self.metrics = metrics_module.new_metrics(place.name)
        self.in_progress = 0
        self.is_draining = False
        self._links = links
        self._ticket_keys = ticket_keys
        self._started_s = trio.current_time()
        get_table = table_updater.get_table
        self.router = routing.new_router(
            self.fleet, place.region, place.rtt_ms_by_region, get_table, seed
        )
        self.limit_owner = limit_owner.new_limit_owner(
            place.name, place.region, vm_view, links, get_table
        )
        self.limits = limits_module.new_limits(
            place.name,
            place.region,
            self.limit_owner,
            vm_view,
            links,
            get_table,
        )
        self._admission = admission.new_admission(
            get_table, self.limits, self.router
        )
        self._gossip = gossip.new_gossip(
            place, self.fleet, vm_view, links, table_updater
        )
        self._background = None
        self.services = None

    async def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, agent_messages.Report):
            return self._handle_report(message)
        if isinstance(message, agent_messages.Digest):
            return self._handle_digest(message)
        if isinstance(message, agent_messages.LeaseRequest):
            return await self.limit_owner.handle_lease_request(message)
        if isinstance(message, agent_messages.HandOverLimits):
            self.limit_owner.relinquish(message.entry)
            return agent_messages.Acknowledgement(
                self.table_updater.get_version()
            )
        if isinstance(message, agent_messages.FetchManifest):
            return self.table_updater.get_manifest()
        if isinstance(message, agent_messages.FetchDocument):
            return self.table_updater.get_document(message)
        return messages.Rejected("an entry does not answer this message")

    def _handle_report(self, report):
        self.fleet.apply_report(report)
        self._record_table_version(report.agent, report.table_version)
        return agent_messages.Acknowledgement(self.table_updater.get_version())

    def _handle_digest(self, digest):
        vm = self.vm_view.vm_by_name.get(digest.entry)
        if vm is None:
            return agent_messages.Acknowledgement(
                self.table_updater.get_version()
            )
        own_data_centre = self.place.data_centre
        report_timeout_s = gossip.get_report_timeout_s(
            self.vm_view, own_data_centre, vm.data_centre
        )
        is_from_delegate = vm.data_centre != own_data_centre
        self.fleet.apply_digest(digest, report_timeout_s, is_from_delegate)
        unknown = self.fleet.apply_unchanged(
            digest.unchanged, report_timeout_s, is_from_delegate
        )
        self._record_table_version(digest.entry, digest.table_version)
        return agent_messages.Acknowledgement(
            self.table_updater.get_version(), unknown
        )

    def _record_table_version(self, name, version):
        address = self.vm_view.get_address(name)
        is_entry = address and self.vm_view.vm_by_name[name].role == "entry"
        # An agent's table has no organisations, so it is not fetched.
        if is_entry:
            self.table_updater.record_peer_version(version, address)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the tasks of the entry until cancelled."""
        async with trio.open_nursery() as nursery:
            self._background = nursery
            self.services = self._new_services(nursery)
            await nursery.start(self.vm_view.run)
            nursery.start_soon(self._watch_vm_list)
            nursery.start_soon(self._watch_table)
            nursery.start_soon(self.table_updater.fetch_announced)
            await self._fetch_initial_table()
            nursery.start_soon(self.table_updater.watch_config)
            nursery.start_soon(self.limit_owner.run_handover)
            nursery.start_soon(self.limits.run)
            nursery.start_soon(self._gossip.run)
            task_status.started()

    def _new_services(self, nursery):
        return stage_module.StageServices(
            entry=self.place.incarnation,
            attempt_numbers=itertools.count(1),
            router=self.router,
            links=self._links,
            fleet=self.fleet,
            retry_budget=budget.new_work_budget(0.1),
            hedge_budget=budget.new_work_budget(0.05),
            metrics=self.metrics,
            background=nursery,
            acknowledged_by_agent={},
            get_table_version=self.table_updater.get_version,
        )

    async def _watch_vm_list(self):
        while True:
            changed = self.vm_view.changed
            self.fleet.sync()
            # Open links before the first request needs them.
            addresses = {
                vm.address
                for vm in self.vm_view.vm_by_name.values()
                if vm.name != self.place.name
            }
            for address in addresses:
                self._links.get_link(address)
            self._links.keep_only(addresses)
            await changed.wait()

    async def _watch_table(self):
        while True:
            accepted = self.table_updater.accepted
            table = self.table_updater.get_table()
            if table is not None:
                self.services.retry_budget.share = table.policy.retry_budget
                self.services.hedge_budget.share = table.policy.hedge_budget
            await accepted.wait()

    async def _fetch_initial_table(self):
        """Get a table no older than that of any reachable local entry."""
        await self.table_updater.read_config_once()
        entries = self.vm_view.get_entries(self.place.data_centre)
        with trio.move_on_after(INITIAL_FETCH_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for vm in entries:
                    if vm.name != self.place.name:
                        nursery.start_soon(self._fetch_table_from, vm.address)

    async def _fetch_table_from(self, address):
        while not await self.table_updater.fetch(address):
            await trio.sleep(INITIAL_FETCH_RETRY_S)

    def is_ready(self):
        """Return whether this entry is ready for callers."""
        table = self.table_updater.get_table()
        if self.is_draining or table is None:
            return False
        return (
            self._has_available_agents(table) or self._is_ready_timeout_over()
        )

    def _has_available_agents(self, table):
        """Return whether each service with agents has an available one."""
        return all(
            self.fleet.get_available(service)
            for service in table.service_by_name
            if self.fleet.get_agents(service)
        )

    def _is_ready_timeout_over(self):
        # A service whose agents are all down must not block readiness.
        return trio.current_time() - self._started_s >= READY_TIMEOUT_S

    async def serve(self, request, on_tokens):
        """Return the outcome of one request of a caller."""
        self.in_progress += 1
        try:
            admitted = await self._admission.admit(request)
            if isinstance(admitted, outcome.Refused):
                self._log_refusal(request, admitted)
                return self._get_refusal_outcome(request, admitted)
            run = pipeline_module.new_pipeline_run(
                self.services,
                admitted,
                self.vm_view,
                self._ticket_keys,
                on_tokens,
            )
            return await run.run()
        finally:
            self.in_progress -= 1

    def _get_refusal_outcome(self, request, refused):
        """Return `Unknown` if an earlier attempt of an order may have run."""
        return (
            outcome.to_unknown(refused)
            if request.has_order_claim()
            else refused
        )

    def _log_refusal(self, request, refused):
        self.metrics.record_outcome(request, refused, 0.0)
        _log.info(
            "request refused",
            extra={
                "decision": "refuse",
                "request": request.request_id,
                "pipeline": request.pipeline,
                "organisation": request.organisation,
                "outcome": refused.reason,
                "detail": refused.detail,
                "retry_after_ms": refused.retry_after_ms,
                "table_version": self.table_updater.get_version(),
            },
        )

    async def issue_ticket(self, pipeline_name, organisation):
        """Return the token of a ticket for one order, or `Refused`."""
        table = self.table_updater.get_table()
        if self.is_draining or table is None:
            return outcome.Refused(_Reason.DRAINING)
        pipeline = table.pipeline_by_name.get(pipeline_name)
        if pipeline is None:
            return outcome.Refused(_Reason.PIPELINE_UNKNOWN)
        if table.get_plan(organisation) is None:
            return outcome.Refused(_Reason.ORGANISATION_UNKNOWN)
        for stage in routing.get_pipeline_stages(pipeline_name, pipeline):
            if not stage.stage.repeatable:
                return await self._request_ticket(
                    stage, pipeline_name, organisation
                )
        detail = f"Pipeline '{pipeline_name}' needs no ticket."
        return outcome.Refused(_Reason.TICKET_MISMATCH, detail)

    async def _request_ticket(self, stage, pipeline_name, organisation):
        deadline = deadline_module.new_deadline(TICKET_TIMEOUT_S * 1000)
        excluded = set()
        for _attempt in range(TICKET_ATTEMPTS_MAX):
            choice = self.router.choose(stage, deadline, excluded)
            if choice is None:
                break
            excluded.add(choice.agent.name)
            message = agent_messages.IssueTicket(
                incarnation=choice.agent.incarnation,
                service=stage.stage.service,
                pipeline=pipeline_name,
                organisation=organisation,
            )
            link = self._links.get_link(choice.agent.address)
            reply = await link.request(message, TICKET_TIMEOUT_S)
            if isinstance(reply, agent_messages.Ticket) and reply.token:
                return reply.token
            if isinstance(reply, link_base.Lost):
                choice.agent.record_failure()
        return outcome.Refused(_Reason.NO_CAPACITY)

    def start_draining(self):
        """Refuse new requests from now on."""
        self.is_draining = True
        self._admission.is_draining = True
        _log.info("draining", extra={"decision": "drain"})

    async def wait_drained(self, limit_s):
        """Wait for the requests in progress; return whether all have ended."""
        with trio.move_on_after(limit_s):
            while self.in_progress:
                await trio.sleep(DRAIN_CHECK_S)
        return self.in_progress == 0

    def drop_soft_state(self):
        """Drop the state that may be outdated after a pause."""
        self.fleet.mark_all_silent()
        self.limits.drop_leases()
        self.vm_view.mark_stale()


def new_entry(place, links, vm_view, table_updater, ticket_keys, seed=None):
    """Return an entry; the caller starts its peer server, then runs it."""
    return Entry(place, links, vm_view, table_updater, ticket_keys, seed)


def new_entry_dependencies(place, config, vm_list, link_factory, seed=None):
    """Return `(links, vm_view, table_updater)` for an entry."""
    links = link_base.new_links(link_factory)
    vm_view = vm_view_module.new_vm_view(
        vm_list, vm_view_module.ENTRY_PERIOD_S, seed
    )
    updater = tables.new_table_updater(
        place.name, place.data_centre, config, vm_view, links, False, seed
    )
    return links, vm_view, updater
