"""Runs accepted attempts on the one backend server of an agent."""

import logging

import trio

from greengagetrack.connection.backend import base
from greengagetrack.connection import messages
from greengagetrack.process import fair_queue
from greengagetrack.request import outcome

SERVICE_MS_START = 100.0
SMOOTHING = 0.2
LATEST_START_SHARE = 0.8
LATE_POLLS_MAX = 5
SHORT_RETRY_MS = 250

_log = logging.getLogger(__name__)


class Runner:
    """The queue and the slots of one backend server.

    Each accepted attempt waits in the fair queue. A started one has a task
    of its own that holds a slot until the backend server has answered.
    """

    __slots__ = (
        "_backend",
        "_late_polls",
        "_nursery",
        "_on_released",
        "_queue",
        "_service_ms_by_row",
        "_wake",
        "backend_ok",
        "fencing",
        "is_backend_leaving",
        "model",
        "prefixes",
        "running",
        "service_ms",
        "slots",
    )

    def __init__(self, backend, queue, slots, on_released):
        self._backend = backend
        self._queue = queue
        self._on_released = on_released
        self._service_ms_by_row = {}
        self._late_polls = 0
        self._wake = trio.Event()
        self._nursery = None
        self.slots = slots
        self.running = 0
        self.service_ms = SERVICE_MS_START
        self.backend_ok = True
        self.is_backend_leaving = False
        self.model = ""
        self.prefixes = []
        self.fencing = 0

    def get_load(self):
        """Return the load as it is reported."""
        backlog_by_priority = self._queue.get_backlog_by_priority()
        return messages.Load(
            slots=self.slots if self.backend_ok else 0,
            running=self.running,
            queued=len(self._queue),
            service_ms=self.service_ms,
            backlog_ms=sum(backlog_by_priority.values()),
            backlog_by_priority=backlog_by_priority,
        )

    def is_idle(self):
        """Return whether nothing waits and nothing runs."""
        return self.running == 0 and len(self._queue) == 0

    def get_cost_ms(self, row):
        """Return the predicted time of one call of a row."""
        return self._service_ms_by_row.get(row, self.service_ms)

    def predict_wait_ms(self, priority):
        """Return how long a new attempt of a priority would wait."""
        if self.running < self.slots:
            return 0.0
        backlog = self._queue.get_backlog_ms(priority)
        return (backlog + self.service_ms / 2) / max(self.slots, 1)

    def enqueue(self, record, budget_s):
        """Queue an accepted record; return whether it still waits."""
        submit = record.submit
        now = trio.current_time()
        wait_s = submit.longest_wait_ms / 1000 or budget_s
        cost_ms = self.get_cost_ms(submit.row)
        # What would start later than this could not finish in time.
        useful_s = budget_s - LATEST_START_SHARE * cost_ms / 1000
        waiting = fair_queue.QueuedAttempt(
            record,
            now + budget_s,
            now + min(max(useful_s, 0.0), wait_s),
            cost_ms,
        )
        shed = self._queue.add(waiting)
        if shed is not None:
            self._refuse(shed.record, outcome.Reason.SHED)
        self._wake_up()
        return not record.is_final()

    def _refuse(self, record, reason):
        retry_ms = int(self.predict_wait_ms(record.submit.priority))
        if record.refuse(reason, max(SHORT_RETRY_MS, retry_ms)):
            self._on_released(record)
            _log.info(
                "attempt refused",
                extra={"decision": reason, "request": _get_request(record)},
            )

    def _wake_up(self):
        self._wake.set()
        self._wake = trio.Event()

    async def run(self):
        """Start attempts as slots come free, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._expire()
                self._start_ready()
                await self._wait_for_work()

    async def _wait_for_work(self):
        expiry_s = self._queue.get_next_expiry_s()
        with trio.CancelScope() as scope:
            if expiry_s is not None:
                scope.deadline = expiry_s
            await self._wake.wait()

    def _expire(self):
        for waiting in self._queue.pop_expired():
            self._refuse(waiting.record, outcome.Reason.DEADLINE_PASSED)

    def _start_ready(self):
        while self.running < self.slots:
            waiting = self._queue.pop_next()
            if waiting is None:
                return
            left_s = waiting.deadline_s - trio.current_time()
            if left_s <= 0:
                reason = outcome.Reason.DEADLINE_PASSED
                self._refuse(waiting.record, reason)
            elif waiting.record.start():
                self.running += 1
                self._nursery.start_soon(self._run_one, waiting, left_s)

    async def _run_one(self, waiting, left_s):
        record = waiting.record
        started_s = trio.current_time()
        try:
            with trio.CancelScope() as scope:
                scope.deadline = waiting.deadline_s
                record.cancel_scope = scope
                await self._pass_events(record, left_s)
            if not record.is_final():
                is_late = trio.current_time() >= waiting.deadline_s
                record.fail(*_get_cancel_reason(is_late))
        finally:
            self.running -= 1
            self._wake_up()
        if record.result:
            spent_ms = (trio.current_time() - started_s) * 1000
            self._learn(record.submit.row, spent_ms)
        if record.ran == outcome.Ran.NO:
            self._on_released(record)

    async def _pass_events(self, record, left_s):
        submit = record.submit
        call = base.Call(
            call_id=f"{submit.attempt.entry}-{submit.attempt.number}",
            payload=submit.payload,
            budget_s=left_s,
            priority=submit.priority,
            resume_from=submit.resume_from,
        )
        async for event in self._backend.run(call):
            if isinstance(event, base.Tokens):
                record.add_tokens(event.tokens)
            elif isinstance(event, base.Result):
                record.finish(
                    event.result, event.engine_ms, event.reused_tokens
                )
            else:
                _log.warning(
                    "backend call failed",
                    extra={
                        "request": _get_request(record),
                        "reason": event.reason,
                        "ran": event.ran,
                        "detail": event.detail[:200],
                    },
                )
                record.fail(event.reason, event.ran, event.retry_after_ms)

    def _learn(self, row, spent_ms):
        self.service_ms += SMOOTHING * (spent_ms - self.service_ms)
        known = self._service_ms_by_row.get(row, spent_ms)
        known += SMOOTHING * (spent_ms - known)
        self._service_ms_by_row[row] = known

    def cancel(self, record):
        """Cancel a started call that may be repeated."""
        if record.cancel_scope is not None and not record.is_final():
            record.cancel_scope.cancel()

    async def poll_backend(self):
        """Read the backend server's own report once."""
        load = await self._backend.get_load()
        if isinstance(load, base.LoadTimeout):
            # A busy backend server answers late; that alone must not take
            # all of its slots away just when they are needed.
            self._late_polls += 1
            self.backend_ok &= self._late_polls < LATE_POLLS_MAX
            return
        self._late_polls = 0
        self.backend_ok = load is not None
        if load is not None:
            self.slots = load.slots
            self.is_backend_leaving = load.is_leaving
            self.model = load.model
            self.fencing = load.fencing
            self._wake_up()


def _get_cancel_reason(is_late):
    if is_late:
        return outcome.Reason.DEADLINE_PASSED, outcome.Ran.UNKNOWN
    return outcome.Reason.WITHDRAWN, outcome.Ran.UNKNOWN


def _get_request(record):
    return record.submit.request_id


def new_runner(backend, slots, on_released):
    """Return a runner for `backend` with an empty queue."""
    queue = fair_queue.new_fair_queue()
    return Runner(backend, queue, slots, on_released)
