"""One stage of a request: attempts, retries, hedges and resumption."""

import itertools
import logging

import msgspec
import trio

from greengagetrack.connection import agent_messages
from greengagetrack.process import routing
from greengagetrack.request import attempt as attempt_module
from greengagetrack.request import outcome as outcome_module

TRIES_MAX = 4
RETRY_PAUSE_S = 0.02
HEDGE_DELAY_MIN_MS = 50.0

_Reason = outcome_module.Reason
_log = logging.getLogger(__name__)


class StageResult(msgspec.Struct, frozen=True):
    """The complete result of a stage and its time on the backend server."""

    result: bytes
    tokens: list[str]
    engine_ms: float


class StageTask(msgspec.Struct):
    """The work of a stage, the same for all of its attempts."""

    request_id: str
    stage: routing.PipelineStage
    payload: bytes
    organisation: str
    limits: object
    order: agent_messages.OrderClaim | None = None
    pinned: object = None
    prefix: int | None = None


class StageServices(msgspec.Struct):
    """Objects of the process that all stages share."""

    entry: str
    attempt_numbers: itertools.count
    router: routing.Router
    links: object
    fleet: object
    retry_budget: object
    hedge_budget: object
    metrics: object
    background: trio.Nursery
    acknowledged_by_agent: dict
    get_table_version: object


class RacingAttempt:
    """One of the attempts that run in parallel for a stage."""

    __slots__ = ("choice", "outcome", "run", "scope", "started_s")

    def __init__(self, choice):
        self.choice = choice
        self.run = None
        self.outcome = None
        self.scope = trio.CancelScope()
        self.started_s = trio.current_time()


