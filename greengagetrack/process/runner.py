"""Runs accepted attempts on the backend server of an agent."""

import logging

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection.backend import base
from greengagetrack.process import fair_queue
from greengagetrack.request import outcome

INITIAL_SERVICE_MS = 100.0
SERVICE_TIME_WEIGHT = 0.2
LATEST_START_FACTOR = 0.8
LATE_POLLS_MAX = 5
RETRY_AFTER_MIN_MS = 250

_log = logging.getLogger(__name__)


class Runner:
    """The queue and the slots of one backend server.

    Each accepted attempt is put in the fair queue. A started one has its own
    task, which occupies a slot until the backend server has replied.
    """

    __slots__ = (
        "_backend",
        "_late_polls",
        "_nursery",
        "_on_not_run",
        "_queue",
        "_service_ms_by_row",
        "_state_changed",
        "fencing",
        "is_backend_leaving",
        "is_backend_up",
        "model",
        "prefixes",
        "running",
        "service_ms",
        "slots",
    )

    def __init__(self, backend, queue, slots, on_not_run):
        self._backend = backend
        self._queue = queue
        self._on_not_run = on_not_run
        self._service_ms_by_row = {}
        self._late_polls = 0
        self._state_changed = trio.Event()
        self._nursery = None
        self.slots = slots
        self.running = 0
        self.service_ms = INITIAL_SERVICE_MS
        self.is_backend_up = True
        self.is_backend_leaving = False
        self.model = ""
        self.prefixes = []
        self.fencing = 0

    def get_load(self):
        """Return the load to report to entries."""
        backlog_by_priority = self._queue.get_backlog_by_priority()
        return agent_messages.Load(
            slots=self.slots if self.is_backend_up else 0,
            running=self.running,
            queued=len(self._queue),
            service_ms=self.service_ms,
            backlog_ms=sum(backlog_by_priority.values()),
            backlog_by_priority=backlog_by_priority,
        )

    def is_idle(self):
        """Return whether no attempt is queued or running."""
        return self.running == 0 and len(self._queue) == 0

    def get_cost_ms(self, row):
        """Return the predicted duration of a call of a row."""
        return self._service_ms_by_row.get(row, self.service_ms)

    def predict_wait_ms(self, priority):
        """Return the predicted queueing time of a new attempt."""
        if self.running < self.slots:
            return 0.0
        backlog_ms = self._queue.get_backlog_ms(priority)
        return (backlog_ms + self.service_ms / 2) / max(self.slots, 1)

    def enqueue(self, record, budget_s):
        """Queue an accepted record; return whether it was not shed."""
        submit = record.submit
        now = trio.current_time()
        wait_s = submit.longest_wait_ms / 1000 or budget_s
        cost_ms = self.get_cost_ms(submit.row)
        # An attempt started later could not finish in time.
        latest_start_in_s = budget_s - LATEST_START_FACTOR * cost_ms / 1000
        queued = fair_queue.QueuedAttempt(
            record,
            now + budget_s,
            now + min(max(latest_start_in_s, 0.0), wait_s),
            cost_ms,
        )
        shed = self._queue.add(queued)
        if shed is not None:
            self._refuse(shed.record, outcome.Reason.SHED)
        self._notify()
        return not record.is_final()

    def _refuse(self, record, reason):
        retry_ms = int(self.predict_wait_ms(record.submit.priority))
        if record.refuse(reason, max(RETRY_AFTER_MIN_MS, retry_ms)):
            self._on_not_run(record)
            _log.info(
                "attempt refused",
                extra={"decision": reason, "request": _get_request_id(record)},
            )

    def _notify(self):
        self._state_changed.set()
        self._state_changed = trio.Event()

    async def run(self):
        """Start queued attempts on free slots until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._refuse_expired()
                self._start_ready()
                await self._wait_for_work()

    async def _wait_for_work(self):
        expiry_s = self._queue.get_next_expiry_s()
        with trio.CancelScope() as scope:
            if expiry_s is not None:
                scope.deadline = expiry_s
            await self._state_changed.wait()

    def _refuse_expired(self):
        for queued in self._queue.pop_expired():
            self._refuse(queued.record, outcome.Reason.DEADLINE_PASSED)

    def _start_ready(self):
        while self.running < self.slots:
            queued = self._queue.pop_next()
            if queued is None:
                return
            remaining_s = queued.deadline_s - trio.current_time()
            if remaining_s <= 0:
                reason = outcome.Reason.DEADLINE_PASSED
                self._refuse(queued.record, reason)
            elif queued.record.start():
                self.running += 1
                self._nursery.start_soon(
                    self._run_attempt, queued, remaining_s
                )

    async def _run_attempt(self, queued, remaining_s):
        record = queued.record
        started_s = trio.current_time()
        try:
            with trio.CancelScope() as scope:
                scope.deadline = queued.deadline_s
                record.cancel_scope = scope
                await self._run_call(record, remaining_s)
            if not record.is_final():
                is_late = trio.current_time() >= queued.deadline_s
                record.fail(*_get_cancel_reason(is_late))
        finally:
            self.running -= 1
            self._notify()
        if record.result:
            spent_ms = (trio.current_time() - started_s) * 1000
            self._update_service_times(record.submit.row, spent_ms)
        if record.ran == outcome.Ran.NO:
            self._on_not_run(record)

    async def _run_call(self, record, remaining_s):
        submit = record.submit
        call = base.Call(
            call_id=f"{submit.attempt.entry}-{submit.attempt.number}",
            payload=submit.payload,
            budget_s=remaining_s,
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
                        "request": _get_request_id(record),
                        "reason": event.reason,
                        "ran": event.ran,
                        "detail": event.detail[:200],
                    },
                )
                record.fail(event.reason, event.ran, event.retry_after_ms)

    def _update_service_times(self, row, spent_ms):
        self.service_ms += SERVICE_TIME_WEIGHT * (spent_ms - self.service_ms)
        mean_ms = self._service_ms_by_row.get(row, spent_ms)
        mean_ms += SERVICE_TIME_WEIGHT * (spent_ms - mean_ms)
        self._service_ms_by_row[row] = mean_ms

    def cancel(self, record):
        """Cancel the call of a started attempt that may be repeated."""
        if record.cancel_scope is not None and not record.is_final():
            record.cancel_scope.cancel()

    async def poll_backend(self):
        """Read the reported load of the backend server once."""
        load = await self._backend.get_load()
        if isinstance(load, base.LoadTimeout):
            # A busy backend server replies late. A few late replies must
            # not set its slots to 0 just when they are needed.
            self._late_polls += 1
            self.is_backend_up &= self._late_polls < LATE_POLLS_MAX
            return
        self._late_polls = 0
        self.is_backend_up = load is not None
        if load is not None:
            self.slots = load.slots
            self.is_backend_leaving = load.is_leaving
            self.model = load.model
            self.fencing = load.fencing
            self._notify()


def _get_cancel_reason(is_late):
    if is_late:
        return outcome.Reason.DEADLINE_PASSED, outcome.Ran.UNKNOWN
    return outcome.Reason.WITHDRAWN, outcome.Ran.UNKNOWN


def _get_request_id(record):
    return record.submit.request_id


def new_runner(backend, slots, on_not_run):
    """Return a runner for `backend` with an empty queue."""
    queue = fair_queue.new_fair_queue()
    return Runner(backend, queue, slots, on_not_run)
