"""Runs an experiment on a mock clock: one system, calendar and fault.

Entries and agents are real; links and backend servers are in memory, so a
result does not depend on the load of the machine. The seed determines the
arrivals. Tasks that are ready at the same time run in any order, so two
runs with one seed differ a little.
"""

import msgspec
import trio
import trio.testing

from bench import caller as caller_module
from bench import counts as counts_module
from bench import deployment as deployment_module
from bench import faults
from bench import load
from bench import naive
from bench.standins import records as records_module
from bench import virtual
from greengagetrack.process import placement
from greengagetrack.request import outcome
from greengagetrack.version import folder

WARM_UP_S = 20.0
COOL_DOWN_S = 8.0
ENTRIES_PER_REGION = 2


class Result(msgspec.Struct):
    """The result of one experiment."""

    system: str
    deployment: str
    calendar: str
    fault: str
    seed: int
    counts: counts_module.Counts
    missed: int
    cross_region_bytes: int
    engine_seconds: float
    seconds_by_stage: dict[str, float]
    reasons: dict[str, int]
    answers: list[caller_module.Answer] = []


class ExperimentCluster(virtual.VirtualCluster):
    """A virtual cluster with the operations that faults need."""

    def __init__(self, nursery, deployment):
        super().__init__(nursery, deployment, ENTRIES_PER_REGION)
        self.cut_pairs = set()
        self.table, _findings = folder.build_from_folder(
            deployment.get_table_folder()
        )

    def cut(self, region, other):
        """Cut the links between two regions."""
        self.cut_pairs.add(frozenset((region, other)))
        super().cut(region, other)

    def restore_links(self):
        """Restore the links between all regions."""
        self.cut_pairs.clear()
        self.network.restore_links()

    def is_cut(self, region, other):
        """Return whether the links between two regions are cut."""
        return frozenset((region, other)) in self.cut_pairs

    def count_cross_region_bytes(self, size):
        """Count bytes between regions that did not use the links."""
        self.network.cross_region_bytes += size

    def restart_entry(self, region):
        """Kill one running entry of a region and start it again."""
        for node in self.node_by_name.values():
            is_entry = node.vm.role == "entry" and node.vm.region == region
            if is_entry and node.is_running():
                self.kill_node(node)
                self._nursery.start_soon(self.start_node, node)
                return

    def load_planned_models(self):
        """Load on every engine the model of its placement plan."""
        for region in self.deployment.regions:
            for service_spec in self.deployment.services:
                agents = [
                    f"{spec.name}-agent"
                    for spec in deployment_module.get_backends(self.deployment)
                    if spec.service == service_spec and spec.region == region
                ]
                service = self.table.service_by_name[service_spec.name]
                plan = placement.get_plan(service_spec.name, service, agents)
                for agent, model in plan.items():
                    name = agent.removesuffix("-agent")
                    self.server_by_name[name].model = model


