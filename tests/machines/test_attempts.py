"""Stateful test: an agent executes each attempt at most once."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import trio
import trio.testing

from bench import runtime as runtime_module
from greengagetrack.connection import agent_messages
from greengagetrack.connection.backend import base as backend_base
from greengagetrack.connection import seal
from greengagetrack.process import agent as agent_module
from greengagetrack.process import attempts
from greengagetrack.process import orders
from greengagetrack.process import runner

CALL_DURATION_S = 0.3
BUDGET_MS = 2000
RECORDS_MAX = 6
TOMBSTONES_MAX = 2
RING = seal.new_key_ring([b"0123456789abcdef"])


class _CountingBackend(backend_base.Backend):
    def __init__(self, executions):
        self._executions = executions

    async def run(self, call):
        self._executions.append(call.call_id)
        yield backend_base.Tokens(["x "])
        await trio.sleep(CALL_DURATION_S)
        yield backend_base.Result(b"{}")

    async def get_load(self):
        await trio.lowlevel.checkpoint()
        return backend_base.BackendLoad(slots=2)

    async def load_model(self, model, fencing):
        return False


class AttemptMachine(stateful.RuleBasedStateMachine):
    """Delivers copies of messages early, late, repeatedly and reordered.

    The model is the list of calls that the backend server executed and the
    set of attempts that were reported to an entry as not run.
    """

    def __init__(self):
        super().__init__()
        self.runtime = runtime_module.new_runtime()
        self.executions = []
        self.reported_not_run = set()
        self.submit_by_number = {}
        self.finished_numbers = set()
        self.number = 0
        self.incarnation = 0
        self.scope = None
        self.original_tombstones_max = attempts.TOMBSTONES_MAX
        # With few tombstones, attempts are evicted soon, which this tests.
        attempts.TOMBSTONES_MAX = TOMBSTONES_MAX
        self.restart()

    @stateful.rule()
    def restart(self):
        """Restart the agent's process, which loses its state."""
        self.incarnation += 1

        async def start():
            if self.scope is not None:
                self.scope.cancel()
            self.runtime.nursery.start_soon(self._run)

        self.runtime.run(start)
        self.runtime.advance(0.02)

    async def _run(self):
        order_book = orders.new_order_book(
            "a", str(self.incarnation), RING, None, None, 5.0
        )
        agent_runner = runner.new_runner(
            _CountingBackend(self.executions), 2, order_book.release
        )
        self.agent = agent_module.new_agent(
            "a", "s", str(self.incarnation), agent_runner, order_book
        )
        self.agent.attempt_log.records_max = RECORDS_MAX
        with trio.CancelScope() as self.scope:
            await self.agent.run()

    def _send(self, message):
        return self.runtime.run(self.agent.handle, message)

    def _record_chunk(self, submit, chunk):
        key = (submit.incarnation, submit.attempt.number)
        if chunk.failure and chunk.ran == "no":
            self.reported_not_run.add(key)
        if chunk.is_done:
            self.finished_numbers.add(submit.attempt.number)

    @stateful.rule()
    def submit(self):
        """Send a new attempt."""
        self.number += 1
        submit = agent_messages.Submit(
            attempt=agent_messages.AttemptId("e", self.number),
            incarnation=str(self.incarnation),
            service="s",
            budget_ms=BUDGET_MS,
            payload=b"{}",
            is_repeatable=False,
            acknowledged=sorted(self.finished_numbers)[:2],
        )
        self.finished_numbers -= set(submit.acknowledged)
        self.submit_by_number[self.number] = submit
        self._record_chunk(submit, self._send(submit))

    @stateful.precondition(lambda self: self.submit_by_number)
    @stateful.rule(data=strategies.data())
    def submit_copy(self, data):
        """Deliver a copy of an earlier `Submit`, often of the last one."""
        numbers = sorted(self.submit_by_number)
        last = numbers[-1]
        number = data.draw(strategies.sampled_from([last, last, *numbers]))
        self._record_chunk(
            self.submit_by_number[number],
            self._send(self.submit_by_number[number]),
        )

    @stateful.rule()
    def withdraw_before_submit(self):
        """Deliver a `Withdraw` before its `Submit`."""
        self.number += 1
        attempt = agent_messages.AttemptId("e", self.number)
        incarnation = str(self.incarnation)
        submit = agent_messages.Submit(
            attempt, incarnation, "s", BUDGET_MS, b"{}", is_repeatable=False
        )
        self.submit_by_number[self.number] = submit
        reply = self._send(agent_messages.Withdraw(attempt, incarnation))
        if reply.is_withdrawn:
            self.reported_not_run.add((incarnation, self.number))

    @stateful.precondition(lambda self: self.submit_by_number)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        """Withdraw one of the attempts."""
        number = data.draw(
            strategies.sampled_from(sorted(self.submit_by_number))
        )
        submit = self.submit_by_number[number]
        reply = self._send(
            agent_messages.Withdraw(submit.attempt, submit.incarnation)
        )
        if reply.is_withdrawn:
            self.reported_not_run.add((submit.incarnation, number))

    @stateful.precondition(lambda self: self.submit_by_number)
    @stateful.rule(data=strategies.data())
    def pull(self, data):
        """Pull one of the attempts."""
        number = data.draw(
            strategies.sampled_from(sorted(self.submit_by_number))
        )
        submit = self.submit_by_number[number]
        chunk = self._send(
            agent_messages.Pull(submit.attempt, submit.incarnation, 0, 0)
        )
        self._record_chunk(submit, chunk)
        assert chunk.tokens in ([], ["x "])

    @stateful.rule()
    def drain(self):
        """Switch the refusal of new work on or off."""
        self.agent.is_draining = not self.agent.is_draining

    @stateful.rule()
    def submit_while_draining(self):
        """Send a new attempt that is refused, then accept work again."""
        self.agent.is_draining = True
        self.submit()
        self.agent.is_draining = False

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.4, 61.0)))
    def wait(self, seconds):
        """Advance the clock by part of a call, a call or the retention."""
        self.runtime.advance(min(seconds, 2.0))
        if seconds > 2.0:
            self.runtime.run(self._jump_past_retention)

    async def _jump_past_retention(self):
        self.runtime.jump(60)
        await trio.testing.wait_all_tasks_blocked()

    @stateful.invariant()
    def every_attempt_ran_at_most_once(self):
        """Check the executions against what was reported."""
        assert len(set(self.executions)) == len(self.executions)
        # A restarted process may get messages for the previous one, so only
        # reports for the incarnation named in the message are checked.
        ran = {int(call.split("-")[1]) for call in self.executions}
        for incarnation, number in self.reported_not_run:
            if self.submit_by_number[number].incarnation == incarnation:
                assert number not in ran, number

    def teardown(self):
        """Let pending work finish and check the invariant again."""
        attempts.TOMBSTONES_MAX = self.original_tombstones_max
        try:
            self.runtime.advance(3)
            self.every_attempt_ran_at_most_once()
        finally:
            self.runtime.stop()


TestAttempts = AttemptMachine.TestCase
TestAttempts.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
