"""Demo requests to both deployments: streams, orders and a failover."""

import logging

import msgspec
import rich.console
import trio

from bench import caller as caller_module
from bench import cluster as cluster_module
from bench import counts as counts_module
from bench import deployment as deployment_module
from bench import site_demo

READY_TIMEOUT_S = 40.0
READY_POLL_S = 0.25
LEASE_WAIT_S = 5.0
KILL_AFTER_TOKENS = 40
TOKENS_SHOWN = 8

_log = logging.getLogger(__name__)


class Summary(msgspec.Struct):
    """The JSON result of the demo."""

    requests: int
    whole: int
    refused: int
    unknown: int
    misdelivered: int
    doubled_orders: int
    untrue_refusals: int
    attainment: float
    platform_requests: int = 0
    platform_wrong: int = 0


class DemoSession:
    """Sends the requests of the demo and prints each answer."""

    def __init__(self, console, clusters):
        self._console = console
        self._clusters = clusters
        self._token_count = 0
        self._pending_kill = None
        self._caller = caller_module.new_caller(self._show_tokens)
        self.answers = []

    def _show_tokens(self, tokens):
        # The first tokens suffice to show that the text is streamed.
        first_tokens = tokens[: max(TOKENS_SHOWN - self._token_count, 0)]
        self._console.print("".join(first_tokens), end="", style="green")
        self._token_count += len(tokens)
        if (
            self._pending_kill is not None
            and self._token_count >= KILL_AFTER_TOKENS
        ):
            self._pending_kill()
            self._pending_kill = None

    async def send_request(
        self, cluster, title, plan, marker=None, ticket="", key=""
    ):
        """Send one request, print its answer and return it."""
        self._token_count = 0
        self._console.rule(f"{cluster.deployment.name}: {title}")
        entry = cluster.get_entries()[0]
        marker = marker or caller_module.new_marker()
        answer = await self._caller.send(
            cluster.get_entry_url(entry), plan, marker, ticket, key
        )
        self.answers.append(answer)
        style = "bold" if answer.outcome == "whole" else "bold red"
        length = (
            f"... {self._token_count} tokens\n" if self._token_count else ""
        )
        self._console.print(
            f"{length}{answer.outcome} {answer.reason} "
            f"in {answer.latency_s * 1000:.0f} ms",
            style=style,
        )
        return answer

    async def get_ticket(self, cluster, plan):
        """Return a ticket for one order."""
        entry = cluster.get_entries()[0]
        url = cluster.get_entry_url(entry)
        token = await self._caller.get_ticket(url, plan)
        self._console.print(f"ticket {token[:24]}...")
        return token

    def schedule_engine_kill(self, cluster, service):
        """Kill the service's busiest engine once some tokens have arrived."""

        def kill():
            engines = [
                server
                for server in cluster.server_by_name.values()
                if server.service == service
            ]
            busiest = max(engines, key=lambda server: server.running)
            busiest.condition.is_dead = True
            self._console.print(f"\n[{busiest.name} killed]", style="red")

        self._pending_kill = kill


def _new_plan(pipeline, organisation, region, deadline_ms, **options):
    return caller_module.PlannedRequest(
        pipeline, organisation, region, deadline_ms=deadline_ms, **options
    )


async def _run_kitamura(session, cluster):
    region = cluster.deployment.regions[0]
    sheet = _new_plan("product-sheet", "workshop", region, 5000, tokens=160)
    await session.send_request(cluster, "a long product sheet", sheet)
    engraving = _new_plan("engraving", "otaru-stall", region, 2000, tokens=24)
    await session.send_request(cluster, "an engraving message", engraving)
    order = _new_plan("order", "wholesale", region, 3000, is_order=True)
    ticket = await session.get_ticket(cluster, order)
    first = await session.send_request(
        cluster, "an order", order, ticket=ticket
    )
    await session.send_request(
        cluster, "the same order again", order, first.marker, ticket
    )
    stock = _new_plan("stock", "field-staff", region, 2000)
    await session.send_request(cluster, "a stock query", stock)
    session.schedule_engine_kill(cluster, "writer")
    await session.send_request(
        cluster, "a sheet whose engine is killed", sheet
    )


async def _run_federation(session, cluster):
    region = cluster.deployment.regions[0]
    certificate = _new_plan(
        "certificate", "kit-makers", region, 5000, tokens=160
    )
    await session.send_request(cluster, "a certificate of origin", certificate)
    buyer = _new_plan("buyer-answer", "buyers-abroad", region, 3000, tokens=64)
    await session.send_request(cluster, "an answer to a buyer", buyer)
    kit = _new_plan("kit-order", "kit-makers", region, 3000, is_order=True)
    ticket = await session.get_ticket(cluster, kit)
    first = await session.send_request(
        cluster, "a kit order", kit, ticket=ticket
    )
    await session.send_request(
        cluster, "the same kit order again", kit, first.marker, ticket
    )


async def wait_until_ready(clusters):
    """Wait until every entry sees every agent; return False on timeout."""
    with trio.move_on_after(READY_TIMEOUT_S):
        while not all(_is_ready(cluster) for cluster in clusters):
            await trio.sleep(READY_POLL_S)
        # Limits can be used one lease period after the start.
        await trio.sleep(LEASE_WAIT_S)
        return True
    return False


def _is_ready(cluster):
    return all(
        agent.is_available()
        for node in cluster.get_entries()
        for agent in node.process.fleet.agent_by_name.values()
    ) and all(
        len(node.process.fleet.agent_by_name) == len(cluster.get_agents())
        for node in cluster.get_entries()
    )


def summarise(answers, clusters):
    """Return the `Summary` and whether all answers were whole and correct."""
    executions = [
        execution
        for cluster in clusters
        for execution in cluster.records.executions
    ]
    stages = frozenset().union(
        *(cluster.deployment.order_stages for cluster in clusters)
    )
    counts = counts_module.count(answers, executions, stages)
    count_names = [field.name for field in msgspec.structs.fields(counts)]
    summary = Summary(
        **{
            name: getattr(counts, name)
            for name in Summary.__struct_fields__
            if name in count_names
        }
    )
    has_passed = (
        counts.count_violations() == 0 and counts.whole == counts.requests
    )
    return summary, has_passed


async def run_demo(console, log_folder=None):
    """Run the demo and return `(summary, has_passed)`."""
    clusters = [
        cluster_module.Cluster(
            deployment,
            {deployment.regions[0]: 1, deployment.regions[1]: 1},
            log_folder,
        )
        for deployment in (
            deployment_module.KITAMURA,
            deployment_module.FEDERATION,
        )
    ]
    async with trio.open_nursery() as nursery:
        console.print("Starting both deployments on loopback ...")
        for cluster in clusters:
            await cluster.start(nursery)
        if not await wait_until_ready(clusters):
            console.print(
                "Not all agents reported before the timeout.", style="red"
            )
        session = DemoSession(console, clusters)
        await _run_kitamura(session, clusters[0])
        await _run_federation(session, clusters[1])
        summary, has_passed = summarise(session.answers, clusters)
        nursery.cancel_scope.cancel()
    requests, failed = await site_demo.run_site_demo(console)
    summary.platform_requests, summary.platform_wrong = requests, failed
    return summary, has_passed and not failed


def new_console():
    """Return the console that the demo prints to: standard error."""
    return rich.console.Console(stderr=True, highlight=False)
