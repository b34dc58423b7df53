"""One stage of a request: attempts, retries, hedges and resumption."""

import itertools
import logging

import msgspec
import trio

from greengagetrack.connection import messages
from greengagetrack.process import routing
from greengagetrack.request import attempt
from greengagetrack.request import outcome as outcome_module

TRIES_MAX = 4
RETRY_PAUSE_S = 0.02
HEDGE_DELAY_MIN_MS = 50.0

_Reason = outcome_module.Reason
_log = logging.getLogger(__name__)


class StageResult(msgspec.Struct, frozen=True):
    """The whole result of a stage and what it cost."""

    result: bytes
    tokens: list[str]
    engine_ms: float


class StageTask(msgspec.Struct):
    """What a stage has to do, the same for all of its attempts."""

    request_id: str
    stage: routing.PipelineStage
    payload: bytes
    organisation: str
    limits: object
    order: messages.OrderClaim | None = None
    pinned: object = None
    prefix: int | None = None


class StageServices(msgspec.Struct):
    """What the process lends to every stage."""

    entry: str
    numbers: itertools.count
    router: routing.Router
    links: object
    fleet: object
    retry_budget: object
    hedge_budget: object
    metrics: object
    background: trio.Nursery
    acknowledged_by_agent: dict
    get_table_version: object


class Leg:
    """One attempt in the race for a stage's result."""

    __slots__ = ("choice", "outcome", "run", "scope", "started_s")

    def __init__(self, choice):
        self.choice = choice
        self.run = None
        self.outcome = None
        self.scope = trio.CancelScope()
        self.started_s = trio.current_time()


