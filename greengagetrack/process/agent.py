"""The agent: the only way in to its backend server."""

import logging

import trio

from greengagetrack.connection import messages
from greengagetrack.process import attempts
from greengagetrack.process import orders
from greengagetrack.request import outcome
from greengagetrack.request import record as record_module

POLL_PERIOD_S = 1.0
CLEAN_PERIOD_S = 1.0
DRAIN_CHECK_S = 0.05
PULL_WAIT_MAX_MS = 5000

_log = logging.getLogger(__name__)
_Reason = outcome.Reason
_Ran = outcome.Ran


class Agent:
    """Answers entries about the attempts on one backend server.

    The record of an attempt decides everything: a second `Submit` finds
    it, `Pull` reads from it, and `Withdraw` ends it in one step.
    """

    __slots__ = (
        "_delivered",
        "_nursery",
        "book",
        "incarnation",
        "is_draining",
        "log",
        "name",
        "runner",
        "service",
        "state_changed",
    )

    def __init__(self, name, service, incarnation, runner, book, log):
        self.name = name
        self.service = service
        self.incarnation = incarnation
        self.runner = runner
        self.book = book
        self.log = log
        self.is_draining = False
        self.state_changed = trio.Event()
        self._nursery = None
        self._delivered = set()

    def is_refusing(self):
        """Return whether new work is refused: the end is near."""
        return self.is_draining or self.runner.is_backend_leaving

    async def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, messages.Submit):
            return await self.submit(message)
        if isinstance(message, messages.Pull):
            return await self.pull(message)
        if isinstance(message, messages.Withdraw):
            return self.withdraw(message)
        if isinstance(message, messages.IssueTicket):
            return self._issue_ticket(message)
        if isinstance(message, messages.PromiseRequest):
            return self.book.promise(message)
        return messages.Rejected("an agent does not answer this message")

    async def submit(self, submit):
        """Accept an attempt, or find its record; return what there is."""
        if submit.incarnation != self.incarnation:
            # The process before this one may have run an earlier copy.
            return _refuse_unknown(_Reason.AGENT_RESTARTED)
        for number in submit.acknowledged:
            self._acknowledge(messages.AttemptId(submit.attempt.entry, number))
        record = self.log.get_record(submit.attempt)
        if record is None:
            refusal = self._find_refusal(submit)
            if refusal is not None:
                return refusal
            record = self._accept(submit)
            if submit.order is not None:
                await self._order(submit, record)
            else:
                self.runner.enqueue(record, submit.budget_ms / 1000)
            # It may have joined the record of an earlier attempt by now.
            record = self.log.get_record(submit.attempt) or record
        offset = submit.resume_from
        await record.wait_for_updates(offset, submit.wait_ms / 1000)
        return self._get_chunk(submit.attempt, offset)

    def _find_refusal(self, submit):
        """Return the refusal of an attempt that has no record, or None."""
        tombstone = self.log.get_tombstone(submit.attempt)
        if tombstone is not None:
            if tombstone:
                return _refuse_not_run(tombstone)
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        if self.log.is_evicted(submit.attempt):
            return _refuse_unknown(_Reason.ATTEMPT_TOO_OLD)
        reason = self._find_reason_to_refuse(submit)
        if reason is None:
            return None
        # A late copy of this message must not be accepted after all.
        self.log.add_tombstone(submit.attempt, reason)
        wait_ms = int(self.runner.predict_wait_ms(submit.priority))
        if submit.order is not None:
            # An earlier attempt of the same order may have run here.
            return _refuse(reason, _Ran.UNKNOWN, wait_ms)
        return _refuse(reason, _Ran.NO, wait_ms)

    def _find_reason_to_refuse(self, submit):
        if submit.service != self.service:
            return _Reason.BACKEND_REFUSED
        if self.log.is_full():
            return _Reason.RECORDS_FULL
        if submit.order is not None:
            # The book decides first: a repeat must find its answer even
            # while new orders are refused.
            return None
        return self._find_reason_not_to_start(submit)

    def _find_reason_not_to_start(self, submit):
        if self.is_refusing():
            return _Reason.DRAINING
        if not self.runner.backend_ok:
            return _Reason.NO_CAPACITY
        if self._is_hopeless(submit):
            return _Reason.DEADLINE_UNREACHABLE
        return None

    def _is_hopeless(self, submit):
        wait_ms = self.runner.predict_wait_ms(submit.priority)
        longest_ms = submit.longest_wait_ms or submit.budget_ms
        return wait_ms > min(longest_ms, submit.budget_ms)

    def _accept(self, submit):
        record = record_module.new_record(submit)
        self.log.add_record(submit.attempt, record)
        return record

    async def _order(self, submit, record):
        """Run, join or deny an attempt that carries an order."""
        claim = await self.book.claim(submit, record)
        if isinstance(claim, orders.Join):
            self._join(submit.attempt, record, claim.record)
        elif isinstance(claim, orders.Deny):
            self._deny(record, claim)
        elif record.is_final():
            # It was withdrawn while promises were collected.
            self.book.release(record)
        else:
            self._start_order(submit, record)

    def _start_order(self, submit, record):
        # No await: the claim and the queue must agree.
        reason = self._find_reason_not_to_start(submit)
        if reason is not None:
            self.book.release(record)
            record.refuse(reason)
        else:
            self.runner.enqueue(record, submit.budget_ms / 1000)

    def _join(self, attempt, record, first):
        if record.state is record_module.State.ACCEPTED:
            first.attempts.append(attempt)
            self.log.add_record(attempt, first)

    def _deny(self, record, claim):
        if claim.ran is _Ran.NO:
            record.refuse(claim.reason)
        elif record.start():
            record.fail(claim.reason, claim.ran)

    async def pull(self, pull):
        """Return what follows the offset, waiting for it a while."""
        if pull.incarnation != self.incarnation:
            return _refuse_unknown(_Reason.AGENT_RESTARTED)
        record = self.log.get_record(pull.attempt)
        if record is None:
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        wait_ms = min(pull.wait_ms, PULL_WAIT_MAX_MS)
        await record.wait_for_updates(pull.offset, wait_ms / 1000)
        return self._get_chunk(pull.attempt, pull.offset)

    def _get_chunk(self, attempt, offset):
        # An attempt that joined an order while it waited has the record
        # of the first one by now.
        record = self.log.get_record(attempt)
        if record is None:
            return _refuse_unknown(_Reason.ATTEMPT_UNKNOWN)
        if record.is_final():
            self._delivered.add(attempt)
        return record.get_chunk(offset, self.runner.get_load())

    def withdraw(self, withdraw):
        """Return whether the attempt never ran and never will."""
        # No await: this is one step between an attempt's other steps.
        if withdraw.incarnation != self.incarnation:
            return messages.WithdrawReply(False)
        record = self.log.get_record(withdraw.attempt)
        # Nobody waits for its result any more, so a drain need not either.
        self._delivered.add(withdraw.attempt)
        if record is None:
            return messages.WithdrawReply(self._bury(withdraw.attempt))
        if record.withdraw():
            self.book.release(record)
            return messages.WithdrawReply(True)
        if record.submit.is_repeatable:
            self.runner.cancel(record)
        return messages.WithdrawReply(False)

    def _bury(self, attempt):
        """Refuse a `Submit` that was overtaken by its `Withdraw`."""
        tombstone = self.log.get_tombstone(attempt)
        if tombstone is not None:
            return bool(tombstone)
        if self.log.is_evicted(attempt):
            return False
        self.log.add_tombstone(attempt, _Reason.WITHDRAWN)
        return True

    def _acknowledge(self, attempt):
        self.log.evict(attempt)
        self._delivered.discard(attempt)

    def _issue_ticket(self, request):
        if self.is_refusing() or request.service != self.service:
            return messages.Ticket(failure=_Reason.DRAINING)
        return self.book.issue_ticket(request)

    async def run(self):
        """Run the tasks of the agent until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.runner.run)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._clean)

    async def _poll(self):
        while True:
            before = self.get_condition()
            await self.runner.poll_backend()
            if self.get_condition() != before:
                self.notify()
            await trio.sleep(POLL_PERIOD_S)

    def get_condition(self):
        """Return what a change of must be reported at once."""
        return (self.runner.backend_ok, self.is_refusing())

    def notify(self):
        """Wake those who wait for a change of condition."""
        self.state_changed.set()
        self.state_changed = trio.Event()

    async def _clean(self):
        while True:
            await trio.sleep(CLEAN_PERIOD_S)
            self.log.remove_expired()
            self.book.remove_expired()
            self._delivered &= self.log.record_by_attempt.keys()

    def start_draining(self):
        """Refuse new work from now on, and say so at once."""
        if not self.is_draining:
            self.is_draining = True
            self.notify()
            _log.info("draining", extra={"decision": "drain"})

    def is_drained(self):
        """Return whether all work is done and its results were read."""
        pending = self.log.record_by_attempt.keys() - self._delivered
        return self.runner.is_idle() and not pending

    async def wait_drained(self, limit_s):
        """Wait until drained; return whether that was within the limit."""
        with trio.move_on_after(limit_s):
            while not self.is_drained():
                await trio.sleep(DRAIN_CHECK_S)
        return self.is_drained()


def _refuse(reason, ran, retry_after_ms=0):
    return messages.Chunk(
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


def new_agent(name, service, incarnation, runner, book):
    """Return the agent of one backend server; the caller runs it."""
    log = attempts.new_attempt_log()
    return Agent(name, service, incarnation, runner, book, log)
