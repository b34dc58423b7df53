"""The agent, through which all calls to its backend server go."""

import logging

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import messages
from greengagetrack.process import attempts
from greengagetrack.process import orders
from greengagetrack.request import outcome
from greengagetrack.request import record as record_module

POLL_PERIOD_S = 1.0
CLEANUP_PERIOD_S = 1.0
DRAIN_CHECK_S = 0.05
PULL_WAIT_MAX_MS = 5000

_log = logging.getLogger(__name__)
_Reason = outcome.Reason
_Ran = outcome.Ran


class Agent:
    """The handler of messages about attempts on one backend server.

    The record of an attempt is authoritative: a second `Submit` returns
    it, `Pull` reads from it, and `Withdraw` ends it in one atomic step.
    """

    __slots__ = (
        "_delivered",
        "_nursery",
        "attempt_log",
        "order_book",
        "incarnation",
        "is_draining",
        "name",
        "runner",
        "service",
        "state_changed",
    )

    def __init__(
        self, name, service, incarnation, runner, order_book, attempt_log
    ):
        self.name = name
        self.service = service
        self.incarnation = incarnation
        self.runner = runner
        self.order_book = order_book
        self.attempt_log = attempt_log
        self.is_draining = False
        self.state_changed = trio.Event()
        self._nursery = None
        self._delivered = set()

    def is_refusing(self):
        """Return whether new work is refused because of a shutdown."""
        return self.is_draining or self.runner.is_backend_leaving

    async def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, agent_messages.Submit):
            return await self.submit(message)
        if isinstance(message, agent_messages.Pull):
            return await self.pull(message)
        if isinstance(message, agent_messages.Withdraw):
            return self.withdraw(message)
        if isinstance(message, agent_messages.IssueTicket):
            return self._issue_ticket(message)
        if isinstance(message, agent_messages.PromiseRequest):
            return self.order_book.promise(message)
        return messages.Rejected("an agent does not answer this message")

    async def submit(self, submit):
        """Accept an attempt, or find its record; return its state so far."""
        if submit.incarnation != self.incarnation:
            # The previous agent process may have run an earlier copy.
            return _refuse_unknown(_Reason.AGENT_RESTARTED)
        for number in submit.acknowledged:
            self._acknowledge(
                agent_messages.AttemptId(submit.attempt.entry, number)
            )
        record = self.attempt_log.get_record(submit.attempt)
        if record is None:
            refusal = self._find_refusal(submit)
            if refusal is not None:
                return refusal
            record = self._accept(submit)
            if submit.order is not None:
                await self._handle_order(submit, record)
            else:
                self.runner.enqueue(record, submit.budget_ms / 1000)
            # It may share the record of an earlier attempt by now.
            record = self.attempt_log.get_record(submit.attempt) or record
        offset = submit.resume_from
        await record.wait_for_updates(offset, submit.wait_ms / 1000)
        return self._get_chunk(submit.attempt, offset)

    def _find_refusal(self, submit):
        """Return the refusal of an attempt that has no record, or None."""
        tombstone = self.attempt_log.get_tombstone(submit.attempt)
        if tombstone is not None:
            if tombstone:
                return _refuse_not_run(tombstone)
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        if self.attempt_log.is_evicted(submit.attempt):
            return _refuse_unknown(_Reason.ATTEMPT_TOO_OLD)
        reason = self._find_reason_to_refuse(submit)
        if reason is None:
            return None
        # A late copy of this message must not be accepted later.
        self.attempt_log.add_tombstone(submit.attempt, reason)
        wait_ms = int(self.runner.predict_wait_ms(submit.priority))
        if submit.order is not None:
            # An earlier attempt of the same order may have run here.
            return _refuse(reason, _Ran.UNKNOWN, wait_ms)
        return _refuse(reason, _Ran.NO, wait_ms)

    def _find_reason_to_refuse(self, submit):
        if submit.service != self.service:
            return _Reason.BACKEND_REFUSED
        if self.attempt_log.is_full():
            return _Reason.RECORDS_FULL
        if submit.order is not None:
            # The order book is checked first: a repeat must get its result
            # even while new orders are refused.
            return None
        return self._find_reason_not_to_start(submit)

    def _find_reason_not_to_start(self, submit):
        if self.is_refusing():
            return _Reason.DRAINING
        if not self.runner.is_backend_up:
            return _Reason.NO_CAPACITY
        if self._is_deadline_unreachable(submit):
            return _Reason.DEADLINE_UNREACHABLE
        return None

    def _is_deadline_unreachable(self, submit):
        wait_ms = self.runner.predict_wait_ms(submit.priority)
        max_wait_ms = submit.longest_wait_ms or submit.budget_ms
        return wait_ms > min(max_wait_ms, submit.budget_ms)

    def _accept(self, submit):
        record = record_module.new_record(submit)
        self.attempt_log.add_record(submit.attempt, record)
        return record

    async def _handle_order(self, submit, record):
        """Run, join or deny an attempt that carries an order."""
        claim = await self.order_book.claim(submit, record)
        if isinstance(claim, orders.Join):
            self._join(submit.attempt, record, claim.record)
        elif isinstance(claim, orders.Deny):
            self._deny(record, claim)
        elif record.is_final():
            # It was withdrawn while promises were collected.
            self.order_book.release(record)
        else:
            self._start_order(submit, record)

    def _start_order(self, submit, record):
        # No await: the order book and the queue must stay consistent.
        reason = self._find_reason_not_to_start(submit)
        if reason is not None:
            self.order_book.release(record)
            record.refuse(reason)
        else:
            self.runner.enqueue(record, submit.budget_ms / 1000)

    def _join(self, attempt, record, order_record):
        if record.state is record_module.State.ACCEPTED:
            order_record.attempts.append(attempt)
            self.attempt_log.add_record(attempt, order_record)

    def _deny(self, record, claim):
        if claim.ran is _Ran.NO:
            record.refuse(claim.reason)
        elif record.start():
            record.fail(claim.reason, claim.ran)

    async def pull(self, pull):
        """Return the result from an offset on, after waiting for updates."""
        if pull.incarnation != self.incarnation:
            return _refuse_unknown(_Reason.AGENT_RESTARTED)
        record = self.attempt_log.get_record(pull.attempt)
        if record is None:
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        wait_ms = min(pull.wait_ms, PULL_WAIT_MAX_MS)
        await record.wait_for_updates(pull.offset, wait_ms / 1000)
        return self._get_chunk(pull.attempt, pull.offset)

    def _get_chunk(self, attempt, offset):
        # An attempt that joined an order while it waited now has the
        # record of the first attempt.
        record = self.attempt_log.get_record(attempt)
        if record is None:
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        if record.is_final():
            self._delivered.add(attempt)
        return record.get_chunk(offset, self.runner.get_load())

    def withdraw(self, withdraw):
        """Withdraw an attempt; return whether it never ran and never will."""
        # No await: the attempt must not start during the withdrawal.
        if withdraw.incarnation != self.incarnation:
            return agent_messages.WithdrawReply(False)
        record = self.attempt_log.get_record(withdraw.attempt)
        # Nobody requests its result any more, so a drain need not wait.
        self._delivered.add(withdraw.attempt)
        if record is None:
            return agent_messages.WithdrawReply(
                self._withdraw_unknown(withdraw.attempt)
            )
        if record.withdraw():
            self.order_book.release(record)
            return agent_messages.WithdrawReply(True)
        if record.submit.is_repeatable:
            self.runner.cancel(record)
        return agent_messages.WithdrawReply(False)

    def _withdraw_unknown(self, attempt):
        """Withdraw an attempt whose `Submit` may arrive after this."""
        tombstone = self.attempt_log.get_tombstone(attempt)
        if tombstone is not None:
            return bool(tombstone)
        if self.attempt_log.is_evicted(attempt):
            return False
        self.attempt_log.add_tombstone(attempt, _Reason.WITHDRAWN)
        return True

    def _acknowledge(self, attempt):
        self.attempt_log.evict(attempt)
        self._delivered.discard(attempt)

    def _issue_ticket(self, request):
        if self.is_refusing() or request.service != self.service:
            return agent_messages.Ticket(failure=_Reason.DRAINING)
        return self.order_book.issue_ticket(request)

    async def run(self):
        """Run the tasks of the agent until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.runner.run)
            nursery.start_soon(self._poll_backend)
            nursery.start_soon(self._remove_expired)

    async def _poll_backend(self):
        while True:
            before = self.get_reported_state()
            await self.runner.poll_backend()
            if self.get_reported_state() != before:
                self.notify_state_changed()
            await trio.sleep(POLL_PERIOD_S)

    def get_reported_state(self):
        """Return the state whose changes are reported at once."""
        return (self.runner.is_backend_up, self.is_refusing())

    def notify_state_changed(self):
        """Wake the tasks that wait for `state_changed`."""
        self.state_changed.set()
        self.state_changed = trio.Event()

    async def _remove_expired(self):
        while True:
            await trio.sleep(CLEANUP_PERIOD_S)
            self.attempt_log.remove_expired()
            self.order_book.remove_expired()
            self._delivered &= self.attempt_log.record_by_attempt.keys()

    def start_draining(self):
        """Refuse new work from now on, and report it at once."""
        if not self.is_draining:
            self.is_draining = True
            self.notify_state_changed()
            _log.info("draining", extra={"decision": "drain"})

    def is_drained(self):
        """Return whether all work is done and all results were delivered."""
        pending = self.attempt_log.record_by_attempt.keys() - self._delivered
        return self.runner.is_idle() and not pending

    async def wait_drained(self, limit_s):
        """Wait until drained; return whether that was within the limit."""
        with trio.move_on_after(limit_s):
            while not self.is_drained():
                await trio.sleep(DRAIN_CHECK_S)
        return self.is_drained()


def _refuse(reason, ran, retry_after_ms=0):
    return agent_messages.Chunk(
        state=record_module.State.REFUSED,
        offset=0,
        is_done=True,
        failure=reason,
        ran=ran,
        retry_after_ms=retry_after_ms,
    )


def _refuse_unknown(reason):
    return _refuse(reason, _Ran.UNKNOWN)


def _refuse_not_run(reason):
    return _refuse(reason, _Ran.NO)


def new_agent(name, service, incarnation, runner, order_book):
    """Return the agent of one backend server; the caller runs it."""
    attempt_log = attempts.new_attempt_log()
    return Agent(name, service, incarnation, runner, order_book, attempt_log)