class StageRun:
    """The run of one stage, with its retries and hedged attempts.

    The first attempt that sends tokens or succeeds wins; results of the
    others that arrive later are dropped and counted.
    """

    __slots__ = (
        "_attempts",
        "_deadline",
        "_excluded",
        "_may_have_run",
        "_on_tokens",
        "_progress",
        "_services",
        "_task",
        "_tokens",
        "_winner",
        "tries",
    )

    def __init__(self, services, task, deadline, on_tokens):
        self._services = services
        self._task = task
        self._deadline = deadline
        self._on_tokens = on_tokens
        self._tokens = []
        self._excluded = set()
        self._winner = None
        self._attempts = []
        self._progress = trio.Event()
        self._may_have_run = False
        self.tries = 0

    async def run(self):
        """Return a `StageResult`, `Refused` or `Unknown`."""
        started_s = trio.current_time()
        self._services.retry_budget.count_first_attempt()
        self._services.hedge_budget.count_first_attempt()
        while True:
            self.tries += 1
            outcome = await self._race()
            if isinstance(outcome, StageResult):
                spent_ms = (trio.current_time() - started_s) * 1000
                service_ms = outcome.engine_ms or spent_ms
                self._get_statistics().record_duration(spent_ms, service_ms)
                return outcome
            if isinstance(outcome, outcome_module.Unknown):
                self._may_have_run = True
            if not self._may_retry(outcome):
                return self._combine_outcome(outcome)
            await trio.sleep(RETRY_PAUSE_S * self.tries)

    def _get_statistics(self):
        return self._services.router.get_statistics(self._task.stage.key)

    def _combine_outcome(self, outcome):
        """Return the outcome of all attempts, given that of the last one."""
        if isinstance(outcome, outcome_module.Refused) and self._may_have_run:
            return outcome_module.to_unknown(outcome)
        return outcome

    def _get_order_outcome(self, outcome):
        """Turn a refusal that did not come from the agent into `Unknown`.

        Only the agent's order book shows whether an earlier attempt of the
        same order has run.
        """
        if self._task.order is None or isinstance(
            outcome, outcome_module.Unknown
        ):
            return outcome
        return outcome_module.to_unknown(outcome)

    def _may_retry(self, outcome):
        if self.tries >= TRIES_MAX or self._deadline.is_past():
            return False
        if self._task.pinned is not None:
            return False
        if isinstance(outcome, outcome_module.Unknown):
            if not self._task.stage.stage.repeatable:
                return False
            if outcome.reason is _Reason.DEADLINE_PASSED:
                return False
        elif outcome.reason in (_Reason.NO_CAPACITY, _Reason.DEADLINE_PASSED):
            return self.tries < 2 and outcome.reason is _Reason.NO_CAPACITY
        return self._services.retry_budget.try_acquire()

    async def _race(self):
        """Run one attempt, and a hedged one if the first is slow."""
        self._winner = None
        self._progress = trio.Event()
        first = self._new_attempt()
        if first is None:
            return self._get_order_outcome(
                outcome_module.Refused(_Reason.NO_CAPACITY)
            )
        self._attempts = attempts = [first]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_attempt, first)
            if await self._is_hedge_due():
                second = self._new_attempt(is_hedge=True)
                if second is not None:
                    attempts.append(second)
                    nursery.start_soon(self._run_attempt, second)
            await self._wait_for_outcome(attempts)
            nursery.cancel_scope.cancel()
        return self._get_race_outcome(attempts)

    async def _is_hedge_due(self):
        delay_ms = self._get_hedge_delay_ms()
        if delay_ms is None:
            await self._progress.wait()
            return False
        with trio.move_on_after(delay_ms / 1000):
            await self._progress.wait()
            return False
        return self._services.hedge_budget.try_acquire()

    def _get_hedge_delay_ms(self):
        """Return after how long to hedge this stage, or None for never."""
        if not self._task.stage.stage.repeatable:
            return None
        if self._task.pinned is not None or self._tokens:
            return None
        usual_ms = self._get_statistics().get_percentile_ms()
        if usual_ms is None:
            return None
        return max(usual_ms, HEDGE_DELAY_MIN_MS)

    async def _wait_for_outcome(self, attempts):
        """Wait until the winner, or else every attempt, has ended."""
        while True:
            if self._winner is not None and self._winner.outcome is not None:
                return
            if all(attempt.outcome is not None for attempt in attempts):
                return
            self._progress = trio.Event()
            await self._progress.wait()

    def _get_race_outcome(self, attempts):
        if self._winner is not None:
            return self._winner.outcome
        # No attempt succeeded. If one may have run, the outcome is unknown.
        for attempt in attempts:
            if isinstance(attempt.outcome, outcome_module.Unknown):
                return attempt.outcome
        return attempts[-1].outcome

    async def _run_attempt(self, attempt):
        try:
            with attempt.scope:
                outcome = await attempt.run.run()
                self._record_outcome(attempt, outcome)
        finally:
            if attempt.outcome is None or not attempt.run.is_confirmed:
                self._withdraw(attempt)
        if attempt.outcome is None:
            # Another attempt won, and this one was cancelled.
            attempt.outcome = outcome_module.Unknown(_Reason.WITHDRAWN)
        if isinstance(attempt.outcome, StageResult) and self._winner is None:
            self._select_winner(attempt)
        self._progress.set()

    def _select_winner(self, attempt):
        """Set the winner of the race, and cancel the other attempts."""
        self._winner = attempt
        for other in self._attempts:
            if other is not attempt:
                other.scope.cancel()

    def _withdraw(self, attempt):
        """Withdraw an attempt whose result is no longer needed."""
        if not attempt.run.maybe_sent:
            return
        try:
            self._services.background.start_soon(
                attempt.run.withdraw, _Reason.CALLER_LEFT
            )
        except RuntimeError:
            # The process is stopping and its nursery is closed: the agent
            # ends the attempt at its deadline.
            _log.debug("attempt not withdrawn: the process is stopping")

    def _record_outcome(self, attempt, outcome):
        agent = attempt.choice.agent
        spent_ms = (trio.current_time() - attempt.started_s) * 1000
        if isinstance(outcome, agent_messages.Chunk):
            agent.record_success(spent_ms)
            self._services.metrics.count_engine_ms(
                self._task, outcome.engine_ms
            )
            attempt.outcome = self._new_result(attempt, outcome)
        else:
            attempt.outcome = outcome
            if not attempt.run.is_confirmed:
                attempt.outcome = self._get_order_outcome(outcome)
            self._excluded.add(agent.name)
            if isinstance(outcome, outcome_module.Unknown):
                agent.record_failure()
        if (
            attempt.run.chunk is not None
            and attempt.run.chunk.load is not None
        ):
            agent.update_load(attempt.run.chunk.load)
        if attempt.run.is_confirmed:
            acknowledged = self._services.acknowledged_by_agent
            numbers = acknowledged.setdefault(agent.name, [])
            numbers.append(attempt.run.get_number())
        self._log_outcome(attempt)

    def _new_result(self, attempt, chunk):
        if self._winner not in (None, attempt):
            self._services.metrics.count_late_result(self._task)
        return StageResult(chunk.result, list(self._tokens), chunk.engine_ms)

    def _new_attempt(self, is_hedge=False):
        choice = self._choose(is_hedge)
        if choice is None:
            return None
        agent = choice.agent
        submit = self._new_submit(agent)
        agent.record_sent_attempt()
        self._log_choice(choice, submit, is_hedge)
        attempt = RacingAttempt(choice)
        attempt.run = attempt_module.new_attempt_run(
            self._services.links.get_link(agent.address),
            submit,
            self._deadline,
            lambda tokens: self._receive_tokens(attempt, tokens),
            lambda: self._has_agent_ended(agent, submit.incarnation),
        )
        if is_hedge:
            self._excluded.add(agent.name)
        return attempt

    def _choose(self, is_hedge):
        if self._task.pinned is not None:
            return self._task.pinned
        choice = self._services.router.choose(
            self._task.stage,
            self._deadline,
            self._excluded,
            self._task.prefix,
            self._task.limits.row.priority,
        )
        if choice is None and self._excluded and not is_hedge:
            # All agents were tried, so all may be chosen again.
            self._excluded.clear()
            return self._services.router.choose(
                self._task.stage,
                self._deadline,
                priority=self._task.limits.row.priority,
            )
        if choice is not None:
            self._excluded.add(choice.agent.name)
        return choice

    def _has_agent_ended(self, agent, incarnation):
        current = self._services.fleet.agent_by_name.get(agent.name)
        return current is None or current.incarnation != incarnation

    def _receive_tokens(self, attempt, tokens):
        if self._winner is None:
            self._select_winner(attempt)
        if self._winner is not attempt:
            self._services.metrics.count_late_result(self._task)
            return
        self._tokens += tokens
        self._on_tokens(tokens)
        self._progress.set()

    def _new_submit(self, agent):
        task = self._task
        row = task.limits.row
        acknowledged = self._services.acknowledged_by_agent.pop(agent.name, [])
        return agent_messages.Submit(
            attempt=agent_messages.AttemptId(
                self._services.entry, next(self._services.attempt_numbers)
            ),
            incarnation=agent.incarnation,
            service=task.stage.stage.service,
            budget_ms=self._deadline.get_left_ms(),
            payload=task.payload,
            request_id=task.request_id,
            organisation=task.organisation,
            priority=row.priority,
            weight=row.weight,
            longest_wait_ms=row.longest_wait_ms,
            row=f"{task.stage.key[0]}/{task.stage.key[1]}|{row.kind}",
            floor=row.floor,
            resume_from=len(self._tokens),
            is_repeatable=task.stage.stage.repeatable,
            order=task.order,
            acknowledged=acknowledged,
            wait_ms=attempt_module.SUBMIT_WAIT_MS,
            table_version=self._services.get_table_version(),
        )

    def _log_choice(self, choice, submit, is_hedge):
        kind = "hedge" if is_hedge else "route"
        self._services.metrics.count_decision(kind, self._task)
        _log.info(
            "attempt routed",
            extra={
                "decision": kind,
                "request": self._task.request_id,
                "stage": "/".join(self._task.stage.key),
                "attempt": submit.attempt.number,
                "agent": choice.agent.name,
                "try": self.tries,
                "resume_from": submit.resume_from,
                "finish_ms": round(choice.finish_ms, 1),
                "wait_ms": round(choice.wait_ms, 1),
                "cost": round(choice.cost, 1),
                "remote": choice.is_remote,
                "table_version": submit.table_version,
            },
        )

    def _log_outcome(self, attempt):
        outcome = attempt.outcome
        is_complete = isinstance(outcome, StageResult)
        _log.info(
            "attempt ended",
            extra={
                "request": self._task.request_id,
                "attempt": attempt.run.get_number(),
                "agent": attempt.choice.agent.name,
                "outcome": "whole" if is_complete else outcome.reason,
                "ran": "yes"
                if is_complete
                else outcome_module.get_ran(outcome),
                "ms": round(
                    (trio.current_time() - attempt.started_s) * 1000, 1
                ),
            },
        )


def new_stage_run(services, task, deadline, on_tokens):
    """Return the run of one stage; streamed tokens go to `on_tokens`."""
    return StageRun(services, task, deadline, on_tokens)
