"""Stateful test: an order, by key or by ticket, is executed at most once.

Agents crash, restart, freeze and thaw; requests and replies are lost,
delayed and repeated; agents see VM lists with different lags. An order that
an entry reports as refused must not have been executed.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import trio

from bench import memory
from bench import runtime as runtime_module
from greengagetrack.connection import agent_messages
from greengagetrack.connection.backend import base as backend_base
from greengagetrack.connection import base as link_base
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.connection import seal
from greengagetrack.process import agent as agent_module
from greengagetrack.process import orders
from greengagetrack.process import runner
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.request import attempt as attempt_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request import outcome as outcome_module
from greengagetrack.request import ticket as ticket_module
from greengagetrack.version import rendezvous

SERVICE = "ledger"
WINDOW_S = 8.0
LIST_LAG_S = 2.0
BUDGET_MS = 1500
CALL_DURATION_S = 0.4
RING = seal.new_key_ring([b"0123456789abcdef"])
AGENTS = ("a", "b", "c", "d")
KEYS = ("k1", "k2", "k3")


class _CountingBackend(backend_base.Backend):
    """Backend that counts executions by order across agent restarts."""

    def __init__(self, executions):
        self._executions = executions

    async def run(self, call):
        order = msgspec.json.decode(call.payload)["order"]
        self._executions[order] = self._executions.get(order, 0) + 1
        await trio.sleep(CALL_DURATION_S)
        yield backend_base.Result(b'"done"')

    async def get_load(self):
        await trio.lowlevel.checkpoint()
        return backend_base.BackendLoad(slots=2)

    async def load_model(self, model, fencing):
        return False


class _LaggingList(platform_base.VmListService):
    """VM list that this reader sees after a delay."""

    def __init__(self, machine, lag_s):
        self._machine = machine
        self._lag_s = lag_s

    async def read(self, version):
        await trio.lowlevel.checkpoint()
        visible_until_s = trio.current_time() - self._lag_s
        visible = self._machine.history[0]
        for published_s, vm_list in self._machine.history:
            if published_s <= visible_until_s:
                visible = (published_s, vm_list)
        return visible[1] if visible[1].version != version else None


class _Agent:
    def __init__(self, name):
        self.name = name
        self.address = f"{name}:1"
        self.scope = None
        self.process = None
        self.incarnation = ""


class OrderMachine(stateful.RuleBasedStateMachine):
    """Interleaves orders with failures of agents and links."""

    def __init__(self):
        super().__init__()
        self.runtime = runtime_module.new_runtime()
        self.executions = {}
        self.refused = set()
        self.tickets = []
        self.key_and_start_by_name = {}
        self.attempt_count = 0
        self.incarnation_count = 0
        self.agent_by_name = {}
        self.history = []
        self.call(self._set_up)
        # Wait until no agent is in the window after its start any more.
        self.runtime.advance(WINDOW_S + 1)

    def call(self, function, *arguments):
        async def run():
            return function(*arguments)

        return self.runtime.run(run)

    def _set_up(self):
        self.network = memory.Network(self.runtime.nursery)
        for name in AGENTS:
            self.agent_by_name[name] = _Agent(name)
        self._publish()
        for name in AGENTS:
            self._start(name)

    def _publish(self):
        vms = [
            platform_base.Vm(name, f"{name}:1", "agent", "r", "r-1", SERVICE)
            for name in self.agent_by_name
        ]
        version = len(self.history) + 1
        vm_list = platform_base.VmList(version, vms)
        self.history.append((trio.current_time(), vm_list))

    def _start(self, name, lag_s=0.0):
        self.runtime.nursery.start_soon(self._run_agent, name, lag_s)

    async def _run_agent(self, name, lag_s):
        node = self.agent_by_name[name]
        self.incarnation_count += 1
        node.incarnation = f"{self.incarnation_count:04d}"
        links = link_base.new_links(
            memory.MemoryLinkFactory(self.network, node.address)
        )
        view = vm_view_module.new_vm_view(_LaggingList(self, lag_s), 0.5, 1)
        order_book = orders.new_order_book(
            name, node.incarnation, RING, view, links, WINDOW_S
        )
        agent_runner = runner.new_runner(
            _CountingBackend(self.executions), 2, order_book.release
        )
        node.process = agent_module.new_agent(
            name, SERVICE, node.incarnation, agent_runner, order_book
        )
        with trio.CancelScope() as scope:
            node.scope = scope
            async with trio.open_nursery() as nursery:
                await nursery.start(view.run)
                self.network.listen(node.address, node.process.handle)
                nursery.start_soon(node.process.run)

    def _submit(self, order, name, incarnation, claim):
        self.attempt_count += 1
        submit = agent_messages.Submit(
            attempt=agent_messages.AttemptId(f"e{self.attempt_count}", 1),
            incarnation=incarnation,
            service=SERVICE,
            budget_ms=BUDGET_MS,
            payload=msgspec.json.encode({"order": order}),
            organisation="o",
            is_repeatable=False,
            order=claim,
            wait_ms=100,
        )
        link = memory.MemoryLink(
            self.network, f"entry{self.attempt_count}", f"{name}:1"
        )
        self.runtime.nursery.start_soon(self._run_attempt, order, link, submit)

    async def _run_attempt(self, order, link, submit):
        run = attempt_module.new_attempt_run(
            link,
            submit,
            deadline_module.new_deadline(BUDGET_MS),
            lambda tokens: None,
            lambda: False,
        )
        outcome = await run.run()
        if isinstance(outcome, outcome_module.Refused) and run.is_confirmed:
            self.refused.add(order)
            # `Refused` means to the caller that the order was not executed.
            assert not self.executions.get(order), (order, outcome)

    def _get_claim(self, order, ticket="", key=""):
        return agent_messages.OrderClaim("o", order.encode(), ticket, key)

    def _get_current_key(self, name):
        """Return the current key for this name, new after each window."""
        now = trio.current_time()
        key, first_sent_s = self.key_and_start_by_name.get(
            name, ("", -WINDOW_S)
        )
        if not key or now - first_sent_s >= WINDOW_S:
            key = f"{name}-{now:.3f}"
            self.key_and_start_by_name[name] = (key, now)
        return key

    @stateful.rule(key=strategies.sampled_from(KEYS), data=strategies.data())
    def send_key(self, key, data):
        """Send a key to its home agent or to any agent.

        A key older than the retry window would be a new order, as stated in
        docs/design/orders.md, so a new key is generated then.
        """
        key = self.call(self._get_current_key, key)
        names = sorted(self.agent_by_name)
        home = self._get_home(key)
        name = data.draw(strategies.sampled_from([home, home, *names]))
        self._send_key_to(key, name)

    def _get_home(self, key):
        names = sorted(self.agent_by_name)
        return rendezvous.get_first(f"{SERVICE}|o|{key}", names)

    def _send_key_to(self, key, name):
        self.call(
            self._submit,
            key,
            name,
            self.agent_by_name[name].incarnation,
            self._get_claim(key, key=key),
        )

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        is_dropped=strategies.booleans(),
        lag_s=strategies.sampled_from((0.0, LIST_LAG_S)),
        pause_s=strategies.sampled_from((0.05, 1.0, 3.0)),
    )
    def fail_home_and_repeat(self, key, is_dropped, lag_s, pause_s):
        """Send a key, lose its home, and repeat it where it belongs then.

        The home restarts, or is replaced: it leaves the list, and the next
        in rank is the home of all its keys.
        """
        key = self.call(self._get_current_key, key)
        home = self._get_home(key)
        self._send_key_to(key, home)
        self.runtime.advance(CALL_DURATION_S / 2)
        self.crash(home)
        if is_dropped:
            self.drop_from_list(home)
        else:
            self.restart(home, lag_s)
        self.runtime.advance(pause_s)
        if self.call(self._is_current, key):
            self._send_key_to(key, self._get_home(key))

    def _rank(self, key):
        """Return the listed agents, the home of a key first."""
        return rendezvous.rank(
            f"{SERVICE}|o|{key}", sorted(self.agent_by_name)
        )

    def _recover(self):
        """Let all agents run, long enough for keys, without faults."""
        self.call(self._thaw_all)
        self.network.faults.replies_to_drop = 0
        self.network.faults.requests_to_duplicate = 0
        for name in AGENTS:
            self.restart(name, 0.0)
        self.runtime.advance(WINDOW_S + 1)

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def send_key_to_the_last_and_lose_the_next(self, key):
        """Send a key where it doesn't belong, then to its home.

        The next in rank may have promised it meanwhile, and is lost.
        """
        self._recover()
        key = self.call(self._get_current_key, key)
        home, *others = self._rank(key)
        self._send_key_to(key, others[-1])
        self.runtime.advance(CALL_DURATION_S / 2)
        self.crash(others[0])
        self.drop_from_list(others[0])
        self.runtime.advance(LIST_LAG_S + 1)
        if self.call(self._is_current, key):
            self._send_key_to(key, home)

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        lag_s=strategies.sampled_from((0.0, LIST_LAG_S)),
        early_s=strategies.sampled_from((0.5, 1.5, 3.0)),
    )
    def return_home_and_repeat(self, key, lag_s, early_s):
        """Send a key while its home is away, and repeat it at its home.

        The next in rank may not know yet that the home has come back. The
        home has started long enough ago when the key is repeated.
        """
        self._recover()
        key = f"{key}-{self.call(trio.current_time):.3f}"
        home, following = self._rank(key)[:2]
        self.crash(following)
        self.restart(following, lag_s)
        self.crash(home)
        self.drop_from_list(home)
        self.runtime.advance(WINDOW_S + 1)
        self.restart(home, 0.0)
        self.runtime.advance(early_s)
        sent_s = self.call(trio.current_time)
        self.key_and_start_by_name[key.partition("-")[0]] = (key, sent_s)
        self._send_key_to(key, following)
        self.runtime.advance(WINDOW_S - early_s + 0.1)
        self._send_key_to(key, home)

    def _is_current(self, key):
        """Return whether the retry window of a key has not ended."""
        sent_s = max(
            first_sent_s
            for current, first_sent_s in self.key_and_start_by_name.values()
            if current == key
        )
        return trio.current_time() - sent_s < WINDOW_S

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def get_ticket(self, name):
        """Get a ticket from a running agent."""
        node = self.agent_by_name.get(name)
        if node is None or node.scope is None or len(self.tickets) > 8:
            return

        def issue():
            request = agent_messages.IssueTicket(
                node.incarnation, SERVICE, "kit", "o"
            )
            return node.process.order_book.issue_ticket(request).token

        token = self.call(issue)
        if token:
            self.tickets.append((f"t{len(self.tickets)}", name, token))

    @stateful.precondition(lambda self: self.tickets)
    @stateful.rule(data=strategies.data())
    def send_ticket(self, data):
        """Send an order with a ticket, for the first time or as a repeat."""
        order, name, token = data.draw(strategies.sampled_from(self.tickets))
        incarnations = [ticket_module.read_ticket(token, RING).incarnation]
        if name in self.agent_by_name:
            # An entry may have looked the agent up again since.
            incarnations.append(self.agent_by_name[name].incarnation)
        incarnation = data.draw(strategies.sampled_from(incarnations))
        self.call(
            self._submit,
            order,
            name,
            incarnation,
            self._get_claim(order, ticket=token),
        )

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def crash(self, name):
        """Kill an agent's process."""

        def kill():
            node = self.agent_by_name.get(name)
            if node is not None and node.scope is not None:
                self.network.stop_listening(node.address)
                node.scope.cancel()
                node.scope = None

        self.call(kill)
        self.runtime.advance(0.05)

    @stateful.rule(
        name=strategies.sampled_from(AGENTS),
        lag_s=strategies.sampled_from((0.0, 1.0, LIST_LAG_S)),
    )
    def restart(self, name, lag_s):
        """Restart an agent with a lagging VM list."""

        def start():
            if name not in self.agent_by_name:
                self.agent_by_name[name] = _Agent(name)
                self._publish()
            if self.agent_by_name[name].scope is None:
                self._start(name, lag_s)

        self.call(start)
        self.runtime.advance(0.05)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def drop_from_list(self, name):
        """Remove a dead agent from the VM list."""

        def drop():
            node = self.agent_by_name.get(name)
            if node is not None and node.scope is None:
                del self.agent_by_name[name]
                self._publish()

        if len(self.agent_by_name) > 1:
            self.call(drop)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def freeze(self, name):
        """Delay all messages from and to an agent."""
        self.call(self.network.freeze, f"{name}:1")

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def thaw(self, name):
        """Deliver an agent's delayed messages."""
        self.call(self.network.thaw, f"{name}:1")

    @stateful.rule(count=strategies.integers(1, 3))
    def drop_replies(self, count):
        """Drop the next replies."""
        self.network.faults.replies_to_drop = count

    @stateful.rule(
        count=strategies.integers(1, 3),
        delay_s=strategies.sampled_from((0.05, 0.6, 3.0)),
    )
    def duplicate_requests(self, count, delay_s):
        """Deliver the next requests twice, the second time late."""
        self.network.faults.requests_to_duplicate = count
        self.network.faults.duplicate_delay_s = delay_s

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 3.0)))
    def wait(self, seconds):
        """Advance the clock."""
        self.runtime.advance(seconds)

    @stateful.invariant()
    def no_order_ran_twice(self):
        """Check the executions counted by the backend server."""
        repeated = {
            order: count
            for order, count in self.executions.items()
            if count > 1
        }
        assert not repeated

    def teardown(self):
        """Let pending work finish and check the invariant again."""
        try:
            self.call(self._thaw_all)
            self.runtime.advance(6)
            self.no_order_ran_twice()
        finally:
            self.runtime.stop()

    def _thaw_all(self):
        for name in AGENTS:
            self.network.thaw(f"{name}:1")


TestOrders = OrderMachine.TestCase
TestOrders.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=40, deadline=None
)