class Experiment:
    """Sends the requests of a calendar to one system and checks them."""

    def __init__(self, system, deployment, calendar, fault, seed, duration_s):
        self._system = system
        self._deployment = deployment
        self._calendar = calendar
        self._fault = fault
        self._seed = seed
        self._duration_s = duration_s
        self._answers = []
        self._send_count = 0
        self._naive_by_region = {}
        self._cluster = None

    async def run(self):
        """Return the `Result`."""
        async with trio.open_nursery() as nursery:
            self._cluster = ExperimentCluster(nursery, self._deployment)
            self._cluster.load_planned_models()
            await self._start()
            await trio.sleep(WARM_UP_S)
            self._cluster.records.executions.clear()
            self._cluster.network.cross_region_bytes = 0
            nursery.start_soon(
                faults.inject, self._fault, self._cluster, self._duration_s
            )
            await self._send_all(nursery)
            await trio.sleep(COOL_DOWN_S)
            result = self._get_result()
            nursery.cancel_scope.cancel()
        return result

    async def _start(self):
        if self._system == "greengagetrack":
            await self._cluster.start()
            return
        for region in self._deployment.regions:
            router = naive.NaiveRouter(self._cluster, region)
            self._naive_by_region[region] = router

    def _get_router(self, region):
        if self._system == "naive":
            return self._naive_by_region[region]
        nodes = [
            node
            for node in self._cluster.node_by_name.values()
            if node.vm.role == "entry" and node.is_running()
        ]
        local = [node for node in nodes if node.vm.region == region]
        ready = [node for node in local or nodes if node.process.is_ready()]
        self._send_count += 1
        return (ready or nodes)[self._send_count % len(ready or nodes)].process

    async def _send_all(self, nursery):
        plans = load.plan_requests(
            self._calendar,
            self._deployment.regions,
            self._duration_s,
            self._seed,
        )
        started_s = trio.current_time()
        for index, plan in enumerate(plans):
            await trio.sleep_until(started_s + plan.at_s)
            nursery.start_soon(self._send, nursery, plan, f"m{index}")

    async def _send(self, nursery, plan, marker):
        answer = caller_module.Answer(plan, marker, sent_s=trio.current_time())
        self._answers.append(answer)
        tokens = []
        done = trio.Event()
        router = self._get_router(plan.region)
        ticket = ""
        if plan.is_order and self._system == "greengagetrack":
            token = await router.issue_ticket(plan.pipeline, plan.organisation)
            ticket = token if isinstance(token, str) else ""
        spent_ms = (trio.current_time() - answer.sent_s) * 1000
        request = self._cluster.new_request(
            plan.pipeline,
            plan.organisation,
            marker,
            budget_ms=max(1, int(plan.deadline_ms - spent_ms)),
            ticket=ticket,
        )

        async def serve():
            request_outcome = await router.serve(
                request, lambda offset, new_tokens: tokens.extend(new_tokens)
            )
            self._check_outcome(answer, request_outcome, tokens)
            done.set()

        nursery.start_soon(serve)
        with trio.move_on_after(plan.deadline_ms / 1000 + 2.0):
            await done.wait()

    def _check_outcome(self, answer, request_outcome, tokens):
        answer.latency_s = trio.current_time() - answer.sent_s
        if not isinstance(request_outcome, outcome.Whole):
            answer.outcome = type(request_outcome).__name__.lower()
            answer.reason = str(request_outcome.reason)
            answer.ran = str(outcome.get_ran(request_outcome))
            return
        result = msgspec.json.decode(request_outcome.result)
        count = answer.plan.tokens
        if count:
            text = records_module.get_text(answer.marker, count)
            is_correct = result["text"] == text == "".join(tokens)
        else:
            is_correct = result["marker"] == answer.marker
        answer.is_misdelivered = not is_correct
        answer.outcome = "whole" if is_correct else "wrong"

    def _get_result(self):
        executions = self._cluster.records.executions
        counts = counts_module.count(
            self._answers, executions, self._deployment.order_stages
        )
        engine_services = {
            service.name
            for service in self._deployment.services
            if service.kind == "engine"
        }
        seconds_by_stage = {}
        for execution in executions:
            seconds = seconds_by_stage.get(execution.stage, 0.0)
            seconds += execution.engine_ms / 1000
            seconds_by_stage[execution.stage] = round(seconds, 3)
        reasons = {}
        for answer in self._answers:
            if answer.outcome != "whole":
                reason = answer.reason or answer.outcome
                reasons[reason] = reasons.get(reason, 0) + 1
        return Result(
            system=self._system,
            deployment=self._deployment.name,
            calendar=self._calendar.name,
            fault=self._fault,
            seed=self._seed,
            counts=counts,
            missed=counts.requests - counts.in_time,
            cross_region_bytes=self._cluster.network.cross_region_bytes,
            engine_seconds=sum(
                execution.engine_ms / 1000
                for execution in executions
                if execution.service in engine_services
            ),
            seconds_by_stage=seconds_by_stage,
            reasons=reasons,
            answers=self._answers,
        )


def run_experiment(system, deployment_name, fault, seed, duration_s):
    """Return the `Result` of one experiment on a mock clock."""
    deployment = deployment_module.DEPLOYMENT_BY_NAME[deployment_name]
    calendars = load.CALENDARS_BY_DEPLOYMENT[deployment_name]
    experiment = Experiment(
        system,
        deployment,
        calendars[seed % len(calendars)],
        fault,
        seed,
        duration_s,
    )
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(experiment.run, clock=clock)
