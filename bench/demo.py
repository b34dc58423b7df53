"""The tour in one process: both deployments, a dead engine, one repeat."""

import logging

import msgspec
import rich.console
import trio

from bench import caller as caller_module
from bench import counts as counts_module
from bench import deployment as deployment_module
from bench import site_demo
from bench import world as world_module

READY_TIMEOUT_S = 40.0
READY_CHECK_S = 0.25
WARM_S = 5.0
KILL_AFTER_TOKENS = 40
TOKENS_SHOWN = 8

_log = logging.getLogger(__name__)


class Summary(msgspec.Struct):
    """The one JSON line at the end of the demo."""

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


class Tour:
    """Sends the requests of the demo and shows each as it comes."""

    def __init__(self, console, worlds):
        self._console = console
        self._worlds = worlds
        self._seen = 0
        self._kill = None
        self._caller = caller_module.new_caller(self._show_tokens)
        self.answers = []

    def _show_tokens(self, tokens):
        # The first words tell a reader enough.
        shown = tokens[: max(TOKENS_SHOWN - self._seen, 0)]
        self._console.print("".join(shown), end="", style="green")
        self._seen += len(tokens)
        if self._kill is not None and self._seen >= KILL_AFTER_TOKENS:
            self._kill()
            self._kill = None

    async def ask(self, world, title, plan, marker=None, ticket="", key=""):
        """Send one request and show its answer."""
        self._seen = 0
        self._console.rule(f"{world.deployment.name}: {title}")
        entry = world.get_entries()[0]
        marker = marker or caller_module.new_marker()
        answer = await self._caller.send(
            world.get_entry_url(entry), plan, marker, ticket, key
        )
        self.answers.append(answer)
        style = "bold" if answer.outcome == "whole" else "bold red"
        words = f"... {self._seen} words\n" if self._seen else ""
        self._console.print(
            f"{words}{answer.outcome} {answer.reason} "
            f"in {answer.latency_s * 1000:.0f} ms",
            style=style,
        )
        return answer

    async def get_ticket(self, world, plan):
        """Return a ticket for one order."""
        entry = world.get_entries()[0]
        url = world.get_entry_url(entry)
        token = await self._caller.get_ticket(url, plan)
        self._console.print(f"ticket {token[:24]}...")
        return token

    def kill_busiest_engine(self, world, service):
        """Let the engine that streams now die once tokens have come."""

        def kill():
            engines = [
                server
                for server in world.server_by_name.values()
                if server.service == service
            ]
            busiest = max(engines, key=lambda server: server.running)
            busiest.condition.is_dead = True
            self._console.print(f"\n[{busiest.name} dies]", style="red")

        self._kill = kill


def _plan(pipeline, organisation, region, deadline_ms, **more):
    return caller_module.Plan(
        pipeline, organisation, region, deadline_ms=deadline_ms, **more
    )


async def _tour_kitamura(tour, world):
    region = world.deployment.regions[0]
    sheet = _plan("product-sheet", "workshop", region, 5000, tokens=160)
    await tour.ask(world, "a long product sheet", sheet)
    engraving = _plan("engraving", "otaru-stall", region, 2000, tokens=24)
    await tour.ask(world, "an engraving message", engraving)
    order = _plan("order", "wholesale", region, 3000, is_order=True)
    ticket = await tour.get_ticket(world, order)
    first = await tour.ask(world, "an order", order, ticket=ticket)
    await tour.ask(world, "the same order again", order, first.marker, ticket)
    stock = _plan("stock", "field-staff", region, 2000)
    await tour.ask(world, "a look at the stock", stock)
    tour.kill_busiest_engine(world, "writer")
    await tour.ask(world, "a sheet whose engine dies", sheet)


async def _tour_federation(tour, world):
    region = world.deployment.regions[0]
    certificate = _plan("certificate", "kit-makers", region, 5000, tokens=160)
    await tour.ask(world, "a certificate of origin", certificate)
    buyer = _plan("buyer-answer", "buyers-abroad", region, 3000, tokens=64)
    await tour.ask(world, "an answer to a buyer", buyer)
    kit = _plan("kit-order", "kit-makers", region, 3000, is_order=True)
    ticket = await tour.get_ticket(world, kit)
    first = await tour.ask(world, "a kit order", kit, ticket=ticket)
    await tour.ask(
        world, "the same kit order again", kit, first.marker, ticket
    )


async def wait_until_ready(worlds):
    """Wait until every entry hears every agent; return whether it does."""
    with trio.move_on_after(READY_TIMEOUT_S):
        while not all(_is_ready(world) for world in worlds):
            await trio.sleep(READY_CHECK_S)
        # Limits are granted one lease after the start.
        await trio.sleep(WARM_S)
        return True
    return False


def _is_ready(world):
    return all(
        agent.is_available()
        for node in world.get_entries()
        for agent in node.process.fleet.agent_by_name.values()
    ) and all(
        len(node.process.fleet.agent_by_name) == len(world.get_agents())
        for node in world.get_entries()
    )


def summarise(answers, worlds):
    """Return the `Summary` and whether nothing went wrong."""
    executions = [
        execution for world in worlds for execution in world.records.executions
    ]
    stages = frozenset().union(*(world.deployment.orders for world in worlds))
    counts = counts_module.count(answers, executions, stages)
    known = [each.name for each in msgspec.structs.fields(counts)]
    summary = Summary(
        **{
            name: getattr(counts, name)
            for name in Summary.__struct_fields__
            if name in known
        }
    )
    is_right = counts.get_faults() == 0 and counts.whole == counts.requests
    return summary, is_right


async def run_demo(console, log_folder=None):
    """Run the demo; return `(summary, is_right)`."""
    worlds = [
        world_module.World(
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
        console.print("Bringing up both deployments on loopback ...")
        for world in worlds:
            await world.start(nursery)
        if not await wait_until_ready(worlds):
            console.print("The agents were not heard in time.", style="red")
        tour = Tour(console, worlds)
        await _tour_kitamura(tour, worlds[0])
        await _tour_federation(tour, worlds[1])
        summary, is_right = summarise(tour.answers, worlds)
        nursery.cancel_scope.cancel()
    requests, wrong = await site_demo.run_tour(console)
    summary.platform_requests, summary.platform_wrong = requests, wrong
    return summary, is_right and not wrong


def new_console():
    """Return the console that the demo shows its work on."""
    return rich.console.Console(stderr=True, highlight=False)
