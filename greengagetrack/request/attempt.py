"""One attempt of a stage, as its entry carries it out."""

import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.request import outcome as outcome_module

SUBMIT_WAIT_MS = 250
PULL_WAIT_MS = 500
PULL_PERIOD_S = 0.04
REPLY_GRACE_S = 1.0
LINK_GRACE_S = 1.0
LINK_CHECK_S = 0.02
WITHDRAW_TIMEOUT_S = 0.3

_Ran = outcome_module.Ran
_Reason = outcome_module.Reason


class AttemptRun:
    """Carries one `Submit` to its agent and brings the result back.

    All questions may be repeated: the same `Submit` finds its record, and
    `Pull` goes on at the offset that was reached. So a link that fails and
    comes back costs only time.
    """

    __slots__ = (
        "_deadline",
        "_is_gone",
        "_link",
        "_on_tokens",
        "_submit",
        "chunk",
        "has_left",
        "is_settled",
        "offset",
    )

    def __init__(self, link, submit, deadline, on_tokens, is_gone):
        self._is_gone = is_gone
        self._link = link
        self._submit = submit
        self._deadline = deadline
        self._on_tokens = on_tokens
        self.offset = submit.resume_from
        self.chunk = None
        self.has_left = False
        self.is_settled = False

    def get_number(self):
        """Return the number of the attempt at this entry."""
        return self._submit.attempt.number

    async def run(self):
        """Return the last `Chunk`, or `Refused` or `Unknown`."""
        outcome = await self._submit_once()
        if outcome is None:
            outcome = await self._follow()
        if isinstance(outcome, messages.Chunk):
            self.is_settled = True
            return self._read_end(outcome)
        return outcome

    async def _submit_once(self):
        """Return None once the agent has the attempt, else the end."""
        lost_since_s = None
        while True:
            if self._deadline.is_past():
                return await self.give_up(_Reason.DEADLINE_PASSED)
            reply = await self._ask(self._submit, self._submit.wait_ms)
            if isinstance(reply, messages.Chunk):
                return self._take(reply)
            if isinstance(reply, base.NotSent) and not self.has_left:
                return outcome_module.Refused(_Reason.LINK_DOWN)
            lost_since_s = lost_since_s or trio.current_time()
            if self._is_lost_for_good(lost_since_s):
                return await self.give_up(_Reason.AGENT_SILENT)
            await trio.sleep(LINK_CHECK_S)

    async def _follow(self):
        """Pull until the attempt has ended; return how it ended."""
        lost_since_s = None
        while True:
            if self._deadline.is_past():
                return await self.give_up(_Reason.DEADLINE_PASSED)
            await trio.sleep(PULL_PERIOD_S)
            pull = messages.Pull(
                self._submit.attempt,
                self._submit.incarnation,
                self.offset,
                min(PULL_WAIT_MS, self._deadline.get_left_ms()),
            )
            reply = await self._ask(pull, pull.wait_ms)
            if isinstance(reply, messages.Chunk):
                lost_since_s = None
                outcome = self._take(reply)
                if outcome is not None:
                    return outcome
                continue
            lost_since_s = lost_since_s or trio.current_time()
            if self._is_lost_for_good(lost_since_s):
                return await self.give_up(_Reason.AGENT_SILENT)
            await trio.sleep(LINK_CHECK_S)

    async def _ask(self, message, wait_ms):
        timeout_s = wait_ms / 1000 + REPLY_GRACE_S
        timeout_s = min(timeout_s, self._deadline.get_left_s() + 0.05)
        had_left = self.has_left
        # Set before the question leaves: a cancellation in between must
        # find it. Only the link's own word takes it back, since a link
        # can come up at any moment.
        self.has_left = True
        reply = await self._link.ask(message, timeout_s)
        if isinstance(reply, base.NotSent):
            self.has_left = had_left
        return reply

    def _is_lost_for_good(self, since_s):
        if self._is_gone():
            return True
        # What must not be repeated has nowhere else to go, so it is
        # followed up to its deadline.
        if not self._submit.is_repeatable:
            return False
        return trio.current_time() - since_s > LINK_GRACE_S

    def _take(self, chunk):
        """Pass on what is new; return the chunk if it is the last."""
        self.chunk = chunk
        known = self.offset - chunk.offset
        if known < 0:
            # An agent never skips tokens; this is not its record.
            return outcome_module.Unknown(_Reason.ATTEMPT_UNKNOWN)
        fresh = chunk.tokens[known:]
        if fresh:
            self.offset += len(fresh)
            self._on_tokens(fresh)
        return chunk if chunk.is_done else None

    def _read_end(self, chunk):
        if not chunk.failure:
            return chunk
        reason = _get_reason(chunk.failure)
        if chunk.ran == _Ran.NO:
            return outcome_module.Refused(
                reason, retry_after_ms=chunk.retry_after_ms
            )
        return outcome_module.Unknown(
            reason, retry_after_ms=chunk.retry_after_ms
        )

    async def give_up(self, reason):
        """Withdraw the attempt; return what may be said of it."""
        if not self.has_left:
            return outcome_module.Refused(reason)
        withdraw = messages.Withdraw(
            self._submit.attempt, self._submit.incarnation
        )
        reply = await self._link.ask(withdraw, WITHDRAW_TIMEOUT_S)
        self.is_settled = isinstance(reply, messages.WithdrawReply)
        if self.is_settled and reply.is_withdrawn and self._is_proof():
            return outcome_module.Refused(reason)
        return outcome_module.Unknown(reason)

    def _is_proof(self):
        """Return whether a withdrawal proves that nothing ran.

        It proves so for this attempt. For an order it must also be known
        that no earlier attempt ran, which the agent has looked up once it
        has accepted a ticket.
        """
        order = self._submit.order
        return order is None or bool(order.ticket and self.chunk)


def _get_reason(text):
    try:
        return _Reason(text)
    except ValueError:
        # A newer agent may know reasons that this entry does not.
        return _Reason.BACKEND_FAILED


def new_attempt_run(link, submit, deadline, on_tokens, is_gone):
    """Return the run of one attempt.

    `on_tokens` gets what is new, and `is_gone` tells whether the agent's
    process is known to be dead.
    """
    return AttemptRun(link, submit, deadline, on_tokens, is_gone)