class StageRun:
    """Runs one stage until it has a result or nothing more may be tried.

    The first leg that brings tokens or an end leads; what the others
    bring later is dropped and counted.
    """

    __slots__ = (
        "_deadline",
        "_excluded",
        "_is_run_possible",
        "_leader",
        "_legs",
        "_news",
        "_on_tokens",
        "_services",
        "_task",
        "_tokens",
        "tries",
    )

    def __init__(self, services, task, deadline, on_tokens):
        self._services = services
        self._task = task
        self._deadline = deadline
        self._on_tokens = on_tokens
        self._tokens = []
        self._excluded = set()
        self._leader = None
        self._legs = []
        self._news = trio.Event()
        self._is_run_possible = False
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
                self._is_run_possible = True
            if not self._may_retry(outcome):
                return self._settle(outcome)
            await trio.sleep(RETRY_PAUSE_S * self.tries)

    def _get_statistics(self):
        return self._services.router.get_statistics(self._task.stage.key)

    def _settle(self, outcome):
        """Return the end, honest about all attempts and not the last."""
        if (
            isinstance(outcome, outcome_module.Refused)
            and self._is_run_possible
        ):
            return outcome_module.to_unknown(outcome)
        return outcome

    def _doubt_order(self, outcome):
        """Return `Unknown` for a refusal that the agent did not give.

        Only the order book knows whether an earlier attempt of the same
        order has run.
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
        """Run one leg, and a second one if the first is slow."""
        self._leader = None
        self._news = trio.Event()
        first = self._new_leg()
        if first is None:
            return self._doubt_order(
                outcome_module.Refused(_Reason.NO_CAPACITY)
            )
        self._legs = legs = [first]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_leg, first)
            if await self._is_hedge_due():
                second = self._new_leg(is_hedge=True)
                if second is not None:
                    legs.append(second)
                    nursery.start_soon(self._run_leg, second)
            await self._wait_for_end(legs)
            nursery.cancel_scope.cancel()
        return self._get_end(legs)

    async def _is_hedge_due(self):
        delay_ms = self._get_hedge_delay_ms()
        if delay_ms is None:
            await self._news.wait()
            return False
        with trio.move_on_after(delay_ms / 1000):
            await self._news.wait()
            return False
        return self._services.hedge_budget.try_acquire()

    def _get_hedge_delay_ms(self):
        """Return when to hedge this stage, or None for never."""
        if not self._task.stage.stage.repeatable:
            return None
        if self._task.pinned is not None or self._tokens:
            return None
        usual_ms = self._get_statistics().get_percentile_ms()
        if usual_ms is None:
            return None
        return max(usual_ms, HEDGE_DELAY_MIN_MS)

    async def _wait_for_end(self, legs):
        """Wait until the leading leg, or else every leg, has ended."""
        while True:
            if self._leader is not None and self._leader.outcome is not None:
                return
            if all(leg.outcome is not None for leg in legs):
                return
            self._news = trio.Event()
            await self._news.wait()

    def _get_end(self, legs):
        if self._leader is not None:
            return self._leader.outcome
        # No leg succeeded. If any may have run, that is what is said.
        for leg in legs:
            if isinstance(leg.outcome, outcome_module.Unknown):
                return leg.outcome
        return legs[-1].outcome

    async def _run_leg(self, leg):
        try:
            with leg.scope:
                outcome = await leg.run.run()
                self._note_end(leg, outcome)
        finally:
            if leg.outcome is None or not leg.run.is_confirmed:
                self._abandon(leg)
        if leg.outcome is None:
            # Another leg leads, and this one was stopped for it.
            leg.outcome = outcome_module.Unknown(_Reason.WITHDRAWN)
        if isinstance(leg.outcome, StageResult) and self._leader is None:
            self._lead(leg)
        self._news.set()

    def _lead(self, leg):
        """Let a leg lead the race, and stop the others."""
        self._leader = leg
        for other in self._legs:
            if other is not leg:
                other.scope.cancel()

    def _abandon(self, leg):
        """Withdraw a leg that nobody waits for any more."""
        if not leg.run.maybe_sent:
            return
        try:
            self._services.background.start_soon(
                leg.run.withdraw, _Reason.CALLER_LEFT
            )
        except RuntimeError:
            # The process ends and its nursery is closed: the agent gives
            # the attempt up at its deadline.
            _log.debug("attempt left to its deadline")

    def _note_end(self, leg, outcome):
        agent = leg.choice.agent
        spent_ms = (trio.current_time() - leg.started_s) * 1000
        if isinstance(outcome, messages.Chunk):
            agent.note_success(spent_ms)
            self._services.metrics.note_engine_ms(
                self._task, outcome.engine_ms
            )
            leg.outcome = self._new_result(leg, outcome)
        else:
            leg.outcome = outcome
            if not leg.run.is_confirmed:
                leg.outcome = self._doubt_order(outcome)
            self._excluded.add(agent.name)
            if isinstance(outcome, outcome_module.Unknown):
                agent.note_failure()
        if leg.run.chunk is not None and leg.run.chunk.load is not None:
            agent.note_load(leg.run.chunk.load)
        if leg.run.is_confirmed:
            done = self._services.acknowledged_by_agent
            numbers = done.setdefault(agent.name, [])
            numbers.append(leg.run.get_number())
        self._log_end(leg)

    def _new_result(self, leg, chunk):
        if self._leader not in (None, leg):
            self._services.metrics.note_dropped(self._task)
        return StageResult(chunk.result, list(self._tokens), chunk.engine_ms)

    def _new_leg(self, is_hedge=False):
        choice = self._choose(is_hedge)
        if choice is None:
            return None
        agent = choice.agent
        submit = self._new_submit(agent)
        agent.note_sent()
        self._log_choice(choice, submit, is_hedge)
        leg = Leg(choice)
        leg.run = attempt.new_attempt_run(
            self._services.links.get_link(agent.address),
            submit,
            self._deadline,
            lambda tokens: self._take_tokens(leg, tokens),
            lambda: self._is_gone(agent, submit.incarnation),
        )
        if is_hedge:
            self._excluded.add(agent.name)
        return leg

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
            # Every agent was tried: a second round is better than none.
            self._excluded.clear()
            return self._services.router.choose(
                self._task.stage,
                self._deadline,
                priority=self._task.limits.row.priority,
            )
        if choice is not None:
            self._excluded.add(choice.agent.name)
        return choice

    def _is_gone(self, agent, incarnation):
        known = self._services.fleet.agent_by_name.get(agent.name)
        return known is None or known.incarnation != incarnation

    def _take_tokens(self, leg, tokens):
        if self._leader is None:
            self._lead(leg)
        if self._leader is not leg:
            self._services.metrics.note_dropped(self._task)
            return
        self._tokens += tokens
        self._on_tokens(tokens)
        self._news.set()

    def _new_submit(self, agent):
        task = self._task
        row = task.limits.row
        done = self._services.acknowledged_by_agent.pop(agent.name, [])
        return messages.Submit(
            attempt=messages.AttemptId(
                self._services.entry, next(self._services.numbers)
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
            acknowledged=done,
            wait_ms=attempt.SUBMIT_WAIT_MS,
            table_version=self._services.get_table_version(),
        )

    def _log_choice(self, choice, submit, is_hedge):
        kind = "hedge" if is_hedge else "route"
        self._services.metrics.note_decision(kind, self._task)
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

    def _log_end(self, leg):
        outcome = leg.outcome
        is_whole = isinstance(outcome, StageResult)
        _log.info(
            "attempt ended",
            extra={
                "request": self._task.request_id,
                "attempt": leg.run.get_number(),
                "agent": leg.choice.agent.name,
                "outcome": "whole" if is_whole else outcome.reason,
                "ran": "yes" if is_whole else outcome_module.get_ran(outcome),
                "ms": round((trio.current_time() - leg.started_s) * 1000, 1),
            },
        )


def new_stage_run(services, task, deadline, on_tokens):
    """Return the run of one stage; `on_tokens` gets streamed tokens."""
    return StageRun(services, task, deadline, on_tokens)
