"""Runs with daemon processes: a load of requests, and injected faults."""

import random
import signal

import httpx
import msgspec
import trio

from bench import caller as caller_module
from bench import cluster as cluster_module
from bench import counts as counts_module
from bench import deployment as deployment_module
from bench import load
from bench import naive
from greengagetrack.request import outcome

READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.5
# Agents refuse idempotency keys for one retry window after their start.
WARM_UP_S = cluster_module.ORDER_WINDOW_S + 2.0
COOL_DOWN_S = 6.0
MAX_ATTEMPTS = 3
RETRY_PAUSE_S = 0.5
SENT_SHARE = 0.15
FAULT_INTERVAL_S = 2.0
TICKET_SHARE = 0.6
KEY_SHARE = 0.3


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault; `target_index` modulo the number of targets selects one."""

    kind: str
    at_s: float
    target_index: int
    active_s: float


class ProcessResult(msgspec.Struct):
    """The result of a run, printed as one line of JSON."""

    run: str
    system: str
    deployment: str
    seed: int
    requests: int
    whole: int
    refused: int
    unknown: int
    lost: int
    misdelivered: int
    doubled_orders: int
    untrue_refusals: int
    cut_streams: int
    work_after_leaving_s: float
    attainment: float
    faults: list[str]
    reasons: dict[str, int]
    doubles: list[str]
    untrue: list[str]


def plan_faults(kinds, seed, duration_s):
    """Return the faults of a run, which depend only on the arguments."""
    generator = random.Random(f"faults-{seed}")
    faults = []
    at_s = FAULT_INTERVAL_S
    while at_s + FAULT_INTERVAL_S < duration_s:
        fault = PlannedFault(
            kind=generator.choice(kinds),
            at_s=at_s,
            target_index=generator.randrange(1000),
            active_s=generator.uniform(1.0, 4.0),
        )
        faults.append(fault)
        at_s += fault.active_s + FAULT_INTERVAL_S
    return faults


class ProcessRun:
    """One run: sends the load, injects the faults, checks the answers."""

    def __init__(self, cluster, system, name, seed, duration_s):
        self._cluster = cluster
        self._system = system
        self._name = name
        self._seed = seed
        self._duration_s = duration_s
        self._caller = caller_module.new_caller()
        self._answers = []
        self._faults = []
        self._work_after_stop_s = []
        self._naive_by_region = {}
        self._entry_kills = []

    async def run(self):
        """Run the load and the faults; return the `ProcessResult`."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                self._cluster.records.executions.clear()
                async with trio.open_nursery() as load_nursery:
                    if self._name == "orders":
                        load_nursery.start_soon(self._inject_faults)
                    await self._send_all(load_nursery)
                await trio.sleep(COOL_DOWN_S)
                result = self._get_result()
            finally:
                await self._cluster.stop()
            nursery.cancel_scope.cancel()
        return result

    async def _start(self, nursery):
        is_naive = self._system == "naive"
        if not is_naive:
            await self._cluster.start(nursery, is_in_process=False)
            await self._wait_until_ready()
            return
        await self._cluster.start_environment(nursery)
        for region in self._cluster.deployment.regions:
            router = naive.NaiveRouter(self._cluster, region)
            self._naive_by_region[region] = router

    async def _wait_until_ready(self):
        agents = len(self._cluster.get_agents())
        async with httpx.AsyncClient(trust_env=False) as client:
            with trio.fail_after(READY_TIMEOUT_S):
                for node in self._cluster.get_entries():
                    url = f"http://127.0.0.1:{node.admin_port}"
                    while await _count_available(client, url) < agents:
                        await trio.sleep(READY_POLL_S)
        await trio.sleep(WARM_UP_S)

    async def _send_all(self, nursery):
        deployment = self._cluster.deployment
        calendars = load.CALENDARS_BY_DEPLOYMENT[deployment.name]
        plans = load.plan_requests(
            calendars[self._seed % len(calendars)],
            deployment.regions,
            self._duration_s,
            self._seed,
        )
        generator = random.Random(f"{self._name}-{self._seed}")
        plans = [plan for plan in plans if generator.random() < SENT_SHARE]
        started_s = trio.current_time()
        for plan in plans:
            # Each request has its own generator, so that the outcome of one
            # does not change the draws of the others.
            request_generator = random.Random(generator.random())
            await trio.sleep_until(started_s + plan.at_s)
            nursery.start_soon(self._send, plan, request_generator)

    async def _send(self, plan, generator):
        marker = caller_module.new_marker()
        if self._system == "naive":
            await self._send_naive(plan, marker)
            return
        if not plan.is_order:
            answer = await self._send_once(plan, marker, generator)
            self._answers.append(answer)
            return
        draw = generator.random()
        ticket, key = "", ""
        if draw < TICKET_SHARE:
            ticket = await self._get_ticket(plan, generator)
        elif draw < TICKET_SHARE + KEY_SHARE:
            key = marker
        for _attempt in range(MAX_ATTEMPTS if ticket or key else 1):
            answer = await self._send_once(
                plan, marker, generator, ticket, key
            )
            self._answers.append(answer)
            if answer.outcome == "whole":
                # Some callers are unsure, and retry after a whole answer.
                if generator.random() < 0.8 or not (ticket or key):
                    return
            await trio.sleep(RETRY_PAUSE_S)

    def _get_urls(self, region, generator):
        """Return entry URLs in the order of a load balancer: local first."""
        entries = [
            node
            for node in self._cluster.get_entries()
            if node.process.poll() is None and not node.is_leaving
        ]
        generator.shuffle(entries)
        entries.sort(key=lambda node: node.region != region)
        return [self._cluster.get_entry_url(node) for node in entries]

    async def _get_ticket(self, plan, generator):
        for url in self._get_urls(plan.region, generator):
            ticket = await self._caller.get_ticket(url, plan)
            if ticket:
                return ticket
        return ""

    async def _send_once(self, plan, marker, generator, ticket="", key=""):
        answer = None
        for url in self._get_urls(plan.region, generator):
            answer = await self._caller.send(url, plan, marker, ticket, key)
            if answer.reason != "not_connected":
                return answer
        return answer

    async def _send_naive(self, plan, marker):
        answer = caller_module.Answer(plan, marker, sent_s=trio.current_time())
        body = msgspec.json.encode({"marker": marker})
        request = naive.NaiveRequest(plan.pipeline, plan.organisation, body)
        router = self._naive_by_region[plan.region]
        tokens = []
        request_outcome = await router.serve(
            request, lambda _offset, new_tokens: tokens.extend(new_tokens)
        )
        answer.latency_s = trio.current_time() - answer.sent_s
        is_whole = isinstance(request_outcome, outcome.Whole)
        answer.outcome = "whole" if is_whole else "unknown"
        self._answers.append(answer)

    async def _inject_faults(self):
        """Inject the faults of the seed at their times."""
        started_s = trio.current_time()
        injectors = {
            "kill_agent": self._kill_agent,
            "kill_backend": self._kill_backend,
            "pause_agent": self._pause_agent,
            "pause_entry": self._pause_entry,
            "drain_agent": self._drain_agent,
            "cut_regions": self._cut_regions,
            "kill_entry": self._kill_entry,
        }
        kinds = list(injectors)
        if self._system == "naive":
            kinds = ["kill_backend", "cut_regions"]
        for fault in plan_faults(kinds, self._seed, self._duration_s):
            await trio.sleep_until(started_s + fault.at_s)
            self._faults.append(fault.kind)
            await injectors[fault.kind](fault)

    def _select_agent(self, fault):
        agents = self._cluster.get_agents()
        return agents[fault.target_index % len(agents)]

    def _select_entry(self, fault):
        entries = self._cluster.get_entries()
        return entries[fault.target_index % len(entries)]

    async def _kill_agent(self, fault):
        await self._kill_and_restart(self._select_agent(fault), fault)

    async def _kill_entry(self, fault):
        node = self._select_entry(fault)
        url = self._cluster.get_entry_url(node)
        self._entry_kills.append((url, trio.current_time(), fault.active_s))
        await self._kill_and_restart(node, fault)

    async def _kill_and_restart(self, node, fault):
        self._cluster.signal_node(node, signal.SIGKILL)
        await trio.sleep(fault.active_s)
        node.process.wait()
        await self._cluster.start_node(node)

    async def _kill_backend(self, fault):
        servers = list(self._cluster.server_by_name.values())
        server = servers[fault.target_index % len(servers)]
        server.condition.is_dead = True
        await trio.sleep(fault.active_s)
        server.condition.is_dead = False

    async def _pause_agent(self, fault):
        await self._pause(self._select_agent(fault), fault)

    async def _pause_entry(self, fault):
        await self._pause(self._select_entry(fault), fault)

    async def _pause(self, node, fault):
        self._cluster.signal_node(node, signal.SIGSTOP)
        await trio.sleep(fault.active_s)
        self._cluster.signal_node(node, signal.SIGCONT)

    async def _drain_agent(self, fault):
        node = self._select_agent(fault)
        server = self._cluster.server_by_name[node.backend.name]
        started_s = trio.current_time()
        code = await self._cluster.stop_node(node)
        self._faults.append(f"drained with exit code {code}")
        self._work_after_stop_s.append(
            max(0.0, server.last_call_s - started_s)
        )
        await self._cluster.start_node(node)

    async def _cut_regions(self, fault):
        first, *others = self._cluster.deployment.regions
        other = others[fault.target_index % len(others)]
        self._cluster.cut(first, other)
        await trio.sleep(fault.active_s)
        self._cluster.restore_links()

    def _get_result(self):
        counts = counts_module.count(
            self._answers,
            self._cluster.records.executions,
            self._cluster.deployment.order_stages,
        )
        self._reclassify_killed_entries(counts)
        count_names = (
            "requests whole refused unknown lost misdelivered "
            "doubled_orders untrue_refusals cut_streams attainment"
        )
        reasons = {}
        for answer in self._answers:
            if answer.outcome != "whole":
                reason = f"{answer.outcome} {answer.reason}"
                reasons[reason] = reasons.get(reason, 0) + 1
        return ProcessResult(
            run=self._name,
            system=self._system,
            deployment=self._cluster.deployment.name,
            seed=self._seed,
            work_after_leaving_s=round(
                max(self._work_after_stop_s, default=0.0), 3
            ),
            faults=self._faults,
            doubles=counts_module.describe_doubled_orders(
                self._answers,
                self._cluster.records.executions,
                self._cluster.deployment.order_stages,
            ),
            untrue=counts_module.describe_untrue_refusals(
                self._answers,
                self._cluster.records.executions,
                self._cluster.deployment.order_stages,
            ),
            reasons=reasons,
            **{name: getattr(counts, name) for name in count_names.split()},
        )

    def _reclassify_killed_entries(self, counts):
        """Count requests lost with a killed entry as unknown, not as lost.

        The connection of a caller breaks when SIGKILL ends its entry, and
        no process remains that could answer.
        """
        for answer in self._answers:
            ended_s = answer.sent_s + answer.latency_s
            was_entry_killed = answer.outcome == "lost" and any(
                answer.url == url
                and killed_s <= ended_s
                and answer.sent_s <= killed_s + active_s
                for url, killed_s, active_s in self._entry_kills
            )
            if was_entry_killed:
                answer.outcome = "unknown"
                counts.lost -= 1
                counts.unknown += 1
                counts.cut_streams -= answer.is_cut


async def _count_available(client, url):
    try:
        response = await client.get(f"{url}/admin/v1/members", timeout=2.0)
    except httpx.HTTPError:
        return 0
    return sum(member["is_available"] for member in response.json())


def run_processes(name, system, deployment_name, seed, duration_s, logs):
    """Return the `ProcessResult` of one run on loopback."""
    deployment = deployment_module.DEPLOYMENT_BY_NAME[deployment_name]
    entries = dict.fromkeys(deployment.regions, 1)
    cluster = cluster_module.Cluster(deployment, entries, logs)
    run = ProcessRun(cluster, system, name, seed, duration_s)
    return trio.run(run.run)
